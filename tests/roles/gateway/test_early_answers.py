"""Tests of what callers get if answers to unread uploads break off."""

import pytest

from papayalink.state import traffic
from tests import early_answers
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE, timeout_s=6.0),
    stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=6.0),
    stubs.make_route(
        "stream", traffic.RepeatPolicy.ONCE, stream=True, timeout_s=6.0
    ),
    stubs.make_route(
        "resumed", traffic.RepeatPolicy.RESUMABLE, stream=True, timeout_s=6.0
    ),
)
_PROMPT = (b"Papayalink-Model: m", b"Papayalink-Token-Usage: 100,10")
_TEXT = b"Content-Type: text/event-stream\r\n"
_EVENTS = b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"
_FIRST = early_answers.HEAD + _TEXT + b"\r\n" + b"id: 1\ndata: p1\n\n"


class _Replica(stubs.Upstream):
    """Takes part of the work: the first call ends by `ends`."""

    def __init__(self, name, ends, answer):
        super().__init__(name)
        self._ends = ends
        self._answer = answer
        self.server.stop()
        self.server = early_answers.servers.StreamServer(
            early_answers.make_listener(), self._serve
        )
        self.server.start()

    def _serve(self, sock, address):
        head = early_answers.read_head(sock)
        while head:
            self.received.append(head)
            if self._ends:
                end = self._ends.pop()
                early_answers.answer_early(sock, end, self._answer)
                return
            length = head.lower().partition(b"content-length:")[2]
            left = int(length.partition(b"\r\n")[0])
            while left:
                left -= len(sock.recv(left))
            if b"/once/" in head or b"/safe/" in head:
                sock.sendall(stubs.OK)
            else:
                sock.sendall(stubs.STREAM)
                begun = b"last-event-id" in head.lower()
                for number in range(1 + begun, 3):
                    sock.sendall(stubs.event(number))
                sock.sendall(stubs.END)
            head = early_answers.read_head(sock)


@pytest.fixture
def play():
    """Function that makes a call; returns its result and the arrivals."""
    gateways = []

    def call(route, size, end, answer=early_answers.PART):
        stream = route in ("stream", "resumed")
        ends = [end]
        replicas = [
            _Replica(
                f"{'models' if stream else 'desk'}{index}",
                ends,
                _FIRST if stream else answer,
            )
            for index in range(2)
        ]
        gateway = stubs.Gateway(replicas, _ROUTES)
        gateways.append(gateway)
        status, _, body = gateway.call(
            b"/%s/" % route.encode(),
            _PROMPT if stream else (),
            body=b"x" * size,
            timeout_s=10,
            partial=stream,
        )
        return status, body, sum(len(each.received) for each in replicas)

    yield call
    for gateway in gateways:
        gateway.stop()


@pytest.mark.parametrize("route", ["once", "safe"])
@pytest.mark.parametrize(("size", "end"), early_answers.FAULTY_CASES)
def test_plain_answer_that_breaks_off(play, size, end, route):
    """Guards against a part that callers get as a whole 200."""
    if route == "once":
        assert play(route, size, end) == (502, b"", 1)
    else:
        assert play(route, size, end) == (200, b"ok", 2)


@pytest.mark.parametrize("route", ["once", "safe"])
@pytest.mark.parametrize(("size", "end"), early_answers.SOUND_CASES)
def test_plain_answer_before_the_upload_is_read(play, size, end, route):
    """Guards against sound answers that are lost."""
    assert play(route, size, end) == (200, b"part", 1)


@pytest.mark.parametrize("size", [early_answers.LARGE, early_answers.MEDIUM])
@pytest.mark.parametrize("end", ["end-reset", "end-reset-later", "end-read"])
def test_refusal_before_the_upload_is_read_is_a_refusal(play, size, end):
    """Guards against calls that are not run and not sent elsewhere.

    The head says all of a refusal.
    """
    refusal = stubs.BUSY.replace(b"Content-Length: 0\r\n", b"")
    assert play("once", size, end, refusal) == (200, b"ok", 2)


@pytest.mark.parametrize(("size", "end"), early_answers.FAULTY_CASES)
def test_stream_that_breaks_off_does_not_end_regularly(play, size, end):
    """Guards against a regular end behind the events that came."""
    status, (body, whole), arrivals = play("stream", size, end)
    assert arrivals == 1
    if status == 200:
        assert _EVENTS.startswith(body)
        assert not whole
    else:
        # The reset came before the head was read.
        assert status == 502


@pytest.mark.parametrize(("size", "end"), early_answers.FAULTY_CASES)
def test_resumable_stream_that_breaks_off_goes_on(play, size, end):
    """Guards against a stream that ends regularly without its rest."""
    assert play("resumed", size, end) == (200, (_EVENTS, True), 2)


@pytest.mark.parametrize("route", ["stream", "resumed"])
@pytest.mark.parametrize(("size", "end"), early_answers.SOUND_CASES)
def test_stream_before_the_upload_is_read_ends(play, size, end, route):
    """Guards against sound streams that are cut."""
    first = _EVENTS.partition(b"\n\n")[0] + b"\n\n"
    assert play(route, size, end) == (200, (first, True), 1)
