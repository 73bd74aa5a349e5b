"""Checks the guarantees on what was observed from outside."""

import collections

from soak import nodes
from soak import records
from soak import repeat_checks
from soak import roll_checks
from soak import stream_checks
from soak import uneven_runs
from soak.platform import standins

# Statuses that say that the call was not executed.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Bounds that users are given: the time until an accepted document is in
# force at all gateways, and the time for which a leaving replica may still
# get calls.
IN_FORCE_S = 2.0
LEAVE_S = 3.0
# Crashes after which a part or a request that ends replicas is known, and how
# many calls with it may arrive later.
KNOWN_CRASHES = 5
KNOWN_REQUEST_CRASHES = 3
MAX_LATE_ARRIVALS = 3
# Time in which a replica may get half more calls than its limit allows, and 5.
LIMIT_WINDOW_S = 4.0
# A delay that a replica names counts from this time on, and so many calls of
# one gateway may arrive until it ends.
DELAY_GRACE_S = 0.5
MAX_DELAYED_ARRIVALS = 2
# Time that a call may cross the close of its idle connection, and time before
# its deadline in which a call may be cut because it has run out of time.
CROSSING_S = 0.2
OUT_OF_TIME_S = 0.2
# A sound replica that is silent for a while and goes on. It may be silent for
# less than 2 s, so that a call with so much time left could have waited. One
# whose deadline leaves this much beside silences is answered.
SILENT_KIND = "silent"
MIN_LEFT_S = 2.0
MIN_ROOM_S = 3.0
# Target of disturbances of all authorities.
ALL_MEMBERS = "authority-all"
# Target of the time in which the soak itself stood still, and with it all
# replicas.
STAND_INS = "stand-ins"
# Fraction of answered calls that shows that the system has recovered.
MIN_SERVED_FRACTION = 0.9


def check(history: records.History) -> list[str]:
    """Returns: one line for each violated guarantee."""
    violations = []
    for call in history.calls:
        executions = history.executions.by_call.get(call.call_id, [])
        violations += [
            f"{call.call_id} ({call.path_prefix}, {call.status}): {reason}"
            for reason in _check_call(call, executions, history)
        ]
    for call in history.operator_calls:
        violations += [
            f"{call.method} at {call.member}: {reason}"
            for reason in _check_operator_call(call, history)
        ]
    known = {call.call_id for call in history.calls}
    for call_id in history.executions.by_call:
        if call_id not in known:
            violations.append(f"{call_id}: ran, but no caller sent it")
    return [
        *violations,
        *_check_reads(history),
        *_check_crashes(history),
        *_check_limits(history),
        *_check_versions(history),
        *_check_delays(history),
        *_check_weights(history),
        *repeat_checks.check(history),
        *stream_checks.check(history),
        *roll_checks.check(history),
        *uneven_runs.check(history),
    ]


def check_recovered(calls: list[records.Call]) -> list[str]:
    """Check calls that were sent after all faults had ended."""
    served = sum(call.status == 200 and call.complete for call in calls)
    if calls and served >= MIN_SERVED_FRACTION * len(calls):
        return []
    answers = collections.Counter(
        f"{call.gateway} {call.path_prefix} {call.status}"
        for call in calls
        if call.status != 200 or not call.complete
    )
    told = ", ".join(f"{key} x{n}" for key, n in sorted(answers.items()))
    return [
        f"{served} of {len(calls)} calls served after the last fault: {told}"
    ]


