"""What fills a tier of a store, and what makes room in it."""

from collections.abc import Callable
from collections.abc import Mapping
import heapq
import itertools

from papayalink.protocol import pieces

# Half of the capacity is divided evenly among the workspaces that hold
# something; the other half goes to whoever makes the best use of it.
GUARANTEED_FRACTION = 0.5

# Within its share a piece counts as worth this much more than one outside.
# Prompts that return after days are worth some tens of times less than ones
# that return within the hour, and the share must keep them. It need not keep
# one-off prompts, which are worth less again.
SHARE_FACTOR = 100.0


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
            workspaces as their shares, see choose_victims.
    """

    __slots__ = (
        "capacity_bytes",
        "_guaranteed_fraction",
        "_entitlements",
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
        self._entitlements: dict[str, float] = {}
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

    def floor(self) -> float:
        """Returns: the lowest value held, 0 while a tenth is free."""
        if self.used_bytes < 0.9 * self.capacity_bytes:
            return 0.0
        lowest = []
        for share in self._shares.values():
            while share.ranks and not self._is_current(share.ranks[0]):
                heapq.heappop(share.ranks)
            if share.ranks:
                lowest.append(share.ranks[0][0])
        return min(lowest, default=0.0)

    def set_value(self, key: pieces.PieceKey, value: float) -> None:
        """Change the value of a held piece."""
        holding = self._holdings[key]
        if holding.value != value:
            holding.value = value
            self._rank(self._shares[key.workspace], key, holding)

    def set_entitlements(self, fractions: Mapping[str, float]) -> None:
        """Guarantee workspaces more than the even share.

        Args:
            fractions: by workspace, part of the capacity, 0 to 1.
        """
        self._entitlements = dict(fractions)

    def _guaranteed_bytes(self, workspace: str, even: float) -> float:
        own = self._entitlements.get(workspace, 0.0) * self.capacity_bytes
        return max(even, own)

    def choose_victims(
        self,
        key: pieces.PieceKey,
        size: int,
        value: float,
        is_pinned: Callable[[pieces.PieceKey], bool],
        need_bytes: int | None = None,
    ) -> list[pieces.PieceKey] | None:
        """Choose which pieces make room for a new one.

        A piece gives way to one of higher value. Between workspaces, a piece
        within the guaranteed share of its workspace counts SHARE_FACTOR times
        its value.

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
        even = self._guaranteed_fraction * self.capacity_bytes / active
        held = (own.used if own else 0) + (
            0 if key in self._holdings else size
        )
        entitled = held <= self._guaranteed_bytes(key.workspace, even)
        left = {name: share.used for name, share in self._shares.items()}
        parked: list[_Rank] = []
        heads: list[_Rank] = []
        for name in self._shares:
            self._push_lowest(name, is_pinned, parked, heads)
        victims = []
        while need_bytes > 0 and heads:
            rank, _, victim = heapq.heappop(heads)
            victim_size = self._holdings[victim].size
            owner = victim.workspace
            if owner == key.workspace:
                if rank >= value:
                    continue
            elif left[owner] - victim_size < self._guaranteed_bytes(
                owner, even
            ):
                if rank * SHARE_FACTOR >= value:
                    continue
            elif rank >= value * (SHARE_FACTOR if entitled else 1):
                break
            victims.append(victim)
            left[owner] -= victim_size
            need_bytes -= victim_size
            parked.append(heapq.heappop(self._shares[owner].ranks))
            self._push_lowest(owner, is_pinned, parked, heads)
        for entry in parked:
            heapq.heappush(self._shares[entry[2].workspace].ranks, entry)
        return victims if need_bytes <= 0 else None

    def _push_lowest(
        self,
        workspace: str,
        is_pinned: Callable[[pieces.PieceKey], bool],
        parked: list[_Rank],
        heads: list[_Rank],
    ) -> None:
        """Push the lowest piece that may go; park the pinned ones below."""
        ranks = self._shares[workspace].ranks
        while ranks:
            entry = ranks[0]
            if not self._is_current(entry):
                heapq.heappop(ranks)
            elif is_pinned(entry[2]):
                parked.append(heapq.heappop(ranks))
            else:
                heapq.heappush(heads, entry)
                return

    def _is_current(self, entry: _Rank) -> bool:
        holding = self._holdings.get(entry[2])
        return holding is not None and holding.stamp == entry[1]

    def _rank(
        self, share: _Share, key: pieces.PieceKey, holding: _Holding
    ) -> None:
        holding.stamp = next(self._stamps)
        heapq.heappush(share.ranks, (holding.value, holding.stamp, key))
        # Outdated entries are dropped when they outnumber the current ones.
        if len(share.ranks) > 2 * share.count + 64:
            share.ranks = [
                entry for entry in share.ranks if self._is_current(entry)
            ]
            heapq.heapify(share.ranks)
