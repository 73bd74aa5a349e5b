"""Stores of the replicated log, in memory and on disk."""

import abc
from collections.abc import Iterator
from collections.abc import Sequence
import fcntl
import os
import pathlib

import msgspec

from papayalink.state import errors
from papayalink.state import log_entries
from papayalink.state import segments

_SEGMENT_SUFFIX = ".log"
_SNAPSHOT_SUFFIX = ".snapshot"
_LOCK_NAME = "lock"


class LogStore(abc.ABC):
    """Durable log of one member.

    When a call returns, its effect is durable. Calls come one at a time.
    """

    __slots__ = ()

    # Whether calls wait for a disk and belong on a thread pool.
    blocking = False

    @abc.abstractmethod
    def load(self) -> log_entries.StoredLog:
        """Read everything; called once, before any other call.

        Raises:
            LogCorrupt: something that was synced cannot be read.
        """

    @abc.abstractmethod
    def append(
        self,
        entries: list[log_entries.Entry],
        hard_state: log_entries.HardState | None,
    ) -> None:
        """Store entries and, unless None, term and vote, in one sync.

        An entry replaces all stored entries from its index on.

        Raises:
            LogFull: nothing was stored; the call may be repeated.
            LogFailed: the store can no longer be used.
        """

    @abc.abstractmethod
    def save_snapshot(
        self, index: int, term: int, parts: Sequence[bytes]
    ) -> None:
        """Store a snapshot that covers the log up to an index.

        Stored entries stay when the one at the index has the given term;
        otherwise the snapshot replaces them all. A snapshot that is not newer
        than the stored one changes nothing.

        Raises:
            LogFull: the call may be repeated.
            LogFailed: the store can no longer be used.
        """

    @abc.abstractmethod
    def compact(self, index: int) -> None:
        """Release entries up to an index that the snapshot covers.

        Raises:
            LogFull: the call may be repeated.
            LogFailed: the store can no longer be used.
        """

    def close(self) -> None:
        """Release files."""


class _Content:
    """Entries and hard state in memory."""

    __slots__ = ("hard_state", "entries")

    def __init__(self) -> None:
        self.hard_state = log_entries.HardState()
        self.entries: list[log_entries.Entry] = []

    def add(
        self,
        entries: list[log_entries.Entry],
        hard_state: log_entries.HardState | None,
    ) -> None:
        if hard_state is not None:
            self.hard_state = hard_state
        for entry in entries:
            if self.entries:
                first = self.entries[0].index
                keep = max(0, entry.index - first)
                if keep > len(self.entries):
                    raise errors.LogCorrupt(
                        f"entry {entry.index} follows a gap"
                    )
                del self.entries[keep:]
            self.entries.append(entry)

    def term_at(self, index: int) -> int | None:
        if not self.entries:
            return None
        position = index - self.entries[0].index
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def release(self, index: int) -> None:
        if self.entries:
            # In place: a new list of a million entries takes long to make,
            # and is visited by each garbage collection.
            del self.entries[: max(0, index + 1 - self.entries[0].index)]


class MemoryLogStore(LogStore):
    """Log store that lives as long as the object."""

    __slots__ = ("_content", "_snapshot")

    def __init__(self) -> None:
        self._content = _Content()
        self._snapshot: log_entries.StoredSnapshot | None = None

    def load(self) -> log_entries.StoredLog:
        covered = 0 if self._snapshot is None else self._snapshot.index
        entries = [
            each for each in self._content.entries if each.index > covered
        ]
        return log_entries.StoredLog(
            self._content.hard_state, self._snapshot, entries
        )

    def append(
        self,
        entries: list[log_entries.Entry],
        hard_state: log_entries.HardState | None,
    ) -> None:
        self._content.add(entries, hard_state)

    def save_snapshot(
        self, index: int, term: int, parts: Sequence[bytes]
    ) -> None:
        if self._snapshot is not None and index <= self._snapshot.index:
            return
        self._snapshot = log_entries.StoredSnapshot(index, term, tuple(parts))
        if self._content.term_at(index) != term:
            self._content.entries = []

    def compact(self, index: int) -> None:
        self._content.release(index)


