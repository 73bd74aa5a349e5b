"""Errors of the protocol layer."""


class ProtocolError(Exception):
    """Base of all errors of the protocol layer."""


class MessageInvalid(ProtocolError):
    """The bytes do not decode to the expected message."""


class Truncated(ProtocolError):
    """A stream ended before it was complete."""


class EventTooLarge(ProtocolError):
    """A stream sends bytes without ever completing an event."""


class PieceInvalid(ProtocolError):
    """The bytes are not the complete, unmodified piece of the expected key."""
