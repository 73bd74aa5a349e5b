"""Budget of the links to stores: rates, order of transfers."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import enum

import msgspec

# Weight of the newest transfer. With 0.4 an estimate is within 15% of a new
# rate after four transfers, and one slow transfer does not halve it.
_NEWEST_WEIGHT = 0.4

# A transfer below this multiple of the estimate counts as a sign of a slowed
# link; after so many in a row the estimate takes the new rate at once.
_SLOW_FACTOR = 0.5
_SLOW_COUNT = 2

# Transfers both smaller and shorter than this measure latency rather than the
# link.
_MIN_SAMPLE_BYTES = 64 * 1024
_MIN_SAMPLE_S = 1.0

# An estimate this old may be of a link that has recovered.
_STALE_S = 30.0


class RateEstimate:
    """Rate of one link, estimated from own transfers.

    Args:
        assumed_bytes_per_s: rate before the first transfer.
    """

    __slots__ = ("_rate", "_slow", "_measured", "_updated_at", "_assumed")

    def __init__(self, assumed_bytes_per_s: float) -> None:
        self._assumed = assumed_bytes_per_s
        self._rate = assumed_bytes_per_s
        self._slow: list[float] = []
        self._measured = False
        self._updated_at = 0.0

    @property
    def bytes_per_s(self) -> float:
        return self._rate

    def is_stale(self, now: float) -> bool:
        """Returns: whether the link should be measured again."""
        return not self._measured or now - self._updated_at > _STALE_S

    def record(self, size_bytes: int, duration_s: float, now: float) -> None:
        """Record a whole transfer or the received part of a running one.

        Args:
            size_bytes: bytes received.
            duration_s: time they took, without the wait for the link.
            now: time in seconds.
        """
        if duration_s <= 0:
            return
        if size_bytes < _MIN_SAMPLE_BYTES and duration_s < _MIN_SAMPLE_S:
            return
        rate = max(1.0, size_bytes / duration_s)
        self._updated_at = now
        if not self._measured:
            self._measured = True
            self._rate = rate
            return
        if rate < _SLOW_FACTOR * self._rate:
            self._slow.append(rate)
            if len(self._slow) >= _SLOW_COUNT:
                self._rate = max(self._slow)
                self._slow.clear()
                return
        else:
            self._slow.clear()
        self._rate += _NEWEST_WEIGHT * (rate - self._rate)


class Priority(enum.IntEnum):
    """Classes of transfers; a lower one goes first."""

    URGENT_RESTORE = 0
    OTHER_RESTORE = 1
    BACKGROUND_COPY = 2


class Transfer(msgspec.Struct, frozen=True):
    """A transfer that waits for a link.

    Args:
        name: unique name, chosen by the caller.
        workspace: workspace of the piece.
        priority: class of the transfer.
        size_bytes: length of the encoded piece.
    """

    name: str
    workspace: str
    priority: Priority
    size_bytes: int


class LinkQueue:
    """Decides which transfer a link carries next.

    A lower class waits for the higher ones. Within a class workspaces take
    turns by bytes, so that many or large transfers of one do not delay those
    of another. One transfer runs at a time; a running background copy is
    preempted by a restore.
    """

    __slots__ = ("_waiting", "_served", "_running")

    def __init__(self) -> None:
        self._waiting: dict[
            Priority, dict[str, collections.deque[Transfer]]
        ] = {priority: {} for priority in Priority}
        # Bytes served to each workspace that waits, relative to the others.
        self._served: dict[Priority, dict[str, float]] = {
            priority: {} for priority in Priority
        }
        self._running: Transfer | None = None

    @property
    def running(self) -> Transfer | None:
        return self._running

    def add(self, transfer: Transfer) -> None:
        """Queue a transfer."""
        waiting = self._waiting[transfer.priority]
        served = self._served[transfer.priority]
        if transfer.workspace not in waiting:
            waiting[transfer.workspace] = collections.deque()
            # A workspace that was away starts level with the one served
            # least: time without requests earns no credit.
            others = [served[each] for each in waiting if each in served]
            level = min(others, default=0.0)
            served[transfer.workspace] = max(
                level, served.get(transfer.workspace, 0.0)
            )
        waiting[transfer.workspace].append(transfer)

    def next_transfer(self, now: float) -> Transfer | None:
        """Start the next transfer.

        Args:
            now: time in seconds.
        Returns: the transfer to run, None while another one runs or none
            waits.
        """
        if self._running is not None:
            return None
        for priority in Priority:
            waiting = self._waiting[priority]
            if not waiting:
                continue
            served = self._served[priority]
            workspace = min(waiting, key=lambda name: (served[name], name))
            transfer = waiting[workspace].popleft()
            served[workspace] += transfer.size_bytes
            if not waiting[workspace]:
                del waiting[workspace]
            if not waiting:
                self._forget(priority, workspace)
            self._running = transfer
            return transfer
        return None

    def should_preempt(self) -> bool:
        """Returns: whether a running copy must make way for a restore."""
        return (
            self._running is not None
            and self._running.priority is Priority.BACKGROUND_COPY
            and any(
                self._waiting[priority]
                for priority in Priority
                if priority is not Priority.BACKGROUND_COPY
            )
        )

    def preempt(self) -> Transfer | None:
        """Put the running transfer back at the head of its queue.

        Returns: the transfer that was stopped.
        """
        transfer, self._running = self._running, None
        if transfer is None:
            return None
        waiting = self._waiting[transfer.priority]
        served = self._served[transfer.priority]
        queue = waiting.setdefault(transfer.workspace, collections.deque())
        queue.appendleft(transfer)
        served[transfer.workspace] = max(
            0.0, served.get(transfer.workspace, 0.0) - transfer.size_bytes
        )
        return transfer

    def finish(self) -> None:
        """Record that the running transfer has ended, in any way."""
        self._running = None

    def remove(self, name: str) -> bool:
        """Take a waiting transfer out, for an abandoned restore.

        Returns: whether it was waiting.
        """
        for waiting in self._waiting.values():
            for workspace, queue in waiting.items():
                for transfer in queue:
                    if transfer.name == name:
                        queue.remove(transfer)
                        if not queue:
                            del waiting[workspace]
                        return True
        return False

    def queued_bytes(self, priority: Priority) -> int:
        """Returns: bytes that go before a new transfer of this class."""
        ahead = sum(
            transfer.size_bytes
            for each in Priority
            if each <= priority
            for queue in self._waiting[each].values()
            for transfer in queue
        )
        running = self._running
        if running is not None and running.priority <= priority:
            ahead += running.size_bytes
        return ahead

    def _forget(self, priority: Priority, last: str) -> None:
        # The one served last keeps its lead; all others start level.
        served = self._served[priority]
        lead = served[last] - min(served.values())
        served.clear()
        if lead:
            served[last] = lead


def choose_store(
    copies: Sequence[str],
    estimates: Mapping[str, RateEstimate],
    queued_bytes: Mapping[str, int] | None = None,
    size_bytes: int = 0,
) -> str | None:
    """Choose the store to read a piece from.

    Args:
        copies: stores that hold the piece, the preferred one first.
        estimates: rates by store; a store without one cannot be reached.
        queued_bytes: bytes that wait on the link of each store.
        size_bytes: length of the piece.
    Returns: the store that delivers first, None when none can be reached.
    """
    queued = queued_bytes or {}
    reachable = [store for store in copies if store in estimates]
    return min(
        reachable,
        key=lambda store: (max(1, size_bytes) + queued.get(store, 0))
        / estimates[store].bytes_per_s,
        default=None,
    )
