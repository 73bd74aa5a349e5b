"""Connections to upstreams, reused for calls of any content."""

from collections.abc import Callable

from gevent import socket

from papayalink.transport import byte_budget
from papayalink.transport import errors
from papayalink.transport import upstream_channel

# A handshake takes one round trip of a few ms and 1 ms at the upstream; a lost
# SYN is retransmitted only after a second.
CONNECT_TIMEOUT_S = 0.25
# Idle connections kept for each upstream.
MAX_IDLE_CONNECTIONS = 64
# Bytes of answers that are held until they are whole, for all calls together,
# and what each answer may hold beside that. A replica that sends without end
# would otherwise fill the memory through many calls at once.
MAX_HELD_BYTES = 64 * 1024 * 1024
OWN_HELD_BYTES = 256 * 1024
# Time without acknowledgement of sent data after which a peer counts as lost.
_USER_TIMEOUT_MS = 3_000
_TCP_USER_TIMEOUT_OPTION = 18


class Channels:
    """Idle connections by upstream address.

    Attributes:
        held: bytes of answers that are held until they are whole.
    """

    __slots__ = ("held", "_idle_channels", "_opened_connections")

    def __init__(self) -> None:
        self.held = byte_budget.make_byte_budget(
            MAX_HELD_BYTES, OWN_HELD_BYTES
        )
        self._idle_channels: dict[str, list[upstream_channel.Channel]] = {}
        self._opened_connections = 0

    @property
    def opened_connections(self) -> int:
        """Number of connections opened so far."""
        return self._opened_connections

    def take(
        self, address: str, remaining_s: Callable[[], float]
    ) -> upstream_channel.Channel:
        """Returns: an idle connection, or a new one.

        Raises: errors.NotConnected
        """
        idle_channels = self._idle_channels.get(address, [])
        while idle_channels:
            channel = idle_channels.pop()
            if channel.usable:
                return channel
            channel.close()
        return self._connect(address, min(CONNECT_TIMEOUT_S, remaining_s()))

    def give_back(
        self, address: str, channel: upstream_channel.Channel
    ) -> None:
        """Keep a connection that carries no call, for reuse."""
        idle_channels = self._idle_channels.setdefault(address, [])
        idle_channels.append(channel)
        if len(idle_channels) > MAX_IDLE_CONNECTIONS:
            idle_channels.pop(0).close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an upstream that has gone."""
        for channel in self._idle_channels.pop(address, []):
            channel.close()

    def probe(self, address: str) -> None:
        """Check that the upstream accepts a connection, and keep it for reuse.

        Raises: errors.NotConnected
        """
        self.give_back(address, self._connect(address, CONNECT_TIMEOUT_S))

    def _connect(
        self, address: str, timeout_s: float
    ) -> upstream_channel.Channel:
        host, _, port = address.rpartition(":")
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            # No descriptor is left.
            raise errors.NotConnected(f"{address}: {error}") from error
        sock.settimeout(max(0.001, timeout_s))
        try:
            # A name would be looked up, in a thread and for seconds.
            socket.inet_pton(socket.AF_INET, host)
            sock.connect((host, int(port)))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, _TCP_USER_TIMEOUT_OPTION, _USER_TIMEOUT_MS
            )
        except ConnectionRefusedError as error:
            sock.close()
            raise errors.ConnectionRefused(f"{address}: {error}") from error
        except (OSError, ValueError, OverflowError) as error:
            sock.close()
            raise errors.NotConnected(f"{address}: {error}") from error
        self._opened_connections += 1
        channel = upstream_channel.make_channel(sock)
        channel.keep(upstream_channel.DEFAULT_IDLE_TIMEOUT_S)
        return channel


def make_channels() -> Channels:
    return Channels()
