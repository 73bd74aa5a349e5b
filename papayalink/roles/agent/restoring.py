"""Imports kept pieces of a prompt while the engine computes others."""

import contextlib

import gevent
from gevent import event
import msgspec

from papayalink import clock as clocks
from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import links
from papayalink.coordination import restore as restores
from papayalink.protocol import pieces
from papayalink.roles.agent import locating
from papayalink.roles.agent import pieces_client
from papayalink.roles.agent import store_links
from papayalink.roles.agent import upstream as upstream_state

# Time between checks of a running import; a piece takes tens of milliseconds
# to compute.
CHECK_S = 0.02
# Rate at which the engine takes pieces before the first one; far above that
# of a network link, since both are on one VM.
ASSUMED_ENGINE_BYTES_PER_S = 2**30


class _Reading(msgspec.Struct):
    """The piece that is on its way.

    Attributes:
        store: store it is read from.
        size_bytes: its expected length.
        began: time in seconds.
    """

    store: str
    size_bytes: int
    began: float


class Restore:
    """The import of one prompt; made by a Restorer.

    Args:
        plan: what to import.
        is_probe: whether the import only measures a link, so that it is
            neither waited for nor reviewed.
    """

    __slots__ = (
        "_restorer",
        "_located",
        "_plan",
        "_is_probe",
        "_priority",
        "_queue_s",
        "_began",
        "_request_began",
        "_may_start",
        "_imported",
        "_reading",
        "_importer",
        "_watcher",
    )

    def __init__(
        self,
        restorer: "Restorer",
        located: locating.Located,
        plan: restores.Plan,
        is_probe: bool,
        priority: links.Priority,
        queue_s: float,
    ) -> None:
        self._restorer = restorer
        self._located = located
        self._plan = plan
        self._is_probe = is_probe
        self._priority = priority
        self._queue_s = queue_s
        self._began = plan.started_at
        self._request_began: float | None = None
        self._may_start = event.Event()
        self._imported = 0
        self._reading: _Reading | None = None
        self._importer: gevent.Greenlet | None = None
        self._watcher: gevent.Greenlet | None = None

    @property
    def imported(self) -> int:
        """Pieces that the engine took."""
        return self._imported

    @property
    def running(self) -> bool:
        """Whether pieces are still imported."""
        return self._importer is not None and not self._importer.ready()

    def start(self) -> None:
        """Start the import."""
        if self._is_probe or self._plan.split > 0 or not self._plan.order:
            self._may_start.set()
        if self._plan.order:
            self._importer = gevent.spawn(self._import_all)
            self._watcher = gevent.spawn(self._watch)

    def wait_to_start(self) -> None:
        """Wait until the engine may start on the prompt.

        An engine that starts computes the first piece at once. So if the
        plan is to import all pieces, the request waits for them, but at most
        for the time in which the engine computes one.
        """
        self._may_start.wait(self._plan.piece_s)
        self._request_began = self._restorer.clock.now()

    def stop(self) -> None:
        """End the import; returns when it has ended."""
        running = [
            task
            for task in (self._watcher, self._importer)
            if task is not None
        ]
        gevent.killall(running)

    def _import_all(self) -> None:
        names = {piece.store for piece in self._plan.order}
        try:
            with contextlib.ExitStack() as stack:
                for name in sorted(names):
                    link = self._restorer.agent_links.link(name)
                    stack.enter_context(link.restoring())
                for piece in self._plan.order:
                    if not self._import(piece):
                        break
                    self._imported += 1
                    if not self._is_worth():
                        break
        finally:
            self._may_start.set()
            self._restorer.report(self._imported, self._began)

    def _import(self, piece: restores.KeptPiece) -> bool:
        key = self._located.keys[piece.position]
        payload = self._read_any(piece.position)
        if payload is None:
            return False
        return self._restorer.give(
            key, self._located.digests[piece.position], payload
        )

    def _read_any(self, place: int) -> bytes | None:
        """Read a piece from the store that delivers it first, or another."""
        addresses = {
            store.name: store.address for store in self._located.holders(place)
        }
        while addresses:
            store = self._restorer.agent_links.choose(
                addresses, self._priority
            )
            address = addresses.pop(store)
            payload = self._read(store, address, place)
            if payload is not None:
                return payload
        return None

    def _read(self, store: str, address: str, place: int) -> bytes | None:
        key = self._located.keys[place]
        size_bytes = self._restorer.agent_links.piece_bytes
        link = self._restorer.agent_links.link(store)

        def move() -> bytes | None:
            now = self._restorer.clock.now
            reading = self._reading = _Reading(store, size_bytes, now())
            payload = None
            try:
                payload = self._restorer.client.read(address, key)
                return payload
            finally:
                self._reading = None
                self._restorer.record(reading, payload)

        return link.carry(key.workspace, self._priority, size_bytes, move)

    def _watch(self) -> None:
        while not self._importer.ready():
            self._importer.join(CHECK_S)
            if not self._importer.ready() and not self._is_worth():
                self._importer.kill()

    def _is_worth(self) -> bool:
        """Returns: whether the import is to go on."""
        if self._is_probe:
            return True
        now = self._restorer.clock.now()
        reading = self._reading
        rates = self._restorer.rates(
            {piece.store for piece in self._plan.order}, self._priority
        )
        partial = 0
        if reading is not None and reading.store in rates:
            rate = rates[reading.store].rate_bytes_per_s
            partial = int(rate * (now - reading.began))
            if partial >= reading.size_bytes:
                # It is late. It is expected to need as long again as it has
                # taken, which also bounds the rate of the link.
                partial = 0
                rates[reading.store] = restores.Link(
                    reading.size_bytes / (now - reading.began)
                )
        verdict = restores.progress(
            self._plan, now, self._observe(now, partial), rates
        )
        if isinstance(verdict, restores.Abandon):
            return False
        if verdict.split > 0:
            self._may_start.set()
        return True

    def _observe(self, now: float, partial: int) -> restores.Observed:
        began = self._request_began
        free_at = self._began + self._queue_s
        if began is None:
            return restores.Observed(self._imported, partial, 0, free_at)
        # The engine does not tell how far it is; it computes piece by piece.
        free_at = max(free_at, began)
        computed = 0
        if now >= free_at:
            computed = int((now - free_at) / self._plan.piece_s) + 1
            computed = min(computed, self._plan.count)
        free_at += computed * self._plan.piece_s
        return restores.Observed(self._imported, partial, computed, free_at)


