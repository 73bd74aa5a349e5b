"""Errors of the adapters."""


class AdapterError(Exception):
    """A call to an outside system failed."""


class InvalidRequest(AdapterError):
    """The request cannot be expressed in HTTP, so nothing was sent."""


class Unreachable(AdapterError):
    """No connection could be opened, so nothing was sent."""


class Refused(Unreachable):
    """Nothing listens at the address."""


class Interrupted(AdapterError):
    """The connection failed after sending began; the outcome is unknown."""


class StreamCut(Interrupted):
    """A stream ended without its end marker."""


class Rejected(AdapterError):
    """The outside system answered with an error status.

    Args:
        status: HTTP status.
        body: body of the reply.
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"status {status}: {body[:200]!r}")
        self.status = status
        self.body = body


class OrderRefused(Rejected):
    """The engine has seen a higher fencing token than the order's."""


class VersionNotLoaded(Rejected):
    """The engine runs another weight version than that of the piece."""


class InvalidReply(AdapterError):
    """The reply does not match the published format."""
