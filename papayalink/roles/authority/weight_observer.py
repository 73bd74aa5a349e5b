"""Task by which a member knows when weights were replaced.

Watches of entries make a member confirm its state as well, but entries watch
some of the members only.
"""

import time

from gevent import queue
import msgspec

from papayalink import tasks
from papayalink import timers
from papayalink.coordination import errors
from papayalink.roles.authority import service as services

# Old weights count as replaced up to this long before they were.
PERIOD_S = 0.5


class _ObservationDue(msgspec.Struct):
    """Delivered by the timer service once per period."""


class WeightObserver:
    """Lets a member confirm which weights are the newest."""

    __slots__ = ("_timers", "_service", "_inbox")

    def __init__(
        self,
        timer_service: timers.TimerService,
        service: services.AuthorityService,
    ) -> None:
        self._timers = timer_service
        self._service = service
        self._inbox = queue.Queue()

    def start(self) -> None:
        self._timers.every(PERIOD_S, self._inbox, _ObservationDue())
        tasks.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._inbox.get()
            observed_at = self._service.tables.weights.observed_at
            if time.monotonic() - observed_at < PERIOD_S:
                continue
            try:
                self._service.observe_weights()
            except errors.CoordinationError:
                # Without a quorum there is no evidence.
                continue


def make_weight_observer(
    timer_service: timers.TimerService, service: services.AuthorityService
) -> WeightObserver:
    return WeightObserver(timer_service, service)
