"""Strict HTTP/1.1 server for opaque calls, over h11."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import gevent
from gevent import event
from gevent import select as gevent_select
from gevent import server
from gevent import socket
import h11

from papayalink import logs
from papayalink.protocol import calls
from papayalink.state import traffic
from papayalink.transport import caller_watch
from papayalink.transport import errors

# Connections that wait to be accepted. A second of arrivals at the design
# size of one entry, twice over.
BACKLOG = 512
_READ_BYTES = 65_536
# Time in which a caller that has just connected sends its request.
_FIRST_READ_S = 0.05
_SERVER_ERROR = 500


class Request:
    """A whole request of a caller."""

    __slots__ = ("method", "target", "headers", "body")

    def __init__(
        self, method: bytes, target: bytes, headers: calls.Headers, body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class Responder:
    """Writes the response to one request.

    Raises CallerGone of each method when the caller cannot be written to.
    """

    __slots__ = ("_connection", "_sock", "_closing", "_begun")

    def __init__(
        self,
        connection: h11.Connection,
        sock: socket.socket,
        closing: Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._sock = sock
        self._closing = closing
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether the head of the response was sent."""
        return self._begun

    def begin(self, status: int, headers: calls.Headers) -> None:
        """Send the head; without Content-Length the body is in chunks."""
        if self._closing():
            headers = [*headers, (b"Connection", b"close")]
        self._begun = True
        self._send(h11.Response(status_code=status, headers=headers))

    def write(self, data: bytes) -> None:
        self._send(h11.Data(data=data))

    def end(self) -> None:
        self._send(h11.EndOfMessage())

    def respond(
        self, status: int, headers: calls.Headers, body: bytes = b""
    ) -> None:
        """Send a whole response in one write."""
        length = (b"Content-Length", str(len(body)).encode())
        if self._closing():
            headers = [*headers, (b"Connection", b"close")]
        self._begun = True
        head = h11.Response(status_code=status, headers=[*headers, length])
        parts = [self._connection.send(head)]
        if body:
            parts.append(self._connection.send(h11.Data(data=body)))
        parts.append(self._connection.send(h11.EndOfMessage()))
        self._write(b"".join(parts))

    def _send(self, part: h11.Event) -> None:
        data = self._connection.send(part)
        if data:
            self._write(data)

    def _write(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as error:
            # Not an error of the upstream whose answer is passed on.
            raise errors.CallerGone(str(error)) from error


Handler = Callable[[Request, Responder], None]


class _Refused(errors.TransportError):
    """The request cannot be read; answered with a status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class CallerServer:
    """Reads whole requests and hands each to a greenlet of its connection.

    Args:
        address: (IP, port); port 0 chooses a free one.
        handler: answers a request. It is interrupted by CallerGone when the
            caller hangs up, and by its own errors ends the connection.
        limits: asked for before each request.
    """

    __slots__ = (
        "_handler",
        "_limits",
        "_server",
        "_stopping",
        "_leaving",
        "_waiting",
        "_in_flight",
        "_idle",
        "_connections",
        "_log",
    )

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        limits: Callable[[], traffic.CallerLimits],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._stopping = False
        self._leaving = False
        # Tasks of connections between two requests.
        self._waiting: set[gevent.Greenlet] = set()
        self._in_flight = 0
        self._connections = 0
        self._idle = event.Event()
        self._idle.set()
        self._log = logs.get_logger()
        self._server = server.StreamServer(
            address, self._serve, backlog=BACKLOG
        )

    @property
    def address(self) -> tuple[str, int]:
        return self._server.address

    @property
    def in_flight(self) -> int:
        return self._in_flight

    @property
    def connections(self) -> int:
        return self._connections

    def start(self) -> None:
        self._server.start()

    def close_connections(self) -> None:
        """End each connection with its next response."""
        self._stopping = True

    def stop(self, timeout_s: float) -> bool:
        """Take no more requests, and wait for those that were read.

        Connections in the accept queue are served once, idle ones closed:
        their callers see that nothing of a next request was read.

        Returns: whether all requests were answered.
        """
        self._stopping = True
        self._leaving = True
        if self._server.closed:
            return bool(self._idle.wait(timeout_s))
        self._server.stop_accepting()
        while (accepted := self._server.do_read()) is not None:
            self._server.do_handle(*accepted)
        self._server.close()
        for task in list(self._waiting):
            task.kill(block=False)
        # Connections that were just accepted have yet to be read.
        gevent.sleep(_FIRST_READ_S)
        return bool(self._idle.wait(timeout_s))

    def _serve(self, sock: socket.socket, address: tuple) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections += 1
        try:
            with contextlib.closing(sock):
                self._serve_requests(sock)
        except (errors.TransportError, errors.CallerGone, OSError) as error:
            self._log.debug("caller_connection_ended", reason=error)
        finally:
            self._connections -= 1

    def _serve_requests(self, sock: socket.socket) -> None:
        limits = self._limits()
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        while True:
            responder = Responder(connection, sock, lambda: self._stopping)
            try:
                request = self._read(connection, sock)
            except _Refused as refused:
                self._refuse(sock, refused)
                return
            if request is None:
                return
            with self._counted():
                self._answer(request, responder, sock)
            if connection.our_state is not h11.DONE:
                return
            if connection.their_state is not h11.DONE or self._leaving:
                return
            connection.start_next_cycle()
            if not connection.trailing_data[0]:
                self._wait_readable(sock)

    def _wait_readable(self, sock: socket.socket) -> None:
        """Wait for a next request; the server may end the wait."""
        task = gevent.getcurrent()
        self._waiting.add(task)
        try:
            timeout_s = self._limits().idle_timeout_s
            gevent_select.select([sock], [], [], timeout_s)
        finally:
            self._waiting.discard(task)

    @contextlib.contextmanager
    def _counted(self) -> Iterator[None]:
        self._in_flight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    def _answer(
        self, request: Request, responder: Responder, sock: socket.socket
    ) -> None:
        watch = caller_watch.CallerWatch(sock, "HTTP/1.1", False)
        with watch:
            try:
                self._handler(request, responder)
            except errors.TransportError:
                raise
            except Exception:
                self._log.exception("call_failed", target=request.target)
                if responder.begun:
                    raise errors.ResponseAborted("handler failed") from None
                responder.respond(_SERVER_ERROR, [])

    def _read(
        self, connection: h11.Connection, sock: socket.socket
    ) -> Request | None:
        """Returns: the next request, None when the caller has no more."""
        limits = self._limits()
        head: h11.Request | None = None
        body: list[bytes] = []
        size = 0
        sock.settimeout(limits.idle_timeout_s)
        while True:
            try:
                part = connection.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise _Refused(status, str(error)) from error
            if part is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    sock.sendall(connection.send(go_on))
                try:
                    data = sock.recv(_READ_BYTES)
                except TimeoutError:
                    if head is None and not connection.trailing_data[0]:
                        return None
                    raise _Refused(408, "request not complete") from None
                if data:
                    sock.settimeout(limits.header_timeout_s)
                connection.receive_data(data)
                continue
            match part:
                case h11.Request():
                    head = part
                    _check_framing(head)
                case h11.Data(data):
                    size += len(data)
                    if size > limits.body_bytes:
                        raise _Refused(413, "body too large")
                    body.append(bytes(data))
                case h11.EndOfMessage():
                    sock.settimeout(None)
                    return Request(
                        head.method,
                        head.target,
                        head.headers.raw_items(),
                        b"".join(body),
                    )
                case _:
                    return None

    def _refuse(self, sock: socket.socket, refused: _Refused) -> None:
        """Answer what cannot be read; framing is lost, so close after."""
        self._log.info(
            "request_not_readable", status=refused.status, reason=refused
        )
        text = b"HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n" % refused.status
        with contextlib.suppress(OSError):
            sock.sendall(text + b"Connection: close\r\n\r\n")
            sock.shutdown(socket.SHUT_WR)
            # Unread bytes would turn the close into a reset, which may
            # discard the answer at the caller.
            with gevent.Timeout(_LINGER_S, False):
                while sock.recv(_READ_BYTES):
                    pass


_LINGER_S = 0.5


def _check_framing(head: h11.Request) -> None:
    """Refuse framings that two readers may take differently."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names:
        if b"content-length" in names:
            raise _Refused(400, "two framings")
        if head.http_version < b"1.1":
            raise _Refused(400, "chunks in an old version")
    if names.count(b"host") != 1:
        raise _Refused(400, "not one host")


def make_caller_server(
    address: tuple[str, int],
    handler: Handler,
    limits: Callable[[], traffic.CallerLimits],
) -> CallerServer:
    """Returns: a server that is not yet started."""
    return CallerServer(address, handler, limits)
