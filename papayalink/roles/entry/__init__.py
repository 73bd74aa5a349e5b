"""The entry role: serves callers over HTTP."""
