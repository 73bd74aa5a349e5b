"""Tests of the agent role."""
