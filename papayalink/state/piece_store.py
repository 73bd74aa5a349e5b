"""Stores of kept KV cache pieces in memory and on disk."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import errno
import hashlib
import io
import itertools
import os
import struct
import threading
import time

import msgspec

from papayalink import clock as clocks
from papayalink.coordination import retention
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import pieces
from papayalink.state import errors

_SUFFIX = ".piece"
_TEMPORARY_SUFFIX = ".tmp"
_MAGIC = b"PKF1"
_CHECKSUM_BYTES = 16
# Magic and length of the metadata in bytes.
_PREFIX = struct.Struct("<4sI")
_MAX_METADATA_BYTES = 4096

# A full disk is retried after each eviction. The bound keeps a disk that
# others fill from emptying the store.
_MAX_FULL_RETRIES = 3


class Usage(msgspec.Struct):
    """Counts of one store or tier.

    Args:
        pieces: published pieces.
        used_bytes: bytes of published pieces and of dropped ones still pinned.
        capacity_bytes: limit of used_bytes.
        pins: pins not yet released.
        evicted: pieces that made room for others, since the start.
        refused: puts that raised StoreFull, since the start.
        corrupt: pieces deleted for a bad checksum, since the start.
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
            dropped and put again has a higher one.
        data: the encoded piece.
        on_release: called once.
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

        Raises: PinReleased when the pin was released.
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
        """Publish a piece; a piece already published only gets the value.

        Args:
            key: key of the piece.
            data: the encoded piece.
            value: a piece is evicted before pieces of higher value.
            facts: what a retention policy values the piece by.
        Raises: PieceRejected when the bytes are not that piece, StoreFull when
            no piece of lower value makes room, StoreFailed when the disk
            fails.
        """

    @abc.abstractmethod
    def get(
        self, key: pieces.PieceKey, generation: int | None = None
    ) -> Pin | None:
        """Pin a piece.

        Args:
            key: key of the piece.
            generation: when given, any other publication is a miss.
        Returns: a pin, None when the piece is not published.
        """

    @abc.abstractmethod
    def drop(self, key: pieces.PieceKey) -> bool:
        """Free a piece, at the last release when it is pinned.

        Returns: whether the piece was published.
        """

    @abc.abstractmethod
    def contains(self, keys: Sequence[pieces.PieceKey]) -> list[bool]:
        """Returns: for each key whether the piece is published."""

    @abc.abstractmethod
    def usage(self) -> Usage:
        """Returns: counts of the store."""


