"""Documents, ledger, logs and stores."""
