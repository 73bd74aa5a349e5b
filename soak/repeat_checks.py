"""Checks what replicas get of repeated calls."""

import bisect

import msgspec

from papayalink import node_settings
from soak import records
from soak.platform import standins

# Allowance of repeats, which processes have by default.
RETRY_BOUNDS = node_settings.Bounds()
# Arrivals that may be given this much more time than their callers have, and
# how many may be given even more: so many, and this share of those that come
# late.
DEADLINE_SLACK_S = 0.5
MAX_TOO_LONG = 20
MAX_TOO_LONG_SHARE = 0.2
# Calls that may run at more replicas than their routes allow.
MAX_EXCEEDING = 3


class Repeats(msgspec.Struct, frozen=True):
    """Repeats of calls in one period, and how many are allowed in it."""

    count: int
    allowed: float

    @property
    def share(self) -> float:
        return self.count / self.allowed


class Given(msgspec.Struct):
    """Arrivals by the time that their replicas were given.

    Attributes:
        late: repeats that were read late, and what was given too much time.
        too_long: those that were given too much time.
    """

    late: int = 0
    too_long: int = 0


def check(history: records.History) -> list[str]:
    """Returns: one line for each violated guarantee."""
    return [
        *_check_repeats(history),
        *_check_deadlines(history),
        *_check_attempts(history),
    ]


def measure_repeats(history: records.History) -> Repeats:
    """Returns: the period with the most repeats of those allowed in it.

    Each arrival at a replica counts, executed or not, but for the first of
    each call.
    """
    period_s = RETRY_BOUNDS.retry_window_s
    repeats = sorted(
        at
        for arrivals in history.executions.arrivals.values()
        for at in sorted(each.at for each in arrivals)[1:]
    )
    sent = sorted(call.sent_at for call in history.calls)
    worst = Repeats(0, RETRY_BOUNDS.retry_slack)
    for index, at in enumerate(repeats):
        begin = bisect.bisect_right(repeats, at - period_s)
        requests = max(
            bisect.bisect_right(sent, end)
            - bisect.bisect_right(sent, end - period_s)
            for end in (at, at - period_s / 2, at - period_s)
        )
        found = Repeats(
            index + 1 - begin,
            RETRY_BOUNDS.retry_ratio * requests + RETRY_BOUNDS.retry_slack,
        )
        worst = max(worst, found, key=lambda each: each.share)
    return worst


def count_given(history: records.History) -> Given:
    """Returns: what replicas were given of the time of callers.

    A repeat that comes later is given only what the first attempt has left.
    Replicas count the time from their reading, however long their kernels have
    held a call.
    """
    calls = {call.call_id: call for call in history.calls}
    given = Given()
    for call_id, arrivals in history.executions.arrivals.items():
        call = calls.get(call_id)
        if call is None:
            continue
        first = min(arrivals, key=lambda each: each.at)
        end = max(first.at + first.left_s, call.sent_at + call.deadline_s)
        for each in arrivals:
            is_late = each.at > first.at + DEADLINE_SLACK_S
            is_too_long = each.left_s > call.deadline_s + DEADLINE_SLACK_S or (
                is_late and each.at + each.left_s > end + DEADLINE_SLACK_S
            )
            given.late += is_late or is_too_long
            given.too_long += is_too_long
    return given


def _check_repeats(history):
    """Check that repeats of calls keep to their budget in each period."""
    worst = measure_repeats(history)
    if worst.share > 1:
        yield (
            f"{worst.count} repeats in {RETRY_BOUNDS.retry_window_s} s,"
            f" {worst.allowed:.0f} are allowed"
        )


def _check_deadlines(history):
    """Check that replicas are not given more time than callers have."""
    given = count_given(history)
    allowed = max(MAX_TOO_LONG, MAX_TOO_LONG_SHARE * given.late)
    if given.too_long > allowed:
        yield (
            f"{given.too_long} arrivals were given too much time,"
            f" {given.late} came late"
        )


def count_exceeding(history: records.History) -> int:
    """Returns: calls that ran at more replicas than their routes allow."""
    exceeding = 0
    for call in history.calls:
        executions = history.executions.by_call.get(call.call_id, [])
        replicas = {each.replica_id for each in executions}
        exceeding += len(replicas) > standins.attempts_of(call.path_prefix)
    return exceeding


def _check_attempts(history):
    """Check that calls don't run at more replicas than their routes allow."""
    exceeding = count_exceeding(history)
    if exceeding > MAX_EXCEEDING:
        yield f"{exceeding} calls ran at more replicas than allowed"
