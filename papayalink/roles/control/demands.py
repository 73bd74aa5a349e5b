"""Divides the limits of workspaces between entries by their demand."""

from collections.abc import Iterable

import msgspec

from papayalink import clock as clocks
from papayalink.coordination import limits
from papayalink.protocol import messages
from papayalink.state import document as documents

# A share lapses after this time, so an entry that has not polled since then
# uses none.
MAX_AGE_S = limits.SHARE_LAPSE_S
# A limit is divided between all entries once per period. Dividing it for each
# poll takes 7.7 cores with 360 entries and 130 workspaces each.
SHARE_PERIOD_S = 0.5


class _Entry(msgspec.Struct):
    demand: dict[str, messages.Demand]
    received_at: float


class DemandTable:
    """Newest demand of each entry, whichever control member received it."""

    __slots__ = (
        "_clock",
        "_entries",
        "_unshared",
        "_indexed_document",
        "_limited_workspaces",
        "_shares_by_workspace",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._unshared: set[str] = set()
        self._indexed_document: documents.Document | None = None
        self._limited_workspaces: dict[str, documents.Workspace] = {}
        self._shares_by_workspace: dict[
            str, tuple[float, dict[str, messages.Demand]]
        ] = {}

    def receive(self, entry: str, demand: Iterable[messages.Demand]) -> None:
        """Store the demand from an entry's poll."""
        self.merge(entry, demand)
        self._unshared.add(entry)

    def merge(self, entry: str, demand: Iterable[messages.Demand]) -> None:
        """Store the demand of an entry, as forwarded by another member."""
        by_workspace = {item.workspace: item for item in demand}
        self._entries[entry] = _Entry(by_workspace, self._clock.now())

    def take_unshared(
        self,
    ) -> tuple[tuple[str, tuple[messages.Demand, ...]], ...]:
        """Returns: demand of the entries that polled since the last call."""
        names, self._unshared = self._unshared, set()
        return tuple(
            (name, tuple(self._entries[name].demand.values()))
            for name in names
        )

    def shares(
        self, entry: str, document: documents.Document
    ) -> tuple[messages.Demand, ...]:
        """Divide the limits of the workspaces in an entry's demand.

        Returns: the entry's share of the limits of each limited workspace.
        """
        own = self._entries.get(entry)
        if own is None:
            return ()
        if document is not self._indexed_document:
            self._indexed_document = document
            self._limited_workspaces = {
                workspace.name: workspace
                for workspace in document.workspaces
                if workspace.tokens_per_s or workspace.max_in_flight
            }
            self._shares_by_workspace.clear()
        return tuple(
            self._share(entry, self._limited_workspaces[name])
            for name in own.demand
            if name in self._limited_workspaces
        )

    def _share(
        self, entry: str, workspace: documents.Workspace
    ) -> messages.Demand:
        now = self._clock.now()
        cached = self._shares_by_workspace.get(workspace.name)
        if cached is None or now - cached[0] > SHARE_PERIOD_S:
            cached = (now, self._share_out(workspace, now))
            self._shares_by_workspace[workspace.name] = cached
        own = cached[1].get(entry)
        if own is not None:
            return own
        # The entry's first demand came after the limit was divided.
        tokens = limits.floor_share(workspace.tokens_per_s, len(self._entries))
        return messages.Demand(workspace.name, tokens, 0)

    def _share_out(
        self, workspace: documents.Workspace, now: float
    ) -> dict[str, messages.Demand]:
        live = [
            (name, entry.demand.get(workspace.name))
            for name, entry in self._entries.items()
            if now - entry.received_at <= MAX_AGE_S
        ]
        asking = {name: demand for name, demand in live if demand is not None}
        idle_count = len(live) - len(asking)
        tokens = limits.divide_limit(
            workspace.tokens_per_s,
            {name: demand.tokens_per_s for name, demand in asking.items()},
            idle_count,
        )
        in_flight = limits.divide_whole_limit(
            workspace.max_in_flight,
            {name: demand.in_flight for name, demand in asking.items()},
            idle_count,
        )
        return {
            name: messages.Demand(
                workspace.name, tokens[name], in_flight[name]
            )
            for name in asking
        }


def make_demand_table(clock: clocks.Clock) -> DemandTable:
    return DemandTable(clock)
