"""Load patterns of real deployments, in virtual time without a network."""
