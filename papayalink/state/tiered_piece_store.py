"""Piece store on disk with the most valuable pieces in memory too."""

from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import threading

import msgspec

from papayalink import clock as clocks
from papayalink.coordination import retention
from papayalink.protocol import pieces
from papayalink.state import disk_piece_store
from papayalink.state import errors
from papayalink.state import piece_store


class TieredPieceStore(piece_store.PieceStore):
    """Keeps pieces on disk, and those of the highest value in memory too.

    Args:
        memory: upper tier.
        disk: lower tier.
        policy: determines the values of pieces.
        clock: gives the times of arrivals and valuations.
    """

    __slots__ = (
        "_memory",
        "_disk",
        "_policy",
        "_policy_lock",
        "_clock",
        "_to_revalue",
    )

    def __init__(
        self,
        memory: piece_store.MemoryPieceStore,
        disk: disk_piece_store.DiskPieceStore,
        policy: retention.Policy,
        clock: clocks.Clock,
    ) -> None:
        self._memory = memory
        self._disk = disk
        self._policy = policy
        # Puts may run in a thread pool while lookups run in the event loop.
        self._policy_lock = threading.Lock()
        self._clock = clock
        self._to_revalue: list[
            tuple[pieces.PieceKey, int, retention.PieceFacts]
        ] = []
        # Lets a piece have the same generation in both tiers.
        memory.share_generations(disk)
        self.revalue()

    def put(
        self,
        key: pieces.PieceKey,
        data: bytes,
        value: float = 0.0,
        facts: retention.PieceFacts | None = None,
    ) -> None:
        """Publish a piece; the value is used only when facts is None."""
        piece_store.verify(key, data)
        if facts is not None:
            value = self._value(key, facts, len(data))
        try:
            generation = self._disk.admit(key, data, value, facts)
        except (errors.StoreFull, errors.StoreFailed):
            # The memory tier stays usable when the disk refuses the piece.
            self._memory.admit(key, data, value, facts)
            return
        if generation is None:
            # Already on disk. Engines do not compute bit-identical pieces, so
            # these bytes may differ from the published ones, and one
            # generation must not stand for both.
            self._memory.set_value(key, value)
            return
        with contextlib.suppress(errors.StoreFull):
            self._memory.admit(key, data, value, facts, generation)

    def get(
        self, key: pieces.PieceKey, generation: int | None = None
    ) -> piece_store.Pin | None:
        pin = self._memory.get(key, generation)
        if pin is not None:
            return pin
        pin = self._disk.get(key, generation)
        described = self._disk.describe(key)
        if pin is not None and described is not None:
            value, facts = described
            with contextlib.suppress(errors.StoreFull):
                self._memory.admit(key, pin.data, value, facts, pin.generation)
        return pin

    def drop(self, key: pieces.PieceKey) -> bool:
        in_memory = self._memory.drop(key)
        return self._disk.drop(key) or in_memory

    def contains(self, keys: Sequence[pieces.PieceKey]) -> list[bool]:
        return [
            in_memory or on_disk
            for in_memory, on_disk in zip(
                self._memory.contains(keys), self._disk.contains(keys)
            )
        ]

    def lookup(self, keys: Sequence[pieces.PieceKey]) -> list[bool]:
        """Record the arrival of a prompt and look up its pieces.

        Args:
            keys: keys of all full pieces of the prompt, in order.
        Returns: for each key whether the piece is published.
        """
        if keys:
            with self._policy_lock:
                self._policy.record_request(keys, self._clock.now())
        return self.contains(keys)

    def set_entitlements(self, fractions: Mapping[str, float]) -> None:
        """Guarantee fractions of each tier to workspaces.

        Args:
            fractions: fraction of the capacity by workspace, 0 to 1.
        """
        self._memory.set_entitlements(fractions)
        self._disk.set_entitlements(fractions)

    def revalue(self, max_pieces: int | None = None) -> None:
        """Update the values of pieces; called by a timer.

        Args:
            max_pieces: update at most this many pieces, continuing after
                those of the last call; by default all. 500 pieces take about
                5 ms.
        """
        if max_pieces is None or not self._to_revalue:
            published = {}
            for tier in (self._memory, self._disk):
                for key, size, facts in tier.published():
                    if facts is not None:
                        published[key] = (key, size, facts)
            self._to_revalue = list(published.values())
        if max_pieces is None:
            max_pieces = len(self._to_revalue)
        for _ in range(min(max_pieces, len(self._to_revalue))):
            key, size, facts = self._to_revalue.pop()
            value = self._value(key, facts, size)
            self._memory.set_value(key, value)
            self._disk.set_value(key, value)

    def copies(self, keys: Sequence[pieces.PieceKey]) -> list[int]:
        """Decide on how many stores each piece should be kept.

        Args:
            keys: keys of pieces whose first copy belongs on this store.
        Returns: 1 or 2 for each key, 0 when the piece is not published.
        """
        lowest_value = self._disk.lowest_value()
        counts = []
        for key in keys:
            described = self._disk.describe(key) or self._memory.describe(key)
            if described is None:
                counts.append(0)
                continue
            value, facts = described
            if facts is not None and facts.is_copy:
                # This is a second copy, so no further one is needed. Its
                # value is that of a second copy; copy_count() expects that of
                # a first one.
                counts.append(1)
                continue
            with self._policy_lock:
                counts.append(self._policy.copy_count(value, lowest_value))
        return counts

    def _value(
        self, key: pieces.PieceKey, facts: retention.PieceFacts, size: int
    ) -> float:
        with self._policy_lock:
            return self._policy.value(key, facts, size, self._clock.now())

    def usage(self) -> piece_store.Usage:
        """Returns: usage of the disk tier, with the pins of both tiers."""
        memory, disk = self.usage_by_tier().values()
        return msgspec.structs.replace(disk, pins=memory.pins + disk.pins)

    def usage_by_tier(self) -> dict[str, piece_store.Usage]:
        """Returns: usage and counters of each tier."""
        return {"memory": self._memory.usage(), "disk": self._disk.usage()}


def make_store(
    folder: str,
    memory_bytes: int,
    disk_bytes: int,
    policy: retention.Policy,
    clock: clocks.Clock,
) -> TieredPieceStore:
    """Open the tiered store of a store process.

    Args:
        folder: folder of the disk tier.
        memory_bytes: capacity of the memory tier.
        disk_bytes: capacity of the disk tier.
        policy: determines the values of pieces.
        clock: gives the times of arrivals and valuations.
    Returns: the store.
    Raises: StoreFailed when the folder cannot be read.
    """
    return TieredPieceStore(
        piece_store.MemoryPieceStore(memory_bytes),
        disk_piece_store.DiskPieceStore(folder, disk_bytes),
        policy,
        clock,
    )
