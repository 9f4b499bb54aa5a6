"""HTTP servers and clients round the core."""
