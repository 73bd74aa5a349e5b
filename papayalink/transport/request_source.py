"""Reads the requests of a connection, and notes those that are half read."""

from collections.abc import Iterator
import contextlib
import io

import gevent
from gevent import event
from gevent import socket

from papayalink import readiness
from papayalink.transport import errors

# Time without a byte after which the rest of a request counts as lost.
READ_TIMEOUT_S = 30.0
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408


class Requests:
    """The requests of one server that have begun to arrive.

    Attributes:
        in_flight: number of requests that the application has been given and
            that are not answered.
        all_answered: set while each of these waits for the rest of its body.
    """

    __slots__ = (
        "in_flight",
        "all_answered",
        "_running",
        "_reading",
        "_ended",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.all_answered = event.Event()
        self.all_answered.set()
        self._running = 0
        # Tasks that wait for the rest of a request.
        self._reading: set[gevent.Greenlet] = set()
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether no request is begun any more."""
        return self._ended

    @contextlib.contextmanager
    def answering(self) -> Iterator[None]:
        """Count a request that the application is given."""
        self.in_flight += 1
        self._count_running(1)
        try:
            yield
        finally:
            self._count_running(-1)
            self.in_flight -= 1

    @contextlib.contextmanager
    def reading(self, answering: bool) -> Iterator[None]:
        """Note that the current task waits for the rest of a request.

        Args:
            answering: whether the application has been given the request.
        Raises: errors.ServerStops if the server ends.
        """
        if self._ended:
            raise errors.ServerStops("server ends")
        task = gevent.getcurrent()
        self._reading.add(task)
        self._count_running(-answering)
        try:
            yield
        finally:
            self._count_running(answering)
            self._reading.discard(task)

    def end(self) -> None:
        """Raise ServerStops in each task that waits for a request's rest."""
        self._ended = True
        gevent.get_hub().loop.run_callback(self._interrupt)

    def _interrupt(self) -> None:
        for task in list(self._reading):
            if task in self._reading:
                task.throw(errors.ServerStops("server ends"))

    def _count_running(self, change: int) -> None:
        self._running += change
        if self._running:
            self.all_answered.clear()
        else:
            self.all_answered.set()


class RequestSource(io.RawIOBase):
    """The bytes of one connection.

    A request that does not arrive as a whole ends with RequestIncomplete, at
    whatever place it is read, so that no part of it counts as the whole.

    Args:
        sock: the connection.
        requests: of its server.
    Attributes:
        begun: whether bytes of a request have been read.
        answering: whether the application has been given the request.
        blocking: whether reads wait for bytes.
    """

    __slots__ = (
        "begun",
        "answering",
        "blocking",
        "_sock",
        "_requests",
        "_failure",
    )

    def __init__(self, sock: socket.socket, requests: Requests) -> None:
        super().__init__()
        self.begun = False
        self.answering = False
        self.blocking = True
        self._sock = sock
        self._requests = requests
        self._failure: BaseException | None = None

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: bytearray) -> int | None:
        if not self.blocking:
            return None
        if self._failure is not None:
            raise self._failure
        try:
            return self._receive(buffer)
        except (errors.RequestIncomplete, errors.ServerStops) as failure:
            self._failure = failure
            raise

    def _receive(self, buffer: bytearray) -> int:
        try:
            if not readiness.has_unread_bytes(self._sock):
                with self._requests.reading(self.answering):
                    self._wait()
            received = self._sock.recv_into(buffer)
        except OSError as error:
            if not self.begun:
                raise
            raise errors.RequestIncomplete(
                _BAD_REQUEST, "connection lost within a request"
            ) from error
        if received:
            self.begun = True
        elif self.begun:
            raise errors.RequestIncomplete(
                _BAD_REQUEST, "caller sends no more within a request"
            )
        return received

    def _wait(self) -> None:
        try:
            socket.wait_read(self._sock.fileno(), READ_TIMEOUT_S)
        except TimeoutError as error:
            # A process that stood still has both the time-out and the bytes.
            if not readiness.has_unread_bytes(self._sock):
                raise errors.RequestIncomplete(
                    _REQUEST_TIMEOUT, "time-out within a request"
                ) from error


def make_requests() -> Requests:
    return Requests()


def make_request_source(
    sock: socket.socket, requests: Requests
) -> RequestSource:
    return RequestSource(sock, requests)
