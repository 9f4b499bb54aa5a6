"""The work behind each command of the command line."""
