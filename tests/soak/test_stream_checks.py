"""Checks of streams that begin, and of streams that go on when taken up."""

import pytest

from soak import records
from soak import stream_checks
from soak.platform import standins


def _stream(number, begun, sent_at, **fields):
    call_id = f"c{number}"
    body = records.make_event(call_id, 1) if begun else b""
    return records.Call(
        call_id,
        standins.STREAM,
        "office",
        "g1",
        sent_at,
        ended_at=sent_at + 0.1,
        status=200 if begun else 503,
        body=body,
        **fields,
    )


def _history(calls, disturbances=()):
    return records.History(records.Executions(), calls, list(disturbances))


def _beside_part(sent, begun, sent_at=111.0, disturbances=()):
    """Sound streams after a part has ended five replicas, from 100 s on."""
    calls = [_stream(each, each < begun, sent_at) for each in range(sent)]
    calls.append(_stream(sent, False, 120.0, cause="bad-part"))
    history = _history(calls, disturbances)
    history.crashes = [("bad-part", 100.0 + each) for each in range(5)]
    return history


def _taken_up(sent, served, services=("v1", "v1"), last_event=1, until=200.0):
    """Streams that begin, break off, and are taken up."""
    calls = []
    for number in range(sent):
        calls.append(_stream(number, True, 110.0))
        calls.append(
            _stream(
                sent + number,
                number < served,
                111.0,
                resumes=f"c{number}",
                last_event=last_event,
            )
        )
    history = _history(calls)
    history.serving_periods = [
        records.ServingPeriod(f"i{index}", software, 90.0, until)
        for index, software in enumerate(services)
    ]
    return history


_PAUSE = records.Disturbance("pause", "g1", 108.0, 109.0)


# Guards against sound streams that are refused beside a part that ends
# replicas, and against streams that don't go on when they are taken up.
@pytest.mark.parametrize(
    ("history", "findings"),
    [
        (_beside_part(20, 10), []),
        (_beside_part(20, 9), ["9 of 20 sound streams began beside bad-part"]),
        (_beside_part(19, 0), []),
        # The part need not be known yet.
        (_beside_part(20, 0, sent_at=109.9), []),
        # No stream with the part comes any more.
        (_beside_part(20, 0, sent_at=120.1), []),
        (_beside_part(20, 0, disturbances=[_PAUSE]), []),
        (_taken_up(12, 6), []),
        (
            _taken_up(12, 5),
            ["5 of 12 streams went on when taken up, 12 of 12 began"],
        ),
        (_taken_up(11, 0), []),
        (_taken_up(12, 0, services=("v1", "v2")), []),
        # A replica ends before the answer.
        (_taken_up(12, 0, until=111.05), []),
        # Nothing is left to get.
        (_taken_up(12, 0, last_event=standins.EVENTS_PER_STREAM), []),
    ],
)
def test_share_of_streams(history, findings):
    assert stream_checks.check(history) == findings
