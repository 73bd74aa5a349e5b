"""Waiting requests of one rank, fair between workspaces by tokens."""

import collections
import heapq

from papayalink.coordination import windows
from papayalink.coordination import work_queue

# Time over which the mean concurrency of urgent work is taken.
RESERVE_FADE_S = 10.0

# Weight of the newest interval in the mean interval between two starts.
PACE_WEIGHT = 0.1

# A workspace record without queued or running work is kept only for its debt.
# Above this many records the smallest debts are forgotten.
MAX_IDLE_WORKSPACES = 256

# Dead heap entries are tolerated up to this many beyond the live ones, so that
# rebuilding a heap costs constant time for each change on average.
HEAP_SLACK = 64


class _Workspace:
    """Waiting items of one workspace in one rank."""

    __slots__ = ("name", "items", "tokens", "running", "start", "version")

    def __init__(self, name: str, start: float) -> None:
        self.name = name
        self.items: collections.deque[work_queue.Item] = collections.deque()
        self.tokens = 0
        self.running = 0
        # Start tag of the next item, in tokens of virtual time.
        self.start = start
        # Heap entries with an older version are dead.
        self.version = 0


class RankState:
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

    def __init__(self, rank: work_queue.Rank, share: float) -> None:
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

    def add(self, item: work_queue.Item) -> None:
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

    def head(self) -> work_queue.Item | None:
        """Returns: the item that `take` would take."""
        while self._heap:
            _, name, version = self._heap[0]
            space = self.workspaces.get(name)
            if space and space.items and space.version == version:
                return space.items[0]
            heapq.heappop(self._heap)
        return None

    def take(self) -> work_queue.Item:
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

    def discard(self, item: work_queue.Item) -> work_queue.Item:
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

    def correct(self, item: work_queue.Item, extra: int) -> None:
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
