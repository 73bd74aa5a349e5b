"""Tests of the coordination layer."""
