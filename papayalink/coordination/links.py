"""Links to stores: measured rates and the order of transfers."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import enum

import msgspec

# Weight of the newest transfer in the moving average. With 0.4 an estimate is
# within 15% of a new rate after four transfers, and one slow transfer does not
# halve it.
_NEWEST_SAMPLE_WEIGHT = 0.4

# A transfer below this multiple of the estimate counts as slow. After this
# many slow ones in a row the estimate takes the new rate at once.
_SLOW_RATIO = 0.5
_MAX_SLOW_SAMPLES = 2

# Transfers both smaller and shorter than this measure latency rather than the
# rate of the link.
_MIN_SAMPLE_BYTES = 64 * 1024
_MIN_SAMPLE_S = 1.0

# After this time without a transfer a slow link may have recovered.
_STALE_S = 30.0


class RateEstimate:
    """Rate of one link, estimated from the transfers of this process.

    Args:
        assumed_bytes_per_s: rate before the first transfer.
    """

    __slots__ = ("_rate", "_slow_rates", "_is_measured", "_updated_at")

    def __init__(self, assumed_bytes_per_s: float) -> None:
        self._rate = assumed_bytes_per_s
        self._slow_rates: list[float] = []
        self._is_measured = False
        self._updated_at = 0.0

    @property
    def bytes_per_s(self) -> float:
        return self._rate

    def is_stale(self, now: float) -> bool:
        """Returns: whether the rate should be measured again."""
        return not self._is_measured or now - self._updated_at > _STALE_S

    def record(self, size_bytes: int, duration_s: float, now: float) -> None:
        """Record a complete transfer or the received part of a running one.

        Args:
            size_bytes: bytes received.
            duration_s: time of the transfer, without the wait for the link.
            now: time in seconds.
        """
        if duration_s <= 0:
            return
        if size_bytes < _MIN_SAMPLE_BYTES and duration_s < _MIN_SAMPLE_S:
            return
        rate = max(1.0, size_bytes / duration_s)
        self._updated_at = now
        if not self._is_measured:
            self._is_measured = True
            self._rate = rate
            return
        if rate < _SLOW_RATIO * self._rate:
            self._slow_rates.append(rate)
            if len(self._slow_rates) >= _MAX_SLOW_SAMPLES:
                self._rate = max(self._slow_rates)
                self._slow_rates.clear()
                return
        else:
            self._slow_rates.clear()
        self._rate += _NEWEST_SAMPLE_WEIGHT * (rate - self._rate)


class Priority(enum.IntEnum):
    """Priority classes of transfers; a lower value goes first."""

    URGENT_RESTORE = 0
    OTHER_RESTORE = 1
    BACKGROUND_COPY = 2


class Transfer(msgspec.Struct, frozen=True):
    """A transfer to be run on a link.

    Args:
        name: unique name, chosen by the caller.
        workspace: workspace of the piece.
        priority: priority class of the transfer.
        size_bytes: length of the encoded piece.
    """

    name: str
    workspace: str
    priority: Priority
    size_bytes: int


class LinkQueue:
    """Decides which transfer a link runs next.

    Restores go before background copies, and urgent restores before others.
    Within a priority class workspaces share the link fairly by bytes, so that
    many or large transfers of one do not delay those of another. One transfer
    runs at a time; a restore preempts a running background copy.
    """

    __slots__ = ("_waiting", "_served_bytes", "_running")

    def __init__(self) -> None:
        self._waiting: dict[
            Priority, dict[str, collections.deque[Transfer]]
        ] = {priority: {} for priority in Priority}
        # Bytes served to each waiting workspace, relative to the others.
        self._served_bytes: dict[Priority, dict[str, float]] = {
            priority: {} for priority in Priority
        }
        self._running: Transfer | None = None

    @property
    def running(self) -> Transfer | None:
        return self._running

    def add(self, transfer: Transfer) -> None:
        """Queue a transfer."""
        waiting = self._waiting[transfer.priority]
        served = self._served_bytes[transfer.priority]
        if transfer.workspace not in waiting:
            waiting[transfer.workspace] = collections.deque()
            # A workspace without waiting transfers joins at the level of the
            # least served one: idle time earns no credit.
            others = [served[other] for other in waiting if other in served]
            least_served = min(others, default=0.0)
            served[transfer.workspace] = max(
                least_served, served.get(transfer.workspace, 0.0)
            )
        waiting[transfer.workspace].append(transfer)

    def next_transfer(self, now: float) -> Transfer | None:
        """Start the next transfer and return it.

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
            served = self._served_bytes[priority]
            workspace = min(waiting, key=lambda name: (served[name], name))
            transfer = waiting[workspace].popleft()
            served[workspace] += transfer.size_bytes
            if not waiting[workspace]:
                del waiting[workspace]
            if not waiting:
                self._reset_served_bytes(priority, workspace)
            self._running = transfer
            return transfer
        return None

    def should_preempt(self) -> bool:
        """Returns: whether a restore is to preempt the running copy."""
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

        Returns: the preempted transfer, None if none was running.
        """
        transfer, self._running = self._running, None
        if transfer is None:
            return None
        waiting = self._waiting[transfer.priority]
        served = self._served_bytes[transfer.priority]
        queue = waiting.setdefault(transfer.workspace, collections.deque())
        queue.appendleft(transfer)
        served[transfer.workspace] = max(
            0.0, served.get(transfer.workspace, 0.0) - transfer.size_bytes
        )
        return transfer

    def finish(self) -> None:
        """Record that the running transfer has ended, successful or not."""
        self._running = None

    def remove(self, name: str) -> bool:
        """Remove a waiting transfer, such as one of an abandoned restore.

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
        """Returns: bytes ahead of a new transfer of this priority."""
        ahead = sum(
            transfer.size_bytes
            for other in Priority
            if other <= priority
            for queue in self._waiting[other].values()
            for transfer in queue
        )
        running = self._running
        if running is not None and running.priority <= priority:
            ahead += running.size_bytes
        return ahead

    def _reset_served_bytes(self, priority: Priority, last: str) -> None:
        # The last served workspace keeps its lead; all others start level.
        served = self._served_bytes[priority]
        lead = served[last] - min(served.values())
        served.clear()
        if lead:
            served[last] = lead


def choose_store(
    holders: Sequence[str],
    estimates: Mapping[str, RateEstimate],
    queued_bytes: Mapping[str, int] | None = None,
    size_bytes: int = 0,
) -> str | None:
    """Choose the store to read a piece from.

    Args:
        holders: stores that hold the piece, the preferred one first.
        estimates: rates by store; a store without one cannot be reached.
        queued_bytes: bytes queued on the link of each store.
        size_bytes: length of the piece.
    Returns: the store that delivers first, None when none can be reached.
    """
    queued = queued_bytes or {}
    reachable = [store for store in holders if store in estimates]
    return min(
        reachable,
        key=lambda store: (max(1, size_bytes) + queued.get(store, 0))
        / estimates[store].bytes_per_s,
        default=None,
    )
