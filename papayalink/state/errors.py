"""Errors of the state layer."""


class StateError(Exception):
    """Base of all errors of the state layer."""


class DeltaInvalid(StateError):
    """Bytes that are no delta of a document."""