class _Entry:
    __slots__ = (
        "key",
        "size",
        "generation",
        "facts",
        "pins",
        "dropped",
        "holder",
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
        # The bytes themselves in memory, the file name on disk.
        self.holder: bytes | str = b""


class _IndexedStore(PieceStore):
    """Index, pins and eviction shared by the stores.

    The lock covers the index only and is never held during I/O, so that disk
    work can run in a thread pool beside the event loop.
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
        self._occupancy = retention.Occupancy(
            capacity_bytes, guaranteed_fraction
        )
        self._entries: dict[pieces.PieceKey, _Entry] = {}
        self._writing: dict[pieces.PieceKey, _Entry] = {}
        # Generations start from the wall clock, in microseconds, so that they
        # do not repeat after a restart.
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
        try:
            pieces.verify_piece(key, data)
        except protocol_errors.PieceInvalid as error:
            raise errors.PieceRejected(str(error)) from error
        self.admit(key, data, value, facts)

    def admit(
        self,
        key: pieces.PieceKey,
        data: bytes,
        value: float,
        facts: retention.PieceFacts | None,
        generation: int | None = None,
    ) -> int | None:
        """Publish a piece that was verified already; see put.

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
            entry = _Entry(key, size, generation, facts)
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
            # A read error may pass; the next reader tries again.
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
        """Guarantee parts of the capacity to workspaces."""
        with self._lock:
            self._occupancy.set_entitlements(fractions)

    def share_generations(self, other: "_IndexedStore") -> None:
        """Number publications in one sequence with another store."""
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
        """Returns: value and facts of a piece, None when not published."""
        with self._lock:
            entry = self._entries.get(key)
            if entry is None:
                return None
            return self._occupancy.value(key), entry.facts

    def floor(self) -> float:
        """Returns: the lowest value held, 0 while a tenth is free."""
        with self._lock:
            return self._occupancy.floor()

    def set_value(self, key: pieces.PieceKey, value: float) -> None:
        """Change the value of a piece; does nothing when it has gone."""
        with self._lock:
            if key in self._entries:
                self._occupancy.set_value(key, value)

    @abc.abstractmethod
    def _write(self, entry: _Entry, data: bytes, value: float) -> None:
        """Store the bytes; when this returns they may be published."""

    @abc.abstractmethod
    def _read(self, entry: _Entry) -> bytes:
        """Returns: the bytes of a pinned entry.

        Raises: PieceInvalid when they are damaged, OSError when they could
            not be read.
        """

    @abc.abstractmethod
    def _free(self, entries: list[_Entry]) -> None:
        """Free the bytes of entries that have left the index."""

    def _make_room(
        self,
        key: pieces.PieceKey,
        size: int,
        value: float,
        need_bytes: int | None = None,
    ) -> list[_Entry]:
        victims = self._occupancy.choose_victims(
            key, size, value, self._must_stay, need_bytes
        )
        if victims is None:
            self._refused += 1
            raise errors.StoreFull(
                f"no room for {size} bytes of workspace {key.workspace}"
            )
        self._evicted += len(victims)
        return [entry for victim in victims for entry in self._detach(victim)]

    def _must_stay(self, key: pieces.PieceKey) -> bool:
        entry = self._entries.get(key)
        return entry is None or entry.pins > 0

    def _detach(self, key: pieces.PieceKey) -> list[_Entry]:
        """Unpublish a piece.

        Returns: the entry when its bytes can be freed at once. Those of a
            pinned piece stay counted until its last release.
        """
        entry = self._entries.pop(key)
        entry.dropped = True
        self._occupancy.remove(key)
        if entry.pins:
            self._occupancy.reserve(entry.size)
            return []
        return [entry]

    def _unpin(self, entry: _Entry) -> None:
        with self._lock:
            entry.pins -= 1
            self._pins -= 1
            is_last = entry.dropped and not entry.pins
            if is_last:
                self._occupancy.reserve(-entry.size)
        if is_last:
            self._free([entry])

    def _discard_corrupt(self, entry: _Entry) -> None:
        with self._lock:
            if not entry.dropped:
                self._corrupt += 1
                self._detach(entry.key)


class MemoryPieceStore(_IndexedStore):
    """Keeps pieces in memory.

    Args:
        capacity_bytes: limit of the bytes of all pieces.
        guaranteed_fraction: see retention.Occupancy.
    """

    __slots__ = ()

    def __init__(
        self,
        capacity_bytes: int,
        guaranteed_fraction: float = retention.GUARANTEED_FRACTION,
    ) -> None:
        super().__init__(capacity_bytes, guaranteed_fraction)

    def _write(self, entry: _Entry, data: bytes, value: float) -> None:
        # A caller's bytearray could change after it was verified.
        entry.holder = bytes(data)

    def _read(self, entry: _Entry) -> bytes:
        return entry.holder

    def _free(self, entries: list[_Entry]) -> None:
        for entry in entries:
            entry.holder = b""


class _Metadata(msgspec.Struct):
    """What a file records beside the piece."""

    generation: int
    value: float
    facts: retention.PieceFacts | None


class Files:
    """File operations of a disk store; tests replace them to fail."""

    __slots__ = ()

    def write(self, path: str, parts: Sequence[bytes]) -> None:
        """Write a new file and sync it."""
        with open(path, "xb") as file:
            for part in parts:
                file.write(part)
            file.flush()
            self.sync(file.fileno())

    def sync(self, descriptor: int) -> None:
        """Force a file to disk."""
        os.fsync(descriptor)

    def rename(self, source: str, target: str) -> None:
        """Rename a file."""
        os.rename(source, target)

    def sync_folder(self, folder: str) -> None:
        """Force the names in a folder to disk."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.remove(path)


class DiskPieceStore(_IndexedStore):
    """Keeps pieces in one file each.

    A file is written under a temporary name, synced, then renamed, so that a
    crash leaves either the whole piece or none. Opening the store removes
    temporary files and rebuilds the index from the file headers; the checksum
    of a piece is verified at each read.

    Args:
        folder: created when missing; used by one store only.
        capacity_bytes: limit of the bytes of all pieces; the header of a file
            takes about 200 bytes more.
        guaranteed_fraction: see retention.Occupancy.
        files: file operations.
    Raises: StoreFailed when the folder cannot be read.
    """

    __slots__ = ("_folder", "_files")

    def __init__(
        self,
        folder: str,
        capacity_bytes: int,
        guaranteed_fraction: float = retention.GUARANTEED_FRACTION,
        files: Files | None = None,
    ) -> None:
        super().__init__(capacity_bytes, guaranteed_fraction)
        self._folder = folder
        self._files = files or Files()
        try:
            self._load()
        except OSError as error:
            raise errors.StoreFailed(f"{folder}: {error}") from error

    def _write(self, entry: _Entry, data: bytes, value: float) -> None:
        metadata = msgspec.msgpack.encode(
            _Metadata(entry.generation, value, entry.facts)
        )
        prefix = _PREFIX.pack(_MAGIC, len(metadata))
        parts = [prefix, _checksum(prefix, metadata), metadata, data]
        name = _file_name(entry.key, entry.generation)
        for attempt in range(_MAX_FULL_RETRIES + 1):
            try:
                self._publish(name, parts)
            except OSError as error:
                if error.errno not in (errno.ENOSPC, errno.EDQUOT):
                    raise errors.StoreFailed(f"{name}: {error}") from error
                if attempt == _MAX_FULL_RETRIES:
                    with self._lock:
                        self._refused += 1
                    raise errors.StoreFull(f"{name}: {error}") from error
            else:
                entry.holder = name
                return
            with self._lock:
                evicted = self._make_room(
                    entry.key, entry.size, value, need_bytes=entry.size
                )
            self._free(evicted)

    def _publish(self, name: str, parts: Sequence[bytes]) -> None:
        path = os.path.join(self._folder, name)
        temporary = path + _TEMPORARY_SUFFIX
        try:
            self._files.write(temporary, parts)
            self._files.rename(temporary, path)
            self._files.sync_folder(self._folder)
        except OSError:
            for leftover in (temporary, path):
                with contextlib.suppress(OSError):
                    self._files.remove(leftover)
            raise

    def _read(self, entry: _Entry) -> bytes:
        path = os.path.join(self._folder, entry.holder)
        try:
            with open(path, "rb") as file:
                metadata = _read_metadata(file)
                data = file.read()
        except FileNotFoundError as error:
            raise protocol_errors.PieceInvalid(str(error)) from error
        if metadata is None or metadata.generation != entry.generation:
            raise protocol_errors.PieceInvalid(f"{path}: metadata changed")
        pieces.verify_piece(entry.key, data)
        return data

    def _free(self, entries: list[_Entry]) -> None:
        for entry in entries:
            # A file that cannot be removed is found again at the next start.
            with contextlib.suppress(OSError):
                self._files.remove(os.path.join(self._folder, entry.holder))

    def drop(self, key: pieces.PieceKey) -> bool:
        with self._lock:
            entry = self._entries.get(key)
        was_published = super().drop(key)
        if entry is not None:
            # Unlike an eviction, a drop must hold after a crash. A pin holds
            # the bytes in memory, so the file can go at once.
            self._free([entry])
            with contextlib.suppress(OSError):
                self._files.sync_folder(self._folder)
        return was_published

    def _discard_corrupt(self, entry: _Entry) -> None:
        super()._discard_corrupt(entry)
        # Not left until the last release: a restart would find the file again.
        self._free([entry])

    def _load(self) -> None:
        os.makedirs(self._folder, exist_ok=True)
        found: dict[pieces.PieceKey, tuple[_Entry, float]] = {}
        stale = []
        highest = 0
        for name in sorted(os.listdir(self._folder)):
            if name.endswith(_TEMPORARY_SUFFIX):
                stale.append(name)
                continue
            if not name.endswith(_SUFFIX):
                continue
            loaded = self._load_entry(name)
            if loaded is None:
                self._corrupt += 1
                stale.append(name)
                continue
            entry, _ = loaded
            highest = max(highest, entry.generation)
            other = found.get(entry.key)
            if other is None or other[0].generation < entry.generation:
                found[entry.key] = loaded
                if other is not None:
                    stale.append(other[0].holder)
            else:
                stale.append(name)
        self._generations = itertools.count(
            max(highest + 1, next(self._generations))
        )
        by_value = sorted(found.values(), key=lambda item: -item[1])
        for entry, value in by_value:
            used = self._occupancy.used_bytes + entry.size
            if used > self._occupancy.capacity_bytes:
                stale.append(entry.holder)
                continue
            self._entries[entry.key] = entry
            self._occupancy.add(entry.key, entry.size, value)
        for name in stale:
            self._files.remove(os.path.join(self._folder, name))

    def _load_entry(self, name: str) -> tuple[_Entry, float] | None:
        path = os.path.join(self._folder, name)
        with open(path, "rb") as file:
            metadata = _read_metadata(file)
            if metadata is None:
                return None
            start = file.tell()
            try:
                header = pieces.decode_header(file.read(pieces.MAX_HEAD_BYTES))
            except protocol_errors.PieceInvalid:
                return None
            size = os.fstat(file.fileno()).st_size
        if size != start + header.total_bytes:
            return None
        if name != _file_name(header.key, metadata.generation):
            return None
        entry = _Entry(
            header.key,
            header.total_bytes,
            metadata.generation,
            metadata.facts,
        )
        entry.holder = name
        return entry, metadata.value


class TieredPieceStore(PieceStore):
    """Keeps pieces on disk, and those of the highest value in memory too.

    Args:
        memory: upper tier.
        disk: lower tier.
        policy: values the pieces.
        clock: time of arrivals and values.
    """

    __slots__ = (
        "_memory",
        "_disk",
        "_policy",
        "_policy_lock",
        "_clock",
        "_pending",
    )

    def __init__(
        self,
        memory: MemoryPieceStore,
        disk: DiskPieceStore,
        policy: retention.Policy,
        clock: clocks.Clock,
    ) -> None:
        self._memory = memory
        self._disk = disk
        self._policy = policy
        # Puts may run in a thread pool while lookups run in the event loop.
        self._policy_lock = threading.Lock()
        self._clock = clock
        self._pending: list[
            tuple[pieces.PieceKey, int, retention.PieceFacts]
        ] = []
        # A piece has the same generation in both tiers.
        memory.share_generations(disk)
        self.revalue()

    def put(
        self,
        key: pieces.PieceKey,
        data: bytes,
        value: float = 0.0,
        facts: retention.PieceFacts | None = None,
    ) -> None:
        """Publish a piece; value is used only when facts is None."""
        try:
            pieces.verify_piece(key, data)
        except protocol_errors.PieceInvalid as error:
            raise errors.PieceRejected(str(error)) from error
        if facts is not None:
            value = self._value(key, facts, len(data))
        try:
            generation = self._disk.admit(key, data, value, facts)
        except (errors.StoreFull, errors.StoreFailed):
            # A disk that refuses leaves the memory tier usable.
            self._memory.admit(key, data, value, facts)
            return
        if generation is None:
            # These bytes may differ from the published ones: engines do not
            # compute a piece alike to the last bit. One generation must not
            # stand for both.
            self._memory.set_value(key, value)
            return
        with contextlib.suppress(errors.StoreFull):
            self._memory.admit(key, data, value, facts, generation)

    def get(
        self, key: pieces.PieceKey, generation: int | None = None
    ) -> Pin | None:
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
        """Record that a prompt was asked for and look up its pieces.

        Args:
            keys: keys of all full pieces of the prompt, in order.
        Returns: for each key whether the piece is published.
        """
        if keys:
            with self._policy_lock:
                self._policy.arrive(keys, self._clock.now())
        return self.contains(keys)

    def set_entitlements(self, fractions: Mapping[str, float]) -> None:
        """Guarantee parts of each tier to workspaces.

        Args:
            fractions: by workspace, part of the capacity, 0 to 1.
        """
        self._memory.set_entitlements(fractions)
        self._disk.set_entitlements(fractions)

    def revalue(self, max_pieces: int | None = None) -> None:
        """Bring values up to date; called by a timer.

        Args:
            max_pieces: continue with so many pieces after those of the last
                call, by default all. 500 pieces take about 5 ms.
        """
        if max_pieces is None or not self._pending:
            published = {}
            for tier in (self._memory, self._disk):
                for key, size, facts in tier.published():
                    if facts is not None:
                        published[key] = (key, size, facts)
            self._pending = list(published.values())
        if max_pieces is None:
            max_pieces = len(self._pending)
        for _ in range(min(max_pieces, len(self._pending))):
            key, size, facts = self._pending.pop()
            value = self._value(key, facts, size)
            self._memory.set_value(key, value)
            self._disk.set_value(key, value)

    def copies(self, keys: Sequence[pieces.PieceKey]) -> list[int]:
        """Decide on how many stores pieces are kept.

        Args:
            keys: keys of pieces whose first copy is put on this store.
        Returns: 1 or 2 for each key, 0 when the piece is not published.
        """
        floor = self._disk.floor()
        counts = []
        for key in keys:
            described = self._disk.describe(key) or self._memory.describe(key)
            if described is None:
                counts.append(0)
                continue
            value, facts = described
            if facts is not None and facts.is_copy:
                # Its value is that of a second copy, which is here already.
                counts.append(1)
                continue
            with self._policy_lock:
                counts.append(self._policy.copies(value, floor))
        return counts

    def _value(
        self, key: pieces.PieceKey, facts: retention.PieceFacts, size: int
    ) -> float:
        with self._policy_lock:
            return self._policy.value(key, facts, size, self._clock.now())

    def usage(self) -> Usage:
        """Returns: counts of the disk tier, with pins of both tiers."""
        memory, disk = self.usage_by_tier().values()
        return msgspec.structs.replace(disk, pins=memory.pins + disk.pins)

    def usage_by_tier(self) -> dict[str, Usage]:
        """Returns: counts of each tier."""
        return {"memory": self._memory.usage(), "disk": self._disk.usage()}


def _file_name(key: pieces.PieceKey, generation: int) -> str:
    # Workspace names may hold characters that no file name can.
    name = hashlib.blake2b(
        msgspec.msgpack.encode(key), digest_size=_CHECKSUM_BYTES
    ).hexdigest()
    # A generation in the name keeps a late removal of the old file from
    # hitting the new one.
    return f"{name}.{generation}{_SUFFIX}"


def _checksum(*parts: bytes) -> bytes:
    return hashlib.blake2b(
        b"".join(parts), digest_size=_CHECKSUM_BYTES
    ).digest()


def _read_metadata(file: io.BufferedReader) -> _Metadata | None:
    head = file.read(_PREFIX.size + _CHECKSUM_BYTES)
    if len(head) < _PREFIX.size + _CHECKSUM_BYTES:
        return None
    prefix = head[: _PREFIX.size]
    magic, metadata_bytes = _PREFIX.unpack(prefix)
    if magic != _MAGIC or metadata_bytes > _MAX_METADATA_BYTES:
        return None
    encoded = file.read(metadata_bytes)
    if _checksum(prefix, encoded) != head[_PREFIX.size :]:
        return None
    try:
        return msgspec.msgpack.decode(encoded, type=_Metadata)
    except msgspec.MsgspecError:
        return None


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
        policy: values the pieces.
        clock: time of arrivals and values.
    Returns: the store.
    Raises: StoreFailed when the folder cannot be read.
    """
    return TieredPieceStore(
        MemoryPieceStore(memory_bytes),
        DiskPieceStore(folder, disk_bytes),
        policy,
        clock,
    )
