"""Reloads the settings of a running process when their file changes."""

from collections.abc import Callable
import os

from gevent import queue
import msgspec
import result

from papayalink import logs
from papayalink import node_settings
from papayalink import tasks
from papayalink import timers

# Needed because a platform may replace the file without sending a signal.
CHECK_PERIOD_S = 1.0


class _CheckDue(msgspec.Struct):
    """Sent by the timer service once per period."""


class SettingsReloader:
    """Reads the settings file again when it has changed.

    Args:
        path: path of the settings file.
        settings: settings read at the start.
        apply_settings: called with changed settings.
    """

    __slots__ = (
        "_path",
        "_settings",
        "_apply_settings",
        "_stamp",
        "_inbox",
        "_log",
    )

    def __init__(
        self,
        path: str,
        settings: node_settings.NodeSettings,
        apply_settings: Callable[[node_settings.NodeSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply_settings = apply_settings
        # The file may have changed since the settings were read.
        self._stamp: tuple[int, int] | None = None
        self._inbox = queue.Queue()
        self._log = logs.get_logger()

    def start(self, timer_service: timers.TimerService) -> None:
        timer_service.every(CHECK_PERIOD_S, self._inbox, _CheckDue())
        tasks.spawn_again(self._run)

    def check(self) -> None:
        """Read the file and apply its settings if they differ."""
        match node_settings.load(self._path, self._settings.role):
            case result.Err(problems):
                # The process continues with its current settings.
                self._log.error("reload_failed", problem=str(problems[0]))
            case result.Ok(settings):
                changed = settings != self._settings
                self._log.info(
                    "reloaded", changed=changed, seeds=",".join(settings.seeds)
                )
                self._settings = settings
                if changed:
                    self._apply_settings(settings)

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
        except OSError:
            # Usually the old file was removed and the new one is not there
            # yet. A process must not end with its calls for any other error.
            return None
        return status.st_mtime_ns, status.st_size


def make_reloading(
    path: str,
    settings: node_settings.NodeSettings,
    apply_settings: Callable[[node_settings.NodeSettings], None],
) -> SettingsReloader:
    return SettingsReloader(path, settings, apply_settings)
