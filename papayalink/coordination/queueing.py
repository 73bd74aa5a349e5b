"""Priority queue over ranks with guaranteed shares of service."""

import heapq
import itertools
import math
from typing import Iterable
from typing import Sequence

from papayalink.coordination import errors
from papayalink.coordination import rank_state
from papayalink.coordination import windows
from papayalink.coordination import work_queue

# Service beyond a rank's guarantee (its lead) is held against the rank for at
# most the tokens of one window. A burst of urgent work shorter than the window
# is therefore not interrupted, and a longer one leaves the other ranks their
# shares.
GUARANTEE_WINDOW_S = 2.0

# Slots are reserved for the measured mean concurrency of urgent work plus this
# many of its measured standard deviations. The deviation of independent
# arrivals would be too large, since entries balance the load, and would leave
# slots unused. With one deviation, 15% of the urgent requests found no free
# slot on engines with 8 slots.
RESERVE_DEVIATIONS = 1.5

# An item that is popped within this time of its push found a free slot; the
# agent takes some microseconds between the two.
IMMEDIATE_START_S = 0.001


class RankQueue(work_queue.WorkQueue):
    """Priority queue over ranks with guaranteed shares of service.

    The most urgent rank is served first, unless another rank is owed at least
    the tokens of its next item: each rank is owed its share of all tokens
    served while it has waiting items. Within a rank, service is fair between
    workspaces by tokens. The expected tokens of an item are charged when it is
    popped, and corrected when it is finished.

    Args:
        ranks: most urgent first.
        bounds: how much may wait.
        slots: number of requests that the upstream runs at once, or None when
            the caller of `pop` enforces it and no slots are reserved.

    Raises:
        InvalidRanks: see `work_queue.owed_shares`.
    """

    __slots__ = (
        "_ranks",
        "_bounds",
        "_slots",
        "_waiting",
        "_running",
        "_deadlines",
        "_sequence",
        "_expired",
        "_served",
    )

    def __init__(
        self,
        ranks: Sequence[work_queue.Rank],
        bounds: work_queue.Bounds = work_queue.Bounds(),
        slots: int | None = None,
    ) -> None:
        self._bounds = bounds
        self._slots = slots
        self._waiting: dict[str, work_queue.Item] = {}
        self._running: dict[str, work_queue.Item] = {}
        self._deadlines: list[tuple[float, int, work_queue.Item]] = []
        self._sequence = itertools.count()
        self._expired: list[work_queue.Item] = []
        self._served = windows.TwoWindows(GUARANTEE_WINDOW_S)
        self._ranks: dict[str, rank_state.RankState] = {}
        self.update_ranks(ranks)

    @property
    def running(self) -> int:
        """Number of popped items that have not finished."""
        return len(self._running)

    def set_slots(self, slots: int | None) -> None:
        """Change the number of requests that the upstream runs at once."""
        self._slots = slots

    def set_bounds(self, bounds: work_queue.Bounds) -> None:
        """Change how much may wait; items that wait already are kept."""
        self._bounds = bounds

    def update_ranks(
        self, ranks: Sequence[work_queue.Rank]
    ) -> list[work_queue.Item]:
        """Apply changed rank records.

        Args:
            ranks: most urgent first.

        Returns:
            Waiting items of removed ranks, to be refused as "not run".

        Raises:
            InvalidRanks: see `work_queue.owed_shares`; nothing is changed.
        """
        shares = work_queue.owed_shares(ranks)
        names = {rank.name for rank in ranks}
        dropped = [
            item for item in self._waiting.values() if item.rank not in names
        ]
        for item in dropped:
            del self._waiting[item.request_id]
        states = {}
        for rank, share in zip(ranks, shares):
            state = self._ranks.get(rank.name) or rank_state.RankState(
                rank, share
            )
            state.rank, state.share = rank, share
            states[rank.name] = state
        self._ranks = states
        return dropped

    def push(self, item: work_queue.Item, now: float) -> work_queue.Pushed:
        """Queue an item.

        When the rank is full, the newest items of the workspace with the most
        queued tokens are shed. If that is the workspace of the new item, the
        item itself is refused.

        Args:
            item: the request; its id must not be queued or running.
            now: seconds.

        Returns:
            Whether it was queued, and the items to refuse as "not run".

        Raises:
            UnknownRank: the queue does not have the rank of the item.
            DuplicateRequest: the request id is already queued or running.
        """
        state = self._state(item.rank)
        if item.request_id in self._waiting or (
            item.request_id in self._running
        ):
            raise errors.DuplicateRequest(item.request_id)
        if item.deadline is not None and item.deadline <= now:
            return work_queue.Pushed(False, [item])
        victims = self._choose_victims(state, item)
        if victims is None:
            return work_queue.Pushed(False, [item])
        for victim in victims:
            self._discard(victim)
        if not state.depth:
            state.waiting_since = now
        state.add(item)
        self._waiting[item.request_id] = item
        self._update_urgent_work(now)
        if item.deadline is not None:
            entry = (item.deadline, next(self._sequence), item)
            heapq.heappush(self._deadlines, entry)
            self._compact_deadlines()
        return work_queue.Pushed(True, victims)

    def pop(self, now: float) -> work_queue.Item | None:
        self._expire(now)
        state = self._choose_rank(now)
        if state is None:
            return None
        item = state.head()
        item.owed = self._is_owed(state)
        # The start period predicts when an occupied slot becomes free. A start
        # on a free slot says nothing about that.
        waited = (
            state.depth > 1 or now - state.waiting_since > IMMEDIATE_START_S
        )
        # The charge happens while the item still counts as waiting, so that
        # its own rank is credited with its share of it.
        self._charge(state, item.tokens, now)
        state.take()
        del self._waiting[item.request_id]
        self._running[item.request_id] = item
        if waited:
            state.start_period_s = state.mean_interval(now)
        state.waiting_since = now
        self._update_urgent_work(now)
        return item

    def finish(self, item: work_queue.Item, tokens: int, now: float) -> None:
        """Report the tokens that a popped item actually took.

        Args:
            item: as returned by `pop`; ignored when it is not running.
            tokens: tokens of service; 0 when it was not run.
            now: seconds.
        """
        if self._running.pop(item.request_id, None) is None:
            return
        state = self._ranks.get(item.rank)
        if state is None:
            return
        correction = tokens - item.tokens
        state.correct(item, correction)
        self._charge(state, correction, now)
        if not state.depth:
            state.deficit = min(state.deficit, 0.0)
        self._update_urgent_work(now)

    def remove(self, request_id: str) -> work_queue.Item | None:
        item = self._waiting.get(request_id)
        return item and self._discard(item)

    def take_expired(self, now: float) -> list[work_queue.Item]:
        """Take out the items whose deadline has passed.

        To be called after each `pop` and at least once a second; expired
        items are kept until then.

        Args:
            now: seconds.

        Returns:
            Each expired item once; none of them was run.
        """
        self._expire(now)
        expired, self._expired = self._expired, []
        return expired

    def depth(self, rank: str) -> int:
        return self._state(rank).depth

    def queued_tokens(self, rank: str) -> int:
        return self._state(rank).tokens

    def fraction_ahead(self, rank: str, workspace: str, tokens: int) -> float:
        """Fraction of a rank's queue that is served before a new item.

        Args:
            rank: name of the rank.
            workspace: workspace of the item.
            tokens: its expected tokens.

        Returns:
            0 to 1. Since service is fair between workspaces, each other
            workspace is served at most as many tokens before the item as the
            item's workspace has queued, including the item.
        """
        state = self._state(rank)
        if not state.tokens:
            return 0.0
        own_workspace = state.workspaces.get(workspace)
        own_tokens = own_workspace.tokens if own_workspace else 0
        ahead = own_tokens + sum(
            min(other.tokens, own_tokens + tokens)
            for other in state.workspaces.values()
            if other is not own_workspace
        )
        return min(1.0, ahead / state.tokens)

    def free_slots(self, rank: str, now: float) -> int:
        """Slots that a rank could use immediately, for the load report.

        Args:
            rank: name of the rank.
            now: seconds.

        Returns:
            Free slots except those reserved for more urgent ranks; 0 when
            the number of slots is not known.
        """
        if self._slots is None:
            return 0
        free = self._slots - len(self._running)
        return max(0, free - self._reserved_slots(self._state(rank), now))

    def start_period(self, rank: str, now: float) -> float:
        """Mean time between starts while items wait, for the load report.

        Args:
            rank: name of the rank.
            now: seconds.

        Returns:
            Seconds; 0 before the first start.
        """
        state = self._state(rank)
        if not state.depth:
            return state.start_period_s
        # The current wait counts as an interval that ends now. Reporting the
        # wait itself would make one slow start look like a stopped upstream.
        return max(state.start_period_s, state.mean_interval(now))

    def _state(self, rank: str) -> rank_state.RankState:
        try:
            return self._ranks[rank]
        except KeyError:
            raise errors.UnknownRank(rank) from None

    def _choose_victims(
        self, state: rank_state.RankState, item: work_queue.Item
    ) -> list[work_queue.Item] | None:
        """Returns: items to shed for a new one; None to refuse the new one."""
        bounds = self._bounds
        own_workspace = state.workspaces.get(item.workspace)
        own_items, own_tokens = (
            (len(own_workspace.items), own_workspace.tokens)
            if own_workspace
            else (0, 0)
        )
        if own_items >= bounds.items_per_workspace or (
            own_tokens + item.tokens > bounds.tokens_per_workspace
        ):
            return None
        excess_items = state.depth + 1 - bounds.items_per_rank
        excess_tokens = state.tokens + item.tokens - bounds.tokens_per_rank
        if excess_items <= 0 and excess_tokens <= 0:
            return []
        queued = {
            name: workspace.tokens
            for name, workspace in state.workspaces.items()
            if workspace.items and name != item.workspace
        }
        shed_counts = {name: 0 for name in queued}
        victims: list[work_queue.Item] = []
        while excess_items > 0 or excess_tokens > 0:
            largest = max(queued, key=queued.get, default=None)
            if largest is None or queued[largest] <= own_tokens + item.tokens:
                return None
            shed_counts[largest] += 1
            victim = state.workspaces[largest].items[-shed_counts[largest]]
            queued[largest] -= victim.tokens
            if shed_counts[largest] == len(state.workspaces[largest].items):
                del queued[largest]
            victims.append(victim)
            excess_items -= 1
            excess_tokens -= victim.tokens
        return victims

    def _choose_rank(self, now: float) -> rank_state.RankState | None:
        if self._slots is not None and len(self._running) >= self._slots:
            return None
        waiting = [state for state in self._ranks.values() if state.depth]
        for state in waiting:
            if self._is_owed(state):
                return state
        if not waiting:
            return None
        first = waiting[0]
        free = self._slots and self._slots - len(self._running)
        if free and free <= self._reserved_slots(first, now):
            return None
        return first

    def _is_owed(self, state: rank_state.RankState) -> bool:
        return 0 < state.deficit >= state.head().tokens

    def _reserved_slots(self, state: rank_state.RankState, now: float) -> int:
        """Returns: slots that a rank leaves free for more urgent ranks."""
        if state is next(iter(self._ranks.values())):
            return 0
        running = 0
        for other in self._ranks.values():
            if other is state:
                break
            running += other.running
        mean, deviation = state.urgent_work.at(now)
        expected = math.ceil(mean + RESERVE_DEVIATIONS * deviation)
        max_reserve = int(self._slots * (1.0 - state.share))
        return min(max(1, expected - running), max_reserve)

    def _update_urgent_work(self, now: float) -> None:
        work = 0
        for state in self._ranks.values():
            state.urgent_work.set(work, now)
            work += state.running + state.depth

    def _charge(
        self, served: rank_state.RankState, tokens: int, now: float
    ) -> None:
        self._served.add(tokens, now)
        for state in self._ranks.values():
            if state.depth:
                state.deficit += state.share * tokens
        served.deficit -= tokens
        lead = served.share * self._served.largest(now)
        served.deficit = max(served.deficit, -lead)

    def _discard(self, item: work_queue.Item) -> work_queue.Item:
        del self._waiting[item.request_id]
        return self._ranks[item.rank].discard(item)

    def _expire(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            item = heapq.heappop(self._deadlines)[2]
            if self._waiting.get(item.request_id) is item:
                self._expired.append(self._discard(item))

    def _compact_deadlines(self) -> None:
        if (
            len(self._deadlines)
            <= 2 * len(self._waiting) + rank_state.HEAP_SLACK
        ):
            return
        self._deadlines = [
            entry
            for entry in self._deadlines
            if self._waiting.get(entry[2].request_id) is entry[2]
        ]
        heapq.heapify(self._deadlines)


def make_queue(
    ranks: Iterable[work_queue.Rank],
    bounds: work_queue.Bounds = work_queue.Bounds(),
    slots: int | None = None,
) -> RankQueue:
    """Returns: an empty queue; see `RankQueue` for the arguments."""
    return RankQueue(tuple(ranks), bounds, slots)
