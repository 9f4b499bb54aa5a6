"""Stand-in upstream for tests and first runs."""
