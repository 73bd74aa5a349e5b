"""Tests of the soak, and short runs of it."""
