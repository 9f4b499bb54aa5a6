"""Settings: declared options, defaults and reading of YAML."""
