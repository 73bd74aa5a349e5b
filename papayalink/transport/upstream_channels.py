"""Kept connections to upstreams, and exchanges of opaque calls on them."""

from collections.abc import Callable
import time

from gevent import select
from gevent import socket
import h11

from papayalink.protocol import calls
from papayalink.transport import errors

# Handshakes take one round trip of a few ms and 1 ms at the upstream; a SYN
# that is lost comes again after a second.
CONNECT_TIMEOUT_S = 0.25
# Silence after which the owner of an exchange is asked whether to go on.
SILENCE_S = 0.4
# Part of an upstream's idle timeout after which a connection is not used any
# more: the upstream's clock started earlier, at the end of its answer.
_IDLE_SHARE = 0.7
# Idle timeout of an upstream that does not tell one.
DEFAULT_IDLE_S = 4.0
# Connections kept for one upstream.
MAX_KEPT = 64
_READ_BYTES = 65_536
_SEND_BYTES = 16_384
# A peer that acknowledges nothing for this long is gone.
_USER_TIMEOUT_MS = 3_000
_TCP_USER_TIMEOUT = 18


class Channel:
    """One connection; carries one exchange at a time.

    Attributes:
        on_silence: called with the seconds without a byte while an answer
            is waited for; ends the exchange by an error.
    """

    __slots__ = (
        "on_silence",
        "used",
        "_sock",
        "_connection",
        "_usable_until",
        "_whole",
    )

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._connection = h11.Connection(h11.CLIENT)
        self._usable_until = 0.0
        self._whole = True
        self.used = False
        self.on_silence: Callable[[float], None] = _go_on

    @property
    def fresh(self) -> bool:
        """Whether the next request can be sent on it."""
        if time.monotonic() > self._usable_until:
            return False
        # Bytes now belong to no request, and an end means it was closed.
        readable, _, _ = select.select([self._sock], [], [], 0)
        return not readable

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: calls.Headers,
        body: bytes,
        left_s: Callable[[], float],
    ) -> None:
        """Send a whole request.

        Stops sending when the upstream answers before it has read the body;
        the connection is not used again then.

        Raises:
            errors.ConnectionLost: it broke; the request may have arrived.
            errors.Timeout: not sent in time.
        """
        connection = self._connection
        data = connection.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        for start in range(0, len(data), _SEND_BYTES):
            if start and self._answered():
                self._whole = False
                return
            self._sock.settimeout(max(0.001, left_s()))
            try:
                self._sock.sendall(data[start : start + _SEND_BYTES])
            except TimeoutError as error:
                raise errors.Timeout("request not taken") from error
            except OSError as error:
                raise errors.ConnectionLost(str(error)) from error

    def read_head(self, left_s: Callable[[], float]) -> h11.Response:
        """Wait for the head of the answer.

        Raises: ConnectionLost, Timeout.
        """
        while True:
            match self._next(left_s):
                case h11.Response() as head:
                    return head
                case h11.InformationalResponse():
                    pass
                case _:
                    raise errors.ConnectionLost("no answer")

    def read_data(self, left_s: Callable[[], float]) -> bytes:
        """Read on in the body.

        Returns: some of it, b"" at its regular end.
        Raises: ConnectionLost, Timeout.
        """
        while True:
            match self._next(left_s):
                case h11.Data(data):
                    if data:
                        return bytes(data)
                case h11.EndOfMessage():
                    return b""
                case _:
                    raise errors.ConnectionLost("answer cut")

    def finish(self, keep_alive_s: float | None) -> bool:
        """Make ready for another request after a whole answer.

        Returns: whether the connection can be kept.
        """
        connection = self._connection
        if (
            not self._whole
            or connection.our_state is not h11.DONE
            or connection.their_state is not h11.DONE
            or connection.trailing_data[0]
        ):
            return False
        connection.start_next_cycle()
        self.keep(DEFAULT_IDLE_S if keep_alive_s is None else keep_alive_s)
        self.used = True
        return True

    def keep(self, idle_s: float) -> None:
        """Use it again within most of the time it may be idle, in seconds."""
        self._usable_until = time.monotonic() + idle_s * _IDLE_SHARE

    def close(self) -> None:
        self._sock.close()

    def _answered(self) -> bool:
        readable, _, _ = select.select([self._sock], [], [], 0)
        return bool(readable)

    def _next(self, left_s: Callable[[], float]) -> object:
        while True:
            try:
                part = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                raise errors.ConnectionLost(f"not HTTP: {error}") from error
            if part is not h11.NEED_DATA:
                return part
            self._connection.receive_data(self._receive(left_s))

    def _receive(self, left_s: Callable[[], float]) -> bytes:
        started = time.monotonic()
        while True:
            left = left_s()
            self._sock.settimeout(max(0.001, min(SILENCE_S, left)))
            try:
                return self._sock.recv(_READ_BYTES)
            except TimeoutError as error:
                if left <= SILENCE_S:
                    raise errors.Timeout("no answer in time") from error
            except OSError as error:
                raise errors.ConnectionLost(str(error)) from error
            self.on_silence(time.monotonic() - started)


def _go_on(silent_s: float) -> None:
    """Wait whatever happens."""


class Channels:
    """Kept connections by upstream address."""

    __slots__ = ("_kept", "_opened")

    def __init__(self) -> None:
        self._kept: dict[str, list[Channel]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections made so far."""
        return self._opened

    def take(self, address: str, left_s: Callable[[], float]) -> Channel:
        """Returns: a kept connection, or a new one.

        Raises: errors.NotConnected
        """
        kept = self._kept.get(address, [])
        while kept:
            channel = kept.pop()
            if channel.fresh:
                return channel
            channel.close()
        return self._connect(address, min(CONNECT_TIMEOUT_S, left_s()))

    def give_back(self, address: str, channel: Channel) -> None:
        """Keep a connection whose exchange was finished."""
        kept = self._kept.setdefault(address, [])
        kept.append(channel)
        if len(kept) > MAX_KEPT:
            kept.pop(0).close()

    def forget(self, address: str) -> None:
        """Close the idle connections to an upstream that is gone."""
        for channel in self._kept.pop(address, []):
            channel.close()

    def check(self, address: str) -> None:
        """Make a connection, which is kept.

        Raises: errors.NotConnected
        """
        channel = self._connect(address, CONNECT_TIMEOUT_S)
        channel.keep(DEFAULT_IDLE_S)
        self.give_back(address, channel)

    def _connect(self, address: str, timeout_s: float) -> Channel:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.settimeout(max(0.001, timeout_s))
        try:
            sock.connect((host, int(port)))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
            )
        except (OSError, ValueError) as error:
            sock.close()
            raise errors.NotConnected(f"{address}: {error}") from error
        self._opened += 1
        return Channel(sock)


def make_channels() -> Channels:
    return Channels()
