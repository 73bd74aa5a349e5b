"""The store role: keeps KV cache pieces of prompts."""
