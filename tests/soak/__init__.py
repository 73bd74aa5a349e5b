"""Tests of the fault soak, and short runs of it."""
