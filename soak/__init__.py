"""Randomized faults on the real programs, which run as processes."""
