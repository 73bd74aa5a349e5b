"""Reads the requests of one caller's connection."""

from collections.abc import Callable
import time

from gevent import socket
import h11

from papayalink import readiness
from papayalink.protocol import calls
from papayalink.state import traffic
from papayalink.transport import arrival_times
from papayalink.transport import errors

_READ_BYTES = 65_536
_EMPTY_LINE = b"\r\n"


class Request:
    """A complete request of a caller.

    Attributes:
        protocol: "HTTP/1.1" or "HTTP/1.0".
        arrived_at: monotonic seconds at which its first bytes arrived.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "protocol",
        "arrived_at",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: calls.Headers,
        body: bytes,
        protocol: str,
        arrived_at: float,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.protocol = protocol
        self.arrived_at = arrived_at


class Refused(errors.TransportError):
    """The request is unreadable and gets an error status.

    Args:
        headers: headers of the answer.
    """

    def __init__(
        self, status: int, reason: str, headers: calls.Headers = ()
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = headers


class RequestReader:
    """Reads one complete request after the other.

    Empty lines before a request are skipped (RFC 9112, section 2.2); some
    clients send one behind a body.

    Args:
        sock: the connection.
        limits: returns the limits; called again for each request.
    """

    __slots__ = (
        "_sock",
        "_limits",
        "_connection",
        "_arrived_at",
        "_received_under",
        "_line_part",
        "_only_empty_lines",
    )

    def __init__(
        self,
        sock: socket.socket,
        limits: Callable[[], traffic.CallerLimits],
    ) -> None:
        self._sock = sock
        self._limits = limits
        self._connection: h11.Connection | None = None
        # When the last bytes arrived, and the limits when they were received.
        self._arrived_at = time.monotonic()
        self._received_under = traffic.CallerLimits()
        # Received part of an empty line before a request.
        self._line_part = b""
        self._only_empty_lines = False

    @property
    def connection(self) -> h11.Connection | None:
        """State of the request that was read last, and of its response.

        None before the first one.
        """
        return self._connection

    @property
    def has_received(self) -> bool:
        """Whether bytes of the next request have been received."""
        if self._connection is None:
            return False
        return bool(skip_empty_lines(self._connection.trailing_data[0]))

    @property
    def only_empty_lines(self) -> bool:
        """Whether `read` has met no request, and the caller may send one."""
        return self._only_empty_lines

    def read(self) -> Request | None:
        """Read the next request, once the last one is answered.

        The limits are those in force when its first bytes were received.

        Returns: the request, None when the caller sends no more, or has sent
            only empty lines.

        Raises: Refused
        """
        self._only_empty_lines = False
        begun = self.has_received
        limits = self._received_under if begun else self._limits()
        self._connection = connection = self._make_next_connection(limits)
        # Bytes from the start of the request on.
        received_bytes = len(connection.trailing_data[0])
        head: h11.Request | None = None
        head_deadline = float("inf")
        body: list[bytes] = []
        body_size = 0
        arrived_at = self._arrived_at
        self._sock.settimeout(limits.idle_timeout_s)
        while True:
            try:
                h11_event = connection.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise Refused(status, str(error)) from error
            if h11_event is h11.NEED_DATA:
                self._continue()
                try:
                    data = self._receive()
                except TimeoutError:
                    if readiness.has_unread_bytes(self._sock):
                        # It arrived while this process stood still.
                        continue
                    if head is None and not self.has_received:
                        return None
                    raise Refused(
                        408, "time-out before the request was complete"
                    ) from None
                if data and not begun:
                    data = self._skip_empty_lines(data)
                    if not data:
                        self._only_empty_lines = True
                        return None
                    begun = True
                    arrived_at = self._arrived_at
                if head is None:
                    # Single bytes must not extend the time for the head.
                    head_deadline = min(
                        head_deadline,
                        self._arrived_at + limits.header_timeout_s,
                    )
                    if self._arrived_at >= head_deadline:
                        raise Refused(408, "head is not complete in time")
                if data:
                    self._sock.settimeout(limits.header_timeout_s)
                connection.receive_data(data)
                received_bytes += len(data)
                continue
            match h11_event:
                case h11.Request():
                    head = h11_event
                    if received_bytes > limits.header_bytes:
                        # The parser limits only heads that are incomplete.
                        rest, _ = connection.trailing_data
                        _check_size(received_bytes - len(rest), limits)
                    _check_framing(head)
                case h11.Data(data):
                    body_size += len(data)
                    if body_size > limits.body_bytes:
                        raise Refused(413, "request body is too large")
                    body.append(bytes(data))
                case h11.EndOfMessage():
                    self._sock.settimeout(None)
                    return Request(
                        head.method,
                        head.target,
                        head.headers.raw_items(),
                        b"".join(body),
                        f"HTTP/{head.http_version.decode()}",
                        arrived_at,
                    )
                case _:
                    return None

    def _make_next_connection(
        self, limits: traffic.CallerLimits
    ) -> h11.Connection:
        """Make the parser of one request under the limits in force."""
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        if self._connection is not None:
            received, ended = self._connection.trailing_data
            unread = self._skip_empty_lines(received)
            if unread:
                connection.receive_data(unread)
            if ended:
                connection.receive_data(b"")
        return connection

    def _skip_empty_lines(self, data: bytes) -> bytes:
        """Returns: the bytes that belong to a request.

        A part of an empty line is kept until the next bytes.
        """
        data = self._line_part + data
        rest = skip_empty_lines(data)
        part = not rest and data.endswith(_EMPTY_LINE[:1])
        self._line_part = _EMPTY_LINE[:1] if part else b""
        return rest

    def _continue(self) -> None:
        """Ask for the body, if the caller waits for that."""
        if self._connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self._sock.sendall(self._connection.send(continue_response))

    def _receive(self) -> bytes:
        data = self._sock.recv(_READ_BYTES)
        self._received_under = self._limits()
        self._arrived_at = arrival_times.last_arrival(self._sock)
        return data


def skip_empty_lines(data: bytes) -> bytes:
    """Returns: the bytes behind the empty lines that data begins with.

    A part of an empty line counts as one if nothing follows it.
    """
    start = 0
    while data.startswith(_EMPTY_LINE, start):
        start += len(_EMPTY_LINE)
    rest = data[start:]
    return b"" if _EMPTY_LINE.startswith(rest) else rest


def _check_size(head_bytes: int, limits: traffic.CallerLimits) -> None:
    if head_bytes > limits.header_bytes:
        raise Refused(431, "request head is too large")


def _check_framing(head: h11.Request) -> None:
    """Refuse framing that different parsers may interpret differently."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names:
        if b"content-length" in names:
            raise Refused(400, "both Transfer-Encoding and Content-Length")
        if head.http_version < b"1.1":
            raise Refused(400, "Transfer-Encoding before HTTP/1.1")
    if names.count(b"host") != 1:
        raise Refused(400, "Host header is missing or repeated")


def make_request_reader(
    sock: socket.socket, limits: Callable[[], traffic.CallerLimits]
) -> RequestReader:
    return RequestReader(sock, limits)
