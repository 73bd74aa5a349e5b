"""Notices settings that change while a process runs."""

from collections.abc import Callable
import os

from gevent import queue
import msgspec
import result

from papayalink import logs
from papayalink import node_settings
from papayalink import tasks
from papayalink import timers

# A platform may replace the file without a signal.
CHECK_PERIOD_S = 1.0


class _CheckDue(msgspec.Struct):
    """Delivered by the timer service once a period."""


class Reloading:
    """Reads the settings file again when it has changed.

    Args:
        path: the settings file.
        settings: as read at the start.
        take: called with newer settings.
    """

    __slots__ = ("_path", "_settings", "_take", "_stamp", "_inbox", "_log")

    def __init__(
        self,
        path: str,
        settings: node_settings.NodeSettings,
        take: Callable[[node_settings.NodeSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._take = take
        self._stamp = self._read_stamp()
        self._inbox = queue.Queue()
        self._log = logs.get_logger()

    def start(self, timer_service: timers.TimerService) -> None:
        timer_service.every(CHECK_PERIOD_S, self._inbox, _CheckDue())
        tasks.spawn(self._run)

    def check(self) -> None:
        """Read the file now."""
        match node_settings.load(self._path, self._settings.role):
            case result.Err(problems):
                # The process goes on with what it has.
                self._log.error("reload_failed", problem=str(problems[0]))
            case result.Ok(settings):
                changed = settings != self._settings
                self._log.info(
                    "reloaded", changed=changed, seeds=",".join(settings.seeds)
                )
                self._settings = settings
                if changed:
                    self._take(settings)

    def _run(self) -> None:
        while True:
            self._inbox.get()
            stamp = self._read_stamp()
            if stamp != self._stamp:
                self._stamp = stamp
                self.check()

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._path)
        except FileNotFoundError:
            # Between the removal and the arrival of a newer file.
            return None
        return status.st_mtime_ns, status.st_size


def make_reloading(
    path: str,
    settings: node_settings.NodeSettings,
    take: Callable[[node_settings.NodeSettings], None],
) -> Reloading:
    return Reloading(path, settings, take)
