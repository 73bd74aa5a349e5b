"""Unary RPC calls between processes over grpclib."""

from collections.abc import Callable
from collections.abc import Mapping
import time
import zlib

import grpclib.client
import grpclib.config
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import grpclib.server
import msgspec

from papayalink import logs
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import messages
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import event_loop
from papayalink.transport import rpc_connection
from papayalink.transport import rpc_messages

Handler = Callable[[messages.Message], messages.Message]

_SERVICE = "/papayalink.Peer/"
DEFAULT_TIMEOUT_S = 2.0
# Shorter bodies hardly shrink. The load reports in the replies to an entry's
# polls repeat names and numbers, and are the largest part of what control
# costs a node.
_MIN_COMPRESS_BYTES = 512
# A connection costs its receiver 0.1 MB. Under overload, pollers move from
# member to member, and without this time-out each member would keep a
# connection of every poller. Polls, the least frequent calls to an address in
# use, are a second apart.
IDLE_TIMEOUT_S = 10.0
# A receiver pings each connection in this interval, and closes those that do
# not answer: their clients have dropped them without a close that arrived.
_RECEIVER_PING_S = 20.0
_RECEIVER_PING_TIMEOUT_S = 10.0


class _Request(msgspec.Struct, array_like=True):
    auth_header: bytes
    body: bytes
    compressed: bool = False


class _Reply(msgspec.Struct, array_like=True):
    signature: bytes
    body: bytes
    compressed: bool = False


class _BytesCodec(grpclib.encoding.base.CodecBase):
    """Passes bytes through: messages are encoded before they are signed."""

    __content_subtype__ = "msgpack"

    def encode(self, message: bytes, message_type: type) -> bytes:
        return message

    def decode(self, data: bytes, message_type: type) -> bytes:
        return data


