"""One connection to an upstream, which carries one call at a time."""

from collections.abc import Callable
import time

import gevent
from gevent import select
from gevent import socket
import h11

from papayalink import readiness
from papayalink.protocol import calls
from papayalink.transport import errors
from papayalink.transport import request_delivery

# Time without progress after which on_silence decides whether to keep waiting.
# It is called again after each further period.
SILENCE_PERIOD_S = 0.4
# Interim responses before an answer; upstreams send none or one.
MAX_INTERIM_RESPONSES = 8
# Bytes of heads, chunk sizes, chunk extensions and trailers that an answer may
# have: this many, and this many for each byte of its body. A chunk of one byte
# needs five.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_RATIO = 16
# A status beyond it is invalid (RFC 9110, section 15).
_HIGHEST_STATUS = 599
# Answers to earlier calls that are skipped before the answer to a call.
MAX_SKIPPED_ANSWERS = 2
# Fraction of an upstream's idle time-out for which a connection is reused. It
# is below 1 because the upstream's time-out starts earlier, at the end of its
# answer.
_USABLE_IDLE_FRACTION = 0.7
# Idle time-out assumed for an upstream that does not announce one.
DEFAULT_IDLE_TIMEOUT_S = 4.0
_READ_BYTES = 65_536
_SEND_BYTES = 16_384


