"""Tests of what callers get if a replica's answer ends after any byte."""

from gevent import pool
import pytest

from papayalink.state import traffic
from tests import turns
from tests.roles.gateway import stubs

# Time-out of the calls, which a process that stands still does not reach.
_TIMEOUT_S = 30.0
# Longest time that a call may take while this process runs.
_RUN_S = 2.0
_ROUTES = tuple(
    stubs.make_route(name, repeat, timeout_s=_TIMEOUT_S, **fields)
    for name, repeat, fields in (
        ("once", traffic.RepeatPolicy.ONCE, {}),
        ("safe", traffic.RepeatPolicy.IDEMPOTENT, {}),
        ("single", traffic.RepeatPolicy.IDEMPOTENT, {"max_attempts": 1}),
        ("stream", traffic.RepeatPolicy.ONCE, {"stream": True}),
        (
            "resumed",
            traffic.RepeatPolicy.RESUMABLE,
            {"stream": True, "max_attempts": 3},
        ),
    )
)
_PROMPT = (b"Papayalink-Model: m", b"Papayalink-Token-Usage: 100,10")
# Answers that are processed at a time; each has a gateway of its own.
_CALLS = 16
_HEAD = b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n" + stubs.STAMP
_PLAIN = {
    "length": (_HEAD + b"Content-Length: 5\r\n\r\n", b"first"),
    "chunked": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"5\r\nfirst\r\n0\r\n\r\n",
    ),
    "connection": (_HEAD + b"\r\n", b"first"),
    "interim": (
        b"HTTP/1.1 103 Early\r\n\r\n" + _HEAD + b"Content-Length: 5\r\n\r\n",
        b"first",
    ),
}
_TEXT = b"Content-Type: text/event-stream\r\n"
_EVENTS = b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"
_STREAMS = {
    "chunked": (
        _HEAD + _TEXT + b"Transfer-Encoding: chunked\r\n\r\n",
        stubs.event(1) + stubs.event(2) + stubs.END,
    ),
    "connection": (_HEAD + _TEXT + b"\r\n", _EVENTS),
}
_ENDS = ("close", "reset")


def _make_gateway(name, *script):
    """The script is that of all replicas: each call takes its next steps."""
    upstreams = [stubs.Upstream(f"{name}{index}") for index in range(3)]
    steps = list(script)
    for upstream in upstreams:
        upstream.script = steps
    return stubs.Gateway(upstreams, _ROUTES)


def _play_cuts(play, answer):
    """Returns: (number of bytes, result) for each cut of an answer."""

    def play_in_time(cut):
        with turns.watching() as running:
            result = play(cut)
        assert running.run_s < _RUN_S, cut
        return result

    cuts = list(range(len(b"".join(answer)) + 1))
    return list(zip(cuts, pool.Pool(_CALLS).map(play_in_time, cuts)))


def _arrivals(gateway):
    return sum(len(upstream.received) for upstream in gateway.upstreams)


def _told_to_leave(gateway):
    return any(member.leaving for member in gateway.fleet.all_members())


def _steps(answer, cut, end):
    head, body = answer
    pieces = [head[:cut], body[: max(0, cut - len(head))]]
    return [piece for piece in pieces if piece] + [end]


@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("framing", _PLAIN)
@pytest.mark.parametrize("route", ["once", "safe", "single"])
def test_plain_call_whose_answer_is_cut(route, framing, end):
    """Guards against a 200 with an empty or short body that looks whole.

    A call that may run again is answered by the next replica, any other one
    by a status that does not promise that it was not run.
    """
    answer = _PLAIN[framing]
    head_bytes = len(answer[0])

    def play(cut):
        gateway = _make_gateway("desk", _steps(answer, cut, end))
        try:
            status, _, body = gateway.call(b"/%s/" % route.encode())
            told = _told_to_leave(gateway)
            return status, body, _arrivals(gateway), told
        finally:
            gateway.stop()

    for cut, result in _play_cuts(play, answer):
        told = cut >= head_bytes
        if framing == "connection" and end == "close" and told:
            body = answer[1][: cut - head_bytes]
            assert result == (200, body, 1, told), cut
        elif cut == len(b"".join(answer)) and framing != "connection":
            assert result == (200, b"first", 1, told), cut
        elif route == "safe":
            assert result == (200, b"ok", 2, told), cut
        else:
            assert result == (502, b"", 1, told), cut


