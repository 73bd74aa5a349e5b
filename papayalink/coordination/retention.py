"""Retention: which kept pieces are worth their space."""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import heapq
import itertools

import msgspec

from papayalink.protocol import pieces

# Half of the capacity is divided evenly among the workspaces that hold
# something; the other half goes to whoever makes the best use of it.
GUARANTEED_FRACTION = 0.5

# Prefill rate assumed for a piece whose engine reported none.
DEFAULT_PREFILL_TOKENS_PER_S = 8000.0


class PieceFacts(msgspec.Struct, frozen=True):
    """What the value of a piece is estimated from.

    Args:
        family: digest of the first piece of the prompt.
        parent: digest of the piece before this one, empty for the first.
        position: index of the piece in its prompt.
        recompute_s: prefill time that the piece saves, seconds.
    """

    family: str
    parent: str
    position: int
    recompute_s: float


def make_facts(
    keys: Sequence[pieces.PieceKey],
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S,
) -> list[PieceFacts]:
    """Describe the pieces of a prompt.

    Args:
        keys: keys of the pieces in prompt order.
        prefill_tokens_per_s: measured rate of the engine.
    Returns: facts of each piece.
    """
    recompute_s = pieces.PIECE_TOKENS / prefill_tokens_per_s
    return [
        PieceFacts(
            keys[0].digest,
            keys[position - 1].digest if position else "",
            position,
            recompute_s,
        )
        for position in range(len(keys))
    ]


class Policy(abc.ABC):
    """Values pieces; a piece of lower value is evicted first."""

    __slots__ = ()

    @abc.abstractmethod
    def arrive(self, keys: Sequence[pieces.PieceKey], now: float) -> None:
        """Record that a prompt was asked for.

        Args:
            keys: keys of its pieces in prompt order.
            now: time in seconds.
        """

    @abc.abstractmethod
    def value(
        self,
        key: pieces.PieceKey,
        facts: PieceFacts,
        size_bytes: int,
        now: float,
    ) -> float:
        """Returns: the value of a byte of the piece at this time."""

    @abc.abstractmethod
    def copies(self, value: float) -> int:
        """Returns: on how many stores a piece of this value is kept."""


class LruPolicy(Policy):
    """Baseline: the piece that was asked for last is worth most."""

    __slots__ = ("_last_seen",)

    def __init__(self) -> None:
        self._last_seen: dict[pieces.PieceKey, float] = {}

    def arrive(self, keys: Sequence[pieces.PieceKey], now: float) -> None:
        for key in keys:
            self._last_seen[key] = now

    def value(
        self,
        key: pieces.PieceKey,
        facts: PieceFacts,
        size_bytes: int,
        now: float,
    ) -> float:
        return self._last_seen.get(key, now)

    def copies(self, value: float) -> int:
        return 1


class _Holding:
    __slots__ = ("size", "value", "stamp")

    def __init__(self, size: int, value: float) -> None:
        self.size = size
        self.value = value
        self.stamp = -1


_Rank = tuple[float, int, pieces.PieceKey]


class _Share:
    """What one workspace holds; ranks may hold outdated entries."""

    __slots__ = ("used", "count", "ranks")

    def __init__(self) -> None:
        self.used = 0
        self.count = 0
        self.ranks: list[_Rank] = []


