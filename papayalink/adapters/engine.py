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

# Number of tokens in one piece of an engine's cache.
PIECE_TOKENS = 2000

# An agent runs close to its engine; connecting takes a few milliseconds.
CONNECT_TIMEOUT_S = 1.0
# A sound engine may take no connections for up to 2 s. A SYN that it drops is
# sent again after 1 s and 3 s. One that has ended refuses at once.
CALL_CONNECT_TIMEOUT_S = 3.5

# Engines answer short calls (load, events, pieces) within milliseconds.
READ_TIMEOUT_S = 5.0

# A stream is silent while its request waits for a slot, which takes many
# seconds under overload.
STREAM_TIMEOUT_S = 120.0

# Loading weights takes about 0.8 s, and longer while several engines read from
# the weight store.
ORDER_TIMEOUT_S = 60.0

_DONE_EVENT = "data: [DONE]\n\n"
_JSON_HEADERS = [("Content-Type", "application/json")]


class CacheEvent(msgspec.Struct, frozen=True):
    """Report that a cache piece was stored or removed."""

    seq: int
    event: Literal["stored", "removed"]
    workspace: str
    weight_version: str
    digest: str


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events that follow a sequence number.

    `gap` is set when events are missing, so that a view of the cache that was
    built from events is no longer reliable. `last_seq` is the sequence number
    from which to continue.
    """

    events: list[CacheEvent]
    last_seq: int
    gap: bool


class Load(msgspec.Struct, frozen=True):
    """Load that an engine reports; it lags behind the actual load."""

    running: int
    waiting: int
    waiting_prefill_tokens: int
    cached_tokens: int
    weight_version: str
    slots: int = 0


class ModelInfo(msgspec.Struct, frozen=True):
    """Model or adapter that an engine has loaded, and its weight version."""

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
    """Compute the chained digests of the complete pieces of a prompt.

    Args:
        workspace: workspace of the prompt.
        weight_version: weight version that processes the prompt.
        tokens: token ids.
        adapter: adapter that processes the prompt, "" for the base model.

    Returns: one digest for each PIECE_TOKENS tokens: the BLAKE2b hash
        (16 bytes, in hex) of a prefix followed by the token ids as
        little-endian unsigned 64-bit integers. The prefix is the hex text of
        the previous digest; for the first piece it is the workspace, NUL and
        the weight version, and for an adapter also NUL and its name.
    """
    digests = []
    previous = f"{workspace}\0{weight_version}"
    if adapter:
        previous += f"\0{adapter}"
    for end in range(PIECE_TOKENS, len(tokens) + 1, PIECE_TOKENS):
        digest = hashlib.blake2b(previous.encode(), digest_size=16)
        digest.update(
            struct.pack(f"<{PIECE_TOKENS}Q", *tokens[end - PIECE_TOKENS : end])
        )
        previous = digest.hexdigest()
        digests.append(previous)
    return digests


class EventStream:
    """Server-sent events of one reply, yielded as they arrive.

    Iteration ends after the event `[DONE]`. It raises StreamCut when the
    stream ends in any other way, and Rejected before the first event when the
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
        if text == _DONE_EVENT:
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
        self._exchange.wait_for_head()
        if self._exchange.status != 200:
            _require_success(self._exchange.read_reply())
        return self._exchange.readline(b"\n\n").decode()


