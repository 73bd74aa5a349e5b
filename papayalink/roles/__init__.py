"""The processes of the roles, assembled from the lower layers."""
