"""Queue of requests for one upstream: records, interface and baseline."""

import abc
from typing import Any
from typing import Sequence

import msgspec

from papayalink.coordination import errors


class Rank(msgspec.Struct, frozen=True):
    """Share of service and latency target of one rank.

    Args:
        name: name of the rank.
        ttft_target_s: target for the time to first token.
        weight: relative share of the service that is not guaranteed.
        min_share: guaranteed fraction of the served tokens, 0 to 1.
    """

    name: str
    ttft_target_s: float
    weight: float = 1.0
    min_share: float = 0.0


class Bounds(msgspec.Struct, frozen=True):
    """Limits on what may wait in one queue.

    Args:
        items_per_rank: most requests waiting in one rank.
        tokens_per_rank: most expected tokens waiting in one rank.
        items_per_workspace: most requests of one workspace in one rank.
        tokens_per_workspace: most expected tokens of one workspace in one
            rank.
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
        deadline: time after which the answer is useless, or None.
        payload: data that the caller needs to run the request.
        owed: set by `pop` when the rank was owed at least the item's tokens.
            The engine must then run it at the priority of the most urgent
            rank; at its own priority it would hold a slot without progress
            while more urgent work runs.
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
        shed: items to refuse as "not run"; includes the pushed item when it
            was not accepted.
    """

    accepted: bool
    shed: list[Item]


def owed_shares(ranks: Sequence[Rank]) -> list[float]:
    """Fraction of the served tokens that each rank is owed.

    Args:
        ranks: most urgent first.

    Returns:
        Minimum share of each rank plus its part by weight in the remainder;
        sums to 1. A rank is owed its share while it has waiting items.

    Raises:
        InvalidRanks: there are no ranks, names repeat, the minimum shares
            add up to more than 1, or a value is negative.
    """
    if not ranks or len({rank.name for rank in ranks}) != len(ranks):
        raise errors.InvalidRanks("ranks must be non-empty and unique")
    if any(rank.min_share < 0 or rank.weight < 0 for rank in ranks):
        raise errors.InvalidRanks("shares and weights must not be negative")
    guaranteed = sum(rank.min_share for rank in ranks)
    if guaranteed > 1.0 + 1e-9:
        raise errors.InvalidRanks(
            f"minimum shares add up to {guaranteed}, more than 1"
        )
    remainder = max(0.0, 1.0 - guaranteed)
    total_weight = sum(rank.weight for rank in ranks)
    if total_weight == 0:
        return [rank.min_share + remainder / len(ranks) for rank in ranks]
    return [
        rank.min_share + remainder * rank.weight / total_weight
        for rank in ranks
    ]


class WorkQueue(abc.ABC):
    """Queue of requests for one upstream."""

    __slots__ = ()

    @abc.abstractmethod
    def push(self, item: Item, now: float) -> Pushed:
        """Queue an item; the outcome lists the items to refuse."""

    @abc.abstractmethod
    def pop(self, now: float) -> Item | None:
        """Take the item to run next; None when nothing may start now."""

    @abc.abstractmethod
    def finish(self, item: Item, tokens: int, now: float) -> None:
        """Report the tokens that a popped item actually took."""

    @abc.abstractmethod
    def remove(self, request_id: str) -> Item | None:
        """Take out a waiting item, for example when its caller is gone."""

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
    """Baseline: first come, first served, regardless of rank and workspace.

    Args:
        max_items: number of items that may wait; more are refused.
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

    def finish(self, item: Item, tokens: int, now: float) -> None:
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
