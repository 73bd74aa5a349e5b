"""The processes, assembled from the layers."""
