"""Model engines with an OpenAI-compatible interface."""

from collections.abc import Iterator
import hashlib
import struct
from typing import Literal
from urllib import parse

import msgspec

from papayalink.adapters import connection
from papayalink.adapters import errors
from papayalink.adapters import replies

# Tokens of one cache piece of the engines.
PIECE_TOKENS = 2000

# Connecting takes a few milliseconds at most; an agent is beside its engine.
CONNECT_TIMEOUT_S = 1.0

# Short calls (load, events, pieces) are answered within milliseconds.
READ_TIMEOUT_S = 5.0

# A stream is silent while its request waits for a slot, which during a flood
# takes many seconds.
STREAM_TIMEOUT_S = 120.0

# Loading weights takes about 0.8 s, and longer while the store is shared.
ORDER_TIMEOUT_S = 60.0

_END = "data: [DONE]\n\n"
_JSON = [("Content-Type", "application/json")]


class CacheEvent(msgspec.Struct, frozen=True):
    """A cache piece was stored or removed."""

    seq: int
    event: Literal["stored", "removed"]
    workspace: str
    weight_version: str
    digest: str


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after a sequence number.

    `gap` tells that events are missing, so the holder of a picture of the
    cache can no longer rely on it. `last_seq` is where to go on.
    """

    events: list[CacheEvent]
    last_seq: int
    gap: bool


class Load(msgspec.Struct, frozen=True):
    """Load of an engine, as it was some time ago."""

    running: int
    waiting: int
    waiting_prefill_tokens: int
    cached_tokens: int
    weight_version: str
    slots: int = 0


class ModelInfo(msgspec.Struct, frozen=True):
    """Model or adapter, and weight version, that an engine has loaded now."""

    name: str = msgspec.field(name="id")
    weight_version: str
    role: str


class _Models(msgspec.Struct):
    data: list[ModelInfo]


class _Tokens(msgspec.Struct):
    tokens: list[int]


class _Events(msgspec.Struct):
    events: list[CacheEvent]


def piece_digests(
    workspace: str,
    weight_version: str,
    tokens: list[int],
    adapter: str = "",
) -> list[str]:
    """Chained digests of the whole pieces of a prompt.

    Args:
        workspace: workspace of the prompt.
        weight_version: weight version that computes it.
        tokens: token ids.
        adapter: adapter that computes it, "" for the plain model.

    Returns: one digest for each PIECE_TOKENS tokens; each is the blake2b
        (16 bytes, hex) of the previous digest's text, or for the first piece
        of workspace, NUL and weight version (and, for an adapter, NUL and
        its name), followed by the token ids as little-endian unsigned 64-bit
        integers.
    """
    digests = []
    parent = f"{workspace}\0{weight_version}"
    if adapter:
        parent += f"\0{adapter}"
    for end in range(PIECE_TOKENS, len(tokens) + 1, PIECE_TOKENS):
        digest = hashlib.blake2b(parent.encode(), digest_size=16)
        digest.update(
            struct.pack(f"<{PIECE_TOKENS}Q", *tokens[end - PIECE_TOKENS : end])
        )
        parent = digest.hexdigest()
        digests.append(parent)
    return digests


class EventStream:
    """Server-sent events of one reply, each handed over as it arrives.

    Iteration ends after the event `[DONE]`. It raises StreamCut when the
    stream ends in any other way, and before the first event Rejected when the
    engine does not accept the request.
    """

    __slots__ = ("_exchange", "_ended")

    def __init__(self, exchange: connection.Exchange) -> None:
        self._exchange = exchange
        self._ended = False

    def __iter__(self) -> Iterator[str]:
        return self

    def __next__(self) -> str:
        if self._ended:
            raise StopIteration
        try:
            text = self._next_event()
        except (*connection.FAILURES, UnicodeDecodeError) as error:
            self.close()
            raise errors.StreamCut(f"stream failed: {error!r}") from error
        except BaseException:
            self.close()
            raise
        if not text:
            self.close()
            raise errors.StreamCut("stream ended without [DONE]")
        if text == _END:
            self.close()
        return text

    def close(self) -> None:
        """Close the connection at once, so that the engine cancels.

        May be called from any greenlet; one that waits for the next event
        then gets StreamCut.
        """
        self._ended = True
        self._exchange.close()

    def _next_event(self):
        self._exchange.wait()
        if self._exchange.status != 200:
            _accepted(self._exchange.reply())
        return self._exchange.readline(b"\n\n").decode()


class WholeReply:
    """A reply that is waited for as a whole."""

    __slots__ = ("_exchange",)

    def __init__(self, exchange: connection.Exchange) -> None:
        self._exchange = exchange

    def result(self) -> connection.Reply:
        """Wait for the reply, whatever its status.

        Raises: Interrupted when the connection failed or was closed.
        """
        try:
            return self._exchange.reply()
        except connection.FAILURES as error:
            raise errors.Interrupted(repr(error)) from error
        finally:
            self._exchange.close()

    def close(self) -> None:
        """Close the connection at once, so that the engine cancels.

        May be called from any greenlet.
        """
        self._exchange.close()


class Engine:
    """One model engine.

    POST calls use a fresh connection each and are never repeated; GET and
    PUT calls share kept connections. All methods raise Unreachable when
    nothing was sent, Interrupted when the connection failed later,
    InvalidReply, and Rejected for other error statuses.
    """

    __slots__ = ("_connector", "_read_timeout_s", "_stream_timeout_s")

    def __init__(
        self,
        connector: connection.Connector,
        read_timeout_s: float,
        stream_timeout_s: float,
    ) -> None:
        self._connector = connector
        self._read_timeout_s = read_timeout_s
        self._stream_timeout_s = stream_timeout_s

    @property
    def address(self) -> str:
        """HOST:PORT of the engine."""
        return self._connector.address

    def stream(self, path: str, body: bytes, request_id: str) -> EventStream:
        """Start a streamed reply.

        Args:
            path: `/v1/completions` or `/v1/chat/completions`.
            body: JSON body that asks for a stream.
            request_id: id under which the stream can be resumed.

        Returns: the stream, once the request has been sent.
        """
        headers = [*_JSON, ("X-Request-Id", request_id)]
        return self._open_stream(path, headers, body)

    def resume(self, request_id: str, received: int) -> EventStream:
        """Continue a stream whose connection was lost a moment ago.

        Args:
            request_id: id of the stream.
            received: number of tokens received so far.

        Returns: the rest of the stream; its first step raises Rejected with
            status 404 when the engine cannot continue it.
        """
        path = f"/v1/streams/{parse.quote(request_id, safe='')}/resume"
        body = msgspec.json.encode({"from": received})
        return self._open_stream(path, _JSON, body)

    def whole(self, path: str, body: bytes, request_id: str) -> WholeReply:
        """Start a reply that comes as a whole.

        Takes the same as stream().

        Returns: the reply to wait for, once the request has been sent.
        """
        headers = [*_JSON, ("X-Request-Id", request_id)]
        return WholeReply(
            self._connector.open(
                "POST", path, self._stream_timeout_s, headers, body
            )
        )

    def complete(
        self, path: str, body: bytes, request_id: str
    ) -> connection.Reply:
        """Make a call and wait for its whole reply, whatever its status."""
        return self.whole(path, body, request_id).result()

    def tokenize(self, body: bytes) -> list[int]:
        """Token ids of a prompt.

        Args:
            body: JSON body with `prompt` or `messages`, such as that of a
                completion.

        Returns: token ids.
        """
        reply = self._connector.call(
            "POST", "/tokenize", self._read_timeout_s, _JSON, body
        )
        return replies.decode(_accepted(reply), _Tokens).tokens

    def export_piece(
        self, workspace: str, weight_version: str, digest: str
    ) -> bytes | None:
        """Returns: the bytes of a cached piece, None when not cached."""
        reply = self._connector.call_idempotent(
            "GET",
            _piece_target(workspace, weight_version, digest),
            self._read_timeout_s,
        )
        if reply.status == 404:
            return None
        return _accepted(reply).body

    def import_piece(
        self, workspace: str, weight_version: str, digest: str, data: bytes
    ) -> None:
        """Give the engine the bytes of a piece.

        Raises: VersionNotLoaded when the engine runs another version, and
            Rejected with status 507 when its cache has no room.
        """
        reply = self._connector.call_idempotent(
            "PUT",
            _piece_target(workspace, weight_version, digest),
            self._read_timeout_s,
            data,
        )
        if reply.status == 409:
            raise errors.VersionNotLoaded(reply.status, reply.body)
        _accepted(reply)

    def events_since(self, seq: int) -> CacheEvents:
        """Cache events after a sequence number, 0 for all.

        Returns: the events published so far, and whether any is missing.
            The loss of the newest event shows only with the next one.
        """
        reply = self._connector.call_idempotent(
            "GET", f"/kv/events?since={seq}", self._read_timeout_s
        )
        events = replies.decode(_accepted(reply), _Events).events
        numbers = [event.seq for event in events]
        expected = list(range(seq + 1, seq + 1 + len(numbers)))
        last_seq = numbers[-1] if numbers else seq
        return CacheEvents(events, last_seq, numbers != expected)

    def load(self) -> Load:
        """Returns: the load that the engine reports."""
        reply = self._connector.call_idempotent(
            "GET", "/load", self._read_timeout_s
        )
        return replies.decode(_accepted(reply), Load)

    def model(self) -> ModelInfo:
        """Returns: the loaded model; unlike load(), this does not lag."""
        return self.models()[0]

    def models(self) -> list[ModelInfo]:
        """Returns: the loaded model, then its adapters; does not lag."""
        reply = self._connector.call_idempotent(
            "GET", "/v1/models", self._read_timeout_s
        )
        models = replies.decode(_accepted(reply), _Models).data
        if not models:
            raise errors.InvalidReply("the engine lists no model")
        return models

    def order(
        self,
        fence: int,
        order: dict[str, str],
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        """Have an order carried out; returns when it has been.

        Args:
            fence: fencing number of the order.
            order: `action` and its arguments: `load_weights` with
                `weight_version`, `load_adapter` with `adapter`, or `set_role`
                with `role`.
            timeout_s: longest time to wait for the outcome.

        Raises: OrderRefused when the engine has seen a newer fence.
        """
        reply = self._connector.call(
            "POST",
            "/orders",
            timeout_s,
            _JSON,
            msgspec.json.encode({**order, "fence": fence}),
        )
        if reply.status == 409:
            raise errors.OrderRefused(reply.status, reply.body)
        _accepted(reply)

    def close(self) -> None:
        """Close the kept connections."""
        self._connector.close()

    def _open_stream(self, path, headers, body):
        return EventStream(
            self._connector.open(
                "POST", path, self._stream_timeout_s, headers, body
            )
        )


def make_engine(
    address: str,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    read_timeout_s: float = READ_TIMEOUT_S,
    stream_timeout_s: float = STREAM_TIMEOUT_S,
) -> Engine:
    """Make the adapter of one engine; connects when first used.

    Args:
        address: HOST:PORT of the engine.
        connect_timeout_s: time allowed for connecting.
        read_timeout_s: longest silence of a short call.
        stream_timeout_s: longest silence of a stream or a whole reply.
    """
    return Engine(
        connection.Connector(address, connect_timeout_s),
        read_timeout_s,
        stream_timeout_s,
    )


def _piece_target(workspace, weight_version, digest):
    query = parse.urlencode(
        {"workspace": workspace, "weight_version": weight_version}
    )
    return f"/kv/pieces/{digest}?{query}"


def _accepted(reply):
    if not 200 <= reply.status < 300:
        raise errors.Rejected(reply.status, reply.body)
    return reply
