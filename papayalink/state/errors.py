"""Errors of the state layer."""


class StateError(Exception):
    """Base of the errors of the state layer."""


class LogCorrupt(StateError):
    """A stored record that was synced can no longer be read."""


class LogFull(StateError):
    """The disk has no room for the write; nothing of it was kept."""


class LogFailed(StateError):
    """A write or sync failed and the store can no longer be trusted."""
