"""The import of one prompt's kept pieces beside its request."""

import contextlib

import gevent
from gevent import event

from papayalink.coordination import links
from papayalink.coordination import restore as restores
from papayalink.roles.agent import locating
from papayalink.roles.agent import transfers

# Time between checks of a running import; a piece takes tens of milliseconds
# to compute.
CHECK_S = 0.02


class Restore:
    """The import of one prompt; made by a Restorer.

    Args:
        moves: moves pieces and knows the rates.
        located: where the pieces of the prompt are kept.
        plan: what to import.
        is_probe: whether the import only measures a link, so that it is
            neither waited for nor reviewed.
    """

    __slots__ = (
        "_transfers",
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
        moves: transfers.Transfers,
        located: locating.Located,
        plan: restores.Plan,
        is_probe: bool,
        priority: links.Priority,
        queue_s: float,
    ) -> None:
        self._transfers = moves
        self._located = located
        self._plan = plan
        self._is_probe = is_probe
        self._priority = priority
        self._queue_s = queue_s
        self._began = plan.started_at
        self._request_began: float | None = None
        self._may_start = event.Event()
        self._imported = 0
        self._reading: transfers.Reading | None = None
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
        self._request_began = self._transfers.clock.now()

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
                    link = self._transfers.agent_links.link(name)
                    stack.enter_context(link.restoring())
                for piece in self._plan.order:
                    if not self._import(piece):
                        break
                    self._imported += 1
                    if not self._is_worth():
                        break
        finally:
            self._may_start.set()
            self._transfers.report(self._imported, self._began)

    def _import(self, piece: restores.KeptPiece) -> bool:
        key = self._located.keys[piece.position]
        payload = self._read_any(piece.position)
        if payload is None:
            self._transfers.count("pieces_missed")
            return False
        return self._transfers.give(
            key, self._located.digests[piece.position], payload
        )

    def _read_any(self, place: int) -> bytes | None:
        """Read a piece from the store that delivers it first, or another."""
        addresses = {
            store.name: store.address for store in self._located.holders(place)
        }
        while addresses:
            store = self._transfers.agent_links.choose(
                addresses, self._priority
            )
            address = addresses.pop(store)
            payload = self._read(store, address, place)
            if payload is not None:
                return payload
        return None

    def _read(self, store: str, address: str, place: int) -> bytes | None:
        key = self._located.keys[place]
        size_bytes = self._transfers.agent_links.piece_bytes
        link = self._transfers.agent_links.link(store)

        def move() -> bytes | None:
            now = self._transfers.clock.now
            reading = self._reading = transfers.Reading(
                store, size_bytes, now()
            )
            payload = None
            try:
                payload = self._transfers.client.read(address, key)
                return payload
            finally:
                self._reading = None
                self._transfers.record(reading, payload)

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
        now = self._transfers.clock.now()
        reading = self._reading
        rates = self._transfers.rates(
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
        observed = self._observe(now, partial)
        verdict = restores.progress(self._plan, now, observed, rates)
        if isinstance(verdict, restores.Abandon):
            left = self._plan.last - self._imported
            if observed.computed < left:
                # Otherwise the engine has met the import.
                self._transfers.count("restores_abandoned")
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
