"""Errors of the transport layer."""


class TransportError(Exception):
    """Base of all errors of the transport layer."""


class NotConnected(TransportError):
    """No connection was opened, so nothing of the request was sent."""


class ConnectionRefused(NotConnected):
    """The machine answers, and no process listens at the address."""


class ConnectionLost(TransportError):
    """The connection broke after the request may have been sent."""


class UpstreamLeft(ConnectionLost):
    """The call leaves an upstream that is silent and may go on."""


class Timeout(TransportError):
    """No answer arrived in time; the request may have been carried out."""


class Overloaded(TransportError):
    """The receiver has too many calls in flight; this one was not run."""


class AuthenticationFailed(TransportError):
    """The signature, time or nonce of a request or reply is not valid."""


class RpcRefused(TransportError):
    """The receiver answered with an error.

    Args:
        code: error code, see messages.ErrorReply.
        text: human-readable reason.
        leader: RPC address of the leader, with the code "not_leader".
    """

    def __init__(self, code: str, text: str = "", leader: str = "") -> None:
        super().__init__(f"{code}: {text}")
        self.code = code
        self.text = text
        self.leader = leader


class ResponseAborted(TransportError):
    """The response must be cut off, so that it does not look complete."""


class ServerStops(BaseException):
    """The server ends before the handler does: answer now, or not at all.

    Like gevent.GreenletExit it is not an Exception: code that retries or
    reports failed attempts must not treat it as a failure.
    """


class RequestIncomplete(BaseException):
    """The rest of a request does not arrive, so that it must not be run.

    Like gevent.GreenletExit it is not an Exception: an application that reads
    the request must not answer it as a failure of its own.

    Args:
        status: HTTP status for the caller.
        reason: human-readable reason.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class CallerGone(BaseException):
    """The caller hung up, so nobody waits for the answer.

    Like gevent.GreenletExit it is not an Exception: code that retries or
    reports failed attempts must not treat it as a failure.
    """
