"""Notices that a caller hung up while its request is worked on."""

from collections.abc import Generator
import contextlib
import select

import gevent
from gevent import socket

from papayalink.transport import errors

# The answer of the network to a probe arrives within milliseconds. A socket
# with unread bytes stays readable, so events cannot replace this check.
RECHECK_PERIOD_S = 0.1

_INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
_READ = 1
_BROKEN = select.POLLHUP | select.POLLERR | select.POLLNVAL


class CallerWatch:
    """Interrupts the greenlet inside the `with` block when its caller goes.

    The greenlet gets CallerGone. It must not write to the socket inside the
    block. Bytes of a next request do not count as an end of the connection.

    A peer that ends its side has either gone or waits for the answer on a
    half-closed connection. To tell them apart, an interim response is sent:
    the host of a closed socket resets the connection, and a live peer skips
    the response. HTTP/1.0 has no interim responses, so such a peer is not
    taken for gone.

    Args:
        sock: the caller's connection.
        protocol: "HTTP/1.1" or "HTTP/1.0".
        half_closes: whether the peer may half-close; without it the end of
            its side is the end of the connection.
    """

    __slots__ = (
        "_sock",
        "_protocol",
        "_half_closes",
        "_probed",
        "_waiter",
        "_poll",
        "_watchers",
    )

    def __init__(
        self, sock: socket.socket, protocol: str, half_closes: bool
    ) -> None:
        self._sock = sock
        self._protocol = protocol
        self._half_closes = half_closes
        self._probed = False
        self._waiter: gevent.greenlet.greenlet | None = None
        self._poll = select.poll()
        self._watchers: list = []

    def __enter__(self) -> "CallerWatch":
        self._waiter = gevent.getcurrent()
        number = self._sock.fileno()
        self._poll.register(number, select.POLLRDHUP)
        reader = gevent.get_hub().loop.io(number, _READ)
        self._watchers.append(reader)
        reader.start(self._readable)
        return self

    def __exit__(self, *error: object) -> None:
        self._stop()

    def _stop(self) -> None:
        for watcher in self._watchers:
            watcher.stop()
            watcher.close()
        self._watchers.clear()

    def _readable(self) -> None:
        self._stop()
        loop = gevent.get_hub().loop
        timer = loop.timer(RECHECK_PERIOD_S, RECHECK_PERIOD_S)
        self._watchers.append(timer)
        timer.start(self._check)
        self._check()

    def _check(self) -> None:
        """Look at the connection; runs in the hub and must not block."""
        events = 0
        for _, events in self._poll.poll(0):
            pass
        ended = events & select.POLLRDHUP
        if events & _BROKEN or ended and not self._half_closes:
            self._interrupt()
        elif ended and not self._probed:
            self._probe()

    def _probe(self) -> None:
        self._probed = True
        if self._protocol != "HTTP/1.1":
            self._stop()
            return
        try:
            sent = self._sock.send(_INTERIM, socket.MSG_DONTWAIT)
        except OSError:
            sent = 0
        if sent != len(_INTERIM):
            # The peer has stopped reading as well, or got a part of it and
            # could not read an answer any more.
            self._interrupt()

    def _interrupt(self) -> None:
        self._stop()
        self._waiter.throw(errors.CallerGone("caller hung up"))


def until_first_part(
    watch: CallerWatch, parts: Generator[bytes, None, None]
) -> Generator[bytes, None, None]:
    """Watch while the first part of an answer is waited for.

    From then on, a caller that hung up is noticed at the next write.
    """
    with contextlib.closing(parts):
        with watch:
            first = next(parts, b"")
        yield first
        yield from parts
