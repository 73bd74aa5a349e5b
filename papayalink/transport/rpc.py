"""Unary calls between processes over grpclib."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import time
import zlib

import grpclib.client
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import grpclib.server
import msgspec

from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import messages
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import event_loop

Handler = Callable[[messages.Message], messages.Message]

_SERVICE = "/papayalink.Peer/"
DEFAULT_TIMEOUT_S = 2.0
# Shorter bodies hardly shrink. Load reports of an entry's poll repeat names
# and numbers and are the largest part of what control costs a node.
_COMPRESS_BYTES = 512
CONNECT_TIMEOUT_S = 1.0
# A connection costs its receiver 0.1 MB. Pollers turn from member to member in
# an overload, and each member kept the connections of all of them for good.
# Polls, the rarest calls to an address in use, are a second apart.
IDLE_S = 10.0


class _Request(msgspec.Struct, array_like=True):
    head: bytes
    body: bytes
    compressed: bool = False


class _Reply(msgspec.Struct, array_like=True):
    signature: bytes
    body: bytes
    compressed: bool = False


class _BytesCodec(grpclib.encoding.base.CodecBase):
    """Messages are signed as bytes, so grpclib carries them unchanged."""

    __content_subtype__ = "msgpack"

    def encode(self, message: bytes, message_type: type) -> bytes:
        return message

    def decode(self, data: bytes, message_type: type) -> bytes:
        return data


class RpcServer:
    """Serves unary calls; each handler runs in a greenlet.

    Args:
        address: (IP, port) to listen on; port 0 chooses a free one.
        handlers: name of the method to its handler.
        signer: verifies requests and signs replies.
        limits: name of a method to the number of its calls under way beyond
            which calls are refused without being run.
    """

    __slots__ = (
        "_address",
        "_handlers",
        "_signer",
        "_limits",
        "_loop",
        "_server",
    )

    def __init__(
        self,
        address: tuple[str, int],
        handlers: Mapping[str, Handler],
        signer: auth.Signer,
        limits: Mapping[str, int],
    ) -> None:
        self._address = address
        self._handlers = handlers
        self._signer = signer
        self._limits = limits
        self._loop = event_loop.get_event_loop_thread()
        self._server: grpclib.server.Server | None = None

    @property
    def address(self) -> tuple[str, int]:
        return self._address

    def start(self) -> None:
        self._loop.start(self._serve()).get()

    def stop(self) -> None:
        self._loop.start(self._close()).get()

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        return {
            _SERVICE
            + name: grpclib.const.Handler(
                self._make_method(name, handler),
                grpclib.const.Cardinality.UNARY_UNARY,
                bytes,
                bytes,
            )
            for name, handler in self._handlers.items()
        }

    async def _serve(self) -> None:
        self._server = grpclib.server.Server([self], codec=_BytesCodec())
        host, port = self._address
        await self._server.start(host, port)
        bound = self._server._server.sockets[0].getsockname()
        self._address = (bound[0], bound[1])

    async def _close(self) -> None:
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _make_method(self, name: str, handler: Handler) -> Callable:
        limit = self._limits.get(name)
        under_way = 0

        async def run(stream: grpclib.server.Stream) -> None:
            data = await stream.recv_message()
            reply = await self._loop.run_in_greenlet(
                lambda data: self._answer(name, handler, data), data
            )
            await stream.send_message(reply)

        async def run_limited(stream: grpclib.server.Stream) -> None:
            nonlocal under_way
            if under_way >= limit:
                raise grpclib.GRPCError(
                    grpclib.const.Status.RESOURCE_EXHAUSTED,
                    f"{limit} calls of {name} are under way",
                )
            under_way += 1
            try:
                await run(stream)
            finally:
                under_way -= 1

        return run if limit is None else run_limited

    def _answer(self, name: str, handler: Handler, data: bytes) -> bytes:
        try:
            request = msgspec.msgpack.decode(data, type=_Request)
            nonce = self._signer.open(name, request.head, request.body)
        except (msgspec.MsgspecError, errors.AuthenticationFailed) as error:
            raise grpclib.GRPCError(
                grpclib.const.Status.UNAUTHENTICATED, str(error)
            ) from error
        try:
            reply = handler(messages.decode(_unpack(request)))
        except errors.RpcRefused as error:
            reply = messages.ErrorReply(error.code, error.text, error.leader)
        except protocol_errors.ProtocolError as error:
            reply = messages.ErrorReply("refused", str(error))
        body, compressed = _pack(reply)
        signature = self._signer.seal_reply(nonce, body)
        return msgspec.msgpack.encode(_Reply(signature, body, compressed))


class _Connection(msgspec.Struct):
    """A connection, the calls under way on it, and when the last began."""

    channel: grpclib.client.Channel
    calls: int = 0
    used_at: float = 0.0


class RpcClient:
    """Calls other processes; keeps one connection to each address in use.

    Args:
        signer: signs requests and verifies replies.
        idle_s: seconds without a call after which a connection is closed,
            at the next call to any address.
    """

    __slots__ = ("_signer", "_idle_s", "_loop", "_connections")

    def __init__(self, signer: auth.Signer, idle_s: float) -> None:
        self._signer = signer
        self._idle_s = idle_s
        self._loop = event_loop.get_event_loop_thread()
        self._connections: dict[str, _Connection] = {}

    @property
    def connected(self) -> list[str]:
        """Addresses to which connections are kept."""
        return list(self._connections)

    def call(
        self,
        address: str,
        method: str,
        message: messages.Message,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> messages.Message:
        """Call a method and wait for its reply.

        Args:
            address: "IP:PORT" of the receiver.
            method: name of the handler.
            message: the request.
            timeout_s: seconds until the call is given up.
        Returns: the reply.
        Raises:
            errors.NotConnected: nothing was sent.
            errors.ConnectionLost: broke after it may have been sent.
            errors.Timeout: no reply in time.
            errors.Overloaded: refused without being run.
            errors.RpcRefused: the receiver answered with an error.
            errors.AuthenticationFailed: one side does not hold the key.
        """
        body, compressed = _pack(message)
        head, nonce = self._signer.seal(method, body)
        request = msgspec.msgpack.encode(_Request(head, body, compressed))
        data = self._loop.start(
            self._call(address, method, request, timeout_s)
        ).get()
        reply = msgspec.msgpack.decode(data, type=_Reply)
        self._signer.open_reply(nonce, reply.signature, reply.body)
        answer = messages.decode(_unpack(reply))
        if isinstance(answer, messages.ErrorReply):
            raise errors.RpcRefused(answer.code, answer.text, answer.leader)
        return answer

    def close(self) -> None:
        """Close all connections."""
        self._loop.start(self._close()).get()

    async def _close(self) -> None:
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()

    async def _call(
        self, address: str, method: str, request: bytes, timeout_s: float
    ) -> bytes:
        connection = self._connect(address)
        connection.calls += 1
        try:
            return await self._call_on(
                connection.channel, address, method, request, timeout_s
            )
        finally:
            connection.calls -= 1

    async def _call_on(
        self,
        channel: grpclib.client.Channel,
        address: str,
        method: str,
        request: bytes,
        timeout_s: float,
    ) -> bytes:
        try:
            await asyncio.wait_for(
                channel.__connect__(), min(timeout_s, CONNECT_TIMEOUT_S)
            )
        except (OSError, TimeoutError) as error:
            raise errors.NotConnected(f"{address}: {error}") from error
        stub = grpclib.client.UnaryUnaryMethod(
            channel, _SERVICE + method, bytes, bytes
        )
        try:
            return await stub(request, timeout=timeout_s)
        except TimeoutError as error:
            raise errors.Timeout(
                f"{address}: no reply to {method} in {timeout_s:.1f} s"
            ) from error
        except grpclib.GRPCError as error:
            raise _translate(address, error) from error
        except (OSError, grpclib.exceptions.StreamTerminatedError) as error:
            raise errors.ConnectionLost(f"{address}: {error}") from error

    def _connect(self, address: str) -> _Connection:
        now = time.monotonic()
        connection = self._connections.get(address)
        if connection is None:
            host, _, port = address.rpartition(":")
            connection = _Connection(
                grpclib.client.Channel(host, int(port), codec=_BytesCodec())
            )
            self._connections[address] = connection
        connection.used_at = now
        self._close_idle(now)
        return connection

    def _close_idle(self, now: float) -> None:
        for address, connection in list(self._connections.items()):
            if (
                not connection.calls
                and now - connection.used_at > self._idle_s
            ):
                connection.channel.close()
                del self._connections[address]


def _pack(message: messages.Message) -> tuple[bytes, bool]:
    """Returns: a body to send, and whether it is compressed."""
    body = messages.encode(message)
    if len(body) < _COMPRESS_BYTES or message.compact:
        return body, False
    return zlib.compress(body, 1), True


def _unpack(message: _Request | _Reply) -> bytes:
    """Returns: the body of an authenticated message."""
    if not message.compressed:
        return message.body
    return zlib.decompress(message.body)


def _translate(
    address: str, error: grpclib.GRPCError
) -> errors.TransportError:
    if error.status is grpclib.const.Status.UNAUTHENTICATED:
        return errors.AuthenticationFailed(f"{address}: {error.message}")
    if error.status is grpclib.const.Status.RESOURCE_EXHAUSTED:
        return errors.Overloaded(f"{address}: {error.message}")
    if error.status is grpclib.const.Status.DEADLINE_EXCEEDED:
        return errors.Timeout(address)
    return errors.ConnectionLost(f"{address}: {error.message}")


def make_server(
    address: tuple[str, int],
    handlers: Mapping[str, Handler],
    signer: auth.Signer,
    limits: Mapping[str, int] | None = None,
) -> RpcServer:
    """Returns: a server that is not yet started."""
    return RpcServer(address, handlers, signer, limits or {})


def make_client(signer: auth.Signer, idle_s: float = IDLE_S) -> RpcClient:
    return RpcClient(signer, idle_s)
