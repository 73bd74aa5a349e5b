"""Checks how many streams begin, and how many go on when taken up."""

import msgspec

from soak import records
from soak.platform import standins

# Time in which all entries know what ends replicas, or that one has ended.
CONTACT_S = 3.0
# Crashes after which a part is known, if there are so many.
KNOWN_CRASHES = 5
# Calls below which a share says nothing.
MIN_SOUND_STREAMS = 20
MIN_TAKE_UPS = 12
# Share of the streams of calm times of which so many begin, and go on.
MIN_SHARE = 0.5
# Replicas that can go on with a stream, so that one may be lost.
MIN_REPLICAS = 2


class Share(msgspec.Struct):
    """Calls, and those of them that were served."""

    served: int = 0
    sent: int = 0

    @property
    def value(self) -> float:
        return self.served / self.sent if self.sent else 1.0

    def count(self, served: bool) -> None:
        self.served += served
        self.sent += 1


def check(history: records.History) -> list[str]:
    """Returns: one line for each violated guarantee."""
    streams = streams_in_touch(history)
    return [
        *_check_sound_streams(streams, history),
        *_check_take_ups(streams, history),
    ]


def streams_in_touch(history: records.History) -> list[records.Call]:
    """Returns: streams at gateways that were undisturbed for a while."""
    return [
        call
        for call in history.calls
        if call.path_prefix == standins.STREAM and _in_touch(call, history)
    ]


def measure_sound_streams(
    streams: list[records.Call], history: records.History, part: str
) -> Share:
    """Returns: streams without a part that is known to end replicas."""
    share = Share()
    times = sorted(at for cause, at in history.crashes if cause == part)
    known_at = times[:KNOWN_CRASHES][-1] + 2 * CONTACT_S
    last_at = max(
        (call.sent_at for call in history.calls if call.cause == part),
        default=known_at,
    )
    for call in streams:
        if (
            known_at < call.sent_at < last_at
            and not call.resumes
            and not call.cause
        ):
            share.count(_begins(call))
    return share


def measure_new_streams(streams: list[records.Call]) -> Share:
    """Returns: sound streams that are not taken up."""
    share = Share()
    for call in streams:
        if not call.resumes and not call.cause:
            share.count(_begins(call))
    return share


def measure_take_ups(
    streams: list[records.Call], history: records.History
) -> Share:
    """Returns: streams that are taken up where replicas can go on with them.

    A take-up behind the last event has nothing left to get.
    """
    broken = {call.call_id: call for call in streams}
    share = Share()
    for call in streams:
        if not call.resumes or call.last_event >= standins.EVENTS_PER_STREAM:
            continue
        first = broken.get(call.resumes)
        versions = records.versions_of(first.body) if first else set()
        if (
            len(versions) == 1
            and _count_replicas(call, versions, history) >= MIN_REPLICAS
        ):
            share.count(_begins(call))
    return share


def _check_sound_streams(streams, history):
    """Check that sound streams begin beside a part that ends replicas."""
    for part in sorted({cause for cause, _ in history.crashes}):
        share = measure_sound_streams(streams, history, part)
        if share.sent >= MIN_SOUND_STREAMS and share.value < MIN_SHARE:
            yield (
                f"{share.served} of {share.sent} sound streams began"
                f" beside {part}"
            )


def _check_take_ups(streams, history):
    """Check that streams that are taken up go on as often as others begin."""
    begun = measure_new_streams(streams)
    share = measure_take_ups(streams, history)
    if share.sent >= MIN_TAKE_UPS and share.value < MIN_SHARE * begun.value:
        yield (
            f"{share.served} of {share.sent} streams went on when taken up,"
            f" {begun.served} of {begun.sent} began"
        )


def _begins(call):
    return call.status == 200 and b"\n\n" in call.body


def _count_replicas(call, versions, history):
    """Returns: replicas of the versions that serve around a call."""
    return sum(
        each.software in versions
        and each.since + CONTACT_S <= call.sent_at
        and each.until >= call.ended_at
        for each in history.serving_periods
    )


def _in_touch(call, history):
    """Whether the gateway, and all members, were undisturbed for a while."""
    return not any(
        (each.target == call.gateway or each.target.startswith("authority"))
        and each.began_at <= call.ended_at
        and each.ended_at + CONTACT_S >= call.sent_at
        for each in history.disturbances
    )