def _check_call(call, executions, history):
    is_stream = call.path_prefix in standins.STREAM_EVENTS
    if call.path_prefix == standins.ONCE and len(executions) > 1:
        yield f"ran {len(executions)} times"
    if (
        call.status in NOT_RUN_STATUSES
        and call.path_prefix == standins.ONCE
        and executions
    ):
        yield "answered as not run, but ran"
    if any(execution.workspace != call.workspace for execution in executions):
        yield "ran for another workspace"
    if any(each.body not in ("", call.sent_body) for each in executions):
        yield "ran with another body"
    if any(execution.key_passed_on for execution in executions):
        yield "the caller's API key was passed to the replica"
    if call.status and not 100 <= call.status <= 599:
        yield f"answered with {call.status}, which is no status"
    if call.status == 200 and not executions:
        yield "answered but not run by any replica"
    if call.status == 200 and call.complete and not is_stream:
        replica_id = call.server_stamp.partition(".")[0]
        if call.body != records.make_body(call.call_id, replica_id):
            yield "body is not the complete answer of the replica"
    if is_stream and call.body:
        yield from _check_stream(call, history.long_share)
    if call.status == 500 and not call.server_stamp:
        yield "the gateway itself failed"
    if (
        call.status in (401, 403, 404)
        and call.path_prefix != standins.OPTIONAL
    ):
        yield "rejected although it is allowed"
    if call.path_prefix == standins.OPTIONAL:
        yield from _check_in_force(call, executions, history)
    for execution in executions:
        leaving_since = _leaving_since(execution.replica_id, history)
        if (
            leaving_since is not None
            and execution.began_at > leaving_since + LEAVE_S + 1.0
            and not _was_cut_off(call, history)
        ):
            yield f"sent to {execution.replica_id}, which had left"
    yield from _check_cut(call, executions, history)
    yield from _check_silence(call, executions, history)


def is_cut(call: records.Call, history: records.History) -> bool:
    """Returns: whether a call that a gateway has read has no whole answer.

    One that crosses the close of an idle connection was neither sent on nor
    read.
    """
    lasted_s = call.ended_at - call.written_at
    begun_at = call.begun_at or call.written_at
    left_s = call.deadline_s - (call.ended_at - begun_at)
    if call.complete or not call.written_at or left_s < OUT_OF_TIME_S:
        return False
    return call.call_id in history.executions.by_call or lasted_s > CROSSING_S


def _check_cut(call, executions, history):
    """Check that a call is cut only by a fault that can cut it."""
    if not is_cut(call, history):
        return
    lasted_s = call.ended_at - call.written_at
    targets = {call.gateway}
    if call.status:
        # A gateway can't complete an answer whose replicas all fail, but
        # it always answers with something.
        targets.update(each.replica_id for each in executions)
        targets.add(STAND_INS)
    around = _disturbances_around(call, history)
    kinds = {each.kind for each in around if each.target in targets}
    # A gateway that hears nothing goes on with what it holds.
    kinds.discard("cut_off")
    kinds.discard(SILENT_KIND)
    if not kinds:
        yield f"cut without a fault, {lasted_s:.3f} s after it was sent"
    elif kinds == {"stop"} and not roll_checks.ends_with_grace(call, history):
        yield f"cut by a planned stop, {lasted_s:.3f} s after it was sent"


def _check_operator_call(call, history):
    """Check that a member that has read a request answers it.

    A request that crosses the close of a connection is not read.
    """
    lasted_s = call.ended_at - call.written_at
    if (
        call.complete
        or not call.written_at
        or lasted_s <= CROSSING_S
        or call.timeout_s - lasted_s < OUT_OF_TIME_S
    ):
        return
    kinds = {
        each.kind
        for each in _disturbances_around(call, history)
        if each.target in (call.member, ALL_MEMBERS)
    }
    if kinds <= {"stop"}:
        yield f"cut, {lasted_s:.3f} s after it was sent"


def _check_silence(call, executions, history):
    """Check that nothing is refused or fails for silences alone."""
    around = _disturbances_around(call, history)
    silences = [
        each
        for each in around
        if each.kind == SILENT_KIND and each.ended_at >= call.sent_at
    ]
    if not silences or not call.complete or call.status == 200:
        return
    if call.status == 404 and call.path_prefix == standins.OPTIONAL:
        return
    for each in around:
        is_planned = each.kind == "stop" and each.target != call.gateway
        if each.kind != SILENT_KIND and not is_planned:
            return
    lasted_s = call.ended_at - call.sent_at
    silent_s = sum(
        end - begin
        for begin, end in _join(
            (each.began_at, min(each.ended_at, call.ended_at))
            for each in silences
        )
    )
    if (
        call.deadline_s - lasted_s >= MIN_LEFT_S
        or call.deadline_s - silent_s >= MIN_ROOM_S
    ):
        yield (
            f"not answered beside silences of {silent_s:.3f} s,"
            f" {lasted_s:.3f} s after it was sent, run {len(executions)} times"
        )


