"""Storage in the data folder."""
