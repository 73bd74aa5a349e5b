"""Decisions: replication, routing, ranks, limits and retries."""
