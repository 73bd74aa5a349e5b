"""Errors of the state layer."""


class StateError(Exception):
    """Base of all errors of the state layer."""


class VersionWentBack(StateError):
    """An older configuration was offered than the one held."""


class DigestMismatch(StateError):
    """A document differs from the one it should be."""
