"""Benchmarks against real processes on loopback; each prints JSON."""
