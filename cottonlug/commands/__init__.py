"""Implementation of the commands that `cli` declares."""
