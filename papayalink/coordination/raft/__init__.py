"""Raft implementation without I/O, used by control and authorities."""
