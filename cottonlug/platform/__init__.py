"""Adapter to the users' platform: paths, field names, words and status codes; no decisions."""
