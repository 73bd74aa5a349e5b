"""Configuration documents, call ledger, replicated log and piece stores."""
