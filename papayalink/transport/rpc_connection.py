"""One client connection for RPC calls, which notices that it is silent.

A connection may stop to pass on bytes without being reset, for example when a
middlebox forgets it. Nothing but the lack of an answer shows that, so a call
that waits has the peer's transport asked for a sign of life.
"""

import asyncio
from collections.abc import Callable
import time

import grpclib.client
import grpclib.encoding.base

from papayalink.transport import errors
from papayalink.transport import rpc_messages

CONNECT_TIMEOUT_S = 1.0
# Time without any byte during a call after which the peer is pinged.
SILENCE_S = 0.5
# The event loop of the peer answers a ping, however busy its handlers are.
PING_TIMEOUT_S = 0.5
_PING = b"papayaln"


class _Protocol(rpc_messages.LimitedProtocol):
    """Records when bytes of the peer arrive."""

    received_at = float("-inf")

    def data_received(self, data: bytes) -> None:
        self.received_at = time.monotonic()
        super().data_received(data)


class Channel(grpclib.client.Channel):
    """Does not take a connection for open that is lost while it is made."""

    @property
    def ended(self) -> bool:
        """Whether the last connection that was made is closed or closing."""
        return self._protocol is None or self._protocol.connection.is_closing()

    async def __connect__(self) -> _Protocol:
        protocol = await super().__connect__()
        if self.ended:
            raise ConnectionResetError("connection was lost while it was made")
        return protocol

    def _protocol_factory(self) -> _Protocol:
        return _Protocol(
            grpclib.client.Handler(), self._config, self._h2_config
        )


class RpcConnection:
    """A connection to one address; used in the thread of the event loop.

    Args:
        address: "IP:PORT" of the peer.
        codec: encodes messages.
        on_silent: called once if the connection has fallen silent, after its
            calls have been ended.

    Attributes:
        channel: makes the calls.
        last_call_at: when the last call began, monotonic seconds.
    """

    __slots__ = (
        "channel",
        "last_call_at",
        "_address",
        "_on_silent",
        "_calls_in_flight",
        "_watch",
    )

    def __init__(
        self,
        address: str,
        codec: grpclib.encoding.base.CodecBase,
        on_silent: Callable[["RpcConnection"], None],
    ) -> None:
        host, _, port = address.rpartition(":")
        self.channel = Channel(host, int(port), codec=codec)
        self.last_call_at = 0.0
        self._address = address
        self._on_silent = on_silent
        self._calls_in_flight = 0
        self._watch: asyncio.Task | None = None

    @property
    def in_use(self) -> bool:
        """Whether a call is in flight."""
        return self._calls_in_flight > 0

    def begin_call(self) -> None:
        self._calls_in_flight += 1
        self.last_call_at = time.monotonic()

    def end_call(self) -> None:
        self._calls_in_flight -= 1

    async def connect(self, timeout_s: float) -> None:
        """Connect, unless there is a connection.

        Raises: errors.NotConnected, errors.ConnectionRefused among it.
        """
        try:
            protocol = await asyncio.wait_for(
                self.channel.__connect__(), min(timeout_s, CONNECT_TIMEOUT_S)
            )
        except ConnectionRefusedError as error:
            raise errors.ConnectionRefused(
                f"{self._address}: {error}"
            ) from error
        except (OSError, TimeoutError) as error:
            raise errors.NotConnected(f"{self._address}: {error}") from error
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._watch_silence(protocol))

    def close(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
        self.channel.close()

    async def _watch_silence(self, protocol: _Protocol) -> None:
        """Abort the connection if it falls silent after a call has begun."""
        began_at = time.monotonic()
        while not protocol.connection.is_closing():
            heard_at = max(protocol.received_at, began_at)
            left_s = heard_at + SILENCE_S - time.monotonic()
            if left_s > 0:
                await asyncio.sleep(left_s)
            elif not self.in_use and heard_at > self.last_call_at:
                return
            elif not await self._is_answered(protocol):
                self._abort(protocol)
                return

    async def _is_answered(self, protocol: _Protocol) -> bool:
        """Returns: whether any byte follows a ping in time."""
        pinged_at = time.monotonic()
        protocol.connection._connection.ping(_PING)
        protocol.connection.flush()
        await asyncio.sleep(PING_TIMEOUT_S)
        return (
            protocol.connection.is_closing()
            or protocol.received_at >= pinged_at
        )

    def _abort(self, protocol: _Protocol) -> None:
        # A regular close would wait for bytes that the peer never takes.
        protocol.connection._transport.abort()
        self.channel.close()
        self._on_silent(self)


def make_rpc_connection(
    address: str,
    codec: grpclib.encoding.base.CodecBase,
    on_silent: Callable[[RpcConnection], None],
) -> RpcConnection:
    """Returns: a connection that is opened by its first call."""
    return RpcConnection(address, codec, on_silent)
