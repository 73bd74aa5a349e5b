"""Tests of replicas that fall silent within an answer, or within a stop."""

import gevent
import pytest

from papayalink.state import traffic
from tests.roles.gateway import standing_still
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_ROUTES = tuple(
    stubs.make_route(
        name, repeat, timeout_s=6.0, max_attempts=3, stream=stream
    )
    for name, repeat, stream in (
        ("once", traffic.RepeatPolicy.ONCE, False),
        ("safe", traffic.RepeatPolicy.IDEMPOTENT, False),
        ("stream", traffic.RepeatPolicy.ONCE, True),
        ("resumed", traffic.RepeatPolicy.RESUMABLE, True),
    )
)
_STREAMS = ("stream", "resumed")
_PROMPT = (
    b"Papayalink-Model: m",
    b"Papayalink-Token-Usage: 100,10",
    b"Papayalink-Prefix-Hash: own:10",
)
_EVENTS = 4
_CALLS = 4
# Longer than it takes to find out that a replica takes no connections, and
# shorter than the time that the callers leave.
_SILENCE_S = 1.3
_GRACE_S = 6.0


def _make_answer(route, first=1):
    """Returns: the answer from an event on, split into its parts."""
    if route not in _STREAMS:
        head, _, body = stubs.OK.partition(b"\r\n\r\n")
        return [head + b"\r\n\r\n", body]
    events = [stubs.event(number) for number in range(first, _EVENTS + 1)]
    return [stubs.STREAM, *events, stubs.END]


def _make_body(route):
    if route in _STREAMS:
        return b"".join(
            b"id: %d\ndata: p%d\n\n" % (number, number)
            for number in range(1, _EVENTS + 1)
        )
    return b"ok"


class _Upstream(standing_still.Upstream):
    """Sends answers up to a place, and the rest of them 0.3 s later.

    Args:
        part, offset: the place, as bytes within a part of the answer.
    """

    def __init__(self, name, route, part, offset):
        super().__init__(name)
        self._route = route
        self._part = part
        self._offset = offset

    def next_steps(self, request):
        _, _, rest = request.partition(b"Last-Event-Id: ")
        first = int(rest.split(b"\r\n")[0] or 0) + 1
        parts = _make_answer(self._route, first)
        before = b"".join(parts[: self._part])
        answer = b"".join(parts)
        place = len(before) + self._offset
        return [*filter(None, [answer[:place]]), 0.3, answer[place:]]


def _make_upstreams(place):
    route, part, offset = place
    kind = "models" if route in _STREAMS else "desk"
    return [
        _Upstream(f"{kind}{number}", route, part, offset)
        for number in range(2)
    ]


def _spawn_calls(gateway, route):
    headers = _PROMPT if route in _STREAMS else ()
    path = b"/%s/" % route.encode()
    return [
        gevent.spawn(gateway.call, path, headers, timeout_s=10)
        for _ in range(_CALLS)
    ]


def _stand_still(upstreams):
    return [
        gevent.spawn(upstream.stand_still_for, _SILENCE_S)
        for upstream in upstreams
    ]


def _collect(calling):
    """Returns: status and body of each answer."""
    answers = [each.get(timeout=10) for each in calling]
    return [(status, body) for status, _, body in answers]


def _play_all(play, places):
    """Returns: by place, what a play with its gateway returns."""
    playing = {place: gevent.spawn(play, place) for place in places}
    gevent.joinall(playing.values(), raise_error=True)
    return {place: task.value for place, task in playing.items()}


def _expect_whole(places):
    return {place: [(200, _make_body(place[0]))] * _CALLS for place in places}


_PLACES = [
    # Within the head, and behind it.
    *[(route.name, 0, 9) for route in _ROUTES],
    *[(route.name, 1, 0) for route in _ROUTES],
    # Within the body.
    ("once", 1, 1),
    ("safe", 1, 1),
    # Within the first event, between two events, within a later one, and
    # before the end.
    *[
        (route, part, offset)
        for route in _STREAMS
        for part, offset in ((1, 12), (2, 0), (3, 12), (_EVENTS + 1, 0))
    ],
]


# Guards against answers that end as their replica falls silent within them.
@pytest.mark.parametrize("silent", [1, 2])
def test_answers_outlast_a_silence_within_them(silent):
    def play(place):
        upstreams = _make_upstreams(place)
        gateway = stubs.Gateway(upstreams, _ROUTES)
        try:
            calling = _spawn_calls(gateway, place[0])
            gevent.sleep(0.15)
            gevent.joinall(_stand_still(upstreams[:silent]), raise_error=True)
            return _collect(calling)
        finally:
            for upstream in upstreams:
                upstream.go_on()
            gateway.stop()

    assert _play_all(play, _PLACES) == _expect_whole(_PLACES)


_STOP_PLACES = [
    *[(route.name, 0, 0) for route in _ROUTES],
    *[(route.name, 0, 9) for route in _ROUTES],
    *[(route, 2, 0) for route in _STREAMS],
]


# Guards against calls that end in a stop of their gateway, although their
# replicas go on before the grace period ends. The silence begins before
# SIGTERM, with it, and shortly before the gateway closes its port.
@pytest.mark.parametrize("silent", [1, 2])
@pytest.mark.parametrize("begins_s", [-0.5, 0.0, 2.0])
def test_calls_outlast_a_silence_within_a_stop(begins_s, silent):
    def play(place):
        upstreams = _make_upstreams(place)
        gateway = stopped.Gateway(_GRACE_S, upstreams, _ROUTES)
        try:
            # Calls beforehand, which tell that later ones may end in time.
            _collect(_spawn_calls(gateway, place[0]))
            if begins_s > 0:
                stopping = gateway.begin_stop()
                gevent.sleep(begins_s)
            calling = _spawn_calls(gateway, place[0])
            gevent.sleep(0.15)
            pauses = _stand_still(upstreams[:silent])
            if begins_s <= 0:
                gevent.sleep(-begins_s)
                stopping = gateway.begin_stop()
            gevent.joinall(pauses, raise_error=True)
            answers = _collect(calling)
            stopping.get(timeout=10)
            return answers
        finally:
            for upstream in upstreams:
                upstream.go_on()
            gateway.end()

    assert _play_all(play, _STOP_PLACES) == _expect_whole(_STOP_PLACES)
