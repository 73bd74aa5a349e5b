"""Keeps a member's tables over a restart of all processes."""

import os
import struct
import time
import zlib

import gevent
import msgspec

from papayalink import blocking
from papayalink import logs
from papayalink import tasks
from papayalink.coordination import table_exchange
from papayalink.protocol import shared_tables

# A change is on disk after about this time.
WRITE_PERIOD_S = 0.25
# The file is written anew after this many bytes of changes.
MAX_APPENDED_BYTES = 256 * 1024
_FILE_NAME = "tables"
# Length and checksum of the record that follows.
_HEADER = struct.Struct(">II")


class Record(msgspec.Struct, array_like=True):
    """Rows that changed since the record before.

    Attributes:
        written_at: time of day, in seconds.
        tables: the rows, with ages at that time.
        uptime_s: monotonic seconds of the VM.
    """

    written_at: float
    tables: shared_tables.Tables
    uptime_s: float = float("inf")

    def elapsed_s(self) -> float | None:
        """Returns: seconds since it was written, None if that is not known.

        The time of day may have been set back, and the monotonic clock may
        have begun anew; neither makes the time longer than it was, unless the
        time of day was set forward.
        """
        elapsed_s = max(
            time.time() - self.written_at, time.monotonic() - self.uptime_s
        )
        return elapsed_s if elapsed_s >= 0 else None


class TablesKeeper:
    """Writes the tables of a member after changes, and reads them at start.

    The tables only save what callers and replicas would suffer while they are
    learnt again, so a file that is missing or damaged is no error, and a disk
    that fails does not stop the member.

    Args:
        folder: data folder of the member.
    """

    __slots__ = (
        "_path",
        "_tables",
        "_written",
        "_appended_bytes",
        "_pool",
        "_log",
    )

    def __init__(self, folder: str, tables: table_exchange.TableSet) -> None:
        self._path = os.path.join(folder, _FILE_NAME)
        self._tables = tables
        # Versions that are on disk, empty if the file must be written anew.
        self._written: dict[str, int] = {}
        self._appended_bytes = 0
        self._pool = blocking.make_pool(1)
        self._log = logs.get_logger()

    def start(self) -> None:
        self.read()
        tasks.spawn(self._run)

    def read(self) -> None:
        """Merge the tables of the last run."""
        try:
            with open(self._path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return
        except OSError as error:
            self._log.warning("tables_not_read", reason=error)
            return
        records = _decode_records(data)
        for record in records:
            elapsed_s = record.elapsed_s()
            tables = record.tables
            if elapsed_s is None:
                # Rows that look later than they are would prolong the use of
                # old weights.
                tables = msgspec.structs.replace(tables, weights=())
            self._tables.merge(tables, time.monotonic() - (elapsed_s or 0.0))
        self._tables.expire(time.monotonic())
        self._log.info(
            "tables_read",
            records=len(records),
            suspects=len(self._tables.suspects),
            streams=len(self._tables.origins),
        )

    def write_changes(self) -> None:
        """Write what has changed since the last call."""
        versions = self._tables.versions()
        if versions == self._written:
            return
        whole = not self._written or self._appended_bytes > MAX_APPENDED_BYTES
        since = {} if whole else self._written
        now = time.monotonic()
        rows = self._tables.changes(since, now)
        record = msgspec.msgpack.encode(Record(time.time(), rows, now))
        data = _HEADER.pack(len(record), zlib.crc32(record)) + record
        write = _replace_file if whole else _append
        self._appended_bytes = 0 if whole else self._appended_bytes + len(data)
        try:
            self._pool.run(write, self._path, data)
        except OSError as error:
            self._log.warning("tables_not_written", reason=error)
            self._written = {}
            return
        self._written = versions

    def _run(self) -> None:
        while True:
            gevent.sleep(WRITE_PERIOD_S)
            self.write_changes()


def _decode_records(data: bytes) -> list[Record]:
    """Returns: the records up to the first one that is not whole."""
    records = []
    position = 0
    while position + _HEADER.size <= len(data):
        length, checksum = _HEADER.unpack_from(data, position)
        position += _HEADER.size
        record = data[position : position + length]
        position += length
        if len(record) < length or zlib.crc32(record) != checksum:
            break
        try:
            records.append(msgspec.msgpack.decode(record, type=Record))
        except msgspec.MsgspecError:
            break
    return records


def _append(path: str, data: bytes) -> None:
    with open(path, "ab") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def _replace_file(path: str, data: bytes) -> None:
    folder = os.path.dirname(path)
    os.makedirs(folder, exist_ok=True)
    temporary = path + ".tmp"
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_tables_keeper(
    folder: str, tables: table_exchange.TableSet
) -> TablesKeeper:
    return TablesKeeper(folder, tables)
