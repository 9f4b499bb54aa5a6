"""The users' platform: its paths, field names, words and status codes, and nothing that decides."""
