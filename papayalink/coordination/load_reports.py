"""Sums of all entries' work at each replica, kept at a control member."""

from collections import Counter
from collections.abc import Iterable

from papayalink.protocol import messages

# Reports are ignored after this time. By then the entry has stopped, so that
# its calls end, or it reports to another member, which counts them.
MAX_REPORT_AGE_S = 2.0


class LoadReports:
    """Holds the newest report of each entry."""

    __slots__ = ("_reports", "_lost")

    def __init__(self) -> None:
        self._reports: dict[
            str, tuple[float, tuple[messages.ReplicaWork, ...]]
        ] = {}
        self._lost: dict[str, tuple[float, tuple[str, ...]]] = {}

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
        self._reports[entry] = (now, work)
        self._lost[entry] = (now, lost)

    def lost_to_others(self, entry: str, now: float) -> tuple[str, ...]:
        """Returns: replicas that at least one other entry cannot reach."""
        self._lost = {
            name: report
            for name, report in self._lost.items()
            if now - report[0] < MAX_REPORT_AGE_S
        }
        return tuple(
            sorted(
                {
                    replica_id
                    for name, (_, lost) in self._lost.items()
                    if name != entry
                    for replica_id in lost
                }
            )
        )

    def work_of_others(
        self, entry: str, now: float
    ) -> tuple[messages.ReplicaWork, ...]:
        """Returns: sums of the work of all other entries, by replica."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report[0] < MAX_REPORT_AGE_S
        }
        return add_up(
            work
            for name, (_, reported) in self._reports.items()
            if name != entry
            for work in reported
        )


def add_up(
    reported: Iterable[messages.ReplicaWork],
) -> tuple[messages.ReplicaWork, ...]:
    """Returns: one sum for each replica, ordered by replica id."""
    sums: dict[str, tuple[Counter[int], ...]] = {}
    for work in reported:
        counters = sums.setdefault(
            work.replica_id, (Counter(), Counter(), Counter())
        )
        for counter, amounts in zip(
            counters, (work.calls, work.prefill, work.memory)
        ):
            counter.update(dict(amounts))
    return tuple(
        messages.ReplicaWork(
            replica_id,
            *(tuple(sorted(counter.items())) for counter in counters),
        )
        for replica_id, counters in sorted(sums.items())
    )


def make_load_reports() -> LoadReports:
    return LoadReports()
