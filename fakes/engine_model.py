"""Simulated engine: continuous batching, prefix cache, priorities."""

import collections
import hashlib
import heapq
import struct
import zlib

import msgspec

# Tokens in a cache block, as in the design page. An exported block is
# called a piece.
PIECE_TOKENS = 2000

_PIECE_MAGIC = b"KV01"


def tokens_of(text: str) -> list[int]:
    """Returns: one token id for each whitespace-separated word."""
    return [zlib.crc32(word.encode()) for word in text.split()]


def _pack(tokens: list[int]) -> bytes:
    return struct.pack(f"<{len(tokens)}Q", *tokens)


def _chained_digest(parent: str, packed: bytes) -> str:
    digest = hashlib.blake2b(parent.encode(), digest_size=16)
    digest.update(packed)
    return digest.hexdigest()


def _cache_scope(workspace: str, weight_version: str, adapter: str) -> str:
    scope = f"{workspace}\0{weight_version}"
    return f"{scope}\0{adapter}" if adapter else scope


def answer_words(
    workspace: str,
    weight_version: str,
    tokens: list[int],
    count: int,
    adapter: str = "",
) -> list[str]:
    """Compute the answer to a prompt.

    Returns: `count` words `wN-HASH`. HASH differs between workspaces,
        weight versions, adapters and prompts.
    """
    answer_hash = _answer_hash(workspace, weight_version, tokens, adapter)
    return [f"w{index}-{answer_hash}" for index in range(count)]


