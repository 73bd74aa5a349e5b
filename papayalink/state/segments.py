"""Checksummed records in files, and the file calls behind them."""

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
    """File calls; tests replace them to inject faults."""

    __slots__ = ()

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all bytes at the file position."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Make a file or folder durable."""
        os.fsync(descriptor)


def encode(sequence: int, payload: bytes) -> bytes:
    """Returns: a record with header and checksum."""
    crc = zlib.crc32(payload, zlib.crc32(_SEQUENCE.pack(sequence)))
    return _HEADER.pack(_MAGIC, len(payload), crc, sequence) + payload


def decode(data: bytes, offset: int) -> tuple[int, bytes] | None:
    """Decode the record at an offset.

    Returns: its sequence and payload, None when it is cut off or damaged.
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
    """Read records up to the end or to a torn tail.

    A record is written and synced before the next one is begun, so only the
    last one can be torn. An invalid record before a valid one was synced and
    has been damaged since.

    Returns: sequence and payload of each record, and the offset at which the
        valid records end.
    Raises:
        LogCorrupt: an invalid record comes before a valid one.
    """
    records = []
    offset = 0
    while (record := decode(data, offset)) is not None:
        records.append(record)
        offset += _HEADER.size + len(record[1])
    later = data.find(_MAGIC, offset + 1)
    while later != -1:
        if decode(data, later) is not None:
            raise errors.LogCorrupt(
                f"damaged record at offset {offset}, valid one at {later}"
            )
        later = data.find(_MAGIC, later + 1)
    return records, offset


def read_file(path: pathlib.Path) -> Iterator[tuple[int, bytes]]:
    """Read the records of a file that was written by write_file().

    Yields: sequence and payload of each record.
    Raises:
        LogCorrupt: a record is cut off or damaged.
    """
    with open(path, "rb") as file:
        while header := file.read(_HEADER.size):
            length = 0
            if len(header) == _HEADER.size:
                _, length, _, _ = _HEADER.unpack(header)
            rest = os.fstat(file.fileno()).st_size - file.tell()
            record = decode(header + file.read(min(length, rest)), 0)
            if record is None:
                raise errors.LogCorrupt(f"damaged record in {path.name}")
            yield record


def sync_folder(files: Files, folder: pathlib.Path) -> None:
    """Make created, renamed and removed names durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        files.sync(descriptor)
    finally:
        os.close(descriptor)


def to_state_error(error: OSError) -> errors.StateError:
    """Returns: the error of this layer for a failed file call."""
    if error.errno in _DISK_FULL_ERRNOS:
        return errors.LogFull(str(error))
    return errors.LogFailed(str(error))


def write_file(
    files: Files, path: pathlib.Path, records: Iterable[bytes]
) -> None:
    """Write a file of records, so that it appears whole or not at all.

    Args:
        files: file calls.
        path: of the file.
        records: written one by one, so that no copy of all of them holds up
            the other threads of the process.

    Raises:
        OSError: the file was not written.
    """
    temporary = path.with_suffix(".tmp")
    try:
        descriptor = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        try:
            for record in records:
                files.write(descriptor, record)
            files.sync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, path)
        sync_folder(files, path.parent)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise


class Segment:
    """One file of records, open for appending or closed for good.

    Args:
        path: of the file; created when it does not exist.
        files: file calls.
        size: length of its valid records in bytes; the rest is cut off.
    """

    __slots__ = ("path", "last_index", "_files", "_descriptor", "_size")

    def __init__(self, path: pathlib.Path, files: Files, size: int) -> None:
        self.path = path
        # Highest index of an entry in this file.
        self.last_index = 0
        self._files = files
        self._size = size
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
        os.ftruncate(self._descriptor, size)
        os.lseek(self._descriptor, size, os.SEEK_SET)

    @property
    def size(self) -> int:
        return self._size

    def append(self, record: bytes) -> None:
        """Write and sync one record.

        Raises:
            LogFull: nothing was kept, later appends may succeed.
            LogFailed: the file can no longer be trusted.
        """
        try:
            self._files.write(self._descriptor, record)
            self._files.sync(self._descriptor)
        except OSError as error:
            if error.errno in _DISK_FULL_ERRNOS:
                self._truncate()
            raise to_state_error(error) from error
        self._size += len(record)

    def sync(self) -> None:
        """Sync the file, after it was opened with a torn tail."""
        self._files.sync(self._descriptor)

    def close(self) -> None:
        if self._descriptor != -1:
            os.close(self._descriptor)
            self._descriptor = -1

    def _truncate(self) -> None:
        # The part that was written would end up in front of the next record
        # and make it look like damage.
        try:
            os.ftruncate(self._descriptor, self._size)
            os.lseek(self._descriptor, self._size, os.SEEK_SET)
        except OSError as error:
            raise errors.LogFailed(str(error)) from error
