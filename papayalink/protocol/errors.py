"""Errors of the protocol layer."""


class ProtocolError(Exception):
    """Base of the errors of this layer."""


class PieceInvalid(ProtocolError):
    """Bytes that are not the whole, unchanged piece of the expected key."""
