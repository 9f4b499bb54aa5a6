"""Benchmarks on real processes on loopback and on models; each prints JSON."""
