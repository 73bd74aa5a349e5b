"""Errors of the state layer."""


class StateError(Exception):
    """Base of all errors of the state layer."""


class LogCorrupt(StateError):
    """A synced record is missing or can no longer be read."""


class LogFull(StateError):
    """The disk has no room for the write; nothing was stored."""


class LogFailed(StateError):
    """A write or sync failed and the store can no longer be trusted."""

    """Base of all errors of the state layer."""


class VersionWentBack(StateError):
    """The offered configuration is older than the current one."""


class DigestMismatch(StateError):
    """A document does not match its expected digest."""


class StoreFull(StateError):
    """A piece was refused: evicting pieces of lower value makes no room."""


class StoreFailed(StateError):
    """The disk of a piece store failed; the piece was not published."""


class PieceRejected(StateError):
    """The bytes offered to a store are not a valid piece of the given key."""


class PinReleased(StateError):
    """A pinned piece was read after its pin was released."""


class DeltaInvalid(StateError):
    """The bytes are not a delta of a document."""
