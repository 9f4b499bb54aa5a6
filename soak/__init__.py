"""Randomized fault soak of the real programs: separate processes, seeded faults, checks."""
