"""Writes the response to one request of a caller."""

from collections.abc import Callable

from gevent import socket
import h11

from papayalink.protocol import calls
from papayalink.transport import errors


class Responder:
    """Writes the response to one request.

    Each method that sends raises CallerGone when writing to the caller fails.

    Attributes:
        call_id: what the handler calls the request in the logs, "" until then.
    """

    __slots__ = (
        "_connection",
        "_sock",
        "_must_close",
        "_head_sent",
        "_writes",
        "call_id",
    )

    def __init__(
        self,
        connection: h11.Connection,
        sock: socket.socket,
        must_close: Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._sock = sock
        self._must_close = must_close
        self._head_sent = False
        self._writes = 0
        self.call_id = ""

    @property
    def writes(self) -> int:
        """Number of writes that have begun."""
        return self._writes

    @property
    def head_sent(self) -> bool:
        """Whether sending of the response's head has begun."""
        return self._head_sent

    def begin(self, status: int, headers: calls.Headers) -> None:
        """Send the head; without Content-Length the body is chunked."""
        if self._must_close():
            headers = [*headers, (b"Connection", b"close")]
        self._head_sent = True
        self._send(h11.Response(status_code=status, headers=headers))

    def write(self, data: bytes) -> None:
        self._send(h11.Data(data=data))

    def end(self) -> None:
        self._send(h11.EndOfMessage())

    def respond(
        self, status: int, headers: calls.Headers, body: bytes = b""
    ) -> None:
        """Send a complete response in one write."""
        length = (b"Content-Length", str(len(body)).encode())
        if self._must_close():
            headers = [*headers, (b"Connection", b"close")]
        self._head_sent = True
        head = h11.Response(status_code=status, headers=[*headers, length])
        parts = [self._connection.send(head)]
        if body:
            parts.append(self._connection.send(h11.Data(data=body)))
        parts.append(self._connection.send(h11.EndOfMessage()))
        self._write_to_socket(b"".join(parts))

    def _send(self, h11_event: h11.Event) -> None:
        data = self._connection.send(h11_event)
        if data:
            self._write_to_socket(data)

    def respond_after_failure(self, status: int) -> None:
        """Send the last response of the connection, if none has begun.

        Bypasses the parser, which may have refused what the handler sent and
        sends nothing more then.

        Raises: errors.ResponseAborted if something has been written.
        """
        if self._writes:
            raise errors.ResponseAborted("handler failed in its response")
        self._connection.send_failed()
        self._head_sent = True
        self._write_to_socket(encode_last_response(status))

    def _write_to_socket(self, data: bytes) -> None:
        self._writes += 1
        try:
            self._sock.sendall(data)
        except OSError as error:
            # Must not count as a fault of the upstream whose answer is sent.
            raise errors.CallerGone(str(error)) from error


def encode_last_response(status: int, headers: calls.Headers = ()) -> bytes:
    """Returns: an empty answer after which the connection closes."""
    head = b"HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n" % status
    lines = [b"%s: %s\r\n" % header for header in headers]
    return head + b"".join(lines) + b"Connection: close\r\n\r\n"


def make_responder(
    connection: h11.Connection,
    sock: socket.socket,
    must_close: Callable[[], bool],
) -> Responder:
    """Make the responder of one request.

    Args:
        must_close: returns whether a response announces that the connection
            closes.
    """
    return Responder(connection, sock, must_close)