class _Added(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Record of one append."""

    entries: list[log_entries.Entry]
    hard_state: log_entries.HardState | None


class _Reset(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Record that all entries before it were replaced by a snapshot."""

    index: int


class _SnapshotHead(msgspec.Struct, frozen=True, array_like=True):
    """First record of a snapshot file, before one record for each part."""

    index: int
    term: int
    count: int


_ENCODER = msgspec.msgpack.Encoder()
_RECORD_DECODER = msgspec.msgpack.Decoder(_Added | _Reset)
_HEAD_DECODER = msgspec.msgpack.Decoder(_SnapshotHead)


class DiskLogStore(LogStore):
    """Log store in one folder, which one process may use at a time.

    Args:
        folder: created when it does not exist.
        files: file calls.

    Segment files are named after the sequence number of their first record,
    snapshot files after the index they cover. Each segment begins with the
    hard state, so that older segments can be removed.
    """

    __slots__ = (
        "_folder",
        "_files",
        "_content",
        "_snapshot_index",
        "_segments",
        "_sequence",
        "_lock",
        "_failed",
    )

    blocking = True

    def __init__(
        self,
        folder: str | os.PathLike,
        files: segments.Files | None = None,
    ) -> None:
        self._folder = pathlib.Path(folder)
        self._files = files or segments.Files()
        self._content = _Content()
        self._snapshot_index = -1
        self._segments: list[segments.Segment] = []
        self._sequence = 0
        self._failed = False
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(
            self._folder / _LOCK_NAME, os.O_WRONLY | os.O_CREAT, 0o600
        )
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise errors.LogFailed(f"{folder} is in use") from error

    def load(self) -> log_entries.StoredLog:
        try:
            for leftover in self._folder.glob("*.tmp"):
                leftover.unlink()
            snapshot = self._load_snapshot()
            self._load_segments()
        except OSError as error:
            raise errors.LogFailed(str(error)) from error
        except msgspec.MsgspecError as error:
            raise errors.LogCorrupt(f"unknown record: {error}") from error
        stored = self._content.entries
        if snapshot is None:
            if stored and stored[0].index != 1:
                raise errors.LogCorrupt("the snapshot is missing")
        elif stored:
            self._reconcile(snapshot)
        covered = max(self._snapshot_index, 0)
        self._content.release(covered)
        if not self._segments:
            self._start_segment()
        return log_entries.StoredLog(
            self._content.hard_state, snapshot, list(self._content.entries)
        )

    def append(
        self,
        entries: list[log_entries.Entry],
        hard_state: log_entries.HardState | None,
    ) -> None:
        self._write(_Added(entries, hard_state))
        self._content.add(entries, hard_state)
        last = max((entry.index for entry in entries), default=0)
        active = self._segments[-1]
        active.last_index = max(active.last_index, last)

    def save_snapshot(
        self, index: int, term: int, parts: Sequence[bytes]
    ) -> None:
        self._check_usable()
        if index <= self._snapshot_index:
            return
        try:
            segments.write_file(
                self._files,
                self._folder / f"{index:020}{_SNAPSHOT_SUFFIX}",
                _snapshot_records(index, term, parts),
            )
        except OSError as error:
            raise self._fail(segments.translate(error)) from error
        if self._content.term_at(index) != term:
            self._write(_Reset(index))
            self._content.entries = []
        # Only now, so that a repeated call writes a reset that failed.
        self._snapshot_index = index

    def compact(self, index: int) -> None:
        if index > self._snapshot_index:
            raise ValueError(f"no snapshot covers index {index}")
        self._start_segment()
        self._content.release(index)
        try:
            while (
                len(self._segments) > 1
                and self._segments[0].last_index <= index
            ):
                # Removed oldest first and one by one, so that a crash
                # leaves no gap.
                covered = self._segments.pop(0)
                covered.close()
                covered.path.unlink()
                segments.sync_folder(self._files, self._folder)
            for path in self._snapshot_paths()[:-1]:
                path.unlink()
        except OSError as error:
            raise self._fail(errors.LogFailed(str(error))) from error

    def close(self) -> None:
        for segment in self._segments:
            segment.close()
        if self._lock != -1:
            os.close(self._lock)
            self._lock = -1

    def _snapshot_paths(self) -> list[pathlib.Path]:
        return sorted(self._folder.glob(f"*{_SNAPSHOT_SUFFIX}"))

    def _load_snapshot(self) -> log_entries.StoredSnapshot | None:
        paths = self._snapshot_paths()
        if not paths:
            return None
        records = list(segments.read_file(paths[-1]))
        numbers = [sequence for sequence, _ in records[1:]]
        if not records or numbers != list(range(1, len(records))):
            raise errors.LogCorrupt(f"damaged snapshot {paths[-1].name}")
        head = _HEAD_DECODER.decode(records[0][1])
        if head.count != len(numbers):
            raise errors.LogCorrupt(f"incomplete snapshot {paths[-1].name}")
        self._snapshot_index = head.index
        return log_entries.StoredSnapshot(
            head.index, head.term, tuple(part for _, part in records[1:])
        )

    def _load_segments(self) -> None:
        paths = sorted(self._folder.glob(f"*{_SEGMENT_SUFFIX}"))
        for path in paths:
            data = path.read_bytes()
            records, size = segments.read_records(data)
            if (size < len(data) or not size) and path != paths[-1]:
                raise errors.LogCorrupt(f"damaged record in {path.name}")
            segment = segments.Segment(path, self._files, size)
            self._segments.append(segment)
            if size < len(data):
                segment.sync()
            if not size:
                # The process ended before the first record was synced.
                self._segments.pop().close()
                path.unlink()
                break
            if not self._sequence:
                self._sequence = int(path.stem)
            for sequence, payload in records:
                if sequence != self._sequence:
                    raise errors.LogCorrupt(
                        f"record {self._sequence} is missing"
                    )
                self._sequence += 1
                self._replay(_RECORD_DECODER.decode(payload), segment)

    def _replay(
        self, record: _Added | _Reset, segment: segments.Segment
    ) -> None:
        match record:
            case _Added(entries, hard_state):
                self._content.add(entries, hard_state)
                for entry in entries:
                    segment.last_index = max(segment.last_index, entry.index)
            case _Reset():
                self._content.entries = []

    def _reconcile(self, snapshot: log_entries.StoredSnapshot) -> None:
        stored = self._content.entries
        if stored[0].index > snapshot.index + 1:
            raise errors.LogCorrupt(
                f"no entries from {snapshot.index + 1} to"
                f" {stored[0].index - 1}"
            )
        held = self._content.term_at(snapshot.index)
        if stored[0].index <= snapshot.index and held != snapshot.term:
            # The process ended between saving a received snapshot and
            # recording that it replaces the entries.
            self._write(_Reset(snapshot.index))
            self._content.entries = []

    def _start_segment(self) -> None:
        self._check_usable()
        # The sequence is never 0, which stands for a store not yet loaded.
        self._sequence = max(self._sequence, 1)
        path = self._folder / f"{self._sequence:020}{_SEGMENT_SUFFIX}"
        try:
            segment = segments.Segment(path, self._files, 0)
            first = _Added([], self._content.hard_state)
            try:
                segment.append(
                    segments.encode(self._sequence, _ENCODER.encode(first))
                )
            except errors.StateError:
                segment.close()
                path.unlink()
                raise
            segments.sync_folder(self._files, self._folder)
        except OSError as error:
            raise self._fail(segments.translate(error)) from error
        except errors.LogFailed as error:
            raise self._fail(error)
        self._sequence += 1
        self._segments.append(segment)

    def _write(self, record: _Added | _Reset) -> None:
        self._check_usable()
        payload = _ENCODER.encode(record)
        try:
            self._segments[-1].append(segments.encode(self._sequence, payload))
        except errors.StateError as error:
            raise self._fail(error)
        self._sequence += 1

    def _check_usable(self) -> None:
        if self._failed:
            raise errors.LogFailed("an earlier write failed")

    def _fail(self, error: errors.StateError) -> errors.StateError:
        # After a failed sync the kernel may report later syncs as done
        # although the data is lost.
        self._failed = isinstance(error, errors.LogFailed)
        return error


def _snapshot_records(
    index: int, term: int, parts: Sequence[bytes]
) -> Iterator[bytes]:
    """Yields: the records of a snapshot file."""
    head = _ENCODER.encode(_SnapshotHead(index, term, len(parts)))
    yield segments.encode(index, head)
    for number, part in enumerate(parts, 1):
        yield segments.encode(number, part)


def make_disk_log_store(folder: str | os.PathLike) -> DiskLogStore:
    """Returns: a store in a folder, not yet loaded."""
    return DiskLogStore(folder)
