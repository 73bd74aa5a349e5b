"""Sums of all entries' work at each replica, kept at a control member."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from papayalink.protocol import messages

# Reports are ignored after this time. By then the entry has stopped, so that
# its calls end, or it reports to another member, which counts them.
MAX_REPORT_AGE_S = 2.0


class _Report(msgspec.Struct, frozen=True):
    """Newest report of one entry."""

    reported_at: float
    work: tuple[messages.ReplicaWork, ...]
    lost: tuple[str, ...]


class _Sum:
    """Work of all entries at one replica, by urgency."""

    __slots__ = ("calls", "prefill", "memory", "_replica_id", "_whole")

    def __init__(self, replica_id: str) -> None:
        self._replica_id = replica_id
        # Sum over all entries, None after a change.
        self._whole: messages.ReplicaWork | None = None
        self.calls: dict[int, int] = {}
        self.prefill: dict[int, int] = {}
        self.memory: dict[int, int] = {}

    def add(self, work: messages.ReplicaWork, sign: int) -> None:
        self._whole = None
        _add_amounts(self.calls, work.calls, sign)
        _add_amounts(self.prefill, work.prefill, sign)
        _add_amounts(self.memory, work.memory, sign)

    @property
    def is_empty(self) -> bool:
        return not (self.calls or self.prefill or self.memory)

    @property
    def whole(self) -> messages.ReplicaWork:
        if self._whole is None:
            self._whole = self.without(messages.ReplicaWork(self._replica_id))
        return self._whole

    def without(self, own: messages.ReplicaWork) -> messages.ReplicaWork:
        """Returns: the sum less the work of one entry."""
        return messages.ReplicaWork(
            self._replica_id,
            _subtract(self.calls, own.calls),
            _subtract(self.prefill, own.prefill),
            _subtract(self.memory, own.memory),
        )


class LoadReports:
    """Sums up the newest report of each entry.

    The sums change with each report and are not computed anew for each entry
    that asks: its cost is that of the replicas, whatever the number of
    entries.
    """

    __slots__ = ("_reports", "_sums", "_lost")

    def __init__(self) -> None:
        # By entry, the oldest report first.
        self._reports: dict[str, _Report] = {}
        self._sums: dict[str, _Sum] = {}
        self._lost: Counter[str] = Counter()

    def report(
        self,
        entry: str,
        work: tuple[messages.ReplicaWork, ...],
        now: float,
        lost: tuple[str, ...] = (),
    ) -> None:
        """Record the report of an entry.

        Args:
            work: its unfinished work at replicas.
            lost: replicas that it cannot reach.
        """
        self._remove(entry)
        self._reports[entry] = _Report(now, work, lost)
        self._add(work, 1)
        self._lost.update(lost)

    def entries(self, now: float) -> int:
        """Returns: number of entries that reported recently."""
        self._expire(now)
        return len(self._reports)

    def lost_to_others(
        self, entry: str, now: float, min_entries: int = 1
    ) -> tuple[str, ...]:
        """Returns: replicas that so many other entries cannot reach."""
        self._expire(now)
        report = self._reports.get(entry)
        own = report.lost if report else ()
        return tuple(
            sorted(
                replica_id
                for replica_id, count in self._lost.items()
                if count - own.count(replica_id) >= min_entries
            )
        )

    def work_of_others(
        self, entry: str, now: float
    ) -> tuple[messages.ReplicaWork, ...]:
        """Returns: sums of the work of all other entries, by replica."""
        self._expire(now)
        report = self._reports.get(entry)
        own = {
            each.replica_id: each for each in (report.work if report else ())
        }
        others = (
            (
                total.without(own[replica_id])
                if replica_id in own
                else total.whole
            )
            for replica_id, total in sorted(self._sums.items())
        )
        return tuple(
            work
            for work in others
            if work.calls or work.prefill or work.memory
        )

    def _expire(self, now: float) -> None:
        while self._reports:
            entry, report = next(iter(self._reports.items()))
            if now - report.reported_at < MAX_REPORT_AGE_S:
                return
            self._remove(entry)

    def _remove(self, entry: str) -> None:
        report = self._reports.pop(entry, None)
        if report is None:
            return
        self._add(report.work, -1)
        self._lost.subtract(report.lost)
        self._lost = +self._lost

    def _add(
        self, reported: Iterable[messages.ReplicaWork], sign: int
    ) -> None:
        for work in reported:
            total = self._sums.get(work.replica_id)
            if total is None:
                total = self._sums[work.replica_id] = _Sum(work.replica_id)
            total.add(work, sign)
            if total.is_empty:
                del self._sums[work.replica_id]


def _add_amounts(
    totals: dict[int, int], amounts: Iterable[tuple[int, int]], sign: int
) -> None:
    for urgency, amount in amounts:
        total = totals.get(urgency, 0) + sign * amount
        if total:
            totals[urgency] = total
        else:
            totals.pop(urgency, None)


def _subtract(
    totals: dict[int, int], amounts: Iterable[tuple[int, int]]
) -> tuple[tuple[int, int], ...]:
    own = dict(amounts)
    return tuple(
        (urgency, total - own.get(urgency, 0))
        for urgency, total in sorted(totals.items())
        if total != own.get(urgency, 0)
    )


def make_load_reports() -> LoadReports:
    return LoadReports()
