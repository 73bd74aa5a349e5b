"""Queue of one agent: ranks, guaranteed shares, fairness by tokens."""

import abc
import collections
import heapq
import itertools
import math
from typing import Any
from typing import Iterable
from typing import Sequence

import msgspec

from papayalink.coordination import errors
from papayalink.coordination import windows

# A rank that was served beyond its guarantee keeps at most one window of that
# lead, so a burst of urgent work shorter than this is not interrupted, and a
# longer one leaves the other rank its share.
GUARANTEE_WINDOW_S = 2.0

# Slots held free for urgent work follow its mean concurrency over this time,
# plus this many standard deviations of random arrivals. More of them gain
# urgent work little and leave slots unused (bench/policy.py).
RESERVE_FADE_S = 10.0
RESERVE_DEVIATIONS = 1.0

# Weight of the newest interval in the mean interval between two starts.
PACE_WEIGHT = 0.1

# A workspace record without queued or running work is kept only for its debt.
# Above this many records the smallest debts are forgotten.
MAX_IDLE_WORKSPACES = 256

# Dead heap entries are tolerated up to this many beyond the live ones, so that
# rebuilding a heap costs constant time for each change on average.
HEAP_SLACK = 64


class Rank(msgspec.Struct, frozen=True):
    """What one service rank is entitled to.

    Args:
        name: name of the rank.
        ttft_target_s: time to first token that the rank is to meet.
        weight: part in what is beyond the guarantees, relative to others.
        min_share: guaranteed part of the served tokens, 0 to 1.
    """

    name: str
    ttft_target_s: float
    weight: float = 1.0
    min_share: float = 0.0


class Bounds(msgspec.Struct, frozen=True):
    """Most that may wait in one queue.

    Args:
        items_per_rank: requests waiting in one rank.
        tokens_per_rank: expected tokens waiting in one rank.
        items_per_workspace: requests of one workspace waiting in one rank.
        tokens_per_workspace: expected tokens of one workspace in one rank.
    """

    items_per_rank: int = 512
    tokens_per_rank: int = 4_000_000
    items_per_workspace: int = 256
    tokens_per_workspace: int = 2_000_000


class Item(msgspec.Struct):
    """One request that waits for the upstream.

    Args:
        request_id: unique among queued and running requests.
        workspace: workspace of the caller.
        rank: name of the rank.
        tokens: expected tokens of service, prompt and answer together.
        deadline: time after which the answer is of no use, or None.
        payload: whatever the caller needs to run the request.
        owed: set by `pop` when the rank was owed the item while more urgent
            work waited. The engine is to run it at the priority of the most
            urgent rank; at its own it would hold a slot without progress.
    """

    request_id: str
    workspace: str
    rank: str
    tokens: int
    deadline: float | None = None
    payload: Any = None
    owed: bool = False


class Pushed(msgspec.Struct):
    """Outcome of a push.

    Args:
        accepted: whether the item was queued.
        shed: items to be refused as "not run"; holds the pushed item itself
            when it was not accepted.
    """

    accepted: bool
    shed: list[Item]


def owed_shares(ranks: Sequence[Rank]) -> list[float]:
    """Share of the served tokens that each rank is owed while it has work.

    Args:
        ranks: most urgent first.

    Returns:
        Minimum shares plus the parts by weight in the rest; sums to 1.

    Raises:
        InvalidRanks: the minimum shares exceed 1, or a value is negative.
    """
    if not ranks or len({rank.name for rank in ranks}) != len(ranks):
        raise errors.InvalidRanks("ranks must be non-empty and unique")
    if any(rank.min_share < 0 or rank.weight < 0 for rank in ranks):
        raise errors.InvalidRanks("shares and weights must not be negative")
    guaranteed = sum(rank.min_share for rank in ranks)
    if guaranteed > 1.0 + 1e-9:
        raise errors.InvalidRanks(f"minimum shares add up to {guaranteed}")
    rest = max(0.0, 1.0 - guaranteed)
    weights = sum(rank.weight for rank in ranks)
    if weights == 0:
        return [rank.min_share + rest / len(ranks) for rank in ranks]
    return [rank.min_share + rest * rank.weight / weights for rank in ranks]