class Occupancy:
    """Sizes and values of the pieces in one tier of one store.

    Args:
        capacity_bytes: size of the tier.
        guaranteed_fraction: part of the capacity that is divided evenly among
            workspaces; no other workspace evicts what lies within it.
    """

    __slots__ = (
        "capacity_bytes",
        "_guaranteed_fraction",
        "_holdings",
        "_shares",
        "_used",
        "_reserved",
        "_stamps",
    )

    def __init__(
        self,
        capacity_bytes: int,
        guaranteed_fraction: float = GUARANTEED_FRACTION,
    ) -> None:
        self.capacity_bytes = capacity_bytes
        self._guaranteed_fraction = guaranteed_fraction
        self._holdings: dict[pieces.PieceKey, _Holding] = {}
        self._shares: dict[str, _Share] = {}
        self._used = 0
        self._reserved = 0
        self._stamps = itertools.count()

    @property
    def used_bytes(self) -> int:
        """Returns: bytes of held pieces and of reservations."""
        return self._used + self._reserved

    @property
    def used_by(self) -> dict[str, int]:
        """Returns: bytes held by each workspace."""
        return {name: share.used for name, share in self._shares.items()}

    def reserve(self, size_bytes: int) -> None:
        """Set bytes aside that no piece occupies; negative to return them."""
        self._reserved += size_bytes

    def add(self, key: pieces.PieceKey, size: int, value: float) -> None:
        """Count a new piece."""
        holding = self._holdings[key] = _Holding(size, value)
        share = self._shares.setdefault(key.workspace, _Share())
        self._used += size
        share.used += size
        share.count += 1
        self._rank(share, key, holding)

    def remove(self, key: pieces.PieceKey) -> None:
        """Stop counting a piece."""
        holding = self._holdings.pop(key)
        share = self._shares[key.workspace]
        self._used -= holding.size
        share.used -= holding.size
        share.count -= 1
        if not share.count:
            del self._shares[key.workspace]

    def value(self, key: pieces.PieceKey) -> float:
        """Returns: the value the piece is held at."""
        return self._holdings[key].value

    def set_value(self, key: pieces.PieceKey, value: float) -> None:
        """Change the value of a held piece."""
        holding = self._holdings[key]
        if holding.value != value:
            holding.value = value
            self._rank(self._shares[key.workspace], key, holding)

    def choose_victims(
        self,
        key: pieces.PieceKey,
        size: int,
        value: float,
        is_pinned: Callable[[pieces.PieceKey], bool],
        need_bytes: int | None = None,
    ) -> list[pieces.PieceKey] | None:
        """Choose which pieces make room for a new one.

        A piece gives way to one of higher value, and whatever the values are
        to one of a workspace that is below its guaranteed share. A piece of
        another workspace is left alone when that workspace would fall below
        its own guaranteed share.

        Args:
            key: key of the new piece.
            size: its size in bytes.
            value: its value.
            is_pinned: whether a piece must stay.
            need_bytes: bytes to free, by default what the capacity lacks.
        Returns: keys to evict, None when there is no room for the new piece.
        """
        if size > self.capacity_bytes:
            return None
        if need_bytes is None:
            need_bytes = self.used_bytes + size - self.capacity_bytes
        if need_bytes <= 0:
            return []
        own = self._shares.get(key.workspace)
        active = len(self._shares) + (own is None)
        guaranteed = self._guaranteed_fraction * self.capacity_bytes / active
        held = (own.used if own else 0) + (
            0 if key in self._holdings else size
        )
        left = {name: share.used for name, share in self._shares.items()}
        taken: list[_Rank] = []
        heads: list[_Rank] = []
        for name in self._shares:
            self._take_lowest(name, is_pinned, taken, heads)
        victims = []
        while need_bytes > 0 and heads:
            rank, _, victim = heapq.heappop(heads)
            victim_size = self._holdings[victim].size
            owner = victim.workspace
            if owner == key.workspace:
                if rank >= value:
                    continue
            elif left[owner] - victim_size < guaranteed:
                continue
            elif rank >= value and held > guaranteed:
                break
            victims.append(victim)
            left[owner] -= victim_size
            need_bytes -= victim_size
            self._take_lowest(owner, is_pinned, taken, heads)
        for entry in taken:
            heapq.heappush(self._shares[entry[2].workspace].ranks, entry)
        return victims if need_bytes <= 0 else None

    def _take_lowest(
        self,
        workspace: str,
        is_pinned: Callable[[pieces.PieceKey], bool],
        taken: list[_Rank],
        heads: list[_Rank],
    ) -> None:
        ranks = self._shares[workspace].ranks
        while ranks:
            entry = heapq.heappop(ranks)
            _, stamp, key = entry
            holding = self._holdings.get(key)
            if holding is None or holding.stamp != stamp:
                continue
            taken.append(entry)
            if not is_pinned(key):
                heapq.heappush(heads, entry)
                return

    def _rank(
        self, share: _Share, key: pieces.PieceKey, holding: _Holding
    ) -> None:
        holding.stamp = next(self._stamps)
        heapq.heappush(share.ranks, (holding.value, holding.stamp, key))
        # Outdated entries are dropped when they outnumber the current ones.
        if len(share.ranks) > 2 * share.count + 64:
            share.ranks = [
                entry
                for entry in share.ranks
                if entry[2] in self._holdings
                and self._holdings[entry[2]].stamp == entry[1]
            ]
            heapq.heapify(share.ranks)
