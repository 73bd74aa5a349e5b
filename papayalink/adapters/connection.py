"""HTTP calls to outside systems; errors tell whether data was sent."""

from http import client as http_client
import re
import time

from gevent import socket
import msgspec

from papayalink import readiness
from papayalink.adapters import errors
from papayalink.adapters import reply_budget
from papayalink.adapters import reply_parser
from papayalink.transport import request_delivery

# Idle connections kept for each outside system. An agent makes only a few
# short calls at a time; more connections would only hold file descriptors.
MAX_IDLE_CONNECTIONS = 4

# Cache pieces are larger than 100 kB; with the HTTP client's default of 4 kB,
# reading one would take more than 30 system calls.
READ_BLOCK_BYTES = 64 * 1024

# Largest reply that is read whole, with its head, unless the caller allows
# less. The list of a store's parts is the largest one, with about 100 bytes
# for each of 60,000 parts.
MAX_REPLY_BYTES = 32 * 1024 * 1024
# Bytes that all replies which are read whole may hold together, and what each
# may hold in any case. Many peers may send without end at once.
MAX_HELD_BYTES = 48 * 1024 * 1024
OWN_HELD_BYTES = 256 * 1024
# Largest head, and largest event of a stream.
MAX_PIECE_BYTES = 1024 * 1024
# A reply that is read whole ends within this many times the time allowed
# without progress, so that single bytes do not keep it alive.
MAX_TIMEOUTS = 4


class ReplyTooLong(OSError):
    """The reply has more bytes, or takes longer, than any sound one."""


FAILURES = (OSError, http_client.HTTPException)

_budget = reply_budget.make_reply_budget(MAX_HELD_BYTES, OWN_HELD_BYTES)

_HEADER_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_PORT = re.compile(r"[0-9]{1,5}")
_TARGET = re.compile(r"/[\x21-\x7e]*")

Headers = list[tuple[str, str]]


class _LimitedSocket:
    """Socket of a reply, with limits on bytes and time.

    The HTTP library reads until a message or a line is complete, however long
    that takes.
    """

    __slots__ = ("_sock", "_left_bytes", "_deadline", "_ended", "_held")

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._ended = False
        self._left_bytes = MAX_PIECE_BYTES
        self._deadline: float | None = None
        self._held: reply_budget.HeldReply | None = None

    @property
    def ended(self) -> bool:
        """Whether the peer has ended its sending side."""
        return self._ended

    def allow(self, size_bytes: int, timeout_s: float | None) -> None:
        """Set the limits of what is read next."""
        self._left_bytes = size_bytes
        self._deadline = (
            None if timeout_s is None else time.monotonic() + timeout_s
        )

    def hold(self, held: reply_budget.HeldReply | None) -> None:
        """Count what is read next for this reply."""
        self._held = held

    def recv(self, size: int) -> bytes:
        if self._deadline is not None and time.monotonic() > self._deadline:
            raise ReplyTooLong("reply takes too long")
        data = self._sock.recv(size)
        self._ended = not data
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            raise ReplyTooLong("reply has too many bytes")
        if self._held is not None and not self._held.add(len(data)):
            raise ReplyTooLong("replies have too many bytes together")
        return data

    def close(self) -> None:
        self._sock.close()


class Reply(msgspec.Struct, frozen=True):
    """A complete reply."""

    status: int
    headers: Headers
    body: bytes


