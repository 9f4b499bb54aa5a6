"""HTTP servers and clients."""
