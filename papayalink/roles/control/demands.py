"""Shares out the limits of workspaces to entries by their demand."""

from collections.abc import Iterable

import msgspec

from papayalink import clock as clocks
from papayalink.coordination import limits
from papayalink.protocol import messages
from papayalink.state import document as documents

# An entry that has not polled for as long as a share counts uses none.
MAX_AGE_S = limits.LAPSE_S
# A limit is shared out to all entries at once and not anew for each poll: with
# 360 entries and 130 workspaces each that took 7.7 cores.
SHARE_PERIOD_S = 0.5


class _Entry(msgspec.Struct):
    demand: dict[str, messages.Demand]
    taken_at: float


class DemandTable:
    """Newest demand of each entry, whichever member received it."""

    __slots__ = (
        "_clock",
        "_entries",
        "_unshared",
        "_indexed",
        "_limited",
        "_shared",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._unshared: set[str] = set()
        self._indexed: documents.Document | None = None
        self._limited: dict[str, documents.Workspace] = {}
        self._shared: dict[str, tuple[float, dict[str, messages.Demand]]] = {}

    def receive(self, entry: str, demand: Iterable[messages.Demand]) -> None:
        """Take the demand of an entry's poll."""
        self.merge(entry, demand)
        self._unshared.add(entry)

    def merge(self, entry: str, demand: Iterable[messages.Demand]) -> None:
        """Take demand that another member received."""
        by_workspace = {one.workspace: one for one in demand}
        self._entries[entry] = _Entry(by_workspace, self._clock.now())

    def take_unshared(
        self,
    ) -> tuple[tuple[str, tuple[messages.Demand, ...]], ...]:
        """Returns: demand received from entries since the last call."""
        names, self._unshared = self._unshared, set()
        return tuple(
            (name, tuple(self._entries[name].demand.values()))
            for name in names
        )

    def shares(
        self, entry: str, document: documents.Document
    ) -> tuple[messages.Demand, ...]:
        """Share out the limits of the workspaces in an entry's demand.

        Returns: what the entry may admit of each limited workspace.
        """
        own = self._entries.get(entry)
        if own is None:
            return ()
        if document is not self._indexed:
            self._indexed = document
            self._limited = {
                space.name: space
                for space in document.workspaces
                if space.tokens_per_s or space.max_in_flight
            }
            self._shared.clear()
        return tuple(
            self._share(entry, self._limited[name])
            for name in own.demand
            if name in self._limited
        )

    def _share(
        self, entry: str, space: documents.Workspace
    ) -> messages.Demand:
        now = self._clock.now()
        known = self._shared.get(space.name)
        if known is None or now - known[0] > SHARE_PERIOD_S:
            known = (now, self._share_out(space, now))
            self._shared[space.name] = known
        own = known[1].get(entry)
        if own is not None:
            return own
        # The entry asked after the limit was shared out.
        tokens = limits.floor_share(space.tokens_per_s, len(self._entries))
        return messages.Demand(space.name, tokens, 0)

    def _share_out(
        self, space: documents.Workspace, now: float
    ) -> dict[str, messages.Demand]:
        live = [
            (name, known.demand.get(space.name))
            for name, known in self._entries.items()
            if now - known.taken_at <= MAX_AGE_S
        ]
        asking = {name: one for name, one in live if one is not None}
        silent = len(live) - len(asking)
        tokens = limits.share_out(
            space.tokens_per_s,
            {name: one.tokens_per_s for name, one in asking.items()},
            silent,
        )
        in_flight = limits.share_out_whole(
            space.max_in_flight,
            {name: one.in_flight for name, one in asking.items()},
            silent,
        )
        return {
            name: messages.Demand(space.name, tokens[name], in_flight[name])
            for name in asking
        }


def make_demand_table(clock: clocks.Clock) -> DemandTable:
    return DemandTable(clock)