def _answer_hash(workspace, weight_version, tokens, adapter):
    seed = f"{_cache_scope(workspace, weight_version, adapter)}\0answer"
    return _chained_digest(seed, _pack(tokens))[:12]


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Options of an engine.

    Times are in seconds; `event_drop_rate` is a probability.
    """

    model: str = "demo-model"
    weight_version: str = "v1"
    role: str = "mixed"
    slots: int = 8
    prefill_tokens_per_s: float = 20_000.0
    decode_interval_s: float = 0.01
    cache_tokens: int = 400_000
    bytes_per_token: int = 64
    load_time_s: float = 0.8
    adapter_load_time_s: float = 0.0
    missing_adapter: str = ""
    weight_store: str = ""
    check_fencing: bool = False
    load_lag_s: float = 0.0
    event_delay_s: float = 0.0
    event_drop_rate: float = 0.0
    resume_window_s: float = 5.0
    seed: int = 1


class Block:
    """One cached block of a prompt.

    Attributes:
        key: workspace, weight version and digest.
        parent: digest of the preceding block of the prompt. For the first
            block, the cache scope if the request is for an adapter, else
            empty.
        packed: packed token ids.
        poisoned: whether the content is wrong, or computed from wrong blocks.
        pins: number of running requests that use the block.
    """

    __slots__ = ("key", "parent", "packed", "poisoned", "pins")

    def __init__(self, key, parent, packed, poisoned=False):
        self.key = key
        self.parent = parent
        self.packed = packed
        self.poisoned = poisoned
        self.pins = 0


class Request:
    """One prompt and the progress of its answer.

    The model does not read `context`, which belongs to the caller.
    """

    __slots__ = (
        "request_id",
        "workspace",
        "tokens",
        "max_tokens",
        "priority",
        "sequence",
        "weight_version",
        "digests",
        "position",
        "block_tokens_left",
        "cached_tokens",
        "poisoned",
        "emitted_before",
        "emitted",
        "state",
        "blocks",
        "answer_hash",
        "on_change",
        "context",
        "adapter",
    )

    def __init__(
        self,
        request_id,
        workspace,
        tokens,
        max_tokens,
        priority=0,
        emitted_before=0,
        weight_version="",
        context=None,
        adapter="",
    ):
        self.request_id = request_id
        self.workspace = workspace
        self.tokens = tokens
        self.max_tokens = max_tokens
        self.priority = priority
        # Number of tokens at which emission continues: the original request
        # emitted them before its connection was lost.
        self.emitted_before = emitted_before
        self.sequence = 0
        # The caller sets it only for a resumed stream, which must not
        # continue with other weights.
        self.weight_version = weight_version
        self.context = context
        self.adapter = adapter
        self.digests = []
        self.position = 0
        # Prompt tokens of the current block that are not computed yet; None
        # between blocks.
        self.block_tokens_left = None
        self.cached_tokens = 0
        self.poisoned = False
        self.emitted = 0
        self.state = "new"
        self.blocks = []
        self.answer_hash = ""
        self.on_change = lambda: None

    def word(self, index: int) -> str:
        """Returns: one word of the answer, once it has been emitted."""
        if index == 0 and self.poisoned:
            return "CORRUPT"
        return f"w{index}-{self.answer_hash}"

    @property
    def finished(self) -> bool:
        """Whether the whole answer has been generated."""
        return self.state == "finished"

    @property
    def cancelled(self) -> bool:
        """Whether the request ended before its answer was complete."""
        return self.state == "cancelled"


class Model:
    """State of an engine, which has no clock: callers pass the current time.

    One admitted request at a time is prefilled, the most urgent one and
    among equals the oldest. All decoding requests emit one token at each
    step. A request gets its weight version when it gets a slot.

    Args:
        options: rates and sizes.
        now: current time in seconds.
        on_event: called with (kind, block) when a block is stored or removed.
    """

    def __init__(self, options: Options, now: float, on_event=None) -> None:
        self.weight_version = options.weight_version
        self.cancelled = 0
        self.finished = 0
        self._options = options
        self._time = now
        self._on_event = on_event or (lambda kind, block: None)
        self._sequence = 0
        self._waiting = []
        self._prefilling = []
        self._decoding = []
        self._next_step_at = None
        self._cache = collections.OrderedDict()

    def submit(self, request: Request, now: float) -> None:
        """Queue a request."""
        self.advance(now)
        self._sequence += 1
        request.sequence = self._sequence
        request.state = "waiting"
        heapq.heappush(
            self._waiting, (request.priority, request.sequence, request)
        )
        self.advance(now)

    def cancel(self, request: Request, now: float) -> bool:
        """Free the slot of a request at once.

        Returns: False when the request had already ended.
        """
        self.advance(now)
        if request.state in ("finished", "cancelled"):
            return False
        if request.state == "waiting":
            self._waiting = [w for w in self._waiting if w[2] is not request]
            heapq.heapify(self._waiting)
        self._release(request, "cancelled")
        self.cancelled += 1
        self.advance(now)
        return True

    def advance(self, now: float) -> float | None:
        """Carry out everything that is due by `now`.

        Returns: time of the next change, None when idle.
        """
        while True:
            self._admit()
            current = min(
                self._prefilling,
                key=lambda r: (r.priority, r.sequence),
                default=None,
            )
            if current is not None and current.block_tokens_left is None:
                self._start_block(current)
                continue
            due = self._next_step_at
            if current is not None:
                block_done_at = (
                    self._time
                    + current.block_tokens_left
                    / self._options.prefill_tokens_per_s
                )
                due = block_done_at if due is None else min(due, block_done_at)
            until = now if due is None else min(now, due)
            if until > self._time:
                if current is not None:
                    current.block_tokens_left -= (
                        until - self._time
                    ) * self._options.prefill_tokens_per_s
                self._time = until
            if due is None or due > now:
                return due
            if current is not None and block_done_at <= due:
                self._finish_block(current)
            else:
                self._decode_step()

    def swap(self, weight_version: str, now: float) -> None:
        """Use new weights for requests that get a slot after this call."""
        self.advance(now)
        self.weight_version = weight_version
        self._drop_stale()
        self.advance(now)

    def load(self) -> dict:
        """Returns: counts of requests and tokens, and the weight version."""
        waiting = sum(len(w[2].tokens) for w in self._waiting)
        prefilling = sum(len(r.tokens) - r.position for r in self._prefilling)
        return {
            "running": len(self._prefilling) + len(self._decoding),
            "waiting": len(self._waiting),
            "waiting_prefill_tokens": waiting + prefilling,
            "cached_tokens": len(self._cache) * PIECE_TOKENS,
            "slots": self._options.slots,
            "weight_version": self.weight_version,
            "cancelled": self.cancelled,
            "finished": self.finished,
        }

    def export_piece(self, key: tuple[str, str, str]) -> bytes | None:
        """Returns: the bytes of a cached block, None when not cached."""
        block = self._cache.get(key)
        if block is None:
            return None
        return _piece_bytes(
            key, block.parent, block.packed, self._options.bytes_per_token
        )

    def import_piece(
        self, key: tuple[str, str, str], data: bytes, now: float
    ) -> bool:
        """Add a block from its exported bytes.

        Bytes that do not match the key make a poisoned block, so that a
        wrong import shows in the answer.

        Args:
            key: workspace, weight version and digest.
            data: what export_piece() returned for the same key.
            now: current time in seconds.

        Returns: False when every block of a full cache is in use.
        """
        self.advance(now)
        block = _parse_piece(key, data, self._options.bytes_per_token)
        return self._store(block)

    def evict_all(self, now: float) -> None:
        """Drop every block that no running request uses."""
        self.advance(now)
        for block in list(self._cache.values()):
            if not block.pins:
                self._remove(block)

    def _admit(self):
        while (
            self._waiting
            and len(self._prefilling) + len(self._decoding)
            < self._options.slots
        ):
            request = heapq.heappop(self._waiting)[2]
            if request.weight_version not in ("", self.weight_version):
                self._release(request, "cancelled")
                request.on_change()
                continue
            request.state = "prefilling"
            request.weight_version = self.weight_version
            request.digests = self._block_digests(request)
            self._prefilling.append(request)

    def _block_digests(self, request):
        digests = []
        parent = self._scope_of(request)
        for start in range(
            0, len(request.tokens) // PIECE_TOKENS * PIECE_TOKENS, PIECE_TOKENS
        ):
            packed = _pack(request.tokens[start : start + PIECE_TOKENS])
            parent = _chained_digest(parent, packed)
            digests.append(parent)
        return digests

    def _scope_of(self, request):
        return _cache_scope(
            request.workspace, request.weight_version, request.adapter
        )

    def _key(self, request, index):
        return (
            request.workspace,
            request.weight_version,
            request.digests[index],
        )

    def _start_block(self, request):
        index = request.position // PIECE_TOKENS
        if index < len(request.digests):
            block = self._cache.get(self._key(request, index))
            if block is not None:
                self._pin(request, block)
                request.cached_tokens += PIECE_TOKENS
                request.position += PIECE_TOKENS
            else:
                request.block_tokens_left = PIECE_TOKENS
        else:
            # At least the last token is computed, even if all blocks of the
            # prompt are cached, since it yields the first word.
            request.block_tokens_left = max(
                1, len(request.tokens) - request.position
            )

    def _finish_block(self, request):
        request.block_tokens_left = None
        index = request.position // PIECE_TOKENS
        if index < len(request.digests):
            start = request.position
            request.position += PIECE_TOKENS
            key = self._key(request, index)
            block = self._cache.get(key)
            if block is None:
                root = self._scope_of(request) if request.adapter else ""
                block = Block(
                    key,
                    request.digests[index - 1] if index else root,
                    _pack(request.tokens[start : start + PIECE_TOKENS]),
                    request.poisoned,
                )
                if not self._store(block):
                    return
            self._pin(request, block)
            return
        request.position = len(request.tokens)
        self._prefilling.remove(request)
        self._decoding.append(request)
        request.state = "decoding"
        request.answer_hash = _answer_hash(
            request.workspace,
            request.weight_version,
            request.tokens,
            request.adapter,
        )
        request.emitted = request.emitted_before
        if self._next_step_at is None:
            self._next_step_at = self._time + self._options.decode_interval_s
        self._emit_token(request)

    def _decode_step(self):
        for request in list(self._decoding):
            self._emit_token(request)
        self._next_step_at += self._options.decode_interval_s
        if not self._decoding:
            self._next_step_at = None

    def _emit_token(self, request):
        request.emitted = min(request.emitted + 1, request.max_tokens)
        if request.emitted == request.max_tokens:
            self.finished += 1
            self._release(request, "finished")
        request.on_change()

    def _release(self, request, state):
        request.state = state
        for requests in (self._prefilling, self._decoding):
            if request in requests:
                requests.remove(request)
        # The end of a prompt is released first, so that it is evicted before
        # the start, which more prompts share.
        for block in reversed(request.blocks):
            block.pins -= 1
            if block.key in self._cache:
                self._cache.move_to_end(block.key)
        request.blocks = []
        self._drop_stale()

    def _pin(self, request, block):
        block.pins += 1
        request.blocks.append(block)
        request.poisoned = request.poisoned or block.poisoned

    def _store(self, block):
        if block.key in self._cache:
            self._cache[block.key].poisoned |= block.poisoned
            return True
        max_blocks = self._options.cache_tokens // PIECE_TOKENS
        if len(self._cache) >= max_blocks:
            victim = next(
                (b for b in self._cache.values() if not b.pins), None
            )
            if victim is None:
                return False
            self._remove(victim)
        self._cache[block.key] = block
        self._on_event("stored", block)
        return True

    def _remove(self, block):
        del self._cache[block.key]
        self._on_event("removed", block)

    def _drop_stale(self):
        for block in list(self._cache.values()):
            if block.key[1] != self.weight_version and not block.pins:
                self._remove(block)


def _piece_bytes(key, parent, packed, bytes_per_token):
    header = msgspec.msgpack.encode((key, parent, packed))
    size = PIECE_TOKENS * bytes_per_token
    head = _PIECE_MAGIC + struct.pack("<I", len(header)) + header
    if len(head) > size:
        raise ValueError(f"bytes_per_token={bytes_per_token} is too small")
    return head + hashlib.shake_128(header).digest(size - len(head))


def _parse_piece(key, data, bytes_per_token):
    """Returns: the block, poisoned unless the bytes match the key."""
    try:
        (length,) = struct.unpack_from("<I", data, len(_PIECE_MAGIC))
        start = len(_PIECE_MAGIC) + 4
        _, parent, packed = msgspec.msgpack.decode(
            data[start : start + length],
            type=tuple[tuple[str, str, str], str, bytes],
        )
        valid = data == _piece_bytes(key, parent, packed, bytes_per_token)
    except (struct.error, msgspec.MsgspecError):
        return Block(key, "", b"", True)
    seed = parent or f"{key[0]}\0{key[1]}"
    valid = valid and _chained_digest(seed, packed) == key[2]
    return Block(key, parent, packed, not valid)
