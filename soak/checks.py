"""The promises, checked on what was seen from outside."""

from soak import records
from soak.platform import standins

NOT_RUN = frozenset((408, 421, 429, 503))
# Time in which an accepted document is in force at all gateways, and in
# which a leaving replica may still get calls: the users' bounds.
IN_FORCE_S = 2.0
LEAVE_S = 3.0
# Callers that began long enough before a planned stop was over, or that were
# taken shortly before it began, are answered.
PLANNED_S = 9.0
# A rate of answers that shows that the system serves again.
RECOVERED_SHARE = 0.9


def check(history: records.History) -> list[str]:
    """Returns: one line for each broken promise."""
    found = []
    for call in history.calls:
        runs = history.runs.by_call.get(call.call_id, [])
        found += [
            f"{call.call_id} ({call.prefix}, {call.status}): {reason}"
            for reason in _check_call(call, runs, history)
        ]
    known = {call.call_id for call in history.calls}
    for call_id in history.runs.by_call:
        if call_id not in known:
            found.append(f"{call_id}: nobody sent it")
    return found + list(_check_reads(history))


def check_recovered(calls: list[records.Call]) -> list[str]:
    """Check calls that were sent after all faults had ended."""
    served = sum(call.status == 200 and call.whole for call in calls)
    if calls and served >= RECOVERED_SHARE * len(calls):
        return []
    return [f"{served} of {len(calls)} calls served after the last fault"]


def _check_call(call, runs, history):
    streams = call.prefix == standins.STREAM
    if call.prefix == standins.ONCE and len(runs) > 1:
        yield f"ran {len(runs)} times"
    if call.status in NOT_RUN and call.prefix == standins.ONCE and runs:
        yield "said not to have run, and ran"
    if any(run.workspace != call.workspace for run in runs):
        yield "ran for another workspace"
    if any(run.key_seen for run in runs):
        yield "the caller's key was passed on"
    if call.status == 200 and not runs:
        yield "answered without a run"
    if call.status == 200 and call.whole and not streams:
        replica_id = call.stamp.partition(".")[0]
        if call.body != records.body_of(call.call_id, replica_id):
            yield "not the replica's whole answer"
    if streams and call.body:
        yield from _check_stream(call)
    if call.status in (401, 403, 404) and call.prefix != standins.CHANGING:
        yield "rejected though it is allowed"
    if call.prefix == standins.CHANGING:
        yield from _check_in_force(call, runs, history)
    for run in runs:
        left = _left_at(run.replica_id, history)
        if left is not None and run.at > left + LEAVE_S + 1.0:
            yield f"sent to {run.replica_id}, which had left"
    if not call.status and _only_planned(call, history):
        yield "cut by a planned stop"


def _check_stream(call):
    events = b"".join(
        records.event_of(call.call_id, number)
        for number in range(1, standins.EVENTS + 1)
    )
    if call.whole and call.status == 200 and call.body != events:
        yield "a stream that ends whole lacks events"
    elif not events.startswith(call.body):
        yield "events missing, doubled or of another call"


def _check_in_force(call, runs, history):
    """A change is in force once it was accepted for a while."""
    acked = [each for each in history.changes if each.acked_at]
    before = [
        each for each in acked if each.acked_at + IN_FORCE_S < call.sent_at
    ]
    if not before or _disturbed(call.gateway, call, history):
        return
    number = max(each.number for each in before)
    # Newer documents may or may not be in force.
    allowed = {
        each.with_changing
        for each in history.changes
        if each.number >= number and each.sent_at <= call.ended_at
    }
    if runs and True not in allowed:
        yield "ran on a route that was removed"
    if call.status == 404 and False not in allowed:
        yield "404 on a route that was added"


def _check_reads(history):
    for read in history.reads:
        acked = [
            each.number
            for each in history.changes
            if each.acked_at and each.acked_at + IN_FORCE_S < read.sent_at
        ]
        if acked and read.number < max(acked):
            yield (
                f"{read.member} tells document {read.number},"
                f" {max(acked)} was accepted"
            )


def _left_at(replica_id, history):
    times = [
        each.at
        for each in history.disturbances
        if each.kind == "leaves" and each.target == replica_id
    ]
    return min(times, default=None)


def _disturbed(process, call, history):
    """Whether a process, or the control group, was disturbed lately."""
    return any(
        each.at <= call.ended_at and each.until + LEAVE_S >= call.sent_at
        for each in history.disturbances
        if each.target == process or each.target.startswith("authority")
    )


def _only_planned(call, history):
    """Whether a stop of its gateway is all that can have cut a call."""
    near = [
        each
        for each in history.disturbances
        if each.at <= call.ended_at and each.until + LEAVE_S >= call.sent_at
    ]
    stops = [
        each
        for each in near
        if each.kind == "stop" and each.target == call.gateway
    ]
    others = [each for each in near if each.kind != "stop"]
    return bool(stops) and not others
