"""Clients of the systems outside Papayalink, one module each."""
