"""Stand-ins and process control for the review cases 4 to 8; needs only Python's own library."""
