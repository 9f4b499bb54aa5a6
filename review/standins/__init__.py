"""Stand-ins of the platform, of workers and of clients, for the scripts of the review."""