class Exchange:
    """One request and its reply on a connection.

    close() may be called from any greenlet at any time; a greenlet that waits
    in another method then gets one of the errors in FAILURES.

    Args:
        sock: connected socket, owned by this object.
        request: request line, headers and body.
        method: method of the request.
    """

    __slots__ = (
        "_sock",
        "_limited",
        "_method",
        "_response",
        "_request_bytes",
    )

    def __init__(
        self, sock: socket.socket, request: bytes, method: str
    ) -> None:
        self._sock = sock
        self._limited = _LimitedSocket(sock)
        self._method = method
        self._response = None
        self._request_bytes = len(request)
        try:
            sock.sendall(request)
        except BaseException:
            self.close()
            raise

    def wait_for_head(self) -> None:
        """Wait until the reply's status and headers have arrived."""
        if self._response is None:
            self._response = reply_parser.ReplyParser(
                self._limited, block_size=READ_BLOCK_BYTES, method=self._method
            )

    @property
    def status(self) -> int:
        """HTTP status of the reply."""
        return self._response.status_code

    @property
    def headers(self) -> Headers:
        """Headers of the reply."""
        return [(name, str(value)) for name, value in self._response.items()]

    def read_reply(self, max_bytes: int | None = None) -> "Reply":
        """Returns: the complete reply; raises when it is truncated.

        Args:
            max_bytes: limit of its size, MAX_REPLY_BYTES if None.
        """
        timeout_s = self._sock.gettimeout()
        whole_s = timeout_s and MAX_TIMEOUTS * timeout_s
        if self._response is None:
            self._limited.allow(MAX_PIECE_BYTES, whole_s)
            self.wait_for_head()
        self._limited.allow(max_bytes or MAX_REPLY_BYTES, whole_s)
        held = _budget.open(self.close)
        self._limited.hold(held)
        try:
            body = bytes(self._response.read())
        except BaseException:
            # The error keeps the response for as long as it is handled.
            self._response.discard_body()
            raise
        finally:
            self._limited.hold(None)
            held.close()
        self._confirm_end()
        return Reply(self.status, self.headers, body)

    def readline(self, separator: bytes) -> bytes:
        """Read up to the next separator.

        Returns: the bytes with the separator, b"" at the end of the body.
        """
        self._limited.allow(MAX_PIECE_BYTES, None)
        line = bytes(self._response.readline(separator))
        if not line:
            self._confirm_end()
        return line

    def read(self, length: int | None = None) -> bytes:
        """Read from the body; raises when it is truncated.

        Args:
            length: maximum number of bytes to read; None reads the rest.
        """
        self._limited.allow(MAX_REPLY_BYTES, None)
        data = bytes(self._response.read(length))
        if not data or length is None:
            self._confirm_end()
        return data

    def _confirm_end(self) -> None:
        """Check an end that is only that of the connection.

        Raises: OSError: the reply broke off.
        """
        if self._limited.ended:
            request_delivery.confirm_within_timeout(
                self._sock, self._request_bytes
            )

    def close(self) -> None:
        """Close the connection at once."""
        self._sock.close()

    def release(self) -> socket.socket | None:
        """Returns: the socket for reuse, or None after closing it."""
        if self._response.message_complete:
            if not self._response.should_close():
                return self._sock
        self.close()
        return None


