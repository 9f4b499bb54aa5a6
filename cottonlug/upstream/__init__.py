"""The stand-in upstream used for tests and first runs."""
