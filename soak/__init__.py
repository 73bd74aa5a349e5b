"""Randomized fault injection on the real programs, run as processes."""
