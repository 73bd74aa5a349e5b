"""Work that all entries have at each replica, summed at a control member."""

from collections import Counter
from collections.abc import Iterable

from papayalink.protocol import messages

# An entry that did not report for this long has stopped, or has turned to
# another member; its calls end or are counted there.
REPORT_AGE_S = 2.0


class LoadBoard:
    """Newest report of each entry."""

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
        """Take what an entry has at the replicas, and cannot reach."""
        self._reports[entry] = (now, work)
        self._lost[entry] = (now, lost)

    def lost_to_others(self, entry: str, now: float) -> tuple[str, ...]:
        """Returns: replicas that some other entry cannot reach."""
        self._lost = {
            name: report
            for name, report in self._lost.items()
            if now - report[0] < REPORT_AGE_S
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

    def others(
        self, entry: str, now: float
    ) -> tuple[messages.ReplicaWork, ...]:
        """Returns: sums over all other entries, by replica."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report[0] < REPORT_AGE_S
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
    """Returns: one entry for each replica, ordered by its id."""
    sums: dict[str, tuple[Counter[int], ...]] = {}
    for work in reported:
        counts = sums.setdefault(
            work.replica_id, (Counter(), Counter(), Counter())
        )
        for count, more in zip(
            counts, (work.calls, work.prefill, work.memory)
        ):
            count.update(dict(more))
    return tuple(
        messages.ReplicaWork(
            replica_id, *(tuple(sorted(count.items())) for count in counts)
        )
        for replica_id, counts in sorted(sums.items())
    )


def make_load_board() -> LoadBoard:
    return LoadBoard()
