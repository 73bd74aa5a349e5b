"""Load generation and measurements."""
