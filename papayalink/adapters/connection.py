"""HTTP exchanges with outside systems, with explicit outcomes."""

from http import client as http_client
import re

from gevent import socket
from geventhttpclient import response as responses
import msgspec

from papayalink.adapters import errors

# Idle connections kept for each outside system. An agent runs only a few
# short calls at a time; more would only hold file descriptors.
MAX_IDLE = 4

# Cache pieces are over 100 kB; the HTTP client's default of 4 kB would read
# each of them with more than 30 system calls.
BLOCK_BYTES = 64 * 1024

FAILURES = (OSError, http_client.HTTPException)

_HEADER_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_TARGET = re.compile(r"/[\x21-\x7e]*")

Headers = list[tuple[str, str]]


class Reply(msgspec.Struct, frozen=True):
    """A whole reply."""

    status: int
    headers: Headers
    body: bytes


class Exchange:
    """One request on a connection of its own, and its reply.

    close() may be called from any greenlet at any time; a greenlet that waits
    in another method then gets one of FAILURES.

    Args:
        sock: connected socket; this object owns it.
        request: request line, headers and body.
        method: method of the request.
    """

    __slots__ = ("_sock", "_method", "_response")

    def __init__(
        self, sock: socket.socket, request: bytes, method: str
    ) -> None:
        self._sock = sock
        self._method = method
        self._response = None
        try:
            sock.sendall(request)
        except BaseException:
            self.close()
            raise

    def wait(self) -> None:
        """Wait until the reply's status and headers have arrived."""
        if self._response is None:
            self._response = responses.HTTPSocketResponse(
                self._sock, block_size=BLOCK_BYTES, method=self._method
            )

    @property
    def status(self) -> int:
        """HTTP status of the reply."""
        return self._response.status_code

    @property
    def headers(self) -> Headers:
        """Headers of the reply."""
        return [(name, str(value)) for name, value in self._response.items()]

    def reply(self) -> "Reply":
        """Returns: the whole reply; raises when it was cut."""
        self.wait()
        return Reply(self.status, self.headers, self.read())

    def readline(self, separator: bytes) -> bytes:
        """Returns: the body up to the separator, empty at its end."""
        return bytes(self._response.readline(separator))

    def read(self, length: int | None = None) -> bytes:
        """Read the body; raises when it was cut.

        Args:
            length: most bytes to read, all that remain when None.
        """
        return bytes(self._response.read(length))

    def close(self) -> None:
        """Close the connection at once."""
        self._sock.close()

    def detach(self) -> socket.socket | None:
        """Returns: the socket if it can carry another request."""
        if self._response.message_complete:
            if not self._response.should_close():
                return self._sock
        self.close()
        return None


class Connector:
    """Makes exchanges with one outside system.

    Args:
        address: HOST:PORT with a numeric IPv4 or bracketed IPv6 host.
        connect_timeout_s: time allowed for connecting.
    """

    __slots__ = ("address", "_host", "_port", "_connect_timeout_s", "_idle")

    def __init__(self, address: str, connect_timeout_s: float) -> None:
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._connect_timeout_s = connect_timeout_s
        self._idle = []

    def open(
        self,
        method: str,
        target: str,
        timeout_s: float,
        headers: Headers = (),
        body: bytes = b"",
    ) -> Exchange:
        """Send a request on a fresh connection; never sends it twice.

        Args:
            method: HTTP method.
            target: path and query.
            timeout_s: longest silence while sending or receiving.
            headers: further headers.
            body: body of the request.

        Returns: the exchange; its reply has yet to be waited for.

        Raises: InvalidRequest and Unreachable when nothing was sent,
            Interrupted when the connection failed later.
        """
        head = self._head(method, target, headers, body, "close")
        sock = self._connect(timeout_s)
        try:
            return Exchange(sock, head, method)
        except FAILURES as error:
            raise errors.Interrupted(_reason(error)) from error

    def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        headers: Headers = (),
        body: bytes = b"",
    ) -> Reply:
        """Make one whole call on a fresh connection.

        Takes and raises the same as open().
        """
        exchange = self.open(method, target, timeout_s, headers, body)
        try:
            return exchange.reply()
        except FAILURES as error:
            raise errors.Interrupted(_reason(error)) from error
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
        """Make one whole GET or PUT call, on a kept connection if any.

        A server may close a kept connection at any time, so a call that
        fails on one is sent again on a fresh connection. Only idempotent
        calls may use this.

        Takes and raises the same as open().
        """
        head = self._head(method, target, headers, body, "keep-alive")
        while self._idle:
            sock = self._idle.pop()
            try:
                sock.settimeout(timeout_s)
                return self._finish(Exchange(sock, head, method))
            except TimeoutError as error:
                raise errors.Interrupted(_reason(error)) from error
            except FAILURES:
                continue
        sock = self._connect(timeout_s)
        try:
            return self._finish(Exchange(sock, head, method))
        except FAILURES as error:
            raise errors.Interrupted(_reason(error)) from error

    def reachable(self) -> bool:
        """Returns: whether a connection can be made; sends nothing."""
        try:
            self._connect(self._connect_timeout_s).close()
        except errors.Unreachable:
            return False
        return True

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _finish(self, exchange):
        try:
            reply = exchange.reply()
        except BaseException:
            exchange.close()
            raise
        sock = exchange.detach()
        if sock is not None:
            if len(self._idle) < MAX_IDLE:
                self._idle.append(sock)
            else:
                sock.close()
        return reply

    def _connect(self, timeout_s):
        # create_connection() starts a resolver thread and doubles the cost of
        # a connection; addresses are always numeric.
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.settimeout(self._connect_timeout_s)
            sock.connect((self._host, self._port))
        except OSError as error:
            sock.close()
            raise errors.Unreachable(_reason(error)) from error
        except BaseException:
            sock.close()
            raise
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(timeout_s)
        return sock

    def _head(self, method, target, headers, body, connection):
        if not _HEADER_NAME.fullmatch(method) or not _TARGET.fullmatch(target):
            raise errors.InvalidRequest(f"{method!r} {target!r}")
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self.address}",
            f"Connection: {connection}",
        ]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        for name, value in headers:
            # A line break in a value would add headers or a second request.
            if not _HEADER_NAME.fullmatch(name):
                raise errors.InvalidRequest(f"header name {name!r}")
            if not _HEADER_VALUE.fullmatch(value):
                raise errors.InvalidRequest(f"value of header {name}")
            lines.append(f"{name}: {value}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def _reason(error):
    return f"{type(error).__name__}: {error}"