class RpcServer:
    """Serves unary calls; each call is handled in a greenlet.

    Args:
        address: (IP, port) to listen on; port 0 chooses a free port.
        handlers: maps the name of a method to its handler.
        signer: verifies requests and signs replies.
        limits: maps the name of a method to its maximum number of calls in
            flight; further calls are refused without being run.
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
        self._loop.run_coroutine(self._serve()).get()

    def stop(self) -> None:
        self._loop.run_coroutine(self._close()).get()

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
        self._server = rpc_messages.LimitedServer(
            [self],
            codec=_BytesCodec(),
            config=grpclib.config.Configuration(
                _keepalive_time=_RECEIVER_PING_S,
                _keepalive_timeout=_RECEIVER_PING_TIMEOUT_S,
                _keepalive_permit_without_calls=True,
                _http2_max_pings_without_data=0,
                _http2_min_sent_ping_interval_without_data=_RECEIVER_PING_S
                / 2,
            ),
        )
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
        in_flight = 0

        async def run(stream: grpclib.server.Stream) -> None:
            data = await rpc_messages.receive(stream)
            reply = await self._loop.run_in_greenlet(
                lambda data: self._handle(name, handler, data), data
            )
            await stream.send_message(reply)

        async def run_limited(stream: grpclib.server.Stream) -> None:
            nonlocal in_flight
            if in_flight >= limit:
                raise grpclib.GRPCError(
                    grpclib.const.Status.RESOURCE_EXHAUSTED,
                    f"{limit} calls of {name} are under way",
                )
            in_flight += 1
            try:
                await run(stream)
            finally:
                in_flight -= 1

        return run if limit is None else run_limited

    def _handle(self, name: str, handler: Handler, data: bytes) -> bytes:
        try:
            request = msgspec.msgpack.decode(data, type=_Request)
            nonce = self._signer.verify_request(
                name, request.auth_header, request.body
            )
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
        signature = self._signer.sign_reply(nonce, body)
        return msgspec.msgpack.encode(_Reply(signature, body, compressed))


class RpcClient:
    """Calls other processes over one connection to each address in use.

    Args:
        signer: signs requests and verifies replies.
        idle_timeout_s: seconds without a call after which a connection is
            closed by the next call to any address.
    """

    __slots__ = ("_signer", "_idle_timeout_s", "_loop", "_connections")

    def __init__(self, signer: auth.Signer, idle_timeout_s: float) -> None:
        self._signer = signer
        self._idle_timeout_s = idle_timeout_s
        self._loop = event_loop.get_event_loop_thread()
        self._connections: dict[str, rpc_connection.RpcConnection] = {}

    @property
    def connected_addresses(self) -> list[str]:
        """Addresses to which there is a connection."""
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
            timeout_s: seconds after which the call is abandoned.
        Returns: the reply.
        Raises:
            errors.NotConnected: nothing was sent.
            errors.ConnectionLost: the connection broke after the request may
                have been sent.
            errors.Timeout: no reply arrived in time.
            errors.Overloaded: the call was refused without being run.
            errors.RpcRefused: the receiver answered with an error.
            errors.AuthenticationFailed: a signature is not valid, or the
                request is too old or a repeat.
        """
        body, compressed = _pack(message)
        auth_header, nonce = self._signer.sign_request(method, body)
        request = msgspec.msgpack.encode(
            _Request(auth_header, body, compressed)
        )
        data = self._loop.run_coroutine(
            self._call(address, method, request, timeout_s)
        ).get()
        reply = msgspec.msgpack.decode(data, type=_Reply)
        self._signer.verify_reply(nonce, reply.signature, reply.body)
        answer = messages.decode(_unpack(reply))
        if isinstance(answer, messages.ErrorReply):
            raise errors.RpcRefused(answer.code, answer.text, answer.leader)
        return answer

    def close(self) -> None:
        """Close all connections."""
        self._loop.run_coroutine(self._close()).get()

    async def _close(self) -> None:
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def _call(
        self, address: str, method: str, request: bytes, timeout_s: float
    ) -> bytes:
        connection = self._get_connection(address)
        connection.begin_call()
        try:
            await connection.connect(timeout_s)
            return await self._call_on(
                connection.channel, address, method, request, timeout_s
            )
        finally:
            connection.end_call()

    async def _call_on(
        self,
        channel: rpc_connection.Channel,
        address: str,
        method: str,
        request: bytes,
        timeout_s: float,
    ) -> bytes:
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
            raise _to_transport_error(address, error) from error
        except (OSError, grpclib.exceptions.StreamTerminatedError) as error:
            raise errors.ConnectionLost(f"{address}: {error}") from error
        except Exception as error:
            # The library raises errors of many kinds where a connection ends
            # between two of its steps.
            if not channel.ended:
                raise
            raise errors.ConnectionLost(f"{address}: {error!r}") from error

    def _get_connection(self, address: str) -> rpc_connection.RpcConnection:
        self._close_idle(self._idle_timeout_s)
        connection = self._connections.get(address)
        if connection is None:
            connection = rpc_connection.make_rpc_connection(
                address, _BytesCodec(), self._drop_silent
            )
            self._connections[address] = connection
        return connection

    def _drop_silent(self, silent: rpc_connection.RpcConnection) -> None:
        """Use a new connection from the next call on.

        What has made one connection silent may have done so to others. Those
        in use find out by themselves; idle ones would cost a call each.
        """
        for address, connection in list(self._connections.items()):
            if connection is silent:
                del self._connections[address]
                self._loop.call_in_hub(
                    lambda address=address: self._log_silence(address)
                )
        self._close_idle(0.0)

    def _log_silence(self, address: str) -> None:
        logs.get_logger().warning("connection_silent", address=address)

    def _close_idle(self, timeout_s: float) -> None:
        oldest = time.monotonic() - timeout_s
        for address, connection in list(self._connections.items()):
            if not connection.in_use and connection.last_call_at < oldest:
                connection.close()
                del self._connections[address]


def _pack(message: messages.Message) -> tuple[bytes, bool]:
    """Returns: the body to send and whether it is compressed."""
    body = messages.encode(message)
    if len(body) < _MIN_COMPRESS_BYTES or message.skips_compression:
        return body, False
    return zlib.compress(body, 1), True


def _unpack(message: _Request | _Reply) -> bytes:
    """Returns: the uncompressed body of an authenticated message."""
    if not message.compressed:
        return message.body
    return zlib.decompress(message.body)


def _to_transport_error(
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
    """Returns: a server that has not been started."""
    return RpcServer(address, handlers, signer, limits or {})


def make_client(
    signer: auth.Signer, idle_timeout_s: float = IDLE_TIMEOUT_S
) -> RpcClient:
    return RpcClient(signer, idle_timeout_s)
