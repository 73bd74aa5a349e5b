"""One module for each outside interface."""