class Restorer:
    """Plans imports and runs them.

    Args:
        engine: takes pieces.
        client: reads pieces.
        agent_links: links to the stores.
        engine_state: measured prefill rate.
        clock: time of transfers.
        metrics: counts pieces and times.
    """

    __slots__ = (
        "_engine",
        "_client",
        "_links",
        "_state",
        "_clock",
        "_metrics",
        "_engine_rate",
        "_log",
    )

    def __init__(
        self,
        engine: engines.Engine,
        client: pieces_client.PiecesClient,
        agent_links: store_links.StoreLinks,
        engine_state: upstream_state.EngineState,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._engine = engine
        self._client = client
        self._links = agent_links
        self._state = engine_state
        self._clock = clock
        self._metrics = metrics
        self._engine_rate = links.RateEstimate(ASSUMED_ENGINE_BYTES_PER_S)
        self._log = logs.get_logger()

    @property
    def client(self) -> pieces_client.PiecesClient:
        return self._client

    @property
    def agent_links(self) -> store_links.StoreLinks:
        return self._links

    @property
    def clock(self) -> clocks.Clock:
        return self._clock

    def begin(
        self,
        located: locating.Located,
        priority: links.Priority,
        queue_tokens: int = 0,
    ) -> Restore:
        """Start to import what is faster imported than computed.

        Args:
            located: where the pieces of the prompt are kept.
            priority: class of the transfers.
            queue_tokens: prompt tokens that the engine computes before, as
                the entry estimated them.
        Returns: the import, to be stopped at the first token of the request
            or at its end.
        """
        kept = self._kept(located, priority)
        queue_s = queue_tokens / self._state.prefill_rate
        prefill_rate = self._state.prefill_rate * located.token_ratio
        plan = restores.plan(
            len(located.keys),
            located.tail_tokens,
            kept,
            self.rates({piece.store for piece in kept}, priority),
            restores.Engine(prefill_rate, queue_s, can_meet=True),
            self._clock.now(),
        )
        is_probe = False
        if kept and not plan.order and self._is_stale(kept[-1].store):
            # A link that was slow is only measured again by using it.
            is_probe = True
            plan = msgspec.structs.replace(plan, order=(kept[-1],))
        started = Restore(self, located, plan, is_probe, priority, queue_s)
        started.start()
        return started

    def rates(
        self, stores: set[str], priority: links.Priority
    ) -> dict[str, restores.Link]:
        """Returns: links as a plan sees them, from read to import."""
        seen = {}
        for name in stores:
            link = self._links.link(name)
            read_rate = link.estimate.bytes_per_s
            rate = 1 / (1 / read_rate + 1 / self._engine_rate.bytes_per_s)
            queue_s = link.queued_bytes(priority) / read_rate
            seen[name] = restores.Link(rate, queue_s)
        return seen

    def record(self, reading: _Reading, payload: bytes | None) -> None:
        """Learn from a transfer that has ended, in any way."""
        now = self._clock.now()
        estimate = self._links.link(reading.store).estimate
        elapsed = now - reading.began
        if payload is not None:
            self._links.piece_bytes = len(payload)
            estimate.record(len(payload), elapsed, now)
        elif reading.size_bytes < elapsed * estimate.bytes_per_s:
            # It was stopped late, so the link is no faster than this.
            estimate.record(reading.size_bytes, elapsed, now)

    def give(self, key: pieces.PieceKey, digest: str, payload: bytes) -> bool:
        """Import one piece. Returns: whether the engine took it."""
        began = self._clock.now()
        try:
            self._engine.import_piece(
                key.workspace, key.weight_version, digest, payload
            )
        except adapter_errors.AdapterError as error:
            # Among them 409: the engine has other weights by now.
            self._log.warning("import_failed", reason=error)
            return False
        now = self._clock.now()
        self._engine_rate.record(len(payload), now - began, now)
        return True

    def report(self, imported: int, began: float) -> None:
        """Count an import that has ended."""
        if imported:
            seconds = self._clock.now() - began
            self._metrics.observe("restore", seconds)
            self._metrics.count("pieces_restored", imported)
            self._log.info(
                "cache_restored", pieces=imported, seconds=round(seconds, 4)
            )

    def _kept(
        self, located: locating.Located, priority: links.Priority
    ) -> list[restores.KeptPiece]:
        kept = []
        for place in range(len(located.keys)):
            names = [store.name for store in located.holders(place)]
            store = self._links.choose(names, priority)
            if store is not None:
                size_bytes = self._links.piece_bytes
                kept.append(restores.KeptPiece(place, size_bytes, store))
        return kept

    def _is_stale(self, store: str) -> bool:
        estimate = self._links.link(store).estimate
        return estimate.is_stale(self._clock.now())
