"""Strict HTTP/1.1 server for calls of any content, based on h11."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import struct
import time

import gevent
from gevent import pool
from gevent import server
from gevent import socket
import h11

from papayalink import logs
from papayalink import readiness
from papayalink.protocol import calls
from papayalink.state import traffic
from papayalink.transport import arrival_times
from papayalink.transport import caller_watch
from papayalink.transport import errors
from papayalink.transport import lingering
from papayalink.transport import request_wait
from papayalink.transport import responders

# Length of the accept queue: twice the number of connections that arrive
# within a second at one entry of a deployment of the design size.
ACCEPT_BACKLOG = 512
_READ_BYTES = 65_536
# Time that a stopping server waits for the request of a caller that has just
# connected, or has just had an answer that could not announce the close.
_LAST_REQUEST_WAIT_S = 0.25
_INTERNAL_SERVER_ERROR = 500
_SERVICE_UNAVAILABLE = 503
# Promises nothing: the request may have been passed on.
_BAD_GATEWAY = 502


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


Handler = Callable[[Request, responders.Responder], None]


class _Refused(errors.TransportError):
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


class CallerServer:
    """Serves each connection in a greenlet, one complete request at a time.

    Args:
        address: (IP, port) to listen on; port 0 chooses a free port.
        handler: answers a request. It is interrupted by CallerGone when the
            caller hangs up, and by ServerStops when the server ends, which it
            passes on only if the request was not run. When it raises any
            other error, the caller is answered if nothing has been sent, and
            the connection is closed.
        reject: answers a request that comes after the server has begun to
            stop, from a caller that could not know, and one whose handler
            ServerStops has interrupted. It must not be run: it might not end
            before the process does.
        limits: returns the limits; called again for each request.
    """

    __slots__ = (
        "_handler",
        "_reject",
        "_limits",
        "_server",
        "_close_announced",
        "_waits",
        "_reading",
        "_handling",
        "_ended",
        "_tasks",
        "_log",
    )

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        reject: Handler,
        limits: Callable[[], traffic.CallerLimits],
    ) -> None:
        self._handler = handler
        self._reject = reject
        self._limits = limits
        self._close_announced = False
        self._waits = request_wait.make_request_waits(_LAST_REQUEST_WAIT_S)
        # Tasks whose request has arrived in part.
        self._reading: set[gevent.Greenlet] = set()
        # Tasks whose request has been read and not answered.
        self._handling: set[gevent.Greenlet] = set()
        self._ended = False
        self._tasks = pool.Pool()
        self._log = logs.get_logger()
        self._server = server.StreamServer(
            address, self._serve, backlog=ACCEPT_BACKLOG, spawn=self._tasks
        )

    @property
    def address(self) -> tuple[str, int]:
        return self._server.address

    @property
    def in_flight(self) -> int:
        return len(self._handling)

    @property
    def connections(self) -> int:
        return len(self._tasks)

    def start(self) -> None:
        self._server.start()

    def close_after_responses(self) -> None:
        """Close each connection after its next response."""
        self._close_announced = True

    def stop(self, timeout_s: float) -> bool:
        """Stop accepting connections and wait for all to end.

        Connections in the accept queue are served one request each, and so
        are idle connections on which a request has arrived. Other idle
        connections are closed, so their callers see that no further request
        was read. A request behind an answer that did not announce the close
        is rejected.

        Returns: whether all connections ended within the time-out.
        """
        self._close_announced = True
        if not self._server.closed:
            self._server.stop_accepting()
            request_wait.accept_all(self._server)
            self._server.close()
            self._log.info(
                "idle_connections_closed",
                idle=len(self._waits),
                connections=len(self._tasks),
                in_flight=self.in_flight,
            )
            self._waits.stop(timeout_s)
        return bool(self._tasks.join(timeout_s))

    def end_requests(self, timeout_s: float) -> bool:
        """Interrupt all handlers, after stop(), so that they answer now.

        Requests that have arrived in part are refused.

        Returns: whether all connections ended within the time-out.
        """
        self._ended = True
        gevent.get_hub().loop.run_callback(self._interrupt_tasks)
        return bool(self._tasks.join(timeout_s))

    def _interrupt_tasks(self) -> None:
        """Raise ServerStops in each task with a request; runs in the hub."""
        for tasks in (self._handling, self._reading):
            for task in list(tasks):
                if task in tasks:
                    task.throw(errors.ServerStops("server ends"))

    def _serve(self, sock: socket.socket, address: tuple) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with contextlib.closing(sock):
                self._serve_requests(sock)
                if readiness.has_unread_bytes(sock):
                    lingering.linger(sock)
        except (
            errors.TransportError,
            errors.CallerGone,
            errors.ServerStops,
            OSError,
        ) as error:
            self._log.debug("caller_connection_ended", reason=error)

    def _serve_requests(self, sock: socket.socket) -> None:
        limits = self._limits()
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        handler = self._handler
        receiver = _Receiver(sock)
        while connection.trailing_data[0] or self._wait_for_request(sock):
            responder = responders.make_responder(
                connection, sock, lambda: self._close_announced
            )
            try:
                with _noted_in(self._reading):
                    request = self._read_request(connection, sock, receiver)
            except _Refused as refused:
                self._refuse(sock, refused)
                return
            except errors.ServerStops:
                self._refuse(sock, _make_stop_refusal())
                return
            if request is None:
                return
            if self._ended:
                handler = self._reject
            try:
                with _noted_in(self._handling):
                    self._run_handler(handler, request, responder, sock)
            except BaseException:
                if _ends_with_connection(connection):
                    _reset_when_closed(sock)
                raise
            if self._waits.stopping:
                handler = self._reject
            if connection.our_state is not h11.DONE:
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    def _wait_for_request(self, sock: socket.socket) -> bool:
        """Wait for as long as the limits allow that are in force at the end.

        Returns: whether there is something to read.
        """
        idle_since = time.monotonic()
        idle_s = 0.0
        while idle_s < (limit_s := self._limits().idle_timeout_s):
            if self._waits.wait(sock, limit_s - idle_s):
                return True
            if self._waits.stopping:
                return False
            idle_s = time.monotonic() - idle_since
        return False

    def _run_handler(
        self,
        handler: Handler,
        request: Request,
        responder: responders.Responder,
        sock: socket.socket,
    ) -> None:
        watch = caller_watch.CallerWatch(
            sock, request.protocol, True, lambda: responder.writes
        )
        with watch:
            try:
                handler(request, responder)
            except errors.ServerStops:
                if responder.head_sent:
                    raise errors.ResponseAborted("server ends") from None
                self._reject(request, responder)
            except errors.ResponseAborted:
                raise
            except gevent.GreenletExit:
                self._log.warning(
                    "call_cut",
                    target=request.target,
                    head_sent=responder.head_sent,
                )
                raise
            except Exception as error:
                self._log.exception("call_failed", target=request.target)
                lost = isinstance(error, errors.TransportError)
                responder.respond_after_failure(
                    _BAD_GATEWAY if lost else _INTERNAL_SERVER_ERROR
                )

    def _read_request(
        self,
        connection: h11.Connection,
        sock: socket.socket,
        receiver: "_Receiver",
    ) -> Request | None:
        """Returns: the next request, None when the caller sends no more."""
        limits = self._limits()
        head: h11.Request | None = None
        head_deadline = float("inf")
        body: list[bytes] = []
        body_size = 0
        arrived_at = receiver.arrived_at
        begun = bool(connection.trailing_data[0])
        sock.settimeout(limits.idle_timeout_s)
        while True:
            try:
                h11_event = connection.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise _Refused(status, str(error)) from error
            if h11_event is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    sock.sendall(connection.send(continue_response))
                try:
                    data = receiver.receive()
                except TimeoutError:
                    if head is None and not connection.trailing_data[0]:
                        return None
                    raise _Refused(
                        408, "time-out before the request was complete"
                    ) from None
                if not begun:
                    begun = True
                    arrived_at = receiver.arrived_at
                now = time.monotonic()
                if head is None:
                    # Single bytes must not extend the time for the head.
                    head_deadline = min(
                        head_deadline, now + limits.header_timeout_s
                    )
                    if now >= head_deadline:
                        raise _Refused(408, "head is not complete in time")
                if data:
                    sock.settimeout(limits.header_timeout_s)
                connection.receive_data(data)
                continue
            match h11_event:
                case h11.Request():
                    head = h11_event
                    _check_framing(head)
                case h11.Data(data):
                    body_size += len(data)
                    if body_size > limits.body_bytes:
                        raise _Refused(413, "request body is too large")
                    body.append(bytes(data))
                case h11.EndOfMessage():
                    sock.settimeout(None)
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

    def _refuse(self, sock: socket.socket, refused: _Refused) -> None:
        """Answer an unreadable request, then shut down the connection.

        The start of the next request cannot be found after a framing error.
        """
        self._log.info(
            "request_not_readable", status=refused.status, reason=refused
        )
        with contextlib.suppress(OSError):
            sock.sendall(
                responders.encode_last_response(
                    refused.status, refused.headers
                )
            )
        lingering.linger(sock)


class _Receiver:
    """Receives the bytes of one connection.

    Attributes:
        arrived_at: monotonic seconds at which the last bytes arrived.
    """

    __slots__ = ("arrived_at", "_sock")

    def __init__(self, sock: socket.socket) -> None:
        self.arrived_at = time.monotonic()
        self._sock = sock

    def receive(self) -> bytes:
        data = self._sock.recv(_READ_BYTES)
        self.arrived_at = arrival_times.last_arrival(self._sock)
        return data


def _make_stop_refusal() -> _Refused:
    """Returns: refusal of a request that was not read; others take it now."""
    return _Refused(
        _SERVICE_UNAVAILABLE,
        "server ends before the request was complete",
        [(b"Retry-After", b"0")],
    )


@contextlib.contextmanager
def _noted_in(tasks: set[gevent.Greenlet]) -> Iterator[None]:
    """Keep the current task in a set."""
    task = gevent.getcurrent()
    tasks.add(task)
    try:
        yield
    finally:
        tasks.discard(task)


def _ends_with_connection(connection: h11.Connection) -> bool:
    """Returns: whether a begun response would end by a regular close."""
    return (
        connection.our_state is h11.SEND_BODY
        and connection.their_http_version < b"1.1"
    )


def _reset_when_closed(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _check_framing(head: h11.Request) -> None:
    """Refuse framing that different parsers may interpret differently."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names:
        if b"content-length" in names:
            raise _Refused(400, "both Transfer-Encoding and Content-Length")
        if head.http_version < b"1.1":
            raise _Refused(400, "Transfer-Encoding before HTTP/1.1")
    if names.count(b"host") != 1:
        raise _Refused(400, "Host header is missing or repeated")


def make_caller_server(
    address: tuple[str, int],
    handler: Handler,
    reject: Handler,
    limits: Callable[[], traffic.CallerLimits],
) -> CallerServer:
    """Returns: a server that has not been started."""
    return CallerServer(address, handler, reject, limits)
