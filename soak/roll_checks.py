"""Checks what callers see while all VMs are stopped in series."""

import bisect

from soak import nodes
from soak import records
from soak.platform import standins

# A gateway lets calls wait for its first document for a second after its start
# (FIRST_DOCUMENT_WAIT_S), and a group elects a leader in about half a second.
NO_DOCUMENT_S = 1.0 + 0.5
NO_DOCUMENT = "no_document"
# Others hold a document if they serve a call within this time around another.
AROUND_S = 0.5
# Streams that are sent this long after SIGTERM at most, and that a replica
# still writes in the last part of the grace period, may be cut by its end.
LAST_SENT_S = 3.0
LAST_PART_S = 5 / 6 * nodes.GRACE_S
ENDED_S = nodes.GRACE_S + 1.0
LONG_STREAMS = (standins.LONG, standins.SINGLE)


def check(history: records.History) -> list[str]:
    """Returns: one line for each gateway that refused calls without need."""
    served = sorted(
        (call.ended_at, call.gateway)
        for call in history.calls
        if call.status == 200 and call.complete
    )
    calls = {call.call_id: call for call in history.calls}
    late: dict[str, list[float]] = {}
    for each in history.rejections:
        if (
            each.reason == NO_DOCUMENT
            and each.since_start_s > NO_DOCUMENT_S
            and _is_served_elsewhere(calls[each.call_id], served)
        ):
            late.setdefault(each.gateway, []).append(each.since_start_s)
    return [
        f"{gateway} refused {len(times)} calls without a document, up to"
        f" {max(times):.1f} s after its start, while others had one"
        for gateway, times in late.items()
    ]


def ends_with_grace(call: records.Call, history: records.History) -> bool:
    """Returns: whether a long stream was cut by the end of the grace period.

    One that was sent late, or that its replica had finished, must not be.
    """
    if call.path_prefix not in LONG_STREAMS:
        return False
    finished_at = history.executions.finished.get(call.call_id, float("inf"))
    return any(
        each.kind == "stop"
        and each.target == call.gateway
        and call.sent_at <= each.began_at + LAST_SENT_S
        and each.began_at + LAST_PART_S <= call.ended_at
        and call.ended_at <= each.began_at + ENDED_S
        and finished_at >= each.began_at + LAST_PART_S
        for each in history.disturbances
    )


def _is_served_elsewhere(
    call: records.Call, served: list[tuple[float, str]]
) -> bool:
    begin = bisect.bisect_left(served, (call.ended_at - AROUND_S, ""))
    for ended_at, gateway in served[begin:]:
        if ended_at > call.ended_at + AROUND_S:
            return False
        if gateway != call.gateway:
            return True
    return False
