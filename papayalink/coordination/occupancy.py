"""Accounting and eviction policy of one tier of a store."""

from collections.abc import Callable
from collections.abc import Mapping
import heapq
import itertools

from papayalink.protocol import pieces

# Half of the capacity is divided evenly among the workspaces that hold pieces;
# the other half holds the pieces of the highest value of any workspace.
GUARANTEED_FRACTION = 0.5

# Factor on the value of a piece within the guaranteed share of its workspace.
# Prompts that recur after days have a value some tens of times lower than
# those that recur within the hour, and the share must protect them. It need
# not protect one-off prompts, whose value is lower still.
SHARE_FACTOR = 100.0


class _Holding:
    __slots__ = ("size", "value", "stamp")

    def __init__(self, size: int, value: float) -> None:
        self.size = size
        self.value = value
        self.stamp = -1


# Value, stamp and key of a piece.
_HeapEntry = tuple[float, int, pieces.PieceKey]


class _Usage:
    """Pieces of one workspace; the heap may contain stale entries."""

    __slots__ = ("used", "count", "heap")

    def __init__(self) -> None:
        self.used = 0
        self.count = 0
        self.heap: list[_HeapEntry] = []


class Occupancy:
    """Sizes and values of the pieces in one tier of one store.

    Args:
        capacity_bytes: size of the tier.
        guaranteed_fraction: fraction of the capacity that is divided evenly
            among workspaces as their guaranteed shares, see choose_victims.
    """

    __slots__ = (
        "capacity_bytes",
        "_guaranteed_fraction",
        "_entitlements",
        "_holdings",
        "_usages",
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
        self._usages: dict[str, _Usage] = {}
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
        return {name: usage.used for name, usage in self._usages.items()}

    def reserve(self, size_bytes: int) -> None:
        """Reserve bytes for other uses; a negative size returns them."""
        self._reserved += size_bytes

    def add(self, key: pieces.PieceKey, size: int, value: float) -> None:
        """Count a new piece."""
        holding = self._holdings[key] = _Holding(size, value)
        usage = self._usages.setdefault(key.workspace, _Usage())
        self._used += size
        usage.used += size
        usage.count += 1
        self._push_entry(usage, key, holding)

    def remove(self, key: pieces.PieceKey) -> None:
        """Stop counting a piece."""
        holding = self._holdings.pop(key)
        usage = self._usages[key.workspace]
        self._used -= holding.size
        usage.used -= holding.size
        usage.count -= 1
        if not usage.count:
            del self._usages[key.workspace]

    def value(self, key: pieces.PieceKey) -> float:
        """Returns: the current value of a held piece."""
        return self._holdings[key].value

    def lowest_value(self) -> float:
        """Returns: lowest value of a held piece, 0 while a tenth is free."""
        if self.used_bytes < 0.9 * self.capacity_bytes:
            return 0.0
        values = []
        for usage in self._usages.values():
            while usage.heap and not self._is_current(usage.heap[0]):
                heapq.heappop(usage.heap)
            if usage.heap:
                values.append(usage.heap[0][0])
        return min(values, default=0.0)

    def set_value(self, key: pieces.PieceKey, value: float) -> None:
        """Change the value of a held piece."""
        holding = self._holdings[key]
        if holding.value != value:
            holding.value = value
            self._push_entry(self._usages[key.workspace], key, holding)

    def set_entitlements(self, fractions: Mapping[str, float]) -> None:
        """Guarantee workspaces more than the even share.

        Args:
            fractions: by workspace, fraction of the capacity, 0 to 1.
        """
        self._entitlements = dict(fractions)

    def _guaranteed_bytes(self, workspace: str, even: float) -> float:
        entitled_bytes = (
            self._entitlements.get(workspace, 0.0) * self.capacity_bytes
        )
        return max(even, entitled_bytes)

    def choose_victims(
        self,
        key: pieces.PieceKey,
        size: int,
        value: float,
        is_pinned: Callable[[pieces.PieceKey], bool],
        need_bytes: int | None = None,
    ) -> list[pieces.PieceKey] | None:
        """Choose the pieces to evict for a new one.

        A piece is evicted only for one of higher value. Between workspaces,
        the value of a piece within the guaranteed share of its workspace is
        multiplied by SHARE_FACTOR.

        Args:
            key: key of the new piece.
            size: its size in bytes.
            value: its value.
            is_pinned: whether a piece must not be evicted.
            need_bytes: bytes to free; by default the bytes by which the new
                piece exceeds the free capacity.
        Returns: keys to evict, None when the new piece cannot be stored.
        """
        if size > self.capacity_bytes:
            return None
        if need_bytes is None:
            need_bytes = self.used_bytes + size - self.capacity_bytes
        if need_bytes <= 0:
            return []
        own_usage = self._usages.get(key.workspace)
        workspace_count = len(self._usages) + (own_usage is None)
        even_bytes = (
            self._guaranteed_fraction * self.capacity_bytes / workspace_count
        )
        held_bytes = (own_usage.used if own_usage else 0) + (
            0 if key in self._holdings else size
        )
        is_entitled = held_bytes <= self._guaranteed_bytes(
            key.workspace, even_bytes
        )
        remaining_bytes = {
            name: usage.used for name, usage in self._usages.items()
        }
        removed: list[_HeapEntry] = []
        lowest: list[_HeapEntry] = []
        for name in self._usages:
            self._push_lowest(name, is_pinned, removed, lowest)
        victims = []
        while need_bytes > 0 and lowest:
            victim_value, _, victim = heapq.heappop(lowest)
            victim_size = self._holdings[victim].size
            owner = victim.workspace
            if owner == key.workspace:
                if victim_value >= value:
                    continue
            elif remaining_bytes[owner] - victim_size < self._guaranteed_bytes(
                owner, even_bytes
            ):
                if victim_value * SHARE_FACTOR >= value:
                    continue
            elif victim_value >= value * (SHARE_FACTOR if is_entitled else 1):
                break
            victims.append(victim)
            remaining_bytes[owner] -= victim_size
            need_bytes -= victim_size
            removed.append(heapq.heappop(self._usages[owner].heap))
            self._push_lowest(owner, is_pinned, removed, lowest)
        for entry in removed:
            heapq.heappush(self._usages[entry[2].workspace].heap, entry)
        return victims if need_bytes <= 0 else None

    def _push_lowest(
        self,
        workspace: str,
        is_pinned: Callable[[pieces.PieceKey], bool],
        removed: list[_HeapEntry],
        lowest: list[_HeapEntry],
    ) -> None:
        """Push the lowest piece that is not pinned on `lowest`.

        Pinned pieces of lower value move from the heap to `removed`.
        """
        heap = self._usages[workspace].heap
        while heap:
            entry = heap[0]
            if not self._is_current(entry):
                heapq.heappop(heap)
            elif is_pinned(entry[2]):
                removed.append(heapq.heappop(heap))
            else:
                heapq.heappush(lowest, entry)
                return

    def _is_current(self, entry: _HeapEntry) -> bool:
        holding = self._holdings.get(entry[2])
        return holding is not None and holding.stamp == entry[1]

    def _push_entry(
        self, usage: _Usage, key: pieces.PieceKey, holding: _Holding
    ) -> None:
        holding.stamp = next(self._stamps)
        heapq.heappush(usage.heap, (holding.value, holding.stamp, key))
        # Stale entries are dropped when they outnumber the current ones.
        if len(usage.heap) > 2 * usage.count + 64:
            usage.heap = [
                entry for entry in usage.heap if self._is_current(entry)
            ]
            heapq.heapify(usage.heap)
