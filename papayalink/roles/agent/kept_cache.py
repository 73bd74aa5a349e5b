"""Restores kept cache before a request runs, and keeps it afterwards."""

from collections.abc import Callable

import gevent
from gevent import queue
import msgspec

from papayalink import clock as clocks
from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink import tasks
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import placement
from papayalink.coordination import retention
from papayalink.protocol import pieces
from papayalink.protocol import relay
from papayalink.roles.agent import pieces_client
from papayalink.roles.agent import upstream as upstream_state
from papayalink.state import document as documents

# A token is at least one byte of a prompt, so a shorter body has no full
# piece and needs no tokenizing.
MIN_BODY_BYTES = pieces.PIECE_TOKENS
# Prompts that wait to be kept; more are not kept, which costs a recompute.
MAX_WAITING = 64


class Located(msgspec.Struct):
    """The pieces of one prompt and where they are kept.

    Attributes:
        keys: keys in stores, in prompt order.
        digests: the engine's own names of the same pieces.
        stores: stores that own the prompt, best first.
        present: for each store, which pieces it has published.
    """

    keys: list[pieces.PieceKey]
    digests: list[str]
    stores: list[documents.Store]
    present: list[tuple[bool, ...]]

    def holder(self, place: int) -> documents.Store | None:
        """Returns: a store that has published the piece, if any."""
        for store, flags in zip(self.stores, self.present):
            if flags[place]:
                return store
        return None

    def prefix(self) -> int:
        """Returns: number of pieces kept from the start without a gap."""
        for place in range(len(self.keys)):
            if self.holder(place) is None:
                return place
        return len(self.keys)


class KeptCache:
    """Moves pieces between one engine and the stores.

    Args:
        engine: adapter of the engine.
        client: reads and writes pieces.
        document: configuration in force.
        engine_state: measured prefill rate.
    """

    __slots__ = (
        "_engine",
        "_client",
        "_document",
        "_state",
        "_clock",
        "_metrics",
        "_waiting",
        "_restoring",
        "_log",
    )

    def __init__(
        self,
        engine: engines.Engine,
        client: pieces_client.PiecesClient,
        document: Callable[[], documents.Document],
        engine_state: upstream_state.EngineState,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._engine = engine
        self._client = client
        self._document = document
        self._state = engine_state
        self._clock = clock
        self._metrics = metrics
        self._waiting = queue.Queue(MAX_WAITING)
        self._restoring = 0
        self._log = logs.get_logger()

    def start(self) -> None:
        tasks.spawn(self._run)

    def restore(self, request: relay.RelayRequest) -> Located | None:
        """Bring the kept prefix of a prompt into the engine.

        Returns: what was found, None when the prompt has no full piece.
        """
        located = self._locate(request)
        if located is None:
            return None
        began = self._clock.now()
        self._restoring += 1
        try:
            restored = self._import_prefix(located)
        finally:
            self._restoring -= 1
        if restored:
            seconds = self._clock.now() - began
            self._metrics.observe("restore", seconds, rank=request.rank)
            self._metrics.count("pieces_restored", restored)
            self._log.info(
                "cache_restored",
                request_id=request.request_id,
                pieces=restored,
                seconds=round(seconds, 4),
            )
        return located

    def keep(self, located: Located) -> None:
        """Copy the pieces of a prompt that ran to its stores, later."""
        if not self._waiting.full():
            self._waiting.put_nowait(located)

    def _locate(self, request: relay.RelayRequest) -> Located | None:
        if len(request.body) < MIN_BODY_BYTES:
            return None
        stores = [
            store for store in self._document().stores if not store.draining
        ]
        if not stores:
            return None
        try:
            tokens = self._engine.tokenize(request.body)
        except adapter_errors.AdapterError as error:
            self._log.warning("tokenize_failed", reason=error)
            return None
        scope = (request.workspace, request.weight_version)
        keys = pieces.piece_keys(*scope, tokens)
        if not keys:
            return None
        owners = placement.owners(keys[0].digest, stores)
        lookups = [
            gevent.spawn(self._client.lookup, store.address, keys)
            for store in owners
        ]
        gevent.joinall(lookups)
        return Located(
            keys,
            engines.piece_digests(*scope, tokens),
            owners,
            [lookup.value for lookup in lookups],
        )

    def _import_prefix(self, located: Located) -> int:
        for place in range(located.prefix()):
            if not self._import(located, place):
                return place
        return located.prefix()

    def _import(self, located: Located, place: int) -> bool:
        key = located.keys[place]
        store = located.holder(place)
        payload = store and self._client.read(store.address, key)
        if payload is None:
            self._metrics.count("pieces_missed")
            return False
        try:
            self._engine.import_piece(
                key.workspace,
                key.weight_version,
                located.digests[place],
                payload,
            )
        except adapter_errors.AdapterError as error:
            self._log.warning("import_failed", reason=error)
            return False
        return True

    def _run(self) -> None:
        while True:
            located = self._waiting.get()
            for place in range(len(located.keys)):
                # Restores of waiting callers go first on the link.
                while self._restoring:
                    gevent.sleep(_PAUSE_S)
                if not self._copy(located, place):
                    break

    def _copy(self, located: Located, place: int) -> bool:
        """Copy one piece to its first store.

        Returns: whether the next piece is worth a try.
        """
        if located.holder(place) is not None:
            return True
        key = located.keys[place]
        try:
            payload = self._engine.export_piece(
                key.workspace, key.weight_version, located.digests[place]
            )
        except adapter_errors.AdapterError as error:
            self._log.warning("export_failed", reason=error)
            return False
        if payload is None:
            return False
        facts = retention.make_facts(located.keys, self._state.prefill_rate)
        for store in located.stores:
            if self._client.write(store.address, key, payload, facts[place]):
                self._metrics.count("pieces_kept")
                return True
        self._metrics.count("pieces_not_kept")
        return False


_PAUSE_S = 0.01


def make_kept_cache(
    engine: engines.Engine,
    client: pieces_client.PiecesClient,
    document: Callable[[], documents.Document],
    engine_state: upstream_state.EngineState,
    clock: clocks.Clock,
    metrics: metrics_module.Metrics,
) -> KeptCache:
    """Returns: kept cache whose copying task is not yet started."""
    return KeptCache(engine, client, document, engine_state, clock, metrics)
