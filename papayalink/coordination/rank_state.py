"""Fair queueing of one rank's requests between workspaces, by tokens."""

import collections
import heapq

from papayalink.coordination import windows
from papayalink.coordination import work_queue

# Time constant of the measured concurrency of more urgent work.
URGENT_WORK_DECAY_S = 10.0

# Weight of the newest sample in the moving average of the interval between two
# starts.
INTERVAL_EWMA_WEIGHT = 0.1

# Records of workspaces without queued or running work are kept only for their
# debts: start tags above the virtual time. Above this many, those with the
# smallest debts are dropped.
MAX_IDLE_WORKSPACES = 256

# A heap is rebuilt without its stale entries when it holds more than twice the
# live entries plus this many, so that the amortized cost of a change is
# constant.
HEAP_SLACK = 64


class _Workspace:
    """Waiting items of one workspace in one rank."""

    __slots__ = ("name", "items", "tokens", "running", "start_tag", "version")

    def __init__(self, name: str, start_tag: float) -> None:
        self.name = name
        self.items: collections.deque[work_queue.Item] = collections.deque()
        self.tokens = 0
        self.running = 0
        # Start tag of the next item, in tokens of virtual time.
        self.start_tag = start_tag
        # Heap entries with an older version are stale.
        self.version = 0


class RankState:
    """Start-time fair queueing between the workspaces of one rank.

    Each workspace has a start tag that grows by the tokens charged to it; the
    workspace with the lowest tag is served next. A workspace that was idle
    resumes at the virtual time, which is the highest tag served, or at its own
    tag if that is higher, so that it has no credit from its idle time.
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
        "_virtual_time",
    )

    def __init__(self, rank: work_queue.Rank, share: float) -> None:
        self.rank = rank
        self.share = share
        self.depth = 0
        self.tokens = 0
        self.running = 0
        # Tokens owed to the rank but not served yet; negative when the rank
        # was served beyond its share (its lead).
        self.deficit = 0.0
        self.workspaces: dict[str, _Workspace] = {}
        # Waiting and running items of more urgent ranks.
        self.urgent_work = windows.TimeWeightedMean(URGENT_WORK_DECAY_S)
        # Mean time between two starts while items wait, and the time from
        # which the current interval counts.
        self.start_period_s = 0.0
        self.waiting_since = 0.0
        self._heap: list[tuple[float, str, int]] = []
        self._virtual_time = 0.0

    def mean_interval(self, now: float) -> float:
        """Returns: mean time between starts, as if one happened now."""
        interval_s = now - self.waiting_since
        return self.start_period_s + INTERVAL_EWMA_WEIGHT * (
            interval_s - self.start_period_s
        )

    def add(self, item: work_queue.Item) -> None:
        workspace = self.workspaces.get(item.workspace)
        if workspace is None:
            workspace = _Workspace(item.workspace, self._virtual_time)
            self.workspaces[item.workspace] = workspace
        if not workspace.items:
            workspace.start_tag = max(workspace.start_tag, self._virtual_time)
            self._schedule(workspace)
        workspace.items.append(item)
        workspace.tokens += item.tokens
        self.depth += 1
        self.tokens += item.tokens

    def head(self) -> work_queue.Item | None:
        """Returns: the item that `take` would take, None if none waits."""
        while self._heap:
            _, name, version = self._heap[0]
            workspace = self.workspaces.get(name)
            if workspace and workspace.items and workspace.version == version:
                return workspace.items[0]
            heapq.heappop(self._heap)
        return None

    def take(self) -> work_queue.Item:
        """Take the head; at least one item must wait."""
        item = self.head()
        workspace = self.workspaces[item.workspace]
        self._virtual_time = max(self._virtual_time, workspace.start_tag)
        workspace.start_tag += item.tokens
        workspace.running += 1
        self.running += 1
        self.discard(item)
        if workspace.items:
            self._schedule(workspace)
        return item

    def discard(self, item: work_queue.Item) -> work_queue.Item:
        """Remove a waiting item without charging for it."""
        workspace = self.workspaces[item.workspace]
        if workspace.items[0] is item:
            workspace.items.popleft()
        elif workspace.items[-1] is item:
            workspace.items.pop()
        else:
            position = next(
                index
                for index, waiting in enumerate(workspace.items)
                if waiting is item
            )
            del workspace.items[position]
        workspace.tokens -= item.tokens
        self.depth -= 1
        self.tokens -= item.tokens
        if not workspace.items:
            workspace.version += 1
            self._forget_idle()
        if not self.depth:
            # A rank without waiting items accumulates no credit.
            self.deficit = min(self.deficit, 0.0)
        return item

    def correct(self, item: work_queue.Item, correction: int) -> None:
        """Account for a running item that has ended.

        Args:
            item: the item as it was popped.
            correction: actual minus expected tokens.
        """
        # Items popped before the rank was removed and added again are not
        # counted here.
        self.running = max(0, self.running - 1)
        workspace = self.workspaces.get(item.workspace)
        if workspace is not None:
            workspace.running = max(0, workspace.running - 1)
            workspace.start_tag += correction
            if workspace.items and correction:
                self._schedule(workspace)
        self._forget_idle()

    def _schedule(self, workspace: _Workspace) -> None:
        workspace.version += 1
        heapq.heappush(
            self._heap,
            (workspace.start_tag, workspace.name, workspace.version),
        )
        if len(self._heap) > 2 * len(self.workspaces) + HEAP_SLACK:
            self._heap = [
                (other.start_tag, other.name, other.version)
                for other in self.workspaces.values()
                if other.items
            ]
            heapq.heapify(self._heap)

    def _forget_idle(self) -> None:
        if not self.depth and not self.running:
            # No workspace competes for an idle rank, so debts are dropped.
            self.workspaces.clear()
            self._heap.clear()
            self._virtual_time = 0.0
            return
        excess = len(self.workspaces) - self.depth - self.running
        if excess <= MAX_IDLE_WORKSPACES:
            return
        idle = sorted(
            (workspace.start_tag, workspace.name)
            for workspace in self.workspaces.values()
            if not workspace.items and not workspace.running
        )
        # All workspaces without debt are dropped, and others until half of the
        # maximum is left, so that the next scan comes only after many changes.
        for start_tag, name in idle:
            if (
                start_tag > self._virtual_time
                and excess <= MAX_IDLE_WORKSPACES // 2
            ):
                break
            del self.workspaces[name]
            excess -= 1
