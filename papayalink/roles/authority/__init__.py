"""Control members that replicate documents numbered by operators."""
