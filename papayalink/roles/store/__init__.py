"""The store of kept KV cache."""
