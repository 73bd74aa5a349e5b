"""Load reports of upstreams, shared between control members."""

from collections.abc import Iterable

import msgspec

from papayalink import clock as clocks
from papayalink.protocol import messages

# Older reports no longer describe the current load.
MAX_AGE_S = 10.0


class _Entry(msgspec.Struct):
    report: messages.LoadReport
    received_at: float


class LoadTable:
    """Newest report of each upstream, whichever member received it."""

    __slots__ = ("_clock", "_entries", "_unshared")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._unshared: set[str] = set()

    def receive(self, report: messages.LoadReport) -> None:
        """Store a report received from its agent."""
        self._update(report)
        self._unshared.add(report.upstream)

    def merge(self, reports: Iterable[messages.LoadReport]) -> None:
        """Store reports forwarded by another member."""
        for report in reports:
            self._update(report)

    def take_unshared(self) -> tuple[messages.LoadReport, ...]:
        """Returns: reports received from agents since the last call."""
        reports = self.select(self._unshared)
        self._unshared.clear()
        return reports

    def select(
        self, upstreams: Iterable[str]
    ) -> tuple[messages.LoadReport, ...]:
        """Returns: recent reports of the named upstreams, with their age."""
        now = self._clock.now()
        reports = []
        for name in upstreams:
            entry = self._entries.get(name)
            if entry is None or now - entry.received_at > MAX_AGE_S:
                continue
            reports.append(
                msgspec.structs.replace(
                    entry.report,
                    age_ms=round((now - entry.received_at) * 1000),
                )
            )
        return tuple(reports)

    def names(self) -> list[str]:
        """Returns: upstreams with a recent report."""
        return [report.upstream for report in self.select(self._entries)]

    def _update(self, report: messages.LoadReport) -> None:
        received_at = self._clock.now() - report.age_ms / 1000
        entry = self._entries.get(report.upstream)
        if entry is None or received_at >= entry.received_at:
            self._entries[report.upstream] = _Entry(report, received_at)


def make_load_table(clock: clocks.Clock) -> LoadTable:
    return LoadTable(clock)
