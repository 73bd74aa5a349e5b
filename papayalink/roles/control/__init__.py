"""The control role: replicated state, polls, console, orders."""
