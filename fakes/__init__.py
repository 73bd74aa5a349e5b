"""Stand-ins for the systems outside papayalink."""
