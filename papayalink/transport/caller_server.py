"""Strict HTTP/1.1 server for calls of any content, based on h11."""

from collections.abc import Callable
from collections.abc import Collection
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
from papayalink.state import traffic
from papayalink.transport import caller_watch
from papayalink.transport import errors
from papayalink.transport import lingering
from papayalink.transport import request_reader
from papayalink.transport import request_wait
from papayalink.transport import responders

# Length of the accept queue: twice the number of connections that arrive
# within a second at one entry of a deployment of the design size.
ACCEPT_BACKLOG = 512
# Time that a stopping server waits for the request of a caller that has just
# connected, or has just had an answer that could not announce the close.
_LAST_REQUEST_WAIT_S = 0.25
# Bytes in which a further request is looked for behind empty lines.
_PEEK_BYTES = 4096
_INTERNAL_SERVER_ERROR = 500
_SERVICE_UNAVAILABLE = 503
# Promises nothing: the request may have been passed on.
_BAD_GATEWAY = 502

Handler = Callable[[request_reader.Request, responders.Responder], None]


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
        "_call_log",
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
        # Responders of the tasks whose request is read and not answered.
        self._handling: dict[gevent.Greenlet, responders.Responder] = {}
        self._ended = False
        self._tasks = pool.Pool()
        self._log = logs.get_logger()
        self._call_log = logs.get_call_log()
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
        """Close each connection after its next response.

        Requests that the caller has sent before that are answered first.
        """
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
        """Interrupt handlers, after stop(), so that they answer now.

        Requests that have arrived in part are refused. A response that has
        begun could only be cut, so that it may go on meanwhile.

        Returns: whether all connections ended within the time-out.
        """
        self._ended = True
        gevent.get_hub().loop.run_callback(self._interrupt_unanswered)
        return bool(self._tasks.join(timeout_s))

    def cut_responses(self, timeout_s: float) -> bool:
        """Interrupt the handlers that are left after end_requests().

        Returns: whether all connections ended within the time-out.
        """
        gevent.get_hub().loop.run_callback(self._interrupt, self._handling)
        return bool(self._tasks.join(timeout_s))

    def _interrupt_unanswered(self) -> None:
        self._interrupt(
            {
                task: responder
                for task, responder in self._handling.items()
                if not responder.head_sent
            }
        )
        self._interrupt(self._reading)

    def _interrupt(self, tasks: Collection[gevent.Greenlet]) -> None:
        """Raise ServerStops in tasks with a request; runs in the hub."""
        for task in list(tasks):
            if task in self._handling or task in self._reading:
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
        handler = self._handler
        reader = request_reader.make_request_reader(sock, self._limits)
        while (request := self._next_request(sock, reader)) is not None:
            connection = reader.connection
            responder = responders.make_responder(
                connection, sock, lambda: self._must_close(sock, reader)
            )
            if self._ended:
                handler = self._reject
            try:
                with self._noted_as_handling(responder):
                    self._run_handler(handler, request, responder, sock)
                if _is_unanswered(connection):
                    raise errors.ResponseAborted("handler has not answered")
            except BaseException as error:
                self._note_cut(request, responder, error)
                if _ends_with_connection(connection):
                    _reset_when_closed(sock)
                raise
            if connection.our_state is not h11.DONE:
                return
            if connection.their_state is not h11.DONE:
                return
            if reader.has_received:
                # Other greenlets run, even if the caller keeps sending
                # requests that are answered at once.
                gevent.sleep(0)
            if self._waits.stopping:
                handler = self._reject

    def _note_cut(
        self,
        request: request_reader.Request,
        responder: responders.Responder,
        error: BaseException,
    ) -> None:
        """Log that a connection ends while its request is handled."""
        fields = {
            "call": responder.call_id,
            "target": request.target,
            "head_sent": responder.head_sent,
            "reason": repr(error),
        }
        if isinstance(error, errors.CallerGone):
            self._call_log.failed("caller_left", **fields)
        else:
            self._log.warning("call_cut", **fields)

    @contextlib.contextmanager
    def _noted_as_handling(
        self, responder: responders.Responder
    ) -> Iterator[None]:
        """Note that the current task handles a request."""
        task = gevent.getcurrent()
        self._handling[task] = responder
        try:
            yield
        finally:
            self._handling.pop(task, None)

    def _must_close(
        self, sock: socket.socket, reader: request_reader.RequestReader
    ) -> bool:
        """Returns: whether the connection closes after the response.

        Not before a request has been answered that the caller has sent
        already.
        """
        return self._close_announced and not (
            reader.has_received or _has_sent_more(sock)
        )

    def _next_request(
        self, sock: socket.socket, reader: request_reader.RequestReader
    ) -> request_reader.Request | None:
        """Returns: the next request, None if there is none to be handled.

        One that can't be read has been refused.
        """
        begun = reader.has_received
        idle_since = time.monotonic()
        try:
            while begun := begun or self._wait_for_request(sock, idle_since):
                with _noted_in(self._reading):
                    request = reader.read()
                if not reader.only_empty_lines:
                    return request
                begun = False
        except request_reader.Refused as refused:
            self._refuse(sock, refused)
        except errors.ServerStops:
            self._refuse(sock, _make_stop_refusal())
        except OSError:
            raise
        except Exception:
            self._log.exception("request_not_read")
            if begun or readiness.has_unread_bytes(sock):
                self._refuse(
                    sock,
                    request_reader.Refused(
                        _INTERNAL_SERVER_ERROR, "reading failed"
                    ),
                )
        return None

    def _wait_for_request(
        self, sock: socket.socket, idle_since: float
    ) -> bool:
        """Wait for as long as the limits allow that are in force at the end.

        Args:
            idle_since: monotonic seconds.
        Returns: whether there is something to read.
        """
        idle_s = time.monotonic() - idle_since
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
        request: request_reader.Request,
        responder: responders.Responder,
        sock: socket.socket,
    ) -> None:
        watch = caller_watch.CallerWatch(
            sock, request.protocol, True, lambda: responder.writes
        )
        with watch:
            try:
                self._handle_or_reject(handler, request, responder)
            except errors.ResponseAborted:
                raise
            except Exception as error:
                self._log.exception("call_failed", target=request.target)
                lost = isinstance(error, errors.TransportError)
                responder.respond_after_failure(
                    _BAD_GATEWAY if lost else _INTERNAL_SERVER_ERROR
                )

    def _handle_or_reject(
        self,
        handler: Handler,
        request: request_reader.Request,
        responder: responders.Responder,
    ) -> None:
        """Run a handler, and reject the request if that is interrupted."""
        try:
            handler(request, responder)
        except errors.ServerStops:
            if responder.head_sent:
                raise errors.ResponseAborted("server ends") from None
            self._reject(request, responder)

    def _refuse(
        self, sock: socket.socket, refused: request_reader.Refused
    ) -> None:
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


def _make_stop_refusal() -> request_reader.Refused:
    """Returns: refusal of a request that was not read; others take it now."""
    return request_reader.Refused(
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


def _has_sent_more(sock: socket.socket) -> bool:
    """Returns: whether there are bytes of a request to read."""
    try:
        return readiness.has_unread_bytes(sock) and bool(
            request_reader.skip_empty_lines(
                sock.recv(_PEEK_BYTES, socket.MSG_PEEK)
            )
        )
    except OSError:
        return False


def _is_unanswered(connection: h11.Connection) -> bool:
    """Returns: whether the response hasn't begun, or isn't complete."""
    return connection.our_state in (h11.SEND_RESPONSE, h11.SEND_BODY)


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


def make_caller_server(
    address: tuple[str, int],
    handler: Handler,
    reject: Handler,
    limits: Callable[[], traffic.CallerLimits],
) -> CallerServer:
    """Returns: a server that has not been started."""
    return CallerServer(address, handler, reject, limits)
