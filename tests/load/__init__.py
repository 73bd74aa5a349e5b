"""Loads of the users' deployments, in virtual time and without a network."""
