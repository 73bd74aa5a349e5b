"""Decision logic: replication, routing, ranks, limits and retries."""
