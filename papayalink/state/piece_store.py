"""Stores of encoded pieces: the interface, and a store in memory."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import threading
import time

import msgspec

from papayalink.coordination import occupancy as occupancies
from papayalink.coordination import retention
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import pieces
from papayalink.state import errors


class Usage(msgspec.Struct):
    """Usage and counters of one store or tier.

    Attributes:
        pieces: published pieces.
        used_bytes: bytes of published pieces, and of dropped pieces that are
            still pinned.
        capacity_bytes: limit of used_bytes.
        pins: pins not yet released.
        evicted: pieces evicted since the start to make room for others.
        refused: puts that raised StoreFull since the start.
        corrupt: pieces deleted since the start because they were damaged.
        by_workspace: bytes of published pieces of each workspace.
    """

    pieces: int
    used_bytes: int
    capacity_bytes: int
    pins: int
    evicted: int
    refused: int
    corrupt: int
    by_workspace: dict[str, int]


class Pin:
    """A piece in use: its bytes are neither freed nor reused until release.

    Args:
        key: key of the piece.
        generation: number of this publication of the piece; a piece that is
            dropped and put again gets a higher one.
        data: the encoded piece.
        on_release: called once, at the release.
    """

    __slots__ = ("key", "generation", "_data", "_on_release")

    def __init__(
        self,
        key: pieces.PieceKey,
        generation: int,
        data: bytes,
        on_release: Callable[[], None],
    ) -> None:
        self.key = key
        self.generation = generation
        self._data: bytes | None = data
        self._on_release = on_release

    @property
    def data(self) -> bytes:
        """Returns: the encoded piece.

        Raises: PinReleased after the release.
        """
        if self._data is None:
            raise errors.PinReleased(f"pin of {self.key} was released")
        return self._data

    def release(self) -> None:
        """Allow the piece to be freed; later calls do nothing."""
        if self._data is not None:
            self._data = None
            self._on_release()

    def __enter__(self) -> "Pin":
        return self

    def __exit__(self, *details: object) -> None:
        self.release()


class PieceStore(abc.ABC):
    """Keeps encoded pieces by key."""

    __slots__ = ()

    @abc.abstractmethod
    def put(
        self,
        key: pieces.PieceKey,
        data: bytes,
        value: float = 0.0,
        facts: retention.PieceFacts | None = None,
    ) -> None:
        """Publish a piece; for a published piece, only set its value.

        Args:
            key: key of the piece.
            data: the encoded piece.
            value: a piece is evicted before pieces of higher value.
            facts: facts from which a retention policy derives the value.
        Raises: PieceRejected when the bytes are not the piece of the key,
            StoreFull when evicting pieces of lower value makes no room for it,
            StoreFailed when the disk fails.
        """

    @abc.abstractmethod
    def get(
        self, key: pieces.PieceKey, generation: int | None = None
    ) -> Pin | None:
        """Pin a piece.

        Args:
            key: key of the piece.
            generation: when given, other publications of the piece are
                misses.
        Returns: a pin, None when the piece is not published.
        """

    @abc.abstractmethod
    def drop(self, key: pieces.PieceKey) -> bool:
        """Unpublish a piece; a pinned one is freed at its last release.

        Returns: whether the piece was published.
        """

    @abc.abstractmethod
    def contains(self, keys: Sequence[pieces.PieceKey]) -> list[bool]:
        """Returns: for each key whether the piece is published."""

    @abc.abstractmethod
    def usage(self) -> Usage:
        """Returns: usage and counters of the store."""


def verify(key: pieces.PieceKey, data: bytes) -> None:
    """Check that offered bytes are the piece of a key.

    Raises: PieceRejected when they are not.
    """
    try:
        pieces.verify_piece(key, data)
    except protocol_errors.PieceInvalid as error:
        raise errors.PieceRejected(str(error)) from error


class Entry:
    """Index entry of a piece."""

    __slots__ = (
        "key",
        "size",
        "generation",
        "facts",
        "pins",
        "dropped",
        "data_or_name",
    )

    def __init__(
        self,
        key: pieces.PieceKey,
        size: int,
        generation: int,
        facts: retention.PieceFacts | None,
    ) -> None:
        self.key = key
        self.size = size
        self.generation = generation
        self.facts = facts
        self.pins = 0
        self.dropped = False
        # Bytes of the piece in a memory store, file name in a disk store.
        self.data_or_name: bytes | str = b""


class IndexedStore(PieceStore):
    """Index, pins and eviction, common to all stores.

    The lock protects only the index and is never held during I/O, so that disk
    work can run in a thread pool without blocking the event loop.
    """

    __slots__ = (
        "_occupancy",
        "_entries",
        "_writing",
        "_generations",
        "_lock",
        "_pins",
        "_evicted",
        "_refused",
        "_corrupt",
    )

    def __init__(
        self, capacity_bytes: int, guaranteed_fraction: float
    ) -> None:
        self._occupancy = occupancies.Occupancy(
            capacity_bytes, guaranteed_fraction
        )
        self._entries: dict[pieces.PieceKey, Entry] = {}
        self._writing: dict[pieces.PieceKey, Entry] = {}
        # Generations start at the wall-clock time in microseconds, so that
        # they are not reused after a restart.
        self._generations = itertools.count(time.time_ns() // 1000)
        self._lock = threading.Lock()
        self._pins = 0
        self._evicted = 0
        self._refused = 0
        self._corrupt = 0

    def put(
        self,
        key: pieces.PieceKey,
        data: bytes,
        value: float = 0.0,
        facts: retention.PieceFacts | None = None,
    ) -> None:
        verify(key, data)
        self.admit(key, data, value, facts)

    def admit(
        self,
        key: pieces.PieceKey,
        data: bytes,
        value: float,
        facts: retention.PieceFacts | None,
        generation: int | None = None,
    ) -> int | None:
        """Publish a piece that was already verified; see put.

        Returns: generation of the publication, None when the piece is already
            published or being written.
        """
        size = len(data)
        with self._lock:
            entry = self._entries.get(key)
            if entry is not None:
                self._occupancy.set_value(key, value)
                return None
            if key in self._writing:
                return None
            evicted = self._make_room(key, size, value)
            self._occupancy.add(key, size, value)
            if generation is None:
                generation = next(self._generations)
            entry = Entry(key, size, generation, facts)
            self._writing[key] = entry
        self._free(evicted)
        try:
            self._write(entry, data, value)
        except BaseException:
            with self._lock:
                del self._writing[key]
                self._occupancy.remove(key)
            raise
        with self._lock:
            del self._writing[key]
            if entry.dropped:
                self._occupancy.remove(key)
            else:
                self._entries[key] = entry
        if entry.dropped:
            self._free([entry])
        return generation

    def get(
        self, key: pieces.PieceKey, generation: int | None = None
    ) -> Pin | None:
        with self._lock:
            entry = self._entries.get(key)
            if entry is None or generation not in (None, entry.generation):
                return None
            entry.pins += 1
            self._pins += 1
        try:
            data = self._read(entry)
        except protocol_errors.PieceInvalid:
            self._discard_corrupt(entry)
            data = None
        except OSError:
            # A read error may be transient; the next reader tries again.
            data = None
        if data is None:
            self._unpin(entry)
            return None
        return Pin(key, entry.generation, data, lambda: self._unpin(entry))

    def drop(self, key: pieces.PieceKey) -> bool:
        with self._lock:
            if key in self._writing:
                self._writing[key].dropped = True
                return False
            if key not in self._entries:
                return False
            freed = self._detach(key)
        self._free(freed)
        return True

    def contains(self, keys: Sequence[pieces.PieceKey]) -> list[bool]:
        with self._lock:
            return [key in self._entries for key in keys]

    def usage(self) -> Usage:
        with self._lock:
            return Usage(
                pieces=len(self._entries),
                used_bytes=self._occupancy.used_bytes,
                capacity_bytes=self._occupancy.capacity_bytes,
                pins=self._pins,
                evicted=self._evicted,
                refused=self._refused,
                corrupt=self._corrupt,
                by_workspace=self._occupancy.used_by,
            )

    def set_entitlements(self, fractions: Mapping[str, float]) -> None:
        """Guarantee fractions of the capacity to workspaces."""
        with self._lock:
            self._occupancy.set_entitlements(fractions)

    def share_generations(self, other: "IndexedStore") -> None:
        """Take generations from the sequence of another store."""
        self._generations = other._generations

    def published(
        self,
    ) -> list[tuple[pieces.PieceKey, int, retention.PieceFacts | None]]:
        """Returns: key, size in bytes and facts of each published piece."""
        with self._lock:
            return [
                (entry.key, entry.size, entry.facts)
                for entry in self._entries.values()
            ]

    def describe(
        self, key: pieces.PieceKey
    ) -> tuple[float, retention.PieceFacts | None] | None:
        """Returns: value and facts of a piece, None if not published."""
        with self._lock:
            entry = self._entries.get(key)
            if entry is None:
                return None
            return self._occupancy.value(key), entry.facts

    def lowest_value(self) -> float:
        """Returns: lowest value of a piece, 0 while over a tenth is free."""
        with self._lock:
            return self._occupancy.lowest_value()

    def set_value(self, key: pieces.PieceKey, value: float) -> None:
        """Change the value of a piece; does nothing if not published."""
        with self._lock:
            if key in self._entries:
                self._occupancy.set_value(key, value)

    @abc.abstractmethod
    def _write(self, entry: Entry, data: bytes, value: float) -> None:
        """Store the bytes, so that they may be published."""

    @abc.abstractmethod
    def _read(self, entry: Entry) -> bytes:
        """Returns: the bytes of a pinned entry.

        Raises: PieceInvalid when they are damaged, OSError when they cannot
            be read.
        """

    @abc.abstractmethod
    def _free(self, entries: list[Entry]) -> None:
        """Free the bytes of entries that were removed from the index."""

    def _make_room(
        self,
        key: pieces.PieceKey,
        size: int,
        value: float,
        need_bytes: int | None = None,
    ) -> list[Entry]:
        victims = self._occupancy.choose_victims(
            key, size, value, self._is_unevictable, need_bytes
        )
        if victims is None:
            self._refused += 1
            raise errors.StoreFull(
                f"no room for {size} bytes of workspace {key.workspace}"
            )
        self._evicted += len(victims)
        return [entry for victim in victims for entry in self._detach(victim)]

    def _is_unevictable(self, key: pieces.PieceKey) -> bool:
        entry = self._entries.get(key)
        return entry is None or entry.pins > 0

    def _detach(self, key: pieces.PieceKey) -> list[Entry]:
        """Remove a piece from the index.

        Returns: the entry if its bytes can be freed immediately. The bytes of
            a pinned piece count as used until its last release.
        """
        entry = self._entries.pop(key)
        entry.dropped = True
        self._occupancy.remove(key)
        if entry.pins:
            self._occupancy.reserve(entry.size)
            return []
        return [entry]

    def _unpin(self, entry: Entry) -> None:
        with self._lock:
            entry.pins -= 1
            self._pins -= 1
            can_free = entry.dropped and not entry.pins
            if can_free:
                self._occupancy.reserve(-entry.size)
        if can_free:
            self._free([entry])

    def _discard_corrupt(self, entry: Entry) -> None:
        with self._lock:
            if not entry.dropped:
                self._corrupt += 1
                self._detach(entry.key)


class MemoryPieceStore(IndexedStore):
    """Keeps pieces in memory.

    Args:
        capacity_bytes: limit of the bytes of all pieces.
        guaranteed_fraction: see occupancies.Occupancy.
    """

    __slots__ = ()

    def __init__(
        self,
        capacity_bytes: int,
        guaranteed_fraction: float = occupancies.GUARANTEED_FRACTION,
    ) -> None:
        super().__init__(capacity_bytes, guaranteed_fraction)

    def _write(self, entry: Entry, data: bytes, value: float) -> None:
        # Copied, because a caller's bytearray could change after verification.
        entry.data_or_name = bytes(data)

    def _read(self, entry: Entry) -> bytes:
        return entry.data_or_name

    def _free(self, entries: list[Entry]) -> None:
        for entry in entries:
            entry.data_or_name = b""
