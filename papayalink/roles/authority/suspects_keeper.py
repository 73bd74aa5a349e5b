"""Keeps the table of suspected parts over a restart of all processes."""

import os
import time

import gevent
import msgspec

from papayalink import blocking
from papayalink import logs
from papayalink import tasks
from papayalink.coordination import crash_suspects
from papayalink.protocol import shared_tables

# A change is on disk after about this time.
WRITE_PERIOD_S = 0.5
_FILE_NAME = "suspects.json"


class Content(msgspec.Struct):
    """File of a member.

    Attributes:
        written_at: time of day, in seconds.
        suspects: the table, with ages at that time.
    """

    written_at: float
    suspects: tuple[shared_tables.Suspect, ...]


class SuspectsKeeper:
    """Writes the table of a member after changes, and reads it at the start.

    The table only saves replicas from prompts that are known to end them, so
    a file that is missing or damaged is no error, and a disk that fails does
    not stop the member.

    Args:
        folder: data folder of the member.
    """

    __slots__ = ("_path", "_suspects", "_written_version", "_pool", "_log")

    def __init__(
        self, folder: str, suspects: crash_suspects.CrashSuspects
    ) -> None:
        self._path = os.path.join(folder, _FILE_NAME)
        self._suspects = suspects
        self._written_version = suspects.version
        self._pool = blocking.make_pool(1)
        self._log = logs.get_logger()

    def start(self) -> None:
        self.read()
        tasks.spawn(self._run)

    def read(self) -> None:
        """Merge the table of the last run."""
        try:
            with open(self._path, "rb") as file:
                content = msgspec.json.decode(file.read(), type=Content)
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            self._log.warning("suspects_not_read", reason=error)
            return
        # The time of day may have been set back meanwhile.
        elapsed_s = max(0.0, time.time() - content.written_at)
        written_at = time.monotonic() - elapsed_s
        self._suspects.merge(content.suspects, written_at)
        self._suspects.expire(time.monotonic())
        self._log.info("suspects_read", parts=len(self._suspects))

    def write_changes(self) -> None:
        """Write the table if it has changed."""
        version = self._suspects.version
        if version == self._written_version:
            return
        rows = self._suspects.encode(time.monotonic())
        data = msgspec.json.encode(Content(time.time(), rows))
        try:
            self._pool.run(_replace_file, self._path, data)
        except OSError as error:
            self._log.warning("suspects_not_written", reason=error)
        self._written_version = version

    def _run(self) -> None:
        while True:
            gevent.sleep(WRITE_PERIOD_S)
            self.write_changes()


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


def make_suspects_keeper(
    folder: str, suspects: crash_suspects.CrashSuspects
) -> SuspectsKeeper:
    return SuspectsKeeper(folder, suspects)