class Channel:
    """One connection, which carries one call at a time.

    Attributes:
        on_silence: called during the wait for an answer with the number of
            seconds without progress; it may end the call by raising an error.
            It may wait itself, and is ended at the end of the call's time.
    """

    __slots__ = (
        "on_silence",
        "_sock",
        "_connection",
        "_usable_until",
        "_method",
        "_request_bytes",
        "_unsent",
        "_peer_ended",
        "_early_event",
        "_received_bytes",
        "_body_bytes",
        "_progress_at",
        "_check_at",
        "_check_deferred",
        "_skipped_answers",
        "_used",
    )

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._connection = h11.Connection(h11.CLIENT)
        self._usable_until = 0.0
        self._method = b""
        self._request_bytes = 0
        # End of the request that was not sent, as the answer began before.
        self._unsent = b""
        # Whether the upstream has ended its sending side.
        self._peer_ended = False
        # First event of an answer that came while the request was sent.
        self._early_event: object = None
        self._received_bytes = 0
        self._body_bytes = 0
        self._progress_at = 0.0
        self._check_at = 0.0
        # Whether bytes were read first when the check was due.
        self._check_deferred = False
        self._skipped_answers = 0
        self._used = False
        self.on_silence: Callable[[float], None] = _keep_waiting

    @property
    def used(self) -> bool:
        """Whether the connection has carried a whole answer before."""
        return self._used

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived, or the upstream has ended."""
        return readiness.has_unread_bytes(self._sock)

    @property
    def usable(self) -> bool:
        """Whether the connection can carry another request."""
        if time.monotonic() > self._usable_until:
            return False
        # The socket is readable when the upstream closed the connection or
        # sent bytes that belong to no request.
        return not self.has_unread

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: calls.Headers,
        body: bytes,
        remaining_s: Callable[[], float],
    ) -> None:
        """Send a complete request.

        Stops sending when the upstream answers before it has read the body;
        the connection is not reused in that case.

        Args:
            remaining_s: returns the seconds that are left for the call.
        Raises:
            errors.ConnectionLost: the connection broke; the request may have
                arrived.
            errors.Timeout: the request was not sent in time.
        """
        self._method = method
        self._skipped_answers = 0
        self._begin_answer()
        connection = self._connection
        data = connection.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        self._request_bytes = len(data)
        self._unsent = b""
        self._send_data(data, remaining_s)
        self.note_progress()

    def note_progress(self) -> None:
        """Restart the time that on_silence is told.

        Bytes of a body count as progress by themselves only if `read_data` is
        told so.
        """
        self._progress_at = time.monotonic()
        self._check_at = self._progress_at + SILENCE_PERIOD_S
        self._check_deferred = False

    def read_head(self, remaining_s: Callable[[], float]) -> h11.Response:
        """Wait for the head of the answer.

        Raises: ConnectionLost, Timeout.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            match self._next_event(remaining_s):
                case h11.Response() as head:
                    if head.status_code > _HIGHEST_STATUS:
                        raise errors.ConnectionLost(
                            f"invalid status {head.status_code}"
                        )
                    self.note_progress()
                    return head
                case h11.InformationalResponse():
                    pass
                case _:
                    raise errors.ConnectionLost(
                        "connection ended before an answer"
                    )
        raise errors.ConnectionLost("too many interim responses")

    def skip_answer(
        self, max_bytes: int, remaining_s: Callable[[], float]
    ) -> None:
        """Read and discard the rest of an answer to an earlier call.

        The answer to the call itself may follow; `read_head` reads it.

        Args:
            max_bytes: limit of the size of the body.
        Raises: ConnectionLost, Timeout.
        """
        self._skipped_answers += 1
        if self._skipped_answers > MAX_SKIPPED_ANSWERS:
            raise errors.ConnectionLost("too many answers to other calls")
        self.discard_body(max_bytes, remaining_s)
        data, closed = self._connection.trailing_data
        if (
            closed
            or self._unsent
            or self._connection.their_state is not h11.DONE
        ):
            raise errors.ConnectionLost(
                "connection ended with an answer to another call"
            )
        # A new parser expects one more answer to the request that was sent.
        self._connection = h11.Connection(h11.CLIENT)
        self._connection.send(
            h11.Request(
                method=self._method, target="/", headers=[("Host", "-")]
            )
        )
        self._connection.send(h11.EndOfMessage())
        self._begin_answer()
        if data:
            self._receive_data(data)

    def read_data(
        self, remaining_s: Callable[[], float], progress: bool = True
    ) -> bytes:
        """Read more of the body.

        A body that only the end of the connection ends has ended regularly
        once the upstream has taken in the whole request.

        Args:
            progress: whether the bytes count as progress. If not, the caller
                notes what does.
        Returns: the next bytes, b"" at the regular end of the body.
        Raises: ConnectionLost, Timeout.
        """
        data = self._read_data(remaining_s, progress)
        if not data and self._peer_ended:
            request_delivery.confirm(
                self._sock, self._request_bytes, remaining_s, self._unsent
            )
        return data

    def discard_body(
        self, max_bytes: int, remaining_s: Callable[[], float]
    ) -> None:
        """Read and discard the rest of an answer whose head tells enough.

        Args:
            max_bytes: limit of the size of the body.
        Raises: ConnectionLost, Timeout.
        """
        while self._read_data(remaining_s, True):
            if self._body_bytes > max_bytes:
                raise errors.ConnectionLost("discarded answer is too large")

    def finish(self, keep_alive_s: float | None) -> bool:
        """Prepare for another request after a complete answer.

        Returns: whether the connection can be reused.
        """
        connection = self._connection
        if (
            self._unsent
            or connection.our_state is not h11.DONE
            or connection.their_state is not h11.DONE
            or connection.trailing_data[0]
        ):
            return False
        connection.start_next_cycle()
        self._used = True
        self.keep(
            DEFAULT_IDLE_TIMEOUT_S if keep_alive_s is None else keep_alive_s
        )
        return True

    def keep(self, idle_timeout_s: float) -> None:
        """Allow reuse for most of the time that the connection may be idle."""
        self._usable_until = (
            time.monotonic() + idle_timeout_s * _USABLE_IDLE_FRACTION
        )

    def close(self) -> None:
        self._sock.close()

    def _read_data(
        self, remaining_s: Callable[[], float], progress: bool
    ) -> bytes:
        while True:
            match self._next_event(remaining_s):
                case h11.Data(data):
                    if data:
                        self._body_bytes += len(data)
                        if progress:
                            self.note_progress()
                        return bytes(data)
                case h11.EndOfMessage():
                    return b""
                case _:
                    raise errors.ConnectionLost("answer was truncated")

    def _send_data(
        self, data: bytes, remaining_s: Callable[[], float]
    ) -> None:
        sent = 0
        self._sock.settimeout(0.0)
        while sent < len(data):
            if sent and self._answer_begun():
                self._unsent = data[sent:]
                return
            try:
                sent += self._sock.send(data[sent : sent + _SEND_BYTES])
                timeout_s = 0.0
            except BlockingIOError:
                timeout_s = remaining_s()
                if timeout_s <= 0:
                    raise errors.Timeout("request was not sent in time")
            except OSError as error:
                raise errors.ConnectionLost(str(error)) from error
            if sent < len(data):
                # Other greenlets run between two pieces, and while there is
                # no room for one. An answer ends that wait.
                self._wait_for_room(timeout_s)

    def _wait_for_room(self, timeout_s: float) -> None:
        """Wait until more can be sent, or something has arrived."""
        # gevent's select takes no descriptor of 1024 or more.
        poll = select.poll()
        poll.register(self._sock, select.POLLIN | select.POLLOUT)
        poll.poll(timeout_s * 1000)

    def _answer_begun(self) -> bool:
        """Returns: whether an answer has come, beyond interim responses."""
        while readiness.has_unread_bytes(self._sock):
            try:
                data = self._sock.recv(_READ_BYTES)
            except OSError as error:
                raise errors.ConnectionLost(str(error)) from error
            self._receive_data(data)
            h11_event = self._parse_event()
            while isinstance(h11_event, h11.InformationalResponse):
                h11_event = self._parse_event()
            if h11_event is not h11.NEED_DATA:
                self._early_event = h11_event
                return True
        return False

    def _next_event(self, remaining_s: Callable[[], float]) -> object:
        if self._early_event is not None:
            h11_event, self._early_event = self._early_event, None
            return h11_event
        while True:
            h11_event = self._parse_event()
            if h11_event is not h11.NEED_DATA:
                return h11_event
            self._receive_data(self._receive(remaining_s))

    def _parse_event(self) -> object:
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            raise errors.ConnectionLost(
                f"invalid HTTP answer: {error}"
            ) from error

    def _begin_answer(self) -> None:
        self._received_bytes = 0
        self._body_bytes = 0
        self._peer_ended = False
        self.note_progress()

    def _receive_data(self, data: bytes) -> None:
        """Pass bytes to the parser, within the limit of framing.

        The parser itself limits a head, a chunk size and trailers, but not
        how many chunk extensions there are.
        """
        self._received_bytes += len(data)
        allowed = (
            MAX_FRAMING_BYTES
            + _READ_BYTES
            + (1 + MAX_FRAMING_RATIO) * self._body_bytes
        )
        if self._received_bytes > allowed:
            raise errors.ConnectionLost("answer has too little content")
        self._peer_ended = not data
        self._connection.receive_data(data)

    def _receive(self, remaining_s: Callable[[], float]) -> bytes:
        while True:
            # Bytes may arrive all the time, so the time left is checked
            # before each read and not only when a read times out.
            time_left_s = remaining_s()
            if time_left_s <= 0:
                raise errors.Timeout("no answer in time")
            if time.monotonic() >= self._check_at and not self._defer_check():
                self._report_silence(time_left_s)
                self._check_at = time.monotonic() + SILENCE_PERIOD_S
                self._check_deferred = False
                continue
            check_in_s = self._check_at - time.monotonic()
            self._sock.settimeout(max(0.001, min(check_in_s, time_left_s)))
            try:
                return self._sock.recv(_READ_BYTES)
            except TimeoutError as error:
                if time_left_s <= check_in_s:
                    raise errors.Timeout("no answer in time") from error
            except OSError as error:
                raise errors.ConnectionLost(str(error)) from error

    def _defer_check(self) -> bool:
        """Returns: whether bytes are to be read before silence is reported.

        They may have come while this entry or the caller was busy. Bytes that
        are no progress defer each check once.
        """
        if self._check_deferred:
            return False
        self._check_deferred = readiness.has_unread_bytes(self._sock)
        return self._check_deferred

    def _report_silence(self, time_left_s: float) -> None:
        """Let on_silence decide, unless something arrives meanwhile.

        Args:
            time_left_s: time after which its decision comes too late.
        """
        unread = readiness.has_unread_bytes(self._sock)
        try:
            with gevent.Timeout(time_left_s, False):
                self.on_silence(time.monotonic() - self._progress_at)
        except errors.ConnectionLost:
            if unread or not readiness.has_unread_bytes(self._sock):
                raise


def _keep_waiting(silent_s: float) -> None:
    """Keep waiting; used until the owner sets on_silence."""


def make_channel(sock: socket.socket) -> Channel:
    return Channel(sock)
