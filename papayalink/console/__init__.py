"""Operator forms whose output is one document."""
