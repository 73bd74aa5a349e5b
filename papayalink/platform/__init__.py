"""Adapter that translates the platform's formats into project types."""
