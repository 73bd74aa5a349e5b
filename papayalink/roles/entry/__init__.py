"""The entry that callers reach."""
