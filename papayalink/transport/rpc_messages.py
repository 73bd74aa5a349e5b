"""Limits of RPC messages; the library reads any length that a peer names.

A message is verified once it is whole, so until then it may come from anyone.
"""

import asyncio
import functools

import grpclib.const
import grpclib.protocol
import grpclib.server

# Twice the largest document.
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
# Time within which a request is whole, once its headers have arrived.
RECEIVE_TIMEOUT_S = 30.0


class _Stream(grpclib.protocol.Stream):
    """Refuses to wait for more than a message may have."""

    async def recv_data(self, size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise grpclib.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT,
                f"message of {size} bytes is too long",
            )
        return await super().recv_data(size)


class LimitedProtocol(grpclib.protocol.H2Protocol):
    """Limits the messages of a connection."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        connection = self.connection
        connection.create_stream = functools.partial(
            _Stream, connection, connection._connection, transport
        )


class LimitedServer(grpclib.server.Server):
    """Limits the messages of all its connections."""

    def _protocol_factory(self) -> LimitedProtocol:
        made = super()._protocol_factory()
        return LimitedProtocol(made.handler, made.config, made.h2_config)


async def receive(stream: grpclib.server.Stream) -> bytes:
    """Receive the request of a call.

    Raises: grpclib.GRPCError: it is too long, or not whole in time.
    """
    try:
        return await asyncio.wait_for(stream.recv_message(), RECEIVE_TIMEOUT_S)
    except TimeoutError as error:
        raise grpclib.GRPCError(
            grpclib.const.Status.DEADLINE_EXCEEDED,
            f"request is not whole within {RECEIVE_TIMEOUT_S:g} s",
        ) from error
