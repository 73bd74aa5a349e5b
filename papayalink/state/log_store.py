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

    When a call returns, its effect is durable. Calls must not overlap.
    """

    __slots__ = ()

    # Whether calls wait for a disk and should run in a thread pool.
    blocking = False

    @abc.abstractmethod
    def load(self) -> log_entries.StoredLog:
        """Read everything; called once, before any other call.

        Raises:
            LogCorrupt: synced data is missing or cannot be read.
        """

    @abc.abstractmethod
    def append(
        self,
        entries: list[log_entries.Entry],
        hard_state: log_entries.HardState | None,
    ) -> None:
        """Store entries and, unless None, the hard state, in one sync.

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

        The stored entries are kept when the one at the index has the given
        term; otherwise the snapshot replaces all of them. A snapshot that is
        not newer than the stored one changes nothing.

        Raises:
            LogFull: the call may be repeated.
            LogFailed: the store can no longer be used.
        """

    @abc.abstractmethod
    def compact(self, index: int) -> None:
        """Remove entries up to an index that the snapshot covers.

        Raises:
            LogFull: the call may be repeated.
            LogFailed: the store can no longer be used.
        """

    def close(self) -> None:
        """Close all files."""


class _Content:
    """In-memory copy of the entries and the hard state."""

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
                first_index = self.entries[0].index
                kept = max(0, entry.index - first_index)
                if kept > len(self.entries):
                    raise errors.LogCorrupt(
                        f"entries before entry {entry.index} are missing"
                    )
                del self.entries[kept:]
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
            # In place: a new list of a million entries is slow to build, and
            # each garbage collection would traverse it.
            del self.entries[: max(0, index + 1 - self.entries[0].index)]


class MemoryLogStore(LogStore):
    """Log store in memory, for as long as the object exists."""

    __slots__ = ("_content", "_snapshot")

    def __init__(self) -> None:
        self._content = _Content()
        self._snapshot: log_entries.StoredSnapshot | None = None

    def load(self) -> log_entries.StoredLog:
        covered_index = 0 if self._snapshot is None else self._snapshot.index
        entries = [
            entry
            for entry in self._content.entries
            if entry.index > covered_index
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
    """Record that a snapshot replaced all entries before this record.

    Attributes:
        index: last index that the snapshot covers.
    """

    index: int


class _SnapshotHead(msgspec.Struct, frozen=True, array_like=True):
    """First record of a snapshot file; one record for each part follows.

    Attributes:
        count: number of parts.
    """

    index: int
    term: int
    count: int


_ENCODER = msgspec.msgpack.Encoder()
_RECORD_DECODER = msgspec.msgpack.Decoder(_Added | _Reset)
_HEAD_DECODER = msgspec.msgpack.Decoder(_SnapshotHead)


class DiskLogStore(LogStore):
    """Log store in a folder, which only one process may use at a time.

    Args:
        folder: created when it does not exist.
        files: file operations, by default those of the operating system.

    Segment files are named after the sequence number of their first record,
    snapshot files after the last index they cover. Each segment starts with
    the hard state, so that older segments can be removed.
    """

    __slots__ = (
        "_folder",
        "_files",
        "_content",
        "_snapshot_index",
        "_segments",
        "_segment_due",
        "_next_sequence",
        "_lock_descriptor",
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
        # Whether a new segment must be started before the next record is
        # written. A refused start may leave a file behind, and a record next
        # to it, in an older segment, would have the same sequence number.
        self._segment_due = False
        self._next_sequence = 0
        self._failed = False
        self._files.make_folder(self._folder)
        self._lock_descriptor = os.open(
            self._folder / _LOCK_NAME, os.O_WRONLY | os.O_CREAT, 0o600
        )
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock_descriptor)
            raise errors.LogFailed(
                f"{folder} is in use by another process"
            ) from error

    def load(self) -> log_entries.StoredLog:
        try:
            # The name of the folder is not made durable by syncs inside it.
            segments.sync_folder(self._files, self._folder.parent)
            for leftover in self._folder.glob("*.tmp"):
                self._files.remove(leftover)
            snapshot = self._load_snapshot()
            self._load_segments()
            if self._segments:
                self._sync_loaded()
        except OSError as error:
            raise errors.LogFailed(str(error)) from error
        except msgspec.MsgspecError as error:
            raise errors.LogCorrupt(
                f"cannot decode record: {error}"
            ) from error
        entries = self._content.entries
        if snapshot is None:
            if entries and entries[0].index != 1:
                raise errors.LogCorrupt(
                    "the log starts after index 1, but there is no snapshot"
                )
        elif entries:
            self._reconcile(snapshot)
        covered_index = max(self._snapshot_index, 0)
        self._content.release(covered_index)
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
        last_index = max((entry.index for entry in entries), default=0)
        active = self._segments[-1]
        active.last_index = max(active.last_index, last_index)

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
            raise self._fail(segments.to_state_error(error)) from error
        if self._content.term_at(index) != term:
            self._write(_Reset(index))
            self._content.entries = []
        # Set last, so that a repeated call writes the reset again if that
        # write failed.
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
                # Removed oldest first and synced one by one, so that a crash
                # leaves no gap.
                oldest = self._segments[0]
                self._files.remove(oldest.path)
                segments.sync_folder(self._files, self._folder)
                del self._segments[0]
                oldest.close()
            for path in self._snapshot_paths()[:-1]:
                self._files.remove(path)
        except OSError as error:
            raise self._fail(segments.to_state_error(error)) from error

    def close(self) -> None:
        for segment in self._segments:
            segment.close()
        if self._lock_descriptor != -1:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def _snapshot_paths(self) -> list[pathlib.Path]:
        return sorted(self._folder.glob(f"*{_SNAPSHOT_SUFFIX}"))

    def _load_snapshot(self) -> log_entries.StoredSnapshot | None:
        paths = self._snapshot_paths()
        if not paths:
            return None
        records = list(segments.read_file(paths[-1]))
        part_numbers = [sequence for sequence, _ in records[1:]]
        if not records or part_numbers != list(range(1, len(records))):
            raise errors.LogCorrupt(f"damaged snapshot {paths[-1].name}")
        head = _HEAD_DECODER.decode(records[0][1])
        if head.count != len(part_numbers):
            raise errors.LogCorrupt(f"incomplete snapshot {paths[-1].name}")
        self._snapshot_index = head.index
        return log_entries.StoredSnapshot(
            head.index, head.term, tuple(part for _, part in records[1:])
        )

    def _load_segments(self) -> None:
        paths = sorted(self._folder.glob(f"*{_SEGMENT_SUFFIX}"))
        for path in paths:
            data = path.read_bytes()
            records, valid_bytes = segments.read_records(data)
            if (valid_bytes < len(data) or not valid_bytes) and (
                path != paths[-1]
            ):
                raise errors.LogCorrupt(f"damaged record in {path.name}")
            segment = segments.Segment(path, self._files, valid_bytes)
            self._segments.append(segment)
            if valid_bytes < len(data):
                segment.sync()
            if not valid_bytes:
                # The process ended before the first record was synced.
                self._segments.pop().close()
                self._files.remove(path)
                break
            if not self._next_sequence:
                self._next_sequence = int(path.stem)
            for sequence, payload in records:
                if sequence != self._next_sequence:
                    raise errors.LogCorrupt(
                        f"record {self._next_sequence} is missing"
                    )
                self._next_sequence += 1
                self._replay(_RECORD_DECODER.decode(payload), segment)

    def _sync_loaded(self) -> None:
        """Make durable what was read.

        A process that was killed may have left a record or a name that it
        had not synced yet.
        """
        self._segments[-1].sync()
        segments.sync_folder(self._files, self._folder)

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
        entries = self._content.entries
        if entries[0].index > snapshot.index + 1:
            raise errors.LogCorrupt(
                f"entries {snapshot.index + 1} to {entries[0].index - 1} are"
                " missing"
            )
        term = self._content.term_at(snapshot.index)
        if entries[0].index <= snapshot.index and term != snapshot.term:
            # The process ended after it saved a received snapshot and before
            # it recorded that the snapshot replaces the entries.
            self._write(_Reset(snapshot.index))
            self._content.entries = []

    def _start_segment(self) -> None:
        self._check_usable()
        # The first sequence number is 1; 0 means that no segment was loaded.
        self._next_sequence = max(self._next_sequence, 1)
        path = self._folder / f"{self._next_sequence:020}{_SEGMENT_SUFFIX}"
        self._segment_due = True
        segment = None
        try:
            if self._segments:
                self._segments[-1].remove_torn_record()
            segment = segments.Segment(path, self._files, 0)
            first_record = _Added([], self._content.hard_state)
            segment.append(
                segments.encode(
                    self._next_sequence, _ENCODER.encode(first_record)
                )
            )
            segments.sync_folder(self._files, self._folder)
        except (OSError, errors.StateError) as error:
            if segment is not None:
                segment.close()
            raise self._fail(segments.to_state_error(error))
        self._segment_due = False
        self._next_sequence += 1
        self._segments.append(segment)

    def _write(self, record: _Added | _Reset) -> None:
        self._check_usable()
        if self._segment_due:
            self._start_segment()
        payload = _ENCODER.encode(record)
        try:
            self._segments[-1].append(
                segments.encode(self._next_sequence, payload)
            )
        except errors.StateError as error:
            raise self._fail(error)
        self._next_sequence += 1

    def _check_usable(self) -> None:
        if self._failed:
            raise errors.LogFailed(
                "log store is unusable because an earlier write failed"
            )

    def _fail(self, error: errors.StateError) -> errors.StateError:
        # After a failed sync, the kernel may report later syncs as successful
        # although data was lost.
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