def _join(periods):
    """Returns: periods, of which those that overlap are joined."""
    joined = []
    for begin, end in sorted(periods):
        if joined and begin <= joined[-1][1]:
            joined[-1] = (joined[-1][0], max(end, joined[-1][1]))
        else:
            joined.append((begin, end))
    return joined


def _check_stream(call, long_share):
    versions = records.versions_of(call.body)
    count = standins.count_events(call.path_prefix, call.call_id, long_share)
    events = b"".join(
        records.make_event(call.call_id, number, min(versions, default=""))
        for number in range(call.last_event + 1, count + 1)
    )
    if len(versions) > 1:
        # Reported for the whole stream.
        return
    if call.complete and call.status == 200 and call.body != events:
        yield "events missing from a stream that ended cleanly"
    elif not events.startswith(call.body):
        yield "events missing, doubled or of another call"


def _check_in_force(call, executions, history):
    """Check that an accepted change is in force after IN_FORCE_S."""
    accepted = [each for each in history.changes if each.accepted_at]
    settled = [
        each
        for each in accepted
        if each.accepted_at + IN_FORCE_S < call.sent_at
    ]
    if not settled or _was_disturbed(call.gateway, call, history):
        return
    number = max(each.number for each in settled)
    # Documents with a higher number may be in force already.
    allowed = {
        each.has_optional_route
        for each in history.changes
        if each.number >= number and each.sent_at <= call.ended_at
    }
    if executions and True not in allowed:
        yield "ran on a route that was removed"
    if call.status == 404 and False not in allowed:
        yield "404 on a route that was added"


def _check_reads(history):
    for read in history.reads:
        accepted = [
            each.number
            for each in history.changes
            if each.accepted_at
            and each.accepted_at + IN_FORCE_S < read.sent_at
        ]
        if accepted and read.number < max(accepted):
            yield (
                f"{read.member} returned document {read.number}"
                f" after {max(accepted)} was accepted"
            )


def count_known_causes(history: records.History) -> dict[str, int]:
    """Returns: calls that arrived although they were known to end replicas.

    They are counted by the part or the request that is the cause.
    """
    calls = {call.call_id: call for call in history.calls}
    late = {}
    for cause in {cause for cause, _ in history.crashes}:
        times = sorted(at for each, at in history.crashes if each == cause)
        is_request = "request" in cause
        known = KNOWN_REQUEST_CRASHES if is_request else KNOWN_CRASHES
        if len(times) < known:
            continue
        known_at = times[known - 1] + LEAVE_S
        late[cause] = sum(
            each.cause == cause
            and calls[each.call_id].sent_at > known_at
            and not _is_recovering(calls[each.call_id], history)
            for each in history.arrivals
        )
    return late


def _check_crashes(history):
    """Check that all entries know what ends replicas after some crashes."""
    for cause, late in count_known_causes(history).items():
        if late > MAX_LATE_ARRIVALS:
            yield f"{late} calls with {cause} after it was known"


def _check_limits(history):
    """Check that no replica gets far more calls than the limit it names."""
    calls = {call.call_id: call for call in history.calls}
    for limit in history.limits:
        times = sorted(
            execution.began_at
            for call_id, executions in history.executions.by_call.items()
            for execution in executions
            if execution.replica_id == limit.replica_id
            and limit.since + LEAVE_S < execution.began_at < limit.until
            and not _is_recovering(calls[call_id], history)
        )
        most = max(
            (
                sum(begin <= at < begin + LIMIT_WINDOW_S for at in times)
                for begin in times
            ),
            default=0,
        )
        if most > 1.5 * limit.limit_per_s * LIMIT_WINDOW_S + 5:
            yield f"{limit.replica_id} got {most} calls beside its limit"