class Connector:
    """Makes HTTP calls to one outside system.

    Args:
        address: HOST:PORT with a numeric IPv4 or bracketed IPv6 host.
        connect_timeout_s: time allowed for connecting.
    """

    __slots__ = (
        "address",
        "_host",
        "_port",
        "_connect_timeout_s",
        "_idle_sockets",
    )

    def __init__(self, address: str, connect_timeout_s: float) -> None:
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        # Refused when connecting, as an address may come from a document.
        self._port = int(port) if _PORT.fullmatch(port) else -1
        self._connect_timeout_s = connect_timeout_s
        self._idle_sockets = []

    def open(
        self,
        method: str,
        target: str,
        timeout_s: float,
        headers: Headers = (),
        body: bytes = b"",
    ) -> Exchange:
        """Send a request on a new connection; never sends it twice.

        Args:
            method: HTTP method.
            target: path and query.
            timeout_s: time allowed without progress in sending or receiving.
            headers: headers, without Host, Connection and Content-Length.
            body: body of the request.

        Returns: the exchange, from which the caller reads the reply.

        Raises: InvalidRequest or Unreachable when nothing was sent,
            Interrupted when the connection failed after that.
        """
        request = self._encode_request(method, target, headers, body, "close")
        sock = self._connect(timeout_s)
        try:
            return Exchange(sock, request, method)
        except FAILURES as error:
            raise errors.Interrupted(_describe(error)) from error

    def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        headers: Headers = (),
        body: bytes = b"",
        max_bytes: int | None = None,
    ) -> Reply:
        """Make a call on a new connection and read the complete reply.

        Takes the same arguments and raises the same errors as open().

        Args:
            max_bytes: limit of the size of the reply.
        """
        exchange = self.open(method, target, timeout_s, headers, body)
        try:
            return exchange.read_reply(max_bytes)
        except FAILURES as error:
            raise errors.Interrupted(_describe(error)) from error
        finally:
            exchange.close()

    def call_idempotent(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Headers = (),
    ) -> Reply:
        """Make a GET or PUT call, on an idle connection if there is one.

        A server may close an idle connection at any time, so a call that
        fails on one is sent again on another connection, unless it timed out.
        Only idempotent calls may use this method.

        Takes the same arguments and raises the same errors as open().
        """
        request = self._encode_request(
            method, target, headers, body, "keep-alive"
        )
        while self._idle_sockets:
            sock = self._idle_sockets.pop()
            if readiness.has_unread_bytes(sock):
                # Closed by the server, or a late second copy of a reply,
                # which must not be read as the reply to this call.
                sock.close()
                continue
            try:
                sock.settimeout(timeout_s)
                return self._read_and_keep(Exchange(sock, request, method))
            except TimeoutError as error:
                # What has made it silent may have done so to all of them.
                self.close()
                raise errors.Interrupted(_describe(error)) from error
            except FAILURES:
                continue
        sock = self._connect(timeout_s)
        try:
            return self._read_and_keep(Exchange(sock, request, method))
        except FAILURES as error:
            raise errors.Interrupted(_describe(error)) from error

    def reachable(self) -> bool:
        """Returns: whether a connection can be opened; sends nothing."""
        try:
            self._connect(self._connect_timeout_s).close()
        except errors.Unreachable:
            return False
        return True

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle_sockets:
            self._idle_sockets.pop().close()

    def _read_and_keep(self, exchange):
        try:
            reply = exchange.read_reply()
        except BaseException:
            exchange.close()
            raise
        sock = exchange.release()
        if sock is not None:
            if len(self._idle_sockets) < MAX_IDLE_CONNECTIONS:
                self._idle_sockets.append(sock)
            else:
                sock.close()
        return reply

    def _connect(self, timeout_s):
        # Addresses are always numeric. create_connection() would start a
        # resolver thread, which doubles the cost of a connection.
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.settimeout(self._connect_timeout_s)
            # A name would be looked up, in a thread and for seconds.
            socket.inet_pton(family, self._host)
            sock.connect((self._host, self._port))
        except ConnectionRefusedError as error:
            sock.close()
            raise errors.Refused(_describe(error)) from error
        except (OSError, ValueError, OverflowError) as error:
            sock.close()
            raise errors.Unreachable(_describe(error)) from error
        except BaseException:
            sock.close()
            raise
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(timeout_s)
        return sock

    def _encode_request(self, method, target, headers, body, connection):
        if not _HEADER_NAME.fullmatch(method) or not _TARGET.fullmatch(target):
            raise errors.InvalidRequest(
                f"invalid method {method!r} or target {target!r}"
            )
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self.address}",
            f"Connection: {connection}",
        ]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        for name, value in headers:
            # A line break could add headers or a second request.
            if not _HEADER_NAME.fullmatch(name):
                raise errors.InvalidRequest(f"invalid header name {name!r}")
            if not _HEADER_VALUE.fullmatch(value):
                raise errors.InvalidRequest(f"invalid value of header {name}")
            lines.append(f"{name}: {value}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def _describe(error):
    return f"{type(error).__name__}: {error}"
