"""Detection of callers that hang up while their request is handled."""

from collections.abc import Callable
from collections.abc import Generator
import contextlib
import select
import time

import gevent
from gevent import socket

from papayalink.transport import errors

# Period of the checks once the socket is readable. A reset in response to a
# probe arrives within milliseconds. A socket with unread bytes stays readable,
# so readiness events cannot replace the checks.
RECHECK_PERIOD_S = 0.1
# Probes of a half-closed connection: the wait after the first one, doubled
# with each, and how many there are. Some clients take five interim responses.
FIRST_PROBE_WAIT_S = 0.4
MAX_PROBES = 4
# Time without output after which a peer that closes its sending side within
# an answer counts as gone. A sound upstream may be silent for about a second.
QUIET_S = 2.0

# Clients may discard a 100 that they did not ask for, and all do. Some take
# other interim responses for the answer.
_INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_READ_EVENT = 1
_BROKEN_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL


class CallerWatch:
    """Interrupts the greenlet in the `with` block when its caller hangs up.

    CallerGone is raised in the greenlet. Bytes of a pipelined request do not
    count as the end of the connection.

    A peer that shuts down its sending side and may half-close the connection
    has either gone or waits for the answer. To tell these cases apart, an
    interim response is sent, again after a while: the host of a closed socket
    resets the connection, and a live peer discards the response. Within an
    answer no interim response can be sent, but what the answer goes on with
    has the same effect; a peer that closes its sending side while there is
    nothing to send counts as gone. HTTP/1.0 has no interim responses, so a
    half-closed HTTP/1.0 connection does not count as closed until it is reset.

    Args:
        sock: the caller's connection.
        protocol: "HTTP/1.1" or "HTTP/1.0".
        allows_half_close: whether the peer may half-close the connection. If
            not, the end of its sending side is the end of the connection.
        written: returns the number of writes to the connection that belong to
            the answer. Without, the greenlet must not write to the connection
            inside the block.
    """

    __slots__ = (
        "_sock",
        "_protocol",
        "_allows_half_close",
        "_written",
        "_probes",
        "_next_probe_at",
        "_ended_at",
        "_written_at_end",
        "_greenlet",
        "_poll",
        "_watchers",
    )

    def __init__(
        self,
        sock: socket.socket,
        protocol: str,
        allows_half_close: bool,
        written: Callable[[], int] = lambda: 0,
    ) -> None:
        self._sock = sock
        self._protocol = protocol
        self._allows_half_close = allows_half_close
        self._written = written
        self._probes = 0
        self._next_probe_at = 0.0
        # When the peer was first seen to have closed its sending side, and
        # how much of the answer had been written then.
        self._ended_at: float | None = None
        self._written_at_end = 0
        self._greenlet: gevent.greenlet.greenlet | None = None
        self._poll = select.poll()
        self._watchers: list = []

    def __enter__(self) -> "CallerWatch":
        self._greenlet = gevent.getcurrent()
        fd = self._sock.fileno()
        self._poll.register(fd, select.POLLRDHUP)
        reader = gevent.get_hub().loop.io(fd, _READ_EVENT)
        self._watchers.append(reader)
        reader.start(self._on_readable)
        return self

    def __exit__(self, *error: object) -> None:
        self._stop_watchers()

    def _stop_watchers(self) -> None:
        for watcher in self._watchers:
            watcher.stop()
            watcher.close()
        self._watchers.clear()

    def _on_readable(self) -> None:
        self._stop_watchers()
        loop = gevent.get_hub().loop
        timer = loop.timer(RECHECK_PERIOD_S, RECHECK_PERIOD_S)
        self._watchers.append(timer)
        timer.start(self._check_connection)
        self._check_connection()

    def _check_connection(self) -> None:
        """Check the connection; runs in the hub and must not block."""
        events = 0
        for _, events in self._poll.poll(0):
            pass
        ended = events & select.POLLRDHUP
        if events & _BROKEN_EVENTS or ended and not self._allows_half_close:
            self._interrupt()
        elif ended:
            self._check_half_closed()

    def _check_half_closed(self) -> None:
        """Find out whether the peer still reads."""
        now = time.monotonic()
        written = self._written()
        if self._ended_at is None:
            self._ended_at = now
            self._written_at_end = written
        if self._protocol != "HTTP/1.1":
            return
        if not written:
            if self._probes < MAX_PROBES and now >= self._next_probe_at:
                self._probe(now)
        elif (
            not self._probes
            and written == self._written_at_end
            and now - self._ended_at >= QUIET_S
        ):
            self._interrupt()

    def _probe(self, now: float) -> None:
        self._next_probe_at = now + FIRST_PROBE_WAIT_S * 2**self._probes
        self._probes += 1
        try:
            sent = self._sock.send(_INTERIM_RESPONSE, socket.MSG_DONTWAIT)
        except OSError:
            sent = 0
        if sent != len(_INTERIM_RESPONSE):
            # The peer no longer reads, or it got an incomplete interim
            # response, after which it could not parse the answer.
            self._interrupt()

    def _interrupt(self) -> None:
        self._stop_watchers()
        self._greenlet.throw(errors.CallerGone("caller hung up"))


def watch_until_first_part(
    watch: CallerWatch, parts: Generator[bytes, None, None]
) -> Generator[bytes, None, None]:
    """Yield the parts of an answer, watching the caller until the first one.

    After that, a caller that hung up is detected at the next write.
    """
    with contextlib.closing(parts):
        with watch:
            first = next(parts, b"")
        yield first
        yield from parts
