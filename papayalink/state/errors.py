"""Errors of the state layer."""


class StateError(Exception):
    """Base of all errors of the state layer."""


class LogCorrupt(StateError):
    """A stored record that was synced can no longer be read."""


class LogFull(StateError):
    """The disk has no room for the write; nothing of it was kept."""


class LogFailed(StateError):
    """A write or sync failed and the store can no longer be trusted."""

    """Base of all errors of the state layer."""


class VersionWentBack(StateError):
    """An older configuration was offered than the one held."""


class DigestMismatch(StateError):
    """A document differs from the one it should be."""


class StoreFull(StateError):
    """A piece was refused: nothing of lower value could make room for it."""


class StoreFailed(StateError):
    """The disk of a piece store failed; the piece was not published."""


class PieceRejected(StateError):
    """The bytes offered to a store are not a valid piece of their key."""


class PinReleased(StateError):
    """A pinned piece was read after its pin was released."""


class DeltaInvalid(StateError):
    """Bytes that are no delta of a document."""
