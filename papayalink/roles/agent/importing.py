"""The import of one prompt's kept pieces while its request runs."""

import contextlib

import gevent
from gevent import event

from papayalink.coordination import links
from papayalink.coordination import restore as restores
from papayalink.roles.agent import locating
from papayalink.roles.agent import transfers

# Period of the checks whether a running import is still worthwhile. The engine
# takes tens of milliseconds to compute a piece.
CHECK_PERIOD_S = 0.02


class Restore:
    """The import of one prompt; created by a Restorer.

    Args:
        piece_transfers: transfers pieces and measures rates.
        located: where the pieces of the prompt are kept.
        plan: which pieces to import, and in which order.
        is_probe: whether the import only measures a link. The request does
            not wait for a probe, and a probe is not abandoned.
        priority: class of the transfers.
        queue_s: time until the engine has computed the prompts ahead.
    """

    __slots__ = (
        "_transfers",
        "_located",
        "_plan",
        "_is_probe",
        "_priority",
        "_queue_s",
        "_started_at",
        "_request_started_at",
        "_may_start",
        "_imported",
        "_current_read",
        "_importer",
        "_watcher",
    )

    def __init__(
        self,
        piece_transfers: transfers.Transfers,
        located: locating.LocatedPrompt,
        plan: restores.Plan,
        is_probe: bool,
        priority: links.Priority,
        queue_s: float,
    ) -> None:
        self._transfers = piece_transfers
        self._located = located
        self._plan = plan
        self._is_probe = is_probe
        self._priority = priority
        self._queue_s = queue_s
        self._started_at = plan.started_at
        self._request_started_at: float | None = None
        self._may_start = event.Event()
        self._imported = 0
        self._current_read: transfers.PieceRead | None = None
        self._importer: gevent.Greenlet | None = None
        self._watcher: gevent.Greenlet | None = None

    @property
    def imported(self) -> int:
        """Number of pieces that the engine has imported."""
        return self._imported

    @property
    def running(self) -> bool:
        """Whether the import is still in progress."""
        return self._importer is not None and not self._importer.ready()

    def start(self) -> None:
        """Start the import."""
        if self._is_probe or self._plan.split > 0 or not self._plan.order:
            self._may_start.set()
        if self._plan.order:
            self._importer = gevent.spawn(self._import_all)
            self._watcher = gevent.spawn(self._watch)

    def wait_to_start(self) -> None:
        """Wait until the request may be sent to the engine.

        The engine computes the first piece as soon as it has the request. So
        if the plan imports all pieces, the request waits for them, but no
        longer than the engine needs to compute one piece.
        """
        self._may_start.wait(self._plan.piece_s)
        self._request_started_at = self._transfers.clock.now()

    def stop(self) -> None:
        """Stop the import and wait until it has ended."""
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
                    stack.enter_context(link.hold_copies())
                for piece in self._plan.order:
                    if not self._import(piece):
                        break
                    self._imported += 1
                    if not self._should_continue():
                        break
        finally:
            self._may_start.set()
            self._transfers.report(self._imported, self._started_at)

    def _import(self, piece: restores.KeptPiece) -> bool:
        key = self._located.keys[piece.position]
        payload = self._read_any(piece.position)
        if payload is None:
            self._transfers.count("pieces_missed")
            return False
        return self._transfers.import_piece(
            key, self._located.digests[piece.position], payload
        )

    def _read_any(self, position: int) -> bytes | None:
        """Read a piece from the fastest store, or else from another one."""
        addresses = {
            store.name: store.address
            for store in self._located.holders(position)
        }
        while addresses:
            store = self._transfers.agent_links.choose(
                addresses, self._priority
            )
            address = addresses.pop(store)
            payload = self._read(store, address, position)
            if payload is not None:
                return payload
        return None

    def _read(self, store: str, address: str, position: int) -> bytes | None:
        key = self._located.keys[position]
        size_bytes = self._transfers.agent_links.piece_bytes
        link = self._transfers.agent_links.link(store)

        def read_piece() -> bytes | None:
            now = self._transfers.clock.now
            current_read = self._current_read = transfers.PieceRead(
                store, size_bytes, now()
            )
            payload = None
            try:
                payload = self._transfers.client.read(address, key)
                return payload
            finally:
                self._current_read = None
                self._transfers.record(current_read, payload)

        return link.run_transfer(
            key.workspace, self._priority, size_bytes, read_piece
        )

    def _watch(self) -> None:
        while not self._importer.ready():
            self._importer.join(CHECK_PERIOD_S)
            if not self._importer.ready() and not self._should_continue():
                self._importer.kill()

    def _should_continue(self) -> bool:
        """Returns: whether the import is still faster than computing."""
        if self._is_probe:
            return True
        now = self._transfers.clock.now()
        current_read = self._current_read
        rates = self._transfers.rates(
            {piece.store for piece in self._plan.order}, self._priority
        )
        partial_bytes = 0
        if current_read is not None and current_read.store in rates:
            rate = rates[current_read.store].rate_bytes_per_s
            partial_bytes = int(rate * (now - current_read.started_at))
            if partial_bytes >= current_read.size_bytes:
                # The read is late. It is expected to take as long again as
                # it has taken so far, which also bounds the link's rate.
                partial_bytes = 0
                rates[current_read.store] = restores.Link(
                    current_read.size_bytes / (now - current_read.started_at)
                )
        observed = self._observe(now, partial_bytes)
        decision = restores.replan(self._plan, now, observed, rates)
        if isinstance(decision, restores.Abandon):
            remaining = self._plan.run_end - self._imported
            if observed.computed < remaining:
                # Otherwise the computation has reached the imported pieces.
                self._transfers.count("restores_abandoned")
            return False
        if decision.split > 0:
            self._may_start.set()
        return True

    def _observe(self, now: float, partial_bytes: int) -> restores.Observed:
        request_started_at = self._request_started_at
        free_at = self._started_at + self._queue_s
        if request_started_at is None:
            return restores.Observed(self._imported, partial_bytes, 0, free_at)
        # The engine does not report its progress. It computes piece by piece,
        # so the progress is estimated from the time that one piece takes.
        free_at = max(free_at, request_started_at)
        computed = 0
        if now >= free_at:
            computed = int((now - free_at) / self._plan.piece_s) + 1
            computed = min(computed, self._plan.count)
        free_at += computed * self._plan.piece_s
        return restores.Observed(
            self._imported, partial_bytes, computed, free_at
        )