class WorkQueue(abc.ABC):
    """Requests that wait for one upstream."""

    __slots__ = ()

    @abc.abstractmethod
    def push(self, item: Item, now: float) -> Pushed:
        """Queue an item, or say what is to be refused instead."""

    @abc.abstractmethod
    def pop(self, now: float) -> Item | None:
        """Take the item to run next; None when nothing may start now."""

    @abc.abstractmethod
    def finished(self, item: Item, tokens: int, now: float) -> None:
        """Report the tokens that a popped item really took."""

    @abc.abstractmethod
    def remove(self, request_id: str) -> Item | None:
        """Take out a waiting item, for instance of a caller that left."""

    @abc.abstractmethod
    def take_expired(self, now: float) -> list[Item]:
        """Take out the items whose deadline has passed."""

    @abc.abstractmethod
    def depth(self, rank: str) -> int:
        """Returns: number of waiting items of a rank."""

    @abc.abstractmethod
    def queued_tokens(self, rank: str) -> int:
        """Returns: expected tokens of the waiting items of a rank."""


class FifoQueue(WorkQueue):
    """Baseline: first come first served, whatever the rank or workspace.

    Args:
        max_items: most that may wait; further items are refused.
    """

    __slots__ = ("_items", "_max_items", "_expired")

    def __init__(self, max_items: int = 512) -> None:
        self._items: dict[str, Item] = {}
        self._max_items = max_items
        self._expired: list[Item] = []

    def push(self, item: Item, now: float) -> Pushed:
        if len(self._items) >= self._max_items:
            return Pushed(False, [item])
        self._items[item.request_id] = item
        return Pushed(True, [])

    def pop(self, now: float) -> Item | None:
        while self._items:
            item = self._items.pop(next(iter(self._items)))
            if item.deadline is None or item.deadline > now:
                return item
            self._expired.append(item)
        return None

    def finished(self, item: Item, tokens: int, now: float) -> None:
        pass

    def remove(self, request_id: str) -> Item | None:
        return self._items.pop(request_id, None)

    def take_expired(self, now: float) -> list[Item]:
        late = [
            item
            for item in self._items.values()
            if item.deadline is not None and item.deadline <= now
        ]
        for item in late:
            del self._items[item.request_id]
        expired, self._expired = self._expired + late, []
        return expired

    def depth(self, rank: str) -> int:
        return sum(item.rank == rank for item in self._items.values())

    def queued_tokens(self, rank: str) -> int:
        return sum(
            item.tokens for item in self._items.values() if item.rank == rank
        )


class _Workspace:
    """Waiting items of one workspace in one rank."""

    __slots__ = ("name", "items", "tokens", "running", "start", "version")

    def __init__(self, name: str, start: float) -> None:
        self.name = name
        self.items: collections.deque[Item] = collections.deque()
        self.tokens = 0
        self.running = 0
        # Start tag of the next item, in tokens of virtual time.
        self.start = start
        # Heap entries with an older version are dead.
        self.version = 0


