"""Piece store on disk; a piece is durable before it is published."""

from collections.abc import Sequence
import contextlib
import errno
import hashlib
import io
import itertools
import os
import struct

import msgspec

from papayalink.coordination import occupancy as occupancies
from papayalink.coordination import retention
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import pieces
from papayalink.state import errors
from papayalink.state import piece_store

_SUFFIX = ".piece"
_TEMPORARY_SUFFIX = ".tmp"
_MAGIC = b"PKF1"
_CHECKSUM_BYTES = 16
# Magic and length of the metadata in bytes.
_PREFIX = struct.Struct("<4sI")
_MAX_METADATA_BYTES = 4096

# A write to a full disk is retried after an eviction. The bound keeps the
# store from evicting everything when other processes fill the disk.
_MAX_DISK_FULL_RETRIES = 3


class _Metadata(msgspec.Struct):
    """Metadata stored in a file in front of the piece."""

    generation: int
    value: float
    facts: retention.PieceFacts | None


class Files:
    """File operations of a disk store; tests replace them to inject faults."""

    __slots__ = ()

    def write(self, path: str, parts: Sequence[bytes]) -> None:
        """Write a new file and sync it."""
        with open(path, "xb") as file:
            for part in parts:
                file.write(part)
            file.flush()
            self.sync(file.fileno())

    def sync(self, descriptor: int) -> None:
        """Make the content of a file durable."""
        os.fsync(descriptor)

    def rename(self, source: str, target: str) -> None:
        """Rename a file."""
        os.rename(source, target)

    def sync_folder(self, folder: str) -> None:
        """Make created, renamed and removed names in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.remove(path)


class DiskPieceStore(piece_store.IndexedStore):
    """Keeps each piece in a file of its own.

    A file is written under a temporary name, synced, then renamed, so that a
    crash leaves either the whole piece or none. Opening the store removes
    temporary files and rebuilds the index from the file headers; the checksum
    of a piece is verified at each read.

    Args:
        folder: created when missing; must not be shared with another store.
        capacity_bytes: limit of the bytes of all pieces; the header of each
            file takes about 200 bytes more.
        guaranteed_fraction: see occupancies.Occupancy.
        files: file operations, by default those of the operating system.
    Raises: StoreFailed when the folder cannot be read.
    """

    __slots__ = ("_folder", "_files")

    def __init__(
        self,
        folder: str,
        capacity_bytes: int,
        guaranteed_fraction: float = occupancies.GUARANTEED_FRACTION,
        files: Files | None = None,
    ) -> None:
        super().__init__(capacity_bytes, guaranteed_fraction)
        self._folder = folder
        self._files = files or Files()
        try:
            self._load()
        except OSError as error:
            raise errors.StoreFailed(f"{folder}: {error}") from error

    def _write(
        self, entry: piece_store.Entry, data: bytes, value: float
    ) -> None:
        metadata = msgspec.msgpack.encode(
            _Metadata(entry.generation, value, entry.facts)
        )
        prefix = _PREFIX.pack(_MAGIC, len(metadata))
        parts = [prefix, _checksum(prefix, metadata), metadata, data]
        name = _file_name(entry.key, entry.generation)
        for attempt in range(_MAX_DISK_FULL_RETRIES + 1):
            try:
                self._publish(name, parts)
            except OSError as error:
                if error.errno not in (errno.ENOSPC, errno.EDQUOT):
                    raise errors.StoreFailed(f"{name}: {error}") from error
                if attempt == _MAX_DISK_FULL_RETRIES:
                    with self._lock:
                        self._refused += 1
                    raise errors.StoreFull(f"{name}: {error}") from error
            else:
                entry.data_or_name = name
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

    def _read(self, entry: piece_store.Entry) -> bytes:
        path = os.path.join(self._folder, entry.data_or_name)
        try:
            with open(path, "rb") as file:
                metadata = _read_metadata(file)
                data = file.read()
        except FileNotFoundError as error:
            raise protocol_errors.PieceInvalid(str(error)) from error
        if metadata is None or metadata.generation != entry.generation:
            raise protocol_errors.PieceInvalid(
                f"{path}: metadata is corrupt or changed"
            )
        pieces.verify_piece(entry.key, data)
        return data

    def _free(self, entries: list[piece_store.Entry]) -> None:
        for entry in entries:
            # A file that cannot be removed is loaded again at the next start.
            with contextlib.suppress(OSError):
                self._files.remove(
                    os.path.join(self._folder, entry.data_or_name)
                )

    def drop(self, key: pieces.PieceKey) -> bool:
        with self._lock:
            entry = self._entries.get(key)
        was_published = super().drop(key)
        if entry is not None:
            # Unlike an eviction, a drop must survive a crash. A pin keeps the
            # bytes in memory, so the file can be removed immediately.
            self._free([entry])
            with contextlib.suppress(OSError):
                self._files.sync_folder(self._folder)
        return was_published

    def _discard_corrupt(self, entry: piece_store.Entry) -> None:
        super()._discard_corrupt(entry)
        # Removed without waiting for the last release, because a restart
        # would load the file again.
        self._free([entry])

    def _load(self) -> None:
        os.makedirs(self._folder, exist_ok=True)
        found: dict[pieces.PieceKey, tuple[piece_store.Entry, float]] = {}
        stale = []
        highest_generation = 0
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
            highest_generation = max(highest_generation, entry.generation)
            previous = found.get(entry.key)
            if previous is None or previous[0].generation < entry.generation:
                found[entry.key] = loaded
                if previous is not None:
                    stale.append(previous[0].data_or_name)
            else:
                stale.append(name)
        self._generations = itertools.count(
            max(highest_generation + 1, next(self._generations))
        )
        by_value = sorted(found.values(), key=lambda item: -item[1])
        for entry, value in by_value:
            used = self._occupancy.used_bytes + entry.size
            if used > self._occupancy.capacity_bytes:
                stale.append(entry.data_or_name)
                continue
            self._entries[entry.key] = entry
            self._occupancy.add(entry.key, entry.size, value)
        for name in stale:
            self._files.remove(os.path.join(self._folder, name))

    def _load_entry(self, name: str) -> tuple[piece_store.Entry, float] | None:
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
        entry = piece_store.Entry(
            header.key,
            header.total_bytes,
            metadata.generation,
            metadata.facts,
        )
        entry.data_or_name = name
        return entry, metadata.value


def _file_name(key: pieces.PieceKey, generation: int) -> str:
    # Hashed because workspace names may have characters that are not allowed
    # in file names.
    name = hashlib.blake2b(
        msgspec.msgpack.encode(key), digest_size=_CHECKSUM_BYTES
    ).hexdigest()
    # The generation in the name ensures that a delayed removal of an old file
    # does not remove the new one.
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