def _check_versions(history):
    """Check that each stream was written by one software version."""
    versions = {}
    for call in history.calls:
        if call.path_prefix in standins.STREAM_EVENTS:
            stream = call.resumes or call.call_id
            versions.setdefault(stream, set()).update(
                records.versions_of(call.body)
            )
    for stream, written_by in versions.items():
        if len(written_by) > 1:
            yield f"{stream} joins versions {', '.join(sorted(written_by))}"


def count_within_delays(
    history: records.History,
) -> list[tuple[records.Refusal, int]]:
    """Returns: for each named delay, calls of its gateway that came within.

    Delays are left out while the gateway or the replica is disturbed.
    """
    calls = {call.call_id: call for call in history.calls}
    arrivals = [
        (each.replica_id, calls[each.call_id], each.at)
        for each in history.refusals
    ]
    arrivals += [
        (execution.replica_id, calls[call_id], execution.began_at)
        for call_id, executions in history.executions.by_call.items()
        for execution in executions
        if call_id in calls
    ]
    counts = []
    for refusal in history.refusals:
        call = calls[refusal.call_id]
        begin = refusal.at + DELAY_GRACE_S
        end = refusal.at + refusal.delay_s
        if any(
            each.began_at <= end and each.ended_at + LEAVE_S >= refusal.at
            for each in history.disturbances
            if each.target == call.gateway
            or (each.target == refusal.replica_id and each.kind != "replica")
        ):
            continue
        late = sum(
            replica_id == refusal.replica_id
            and other.gateway == call.gateway
            and begin < at < end
            for replica_id, other, at in arrivals
        )
        counts.append((refusal, late))
    return counts


def _check_delays(history):
    """Check that gateways wait as long as a replica has told them."""
    calls = {call.call_id: call for call in history.calls}
    for refusal, late in count_within_delays(history):
        if late > MAX_DELAYED_ARRIVALS:
            yield (
                f"{late} calls of {calls[refusal.call_id].gateway} came to"
                f" {refusal.replica_id} before its delay had ended"
            )
            return


def _check_weights(history):
    """Check that nothing begins on weights that were replaced long ago.

    A call may be late if its gateway or the way to its replica stood still.
    """
    calls = {call.call_id: call for call in history.calls}
    for call_id, executions in history.executions.by_call.items():
        for execution in executions:
            replaced_at = min(
                (
                    each.accepted_at
                    for each in history.namings
                    if each.accepted_at and each.version > execution.weights
                ),
                default=float("inf"),
            )
            outdated_s = execution.began_at - replaced_at
            if not execution.weights or outdated_s <= nodes.WEIGHTS_S:
                continue
            held_up = {
                (calls[call_id].gateway, "pause"),
                (calls[call_id].gateway, "frozen"),
                (execution.replica_id, "proxy"),
            }
            around = _disturbances_around(calls[call_id], history)
            if not any((each.target, each.kind) in held_up for each in around):
                yield (
                    f"{call_id} began on weights {execution.weights},"
                    f" replaced {outdated_s:.3f} s before"
                )


def _is_recovering(call, history):
    """Whether the gateway of a call itself was disturbed around it."""
    return any(
        each.target in (call.gateway, ALL_MEMBERS)
        for each in _disturbances_around(call, history)
    )


def _was_cut_off(call, history):
    """Whether the gateway of a call could not know who leaves."""
    return any(
        each.target == call.gateway and each.kind in ("cut_off", "frozen")
        for each in _disturbances_around(call, history)
    )


def _leaving_since(replica_id, history):
    times = [
        each.began_at
        for each in history.disturbances
        if each.kind == "leaves" and each.target == replica_id
    ]
    return min(times, default=None)


def _was_disturbed(process, call, history):
    """Whether a process or an authority was disturbed around a call."""
    return any(
        each.target == process or each.target.startswith("authority")
        for each in _disturbances_around(call, history)
    )


def _disturbances_around(call, history):
    return [
        each
        for each in history.disturbances
        if each.began_at <= call.ended_at
        and each.ended_at + LEAVE_S >= call.sent_at
    ]