class PendingReply:
    """A reply that is not streamed and may still be outstanding."""

    __slots__ = ("_exchange",)

    def __init__(self, exchange: connection.Exchange) -> None:
        self._exchange = exchange

    def result(self) -> connection.Reply:
        """Wait for the reply, whatever its status.

        Raises: Interrupted when the connection failed or was closed.
        """
        try:
            return self._exchange.read_reply()
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

    Each POST call uses a new connection and is never repeated; GET and PUT
    calls share idle connections and may be repeated. All methods raise
    Unreachable when nothing was sent, Interrupted when the connection failed
    after that, InvalidReply for a malformed reply, and Rejected for an error
    status, unless their doc string says otherwise.
    """

    __slots__ = (
        "_connector",
        "_call_connector",
        "_read_timeout_s",
        "_stream_timeout_s",
    )

    def __init__(
        self,
        connector: connection.Connector,
        call_connector: connection.Connector,
        read_timeout_s: float,
        stream_timeout_s: float,
    ) -> None:
        self._connector = connector
        self._call_connector = call_connector
        self._read_timeout_s = read_timeout_s
        self._stream_timeout_s = stream_timeout_s

    @property
    def address(self) -> str:
        """HOST:PORT of the engine."""
        return self._connector.address

    def stream(self, path: str, body: bytes, request_id: str) -> EventStream:
        """Send a request whose reply is streamed.

        Args:
            path: `/v1/completions` or `/v1/chat/completions`.
            body: JSON body that requests a stream.
            request_id: id under which the stream can be resumed.

        Returns: the stream, as soon as the request has been sent.
        """
        headers = [*_JSON_HEADERS, ("X-Request-Id", request_id)]
        return self._open_stream(path, headers, body)

    def resume(self, request_id: str, received: int) -> EventStream:
        """Resume a stream whose connection was lost a short time ago.

        Args:
            request_id: id of the stream.
            received: number of tokens received so far.

        Returns: the rest of the stream; reading its first event raises
            Rejected with status 404 when the engine cannot resume it.
        """
        path = f"/v1/streams/{parse.quote(request_id, safe='')}/resume"
        body = msgspec.json.encode({"from": received})
        return self._open_stream(path, _JSON_HEADERS, body)

    def send(self, path: str, body: bytes, request_id: str) -> PendingReply:
        """Send a request whose reply is not streamed.

        Takes the same arguments as stream(); the body requests no stream.

        Returns: the outstanding reply, as soon as the request has been sent.
        """
        headers = [*_JSON_HEADERS, ("X-Request-Id", request_id)]
        return PendingReply(
            self._call_connector.open(
                "POST", path, self._stream_timeout_s, headers, body
            )
        )

    def complete(
        self, path: str, body: bytes, request_id: str
    ) -> connection.Reply:
        """Make a call and wait for the reply, whatever its status."""
        return self.send(path, body, request_id).result()

    def tokenize(self, body: bytes) -> list[int]:
        """Have the engine split a prompt into tokens.

        Args:
            body: JSON body with `prompt` or `messages`, such as the body of
                a completion request.

        Returns: the token ids.
        """
        reply = self._connector.call(
            "POST", "/tokenize", self._read_timeout_s, _JSON_HEADERS, body
        )
        return replies.decode(_require_success(reply), _Tokens).tokens

    def export_piece(
        self, workspace: str, weight_version: str, digest: str
    ) -> bytes | None:
        """Returns: the bytes of a cached piece, or None if not cached."""
        reply = self._connector.call_idempotent(
            "GET",
            _make_piece_target(workspace, weight_version, digest),
            self._read_timeout_s,
        )
        if reply.status == 404:
            return None
        return _require_success(reply).body

    def import_piece(
        self, workspace: str, weight_version: str, digest: str, data: bytes
    ) -> None:
        """Put the bytes of a piece into the engine's cache.

        Raises: VersionNotLoaded when the engine runs another weight version,
            and Rejected with status 507 when its cache has no room.
        """
        reply = self._connector.call_idempotent(
            "PUT",
            _make_piece_target(workspace, weight_version, digest),
            self._read_timeout_s,
            data,
        )
        if reply.status == 409:
            raise errors.VersionNotLoaded(reply.status, reply.body)
        _require_success(reply)

    def events_since(self, seq: int) -> CacheEvents:
        """Read the cache events after a sequence number (0 reads all).

        Returns: the events published so far, and whether any is missing.
            The loss of the newest event is detected only when a later event
            arrives.
        """
        reply = self._connector.call_idempotent(
            "GET", f"/kv/events?since={seq}", self._read_timeout_s
        )
        events = replies.decode(_require_success(reply), _Events).events
        seqs = [event.seq for event in events]
        expected_seqs = list(range(seq + 1, seq + 1 + len(seqs)))
        last_seq = seqs[-1] if seqs else seq
        return CacheEvents(events, last_seq, seqs != expected_seqs)

    def load(self) -> Load:
        """Returns: the load that the engine reports."""
        reply = self._connector.call_idempotent(
            "GET", "/load", self._read_timeout_s
        )
        return replies.decode(_require_success(reply), Load)

    def model(self) -> ModelInfo:
        """Returns: the loaded model; unlike load(), it is up to date."""
        return self.models()[0]

    def models(self) -> list[ModelInfo]:
        """Returns: the loaded model, then its adapters, up to date."""
        reply = self._connector.call_idempotent(
            "GET", "/v1/models", self._read_timeout_s
        )
        models = replies.decode(_require_success(reply), _Models).data
        if not models:
            raise errors.InvalidReply("the engine's list of models is empty")
        return models

    def order(
        self,
        fence: int,
        order: dict[str, str],
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        """Send an order and wait until the engine has carried it out.

        Args:
            fence: fencing token of the order.
            order: `action` and its arguments: `load_weights` with
                `weight_version`, `load_adapter` with `adapter`, or `set_role`
                with `role`.
            timeout_s: maximum time to wait for the outcome.

        Raises: OrderRefused when the engine has seen a higher fencing token.
        """
        reply = self._connector.call(
            "POST",
            "/orders",
            timeout_s,
            _JSON_HEADERS,
            msgspec.json.encode({**order, "fence": fence}),
        )
        if reply.status == 409:
            raise errors.OrderRefused(reply.status, reply.body)
        _require_success(reply)

    def close(self) -> None:
        """Close the idle connections."""
        self._connector.close()

    def _open_stream(self, path, headers, body):
        return EventStream(
            self._call_connector.open(
                "POST", path, self._stream_timeout_s, headers, body
            )
        )


def make_engine(
    address: str,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    read_timeout_s: float = READ_TIMEOUT_S,
    stream_timeout_s: float = STREAM_TIMEOUT_S,
    call_connect_timeout_s: float = CALL_CONNECT_TIMEOUT_S,
) -> Engine:
    """Make the adapter of one engine; it connects on first use.

    Args:
        address: HOST:PORT of the engine.
        connect_timeout_s: time allowed for connecting for short calls.
        read_timeout_s: time allowed without progress in a short call.
        stream_timeout_s: time allowed without progress in a completion,
            streamed or not.
        call_connect_timeout_s: time allowed for connecting for a completion.
    """
    return Engine(
        connection.Connector(address, connect_timeout_s),
        connection.Connector(address, call_connect_timeout_s),
        read_timeout_s,
        stream_timeout_s,
    )


def _make_piece_target(workspace, weight_version, digest):
    query = parse.urlencode(
        {"workspace": workspace, "weight_version": weight_version}
    )
    return f"/kv/pieces/{digest}?{query}"


def _require_success(reply):
    if not 200 <= reply.status < 300:
        raise errors.Rejected(reply.status, reply.body)
    return reply
