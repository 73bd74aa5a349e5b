"""Tests of the protocol layer."""