class _RankState:
    """Start-time fair queueing between the workspaces of one rank.

    Each workspace has a start tag that grows by the tokens charged to it; the
    lowest tag is served next. A workspace that was idle resumes at the virtual
    time, that is the tag served last, so it has no credit from its idle time.
    """

    __slots__ = (
        "rank",
        "share",
        "depth",
        "tokens",
        "running",
        "deficit",
        "workspaces",
        "urgent_work",
        "start_period_s",
        "waiting_since",
        "_heap",
        "_virtual",
    )

    def __init__(self, rank: Rank, share: float) -> None:
        self.rank = rank
        self.share = share
        self.depth = 0
        self.tokens = 0
        self.running = 0
        # Tokens owed to the rank but not served; negative: a lead.
        self.deficit = 0.0
        self.workspaces: dict[str, _Workspace] = {}
        # Waiting and running items of more urgent ranks.
        self.urgent_work = windows.TimeMean(RESERVE_FADE_S)
        # Mean time between two starts while items wait, and the time since
        # which the next one waits.
        self.start_period_s = 0.0
        self.waiting_since = 0.0
        self._heap: list[tuple[float, str, int]] = []
        self._virtual = 0.0

    def mean_interval(self, now: float) -> float:
        """Returns: mean time between starts if one happened now."""
        interval_s = now - self.waiting_since
        return self.start_period_s + PACE_WEIGHT * (
            interval_s - self.start_period_s
        )

    def add(self, item: Item) -> None:
        space = self.workspaces.get(item.workspace)
        if space is None:
            space = _Workspace(item.workspace, self._virtual)
            self.workspaces[item.workspace] = space
        if not space.items:
            space.start = max(space.start, self._virtual)
            self._schedule(space)
        space.items.append(item)
        space.tokens += item.tokens
        self.depth += 1
        self.tokens += item.tokens

    def head(self) -> Item | None:
        """Returns: the item that `take` would take."""
        while self._heap:
            _, name, version = self._heap[0]
            space = self.workspaces.get(name)
            if space and space.items and space.version == version:
                return space.items[0]
            heapq.heappop(self._heap)
        return None

    def take(self) -> Item:
        """Take the head; `head` has returned an item just before."""
        item = self.head()
        space = self.workspaces[item.workspace]
        self._virtual = max(self._virtual, space.start)
        space.start += item.tokens
        space.running += 1
        self.running += 1
        self.discard(item)
        if space.items:
            self._schedule(space)
        return item

    def discard(self, item: Item) -> Item:
        """Take out a waiting item without charging for it."""
        space = self.workspaces[item.workspace]
        if space.items[0] is item:
            space.items.popleft()
        elif space.items[-1] is item:
            space.items.pop()
        else:
            position = next(
                index
                for index, waiting in enumerate(space.items)
                if waiting is item
            )
            del space.items[position]
        space.tokens -= item.tokens
        self.depth -= 1
        self.tokens -= item.tokens
        if not space.items:
            space.version += 1
            self._forget_idle()
        if not self.depth:
            # A rank without work builds up no credit.
            self.deficit = min(self.deficit, 0.0)
        return item

    def correct(self, item: Item, extra: int) -> None:
        """Account for a running item that has ended.

        Args:
            item: the item as it was popped.
            extra: tokens taken beyond the expected ones; may be negative.
        """
        # A rank that was taken out and put back does not know its old items.
        self.running = max(0, self.running - 1)
        space = self.workspaces.get(item.workspace)
        if space is not None:
            space.running = max(0, space.running - 1)
            space.start += extra
            if space.items and extra:
                self._schedule(space)
        self._forget_idle()

    def _schedule(self, space: _Workspace) -> None:
        space.version += 1
        heapq.heappush(self._heap, (space.start, space.name, space.version))
        if len(self._heap) > 2 * len(self.workspaces) + HEAP_SLACK:
            self._heap = [
                (other.start, other.name, other.version)
                for other in self.workspaces.values()
                if other.items
            ]
            heapq.heapify(self._heap)

    def _forget_idle(self) -> None:
        if not self.depth and not self.running:
            # Nobody competed for the idle upstream: debts are void.
            self.workspaces.clear()
            self._heap.clear()
            self._virtual = 0.0
            return
        excess = len(self.workspaces) - self.depth - self.running
        if excess <= MAX_IDLE_WORKSPACES:
            return
        idle = sorted(
            (space.start, space.name)
            for space in self.workspaces.values()
            if not space.items and not space.running
        )
        # Half of them go, so that the scan is repeated only after as many
        # changes.
        for start, name in idle:
            if start > self._virtual and excess <= MAX_IDLE_WORKSPACES // 2:
                break
            del self.workspaces[name]
            excess -= 1


