"""Settings: declared options, their defaults and the YAML reader."""
