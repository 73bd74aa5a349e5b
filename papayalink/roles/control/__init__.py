"""The control member: replicated state, polls, console, orders."""
