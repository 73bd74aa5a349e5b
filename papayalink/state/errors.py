"""Errors of the state layer."""


class StateError(Exception):
    """Base of the errors of this layer."""


class StoreFull(StateError):
    """A piece was refused: nothing of lower value could make room for it."""


class StoreFailed(StateError):
    """The disk of a piece store failed; the piece was not published."""


class PieceRejected(StateError):
    """The bytes offered to a store are not a valid piece of their key."""


class PinReleased(StateError):
    """A pinned piece was read after its pin was released."""
