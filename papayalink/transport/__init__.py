"""Sockets, HTTP and RPC between processes."""
