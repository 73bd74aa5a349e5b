"""Calls of unequal length on one route, and what becomes of them."""

import random
import statistics
import time

import gevent
import msgspec

from soak import operators
from soak import records
from soak import silences as silences_module
from soak.platform import standins

# One replica stands still for so long in each period.
SILENT_S = (1.0, 1.4)
SILENT_PERIOD_S = 3.0
DOCUMENT_PERIOD_S = 0.5
# A third of the replicas take calls and read none for as long as callers wait,
# once gateways know long runs.
SETTLING_S = 8.0
PAUSE_S = 6.0
PAUSE_PERIOD_S = 8.0
PAUSED_SHARE = 1 / 3
PAUSE_KIND = "standing_still"
PATH_PREFIXES = (standins.UNEVEN, standins.UNEVEN_STREAM)


class Uneven(msgspec.Struct):
    """What became of calls of unequal length.

    Attributes:
        long_calls, long_streams, short: those without a whole answer, and all.
        repeats: arrivals at replicas beyond the first of each call.
        stopped: runs that replicas stopped before the end of their caller's
            time.
        median_s: median time to the whole answer of a long plain call.
    """

    long_calls: tuple[int, int] = (0, 0)
    long_streams: tuple[int, int] = (0, 0)
    short: tuple[int, int] = (0, 0)
    repeats: int = 0
    stopped: int = 0
    median_s: float = 0.0


class UnevenRuns:
    """Disturbs nothing, or lets one replica after the other stand still.

    Args:
        silences: None if no replica stands still.
        history: where long pauses are recorded, None if there are none.
        operator: sends documents all the time, None for none.
    """

    def __init__(
        self,
        platform: standins.Platform,
        rng: random.Random,
        silences: silences_module.Silences | None,
        operator: operators.Operator | None,
        members: list,
        history: records.History | None,
    ) -> None:
        self._history = history
        self._platform = platform
        self._rng = rng
        self._silences = silences
        self._operator = operator
        self._members = members

    def run(self, until: float) -> None:
        tasks = []
        if self._silences is not None:
            tasks.append(gevent.spawn(self._silence_in_turn, until))
        if self._history is not None:
            tasks.append(gevent.spawn(self._pause_in_turn, until))
        if self._operator is not None:
            tasks.append(gevent.spawn(self._send_documents, until))
        gevent.sleep(max(0.0, until - time.monotonic()))
        gevent.joinall(tasks, raise_error=True)

    def _silence_in_turn(self, until: float) -> None:
        while time.monotonic() < until:
            began_at = time.monotonic()
            replica = self._rng.choice(self._platform.replicas)
            replica.going.clear()
            duration_s = self._rng.uniform(*SILENT_S)
            self._silences.silence([replica], False, duration_s)
            replica.going.set()
            _sleep_until(began_at + SILENT_PERIOD_S)

    def _pause_in_turn(self, until: float) -> None:
        replicas = self._platform.replicas
        gevent.sleep(SETTLING_S)
        while time.monotonic() + PAUSE_S < until:
            began_at = time.monotonic()
            paused = self._rng.sample(
                replicas, round(PAUSED_SHARE * len(replicas))
            )
            pauses = [
                self._history.begin(PAUSE_KIND, each.replica_id)
                for each in paused
            ]
            for each in paused:
                each.going.clear()
                self._platform.proxies[each.replica_id].pause(
                    takes_connections=True
                )
            gevent.sleep(PAUSE_S)
            for each in paused:
                self._platform.proxies[each.replica_id].go_on()
                each.going.set()
            for each in pauses:
                each.ended_at = time.monotonic()
            _sleep_until(began_at + PAUSE_PERIOD_S)

    def _send_documents(self, until: float) -> None:
        while time.monotonic() < until:
            began_at = time.monotonic()
            self._operator.put(self._members, 3.0)
            _sleep_until(began_at + DOCUMENT_PERIOD_S)


def measure(history: records.History) -> Uneven:
    """Returns: what became of the calls, zeros without any."""
    calls = [each for each in history.calls if _is_uneven(each)]
    long_calls, long_streams, short = [], [], []
    for call in calls:
        if not standins.is_long(call.call_id, history.long_share):
            short.append(call)
        elif call.path_prefix == standins.UNEVEN:
            long_calls.append(call)
        else:
            long_streams.append(call)
    return Uneven(
        *(
            (sum(not _is_answered(call) for call in each), len(each))
            for each in (long_calls, long_streams, short)
        ),
        sum(
            len(history.executions.arrivals.get(call.call_id, [None])) - 1
            for call in calls
        ),
        sum(
            call.ended_at - call.sent_at < call.deadline_s
            for call in calls
            for _ in history.executions.stopped.get(call.call_id, ())
        ),
        statistics.median(
            [
                call.ended_at - call.written_at
                for call in long_calls
                if _is_answered(call)
            ]
            or [0.0]
        ),
    )


def check(history: records.History) -> list[str]:
    """Returns: one line for each call whose time was enough for its answer.

    Callers wait for more than twice as long as the longest run takes. Those
    beside replicas that stand still for as long as callers wait are left out.
    """
    pauses = [each for each in history.disturbances if each.kind == PAUSE_KIND]
    return [
        f"{call.call_id} ({call.path_prefix}, {call.status}): not answered,"
        f" run {len(history.executions.by_call.get(call.call_id, []))} times"
        for call in history.calls
        if _is_uneven(call)
        and not _is_answered(call)
        and not any(
            each.began_at < call.ended_at and call.sent_at < each.ended_at
            for each in pauses
        )
    ]


def _is_uneven(call: records.Call) -> bool:
    return call.path_prefix in PATH_PREFIXES


def _is_answered(call: records.Call) -> bool:
    return call.status == 200 and call.complete


def _sleep_until(until: float) -> None:
    gevent.sleep(max(0.0, until - time.monotonic()))


def make_uneven_runs(
    platform: standins.Platform,
    rng: random.Random,
    silences: silences_module.Silences | None,
    operator: operators.Operator | None,
    members: list,
    history: records.History | None = None,
) -> UnevenRuns:
    return UnevenRuns(platform, rng, silences, operator, members, history)
