"""Errors of the protocol layer."""


class ProtocolError(Exception):
    """Base of all errors of the protocol layer."""


class MessageInvalid(ProtocolError):
    """Bytes that do not decode to the expected message."""


class Truncated(ProtocolError):
    """A stream stopped without its end."""


class PieceInvalid(ProtocolError):
    """Bytes that are not the whole, unchanged piece of the expected key."""
