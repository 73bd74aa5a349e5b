"""Figures of one run for each guarantee that has a bound."""

import collections

from soak import checks
from soak import records
from soak import repeat_checks
from soak import roll_checks
from soak import stream_checks
from soak import uneven_runs


def measure(history: records.History) -> dict[str, str]:
    """Returns: what was counted, by name.

    repeats: in the worst period, of those allowed.
    too_long: arrivals that were given too much time, of those that came late.
    exceeding: calls that ran at more replicas than allowed.
    delays: most calls within a delay that a replica named, and such delays.
    known: most calls that were known to end replicas, of each cause.
    cut: calls that were written and ended without an answer, of all.
    refused: calls that were answered with 503, of all that were written.
    unsent: calls that were not written whole, of all.
    closed: how often callers found a closed port before a call, and calls
        that were sent on a connection that had been closed.
    crossed: calls that crossed the close of a connection that was open when
        they were sent.
    lost: calls that a gateway has read and that have no whole answer.
    in_answer: calls whose answer began and has no end, time-outs included.
    excused: long streams of these that end with the grace period.
    reasons: calls that gateways of rolls answered with 503, by reason.
    sound: sound streams that began beside a part that ends replicas.
    taken_up: streams that went on when they were taken up.
    new: streams that began.
    uneven: long plain calls, long streams and short calls of routes with
        calls of unequal length that had no whole answer, of all of them.
    stopped: runs of these that were stopped before the end of their caller's
        time, repeats, and the median time of a long plain call in seconds.
    """
    given = repeat_checks.count_given(history)
    delays = checks.count_within_delays(history)
    known = checks.count_known_causes(history)
    written = [call for call in history.calls if call.written_at]
    cut = [call for call in written if not call.status]
    refused = [call for call in written if call.status == 503]
    stale = [call for call in history.calls if call.stale]
    lost = [call for call in written if checks.is_cut(call, history)]
    crossed = [
        call
        for call in cut
        if not call.stale and not checks.is_cut(call, history)
    ]
    streams = stream_checks.streams_in_touch(history)
    sound = [
        stream_checks.measure_sound_streams(streams, history, part)
        for part in sorted({cause for cause, _ in history.crashes})
    ]
    uneven = uneven_runs.measure(history)
    uneven_shares = (uneven.long_calls, uneven.long_streams, uneven.short)
    return {
        "repeats": f"{repeat_checks.measure_repeats(history).share:.2f}",
        "too_long": f"{given.too_long}/{given.late}",
        "exceeding": str(repeat_checks.count_exceeding(history)),
        "delays": f"{max((late for _, late in delays), default=0)}"
        f"/{len(delays)}",
        "known": f"{max(known.values(), default=0)}/{len(known)}",
        "cut": f"{len(cut)}/{len(written)}",
        "refused": f"{len(refused)}/{len(written)}",
        "unsent": f"{len(history.calls) - len(written)}/{len(history.calls)}",
        "closed": f"{history.counts.get('closed_port', 0)},{len(stale)}",
        "crossed": str(len(crossed)),
        "lost": str(len(lost)),
        "in_answer": str(
            sum(call.status > 0 and not call.complete for call in written)
        ),
        "excused": str(
            sum(roll_checks.ends_with_grace(call, history) for call in lost)
        ),
        "reasons": _format_reasons(history),
        "sound": _format_shares(sound),
        "taken_up": _format_shares(
            [stream_checks.measure_take_ups(streams, history)]
        ),
        "new": _format_shares([stream_checks.measure_new_streams(streams)]),
        "uneven": ",".join(f"{lost}/{all_}" for lost, all_ in uneven_shares),
        "stopped": f"{uneven.stopped},{uneven.repeats},{uneven.median_s:.2f}",
    }


def _format_reasons(history: records.History) -> str:
    reasons = collections.Counter(each.reason for each in history.rejections)
    return (
        ",".join(
            f"{reason.replace(' ', '_')}:{count}"
            for reason, count in reasons.most_common()
        )
        or "none"
    )


def _format_shares(shares: list[stream_checks.Share]) -> str:
    served = sum(share.served for share in shares)
    return f"{served}/{sum(share.sent for share in shares)}"
