"""Tests over real processes on loopback."""