@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("framing", _STREAMS)
def test_stream_that_may_run_once_whose_answer_is_cut(framing, end):
    """Guards against a stream that ends early and looks complete."""
    answer = _STREAMS[framing]
    head_bytes = len(answer[0])

    def play(cut):
        gateway = _make_gateway("models", _steps(answer, cut, end))
        try:
            result = gateway.call(b"/stream/", _PROMPT, partial=True)
            return result[0], result[2], _arrivals(gateway)
        finally:
            gateway.stop()

    for cut, (status, (body, whole), arrivals) in _play_cuts(play, answer):
        assert arrivals == 1
        if cut < head_bytes:
            assert (status, body, whole) == (502, b"", True), cut
            continue
        assert status == 200
        assert _EVENTS.startswith(body)
        sent = answer[1][: cut - head_bytes]
        if framing == "connection":
            regular = end == "close" and sent.endswith(b"\n\n")
            assert body == b"".join(
                event + b"\n\n" for event in sent.split(b"\n\n")[:-1]
            )
        else:
            regular = sent == answer[1]
        assert whole == regular, cut


@pytest.mark.parametrize("end", _ENDS)
@pytest.mark.parametrize("framing", _STREAMS)
@pytest.mark.parametrize("begun", [False, True], ids=["new", "begun"])
def test_resumable_stream_whose_answer_is_cut(framing, begun, end):
    """Guards against a stream that is joined wrongly behind a cut answer.

    The next replica continues after the last whole event.
    """
    if begun:
        first = [[stubs.STREAM, stubs.event(1), "reset"]]
        rest = {
            "chunked": stubs.event(2) + stubs.END,
            "connection": _EVENTS.partition(b"\n\n")[2],
        }
        answer = (_STREAMS[framing][0], rest[framing])
    else:
        first = []
        answer = _STREAMS[framing]
    head_bytes = len(answer[0])

    def play(cut):
        sent = answer[1][: max(0, cut - head_bytes)]
        events = (1 if begun else 0) + sent.count(b"\n\n")
        last = [stubs.event(number) for number in range(events + 1, 3)]
        script = [
            *first,
            _steps(answer, cut, end),
            [stubs.STREAM, *last, stubs.END],
        ]
        gateway = _make_gateway("models", *script)
        try:
            result = gateway.call(b"/resumed/", _PROMPT, partial=True)
            return result[0], result[2], _arrivals(gateway)
        finally:
            gateway.stop()

    for cut, (status, (body, whole), arrivals) in _play_cuts(play, answer):
        sent = answer[1][: max(0, cut - head_bytes)]
        if framing == "connection":
            regular = end == "close" and sent.endswith(b"\n\n")
        else:
            regular = sent == answer[1]
        assert (status, whole) == (200, True), cut
        assert arrivals == len(first) + (1 if regular else 2), cut
        if regular and framing == "connection":
            # It ends where its connection ends.
            assert _EVENTS.startswith(body)
        else:
            assert body == _EVENTS, cut


@pytest.mark.parametrize("framing", _STREAMS)
def test_begun_stream_whose_last_attempt_is_cut_looks_incomplete(framing):
    """Guards against a stream that ends as complete without its rest."""
    answer = _STREAMS[framing]
    broken = [stubs.STREAM, stubs.event(1), "reset"]

    def play(cut):
        gateway = _make_gateway(
            "models", broken, ["close"], _steps(answer, cut, "close")
        )
        try:
            result = gateway.call(b"/resumed/", _PROMPT, partial=True)
            return result[0], result[2]
        finally:
            gateway.stop()

    # The answer begins with an event that the caller has.
    for cut, result in _play_cuts(play, answer):
        assert result == (
            200,
            (_EVENTS.partition(b"\n\n")[0] + b"\n\n", False),
        )
