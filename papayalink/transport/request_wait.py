"""Waits for the next request of a connection, until a server stops."""

import time

import gevent
from gevent import event
from gevent import server
from gevent import socket

from papayalink import logs
from papayalink import readiness

_READ_EVENT = 1
# Part of the time of a stop for which it waits for requests on their way.
_LAST_WAIT_SHARE = 0.25


class RequestWaits:
    """The connections of one server that wait for a request.

    Only the task of a connection ends its wait. It looks at the socket and
    acts on that without a switch in between, so that no request is taken and
    then dropped.

    Args:
        last_wait_s: seconds that a stopping server waits for the request of a
            caller that has just connected, or has just had an answer that did
            not announce the close.
    """

    __slots__ = ("_last_wait_s", "_looks", "_stopping")

    def __init__(self, last_wait_s: float) -> None:
        self._last_wait_s = last_wait_s
        self._stopping = False
        # Set to make the task of an idle connection look at its socket.
        self._looks: set[event.Event] = set()

    @property
    def stopping(self) -> bool:
        return self._stopping

    def __len__(self) -> int:
        return len(self._looks)

    def wait(self, sock: socket.socket, timeout_s: float | None) -> bool:
        """Wait until the caller sends, or the connection may be closed.

        Args:
            sock: the connection.
            timeout_s: longest wait, None to wait until the server stops.
        Returns: whether there is something to read.
        """
        look = event.Event()
        watcher = gevent.get_hub().loop.io(sock.fileno(), _READ_EVENT)
        watcher.start(look.set)
        self._looks.add(look)
        began_at = time.monotonic()
        try:
            look.wait(self._last_wait_s if self._stopping else timeout_s)
            waited_s = time.monotonic() - began_at
            if self._stopping and waited_s < self._last_wait_s:
                # The request may be on its way.
                if not readiness.has_unread_bytes(sock):
                    look.clear()
                    look.wait(self._last_wait_s - waited_s)
        finally:
            self._looks.discard(look)
            watcher.stop()
            watcher.close()
        return readiness.has_unread_bytes(sock)

    def stop(self, timeout_s: float = float("inf")) -> None:
        """Let each connection end that has not been sent a request.

        Args:
            timeout_s: time in which the server is to have stopped.
        """
        self._last_wait_s = min(
            self._last_wait_s, _LAST_WAIT_SHARE * timeout_s
        )
        self._stopping = True
        for look in self._looks:
            look.set()


def accept_all(listener: server.StreamServer) -> None:
    """Take the connections that wait in the accept queue of a server."""
    try:
        while (accepted := listener.do_read()) is not None:
            listener.do_handle(*accepted)
    except OSError as error:
        # Without a free descriptor the rest of the queue is closed with the
        # listener. Calls in flight must not end with it.
        logs.get_logger().warning("accept_queue_not_served", reason=error)


def make_request_waits(last_wait_s: float) -> RequestWaits:
    return RequestWaits(last_wait_s)
