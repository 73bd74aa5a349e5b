"""Entries that send calls to upstreams directly."""
