"""Clock, logs, metrics and process life round the core."""
