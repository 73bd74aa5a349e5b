"""Tests of the authority."""