class RankQueue(WorkQueue):
    """Queue by rank, urgent first, with guaranteed shares.

    The most urgent rank goes first, unless a rank is owed a whole item: each
    rank is owed its share of all tokens served while it had work. Within a
    rank, workspaces share by tokens. Tokens are charged as expected when an
    item is popped, and corrected when it is finished.

    Args:
        ranks: most urgent first.
        bounds: most that may wait.
        slots: requests that the upstream runs at once, or None when the
            caller of `pop` counts them itself and none are held free.

    Raises:
        InvalidRanks: see `owed_shares`.
    """

    __slots__ = (
        "_ranks",
        "_bounds",
        "_slots",
        "_waiting",
        "_running",
        "_deadlines",
        "_order",
        "_expired",
        "_served",
    )

    def __init__(
        self,
        ranks: Sequence[Rank],
        bounds: Bounds = Bounds(),
        slots: int | None = None,
    ) -> None:
        self._bounds = bounds
        self._slots = slots
        self._waiting: dict[str, Item] = {}
        self._running: dict[str, Item] = {}
        self._deadlines: list[tuple[float, int, Item]] = []
        self._order = itertools.count()
        self._expired: list[Item] = []
        self._served = windows.TwoWindows(GUARANTEE_WINDOW_S)
        self._ranks: dict[str, _RankState] = {}
        self.update_ranks(ranks)

    @property
    def running(self) -> int:
        """Number of popped items that have not finished."""
        return len(self._running)

    def set_slots(self, slots: int | None) -> None:
        """Change the number of requests that the upstream runs at once."""
        self._slots = slots

    def set_bounds(self, bounds: Bounds) -> None:
        """Change how much may wait; what waits already stays."""
        self._bounds = bounds

    def update_ranks(self, ranks: Sequence[Rank]) -> list[Item]:
        """Put changed rank records in force.

        Args:
            ranks: most urgent first.

        Returns:
            Waiting items of ranks that are gone, to be refused as "not run".

        Raises:
            InvalidRanks: see `owed_shares`; nothing has changed then.
        """
        shares = owed_shares(ranks)
        names = {rank.name for rank in ranks}
        dropped = [
            item for item in self._waiting.values() if item.rank not in names
        ]
        for item in dropped:
            del self._waiting[item.request_id]
        states = {}
        for rank, share in zip(ranks, shares):
            state = self._ranks.get(rank.name) or _RankState(rank, share)
            state.rank, state.share = rank, share
            states[rank.name] = state
        self._ranks = states
        return dropped

    def push(self, item: Item, now: float) -> Pushed:
        """Queue an item.

        When the rank is full, the workspace with the most queued tokens gives
        way, newest items first, or the item itself is refused when its own
        workspace has the most.

        Args:
            item: the request; its id must not be queued or running.
            now: seconds.

        Returns:
            Whether it was queued, and what is to be refused as "not run".

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
            return Pushed(False, [item])
        victims = self._victims(state, item)
        if victims is None:
            return Pushed(False, [item])
        for victim in victims:
            self._discard(victim)
        if not state.depth:
            state.waiting_since = now
        state.add(item)
        self._waiting[item.request_id] = item
        self._note_urgent_work(now)
        if item.deadline is not None:
            entry = (item.deadline, next(self._order), item)
            heapq.heappush(self._deadlines, entry)
            self._compact_deadlines()
        return Pushed(True, victims)

    def pop(self, now: float) -> Item | None:
        self._expire(now)
        state = self._choose(now)
        if state is None:
            return None
        item = state.head()
        item.owed = self._is_owed(state)
        # Ranks are charged while the item still counts as waiting, so that
        # its own rank earns its share of it.
        self._charge(state, item.tokens, now)
        state.take()
        del self._waiting[item.request_id]
        self._running[item.request_id] = item
        state.start_period_s = state.mean_interval(now)
        state.waiting_since = now
        self._note_urgent_work(now)
        return item

    def finished(self, item: Item, tokens: int, now: float) -> None:
        """Report the tokens that a popped item really took.

        Args:
            item: as returned by `pop`; no effect when it is not running.
            tokens: tokens of service; 0 when it was not run after all.
            now: seconds.
        """
        if self._running.pop(item.request_id, None) is None:
            return
        state = self._ranks.get(item.rank)
        if state is None:
            return
        extra = tokens - item.tokens
        state.correct(item, extra)
        self._charge(state, extra, now)
        if not state.depth:
            state.deficit = min(state.deficit, 0.0)
        self._note_urgent_work(now)

    def remove(self, request_id: str) -> Item | None:
        item = self._waiting.get(request_id)
        return item and self._discard(item)

    def take_expired(self, now: float) -> list[Item]:
        """Take out the items whose deadline has passed.

        To be called after each `pop` and at least once a second, since
        expired items are kept until then.

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

    def part_ahead(self, rank: str, workspace: str, tokens: int) -> float:
        """Part of a rank's queue that a new item would wait for.

        Args:
            rank: name of the rank.
            workspace: workspace of the item.
            tokens: its expected tokens.

        Returns:
            0 to 1. Service is fair between workspaces, so each of them is
            ahead with as many tokens as the own one has with the item.
        """
        state = self._state(rank)
        if not state.tokens:
            return 0.0
        own = state.workspaces.get(workspace)
        waiting = own.tokens if own else 0
        ahead = waiting + sum(
            min(other.tokens, waiting + tokens)
            for other in state.workspaces.values()
            if other is not own
        )
        return min(1.0, ahead / state.tokens)

    def free_slots(self, rank: str, now: float) -> int:
        """Slots that a rank could use at once, for the load report.

        Args:
            rank: name of the rank.
            now: seconds.

        Returns:
            Free slots without those held for more urgent ranks; 0 when the
            number of slots is not known.
        """
        if self._slots is None:
            return 0
        free = self._slots - len(self._running)
        return max(0, free - self._reserve(self._state(rank), now))

    def start_period(self, rank: str, now: float) -> float:
        """Time between two starts of a rank while it waits, for the report.

        Args:
            rank: name of the rank.
            now: seconds.

        Returns:
            Seconds, recent mean; 0 before the first start.
        """
        state = self._state(rank)
        if not state.depth:
            return state.start_period_s
        # A long wait counts as if the next one started now; in full it would
        # make one slow start look like a stop.
        return max(state.start_period_s, state.mean_interval(now))

    def _state(self, rank: str) -> _RankState:
        try:
            return self._ranks[rank]
        except KeyError:
            raise errors.UnknownRank(rank) from None

    def _victims(self, state: _RankState, item: Item) -> list[Item] | None:
        """Items to shed for a new one; None when the new one must go."""
        bounds = self._bounds
        own = state.workspaces.get(item.workspace)
        items, tokens = (len(own.items), own.tokens) if own else (0, 0)
        if items >= bounds.items_per_workspace or (
            tokens + item.tokens > bounds.tokens_per_workspace
        ):
            return None
        excess_items = state.depth + 1 - bounds.items_per_rank
        excess_tokens = state.tokens + item.tokens - bounds.tokens_per_rank
        if excess_items <= 0 and excess_tokens <= 0:
            return []
        queued = {
            name: space.tokens
            for name, space in state.workspaces.items()
            if space.items and name != item.workspace
        }
        newest = {name: 0 for name in queued}
        victims: list[Item] = []
        while excess_items > 0 or excess_tokens > 0:
            largest = max(queued, key=queued.get, default=None)
            if largest is None or queued[largest] <= tokens + item.tokens:
                return None
            newest[largest] += 1
            victim = state.workspaces[largest].items[-newest[largest]]
            queued[largest] -= victim.tokens
            if newest[largest] == len(state.workspaces[largest].items):
                del queued[largest]
            victims.append(victim)
            excess_items -= 1
            excess_tokens -= victim.tokens
        return victims

    def _choose(self, now: float) -> _RankState | None:
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
        if free and free <= self._reserve(first, now):
            return None
        return first

    def _is_owed(self, state: _RankState) -> bool:
        return 0 < state.deficit >= state.head().tokens

    def _reserve(self, state: _RankState, now: float) -> int:
        """Slots that a rank leaves free for more urgent ranks."""
        if state is next(iter(self._ranks.values())):
            return 0
        running = 0
        for other in self._ranks.values():
            if other is state:
                break
            running += other.running
        mean = state.urgent_work.at(now)
        # Independent arrivals: the variance equals the mean.
        usual = math.ceil(mean + RESERVE_DEVIATIONS * math.sqrt(mean))
        most = int(self._slots * (1.0 - state.share))
        return min(max(1, usual - running), most)

    def _note_urgent_work(self, now: float) -> None:
        work = 0
        for state in self._ranks.values():
            state.urgent_work.set(work, now)
            work += state.running + state.depth

    def _charge(self, served: _RankState, tokens: int, now: float) -> None:
        self._served.add(tokens, now)
        for state in self._ranks.values():
            if state.depth:
                state.deficit += state.share * tokens
        served.deficit -= tokens
        lead = served.share * self._served.largest(now)
        served.deficit = max(served.deficit, -lead)

    def _discard(self, item: Item) -> Item:
        del self._waiting[item.request_id]
        return self._ranks[item.rank].discard(item)

    def _expire(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            item = heapq.heappop(self._deadlines)[2]
            if self._waiting.get(item.request_id) is item:
                self._expired.append(self._discard(item))

    def _compact_deadlines(self) -> None:
        if len(self._deadlines) <= 2 * len(self._waiting) + HEAP_SLACK:
            return
        self._deadlines = [
            entry
            for entry in self._deadlines
            if self._waiting.get(entry[2].request_id) is entry[2]
        ]
        heapq.heapify(self._deadlines)


def make_queue(
    ranks: Iterable[Rank],
    bounds: Bounds = Bounds(),
    slots: int | None = None,
) -> RankQueue:
    """Returns: an empty queue; for the arguments see `RankQueue`."""
    return RankQueue(tuple(ranks), bounds, slots)
