"""Files of checksummed records, and the file operations they use."""

from collections.abc import Iterable
from collections.abc import Iterator
import errno
import os
import pathlib
import struct
import zlib

from papayalink.state import errors

_MAGIC = b"pLr1"
# Magic, payload length, CRC-32 of sequence number and payload, sequence.
_HEADER = struct.Struct(">4sIIQ")
_SEQUENCE = struct.Struct(">Q")
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Files:
    """File operations; tests replace them to inject faults."""

    __slots__ = ()

    def make_folder(self, path: pathlib.Path) -> None:
        """Create a folder and its parents when they do not exist."""
        path.mkdir(parents=True, exist_ok=True)

    def open(self, path: pathlib.Path, flags: int) -> int:
        """Open a file for writing, and create it when it does not exist.

        Returns: its descriptor.
        """
        return os.open(path, os.O_WRONLY | os.O_CREAT | flags, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all bytes at the file position."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Make a file or folder durable."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """Set the size of a file in bytes; its position becomes the end."""
        os.ftruncate(descriptor, size)
        os.lseek(descriptor, size, os.SEEK_SET)

    def rename(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file; an existing target is replaced."""
        os.rename(source, target)

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file, which may be missing."""
        path.unlink(missing_ok=True)


def encode(sequence: int, payload: bytes) -> bytes:
    """Returns: the payload as a record with header and checksum."""
    crc = zlib.crc32(payload, zlib.crc32(_SEQUENCE.pack(sequence)))
    return _HEADER.pack(_MAGIC, len(payload), crc, sequence) + payload


def decode(data: bytes, offset: int) -> tuple[int, bytes] | None:
    """Decode the record at an offset.

    Returns: its sequence number and payload, None when it is truncated or
        damaged.
    """
    if offset + _HEADER.size > len(data):
        return None
    magic, length, crc, sequence = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if magic != _MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    if zlib.crc32(payload, zlib.crc32(_SEQUENCE.pack(sequence))) != crc:
        return None
    return sequence, payload


def read_records(data: bytes) -> tuple[list[tuple[int, bytes]], int]:
    """Read records up to the end of the data or to a torn last record.

    A record is written and synced before the next one is started, so only the
    last one can be torn. An invalid record in front of a valid one was synced
    and damaged later.

    Returns: sequence number and payload of each record, and the offset at
        which the valid records end.
    Raises:
        LogCorrupt: an invalid record comes before a valid one.
    """
    records = []
    offset = 0
    while (record := decode(data, offset)) is not None:
        records.append(record)
        offset += _HEADER.size + len(record[1])
    later_offset = data.find(_MAGIC, offset + 1)
    while later_offset != -1:
        if decode(data, later_offset) is not None:
            raise errors.LogCorrupt(
                f"damaged record at offset {offset} before a valid one at"
                f" {later_offset}"
            )
        later_offset = data.find(_MAGIC, later_offset + 1)
    return records, offset


def read_file(path: pathlib.Path) -> Iterator[tuple[int, bytes]]:
    """Read the records of a file that write_file() wrote.

    Yields: sequence number and payload of each record.
    Raises:
        LogCorrupt: a record is truncated or damaged.
    """
    with open(path, "rb") as file:
        while header := file.read(_HEADER.size):
            length = 0
            if len(header) == _HEADER.size:
                _, length, _, _ = _HEADER.unpack(header)
            # A damaged length may be far beyond the end of the file.
            remaining_bytes = os.fstat(file.fileno()).st_size - file.tell()
            record = decode(
                header + file.read(min(length, remaining_bytes)), 0
            )
            if record is None:
                raise errors.LogCorrupt(f"damaged record in {path.name}")
            yield record


def sync_folder(files: Files, folder: pathlib.Path) -> None:
    """Make created, renamed and removed names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        files.sync(descriptor)
    finally:
        os.close(descriptor)


def to_state_error(
    error: OSError | errors.StateError,
) -> errors.StateError:
    """Returns: the state layer's error for a failed file operation."""
    if isinstance(error, errors.StateError):
        return error
    if error.errno in _DISK_FULL_ERRNOS:
        return errors.LogFull(str(error))
    return errors.LogFailed(str(error))


def write_file(
    files: Files, path: pathlib.Path, records: Iterable[bytes]
) -> None:
    """Write a file of records that appears whole or not at all.

    Args:
        files: file operations.
        path: path of the file.
        records: written one by one, because joining them into one copy would
            block the other threads of the process.

    Raises:
        OSError: the file was not written.
    """
    temporary = path.with_suffix(".tmp")
    try:
        descriptor = files.open(temporary, os.O_TRUNC)
        try:
            for record in records:
                files.write(descriptor, record)
            files.sync(descriptor)
        finally:
            os.close(descriptor)
        files.rename(temporary, path)
        sync_folder(files, path.parent)
    except OSError:
        files.remove(temporary)
        raise


class Segment:
    """One file of records, open for appending until it is closed.

    Args:
        path: path of the file, which is created when it does not exist.
        files: file operations.
        size: length of the valid records in bytes; the file is truncated to
            it.
    """

    __slots__ = (
        "path",
        "last_index",
        "_files",
        "_descriptor",
        "_size",
        "_truncation_due",
    )

    def __init__(self, path: pathlib.Path, files: Files, size: int) -> None:
        self.path = path
        # Highest index of a log entry in this file.
        self.last_index = 0
        self._files = files
        self._size = size
        self._descriptor = files.open(path, 0)
        files.truncate(self._descriptor, size)
        # Whether a refused record may be partly written after the valid ones.
        self._truncation_due = False

    @property
    def size(self) -> int:
        return self._size

    def append(self, record: bytes) -> None:
        """Write and sync one record.

        Raises:
            LogFull: nothing was stored; later appends may succeed.
            LogFailed: the file can no longer be trusted.
        """
        try:
            if self._truncation_due:
                # A partly written record in front of the next one would be
                # reported as damage. A full disk may refuse this as well.
                self._files.truncate(self._descriptor, self._size)
            self._truncation_due = True
            self._files.write(self._descriptor, record)
            self._files.sync(self._descriptor)
        except OSError as error:
            raise to_state_error(error) from error
        self._truncation_due = False
        self._size += len(record)

    def remove_torn_record(self) -> None:
        """Remove a partly written record for good, before a later segment.

        Raises:
            OSError: it may still be there.
        """
        if self._truncation_due:
            self._files.truncate(self._descriptor, self._size)
            self._files.sync(self._descriptor)
            self._truncation_due = False

    def sync(self) -> None:
        """Sync the file after a torn record was truncated on opening."""
        self._files.sync(self._descriptor)

    def close(self) -> None:
        if self._descriptor != -1:
            os.close(self._descriptor)
            self._descriptor = -1
