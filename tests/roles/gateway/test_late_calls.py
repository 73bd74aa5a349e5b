"""Tests of calls that come while a gateway has a planned stop."""

import gevent
from gevent import socket
import pytest

from papayalink.roles.gateway import stopping as stoppings
from papayalink.state import traffic
from tests import turns
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

# Grace period in which calls of _LONG_S can't end, and one in which they can.
_SHORT_GRACE_S = 1.0
_GRACE_S = 8.0
_LONG_S = 2.0
_BRIEF_S = 0.6
# Grace period whose last part is too short for calls of _LONG_S.
_KEPT_GRACE_S = 2.0
# Takes longer than is left after SIGTERM in the short grace period.
_SLOW = [1.0, stubs.OK]
_QUICK = [stubs.OK]
# Runs from which the slowest is known.
_ENOUGH = stoppings.MIN_RUNS
_STREAM = [stubs.STREAM, stubs.event(1), stubs.END]
# A stream of which each token takes 5 ms, if there are 10 of them.
_SLOW_STREAM = [stubs.STREAM, 0.05, stubs.event(1), stubs.END]
_ROUTES = tuple(
    stubs.make_route(
        name + suffix,
        repeat,
        stream=stream,
        timeout_s=timeout_s,
        objective_s=5.0,
    )
    for name, repeat, stream in (
        ("once", traffic.RepeatPolicy.ONCE, False),
        ("repeat", traffic.RepeatPolicy.IDEMPOTENT, False),
        ("stream", traffic.RepeatPolicy.ONCE, True),
        ("resumed", traffic.RepeatPolicy.RESUMABLE, True),
    )
    for suffix, timeout_s in (("", _LONG_S), ("-brief", _BRIEF_S))
)
_NAMES = ("once", "repeat", "stream", "resumed")


def _tokens(count):
    """Returns: headers of a prompt with this many output tokens at most."""
    return [
        b"Papayalink-Model: m",
        b"Papayalink-Token-Usage: 10,%d" % count,
        b"Papayalink-Prefix-Hash: own:10",
    ]


class _Site:
    """A gateway and one replica of each service."""

    def __init__(self, grace_s, *script):
        self.desk = stubs.Upstream("desk1", *script)
        self.models = stubs.Upstream("models1", *script)
        upstreams = [self.desk, self.models]
        self.gateway = stopped.Gateway(grace_s, upstreams, _ROUTES)

    @property
    def received(self):
        return len(self.desk.received) + len(self.models.received)

    def call(self, route, headers=()):
        return self.gateway.call(b"/%s/" % route.encode(), headers)

    def stop_beside(self, route, headers=()):
        """Call once SIGTERM has come.

        Returns: status and headers of the answer, and how many replicas got
            the call.
        """
        stopping = self.gateway.begin_stop()
        before = self.received
        status, headers, _ = self.call(route, headers)
        received = self.received - before
        stopping.get()
        return status, headers, received


@pytest.fixture
def start():
    sites = []

    def start_site(*arguments):
        sites.append(_Site(*arguments))
        return sites[-1]

    yield start_site
    for site in sites:
        site.gateway.end()


def _check_refused(status, headers, received):
    assert status == 503
    assert headers[b"retry-after"] == b"0.00"
    assert not received


@pytest.mark.parametrize("route", _NAMES)
def test_call_that_may_not_end_is_refused_at_once(route, start):
    """Guards against a call that is begun too late to end before the kill."""
    site = start(_SHORT_GRACE_S)
    _check_refused(*site.stop_beside(route))


@pytest.mark.parametrize("route", _NAMES)
@pytest.mark.parametrize(
    ("grace_s", "suffix", "headers"),
    [
        (_GRACE_S, "", []),
        (_SHORT_GRACE_S, "-brief", []),
        (_SHORT_GRACE_S, "", [b"Papayalink-Deadline-Ms: 600"]),
    ],
    ids=["long grace", "short time-out", "short budget"],
)
def test_call_that_ends_in_time_is_served(
    route, grace_s, suffix, headers, start
):
    """Guards against a stop that refuses what it could serve."""
    step = _STREAM if route in ("stream", "resumed") else _QUICK
    site = start(grace_s, step)
    status, _, received = site.stop_beside(route + suffix, headers)
    assert (status, received) == (200, 1)


@pytest.mark.parametrize(
    ("route", "past", "served"),
    [
        ("once", [_QUICK], False),
        ("once", [_QUICK] * (_ENOUGH - 1), False),
        ("once", [_QUICK] * _ENOUGH, True),
        ("once", [_QUICK] * 5, True),
        ("once", [_QUICK, _SLOW, _QUICK], False),
        ("once", [_QUICK] * _ENOUGH + [_SLOW, _QUICK], False),
        ("once", [_SLOW], False),
        ("repeat", [_QUICK], True),
        ("repeat", [_QUICK, _SLOW, _QUICK], True),
        ("repeat", [_SLOW, _SLOW, _QUICK], False),
    ],
)
def test_past_calls_tell_whether_a_call_may_end(route, past, served, start):
    """Guards against calls that slow replicas can't answer before the kill."""
    site = start(_SHORT_GRACE_S, *past, _QUICK)
    for _ in past:
        assert site.call(route)[0] == 200
    status, headers, received = site.stop_beside(route)
    if served:
        assert (status, received) == (200, 1)
    else:
        _check_refused(status, headers, received)


@pytest.mark.parametrize("route", ["stream", "resumed"])
@pytest.mark.parametrize(("tokens", "served"), [(10, True), (1000, False)])
def test_long_stream_is_refused_by_its_tokens(route, tokens, served, start):
    """Guards against a stream that is begun too late to be whole."""

    def play():
        past = [_SLOW_STREAM] * _ENOUGH
        site = start(_SHORT_GRACE_S, *past, _STREAM)
        for _ in past:
            assert site.call(route, _tokens(10))[0] == 200
        return site.stop_beside(route, _tokens(tokens))

    # A standstill makes past streams long, or leaves little of the stop.
    status, headers, received = turns.play_undisturbed(play, 0.3)
    if served:
        assert (status, received) == (200, 1)
    else:
        _check_refused(status, headers, received)


@pytest.mark.parametrize("route", ["stream", "resumed"])
@pytest.mark.parametrize(("pause_s", "served"), [(0.05, True), (1.0, False)])
def test_stream_without_tokens_is_refused_by_its_length(
    route, pause_s, served, start
):
    """Guards against a stream that is cut since only its head counted."""
    stream = [stubs.STREAM, pause_s, stubs.event(1), stubs.END]
    past = [[*_STREAM]] * (_ENOUGH - 1) + [stream]
    site = start(_SHORT_GRACE_S, *past, _STREAM)
    for _ in past:
        assert site.call(route)[0] == 200
    status, headers, received = site.stop_beside(route)
    if served:
        assert (status, received) == (200, 1)
    else:
        _check_refused(status, headers, received)


@pytest.mark.parametrize("served", [True, False])
def test_call_on_a_kept_connection_late_in_the_grace(served, start):
    """Guards against a kept connection whose call is begun too late."""
    site = start(_KEPT_GRACE_S, _QUICK)
    if served:
        for _ in range(_ENOUGH):
            assert site.call("once")[0] == 200
    site.desk.received.clear()
    with socket.create_connection(site.gateway.server.address, 5) as sock:
        stopping = site.gateway.begin_stop()
        while not site.gateway.server._close_announced:
            gevent.sleep(0.001)
        sock.sendall(
            b"POST /once/ HTTP/1.1\r\nHost: a.example\r\n"
            b"Content-Length: 0\r\nPapayalink-Request-Id: c2\r\n\r\n"
        )
        answer = b""
        while chunk := sock.recv(65536):
            answer += chunk
        stopping.get()
    assert answer.startswith(b"HTTP/1.1 200" if served else b"HTTP/1.1 503")
    assert b"connection: close" in answer.lower()
    assert len(site.desk.received) == served


def test_call_before_the_first_document_is_told_to_go_elsewhere():
    """Guards against a delay for a caller whom other entries serve at once."""
    gateway = stopped.Gateway(_SHORT_GRACE_S, [], ())
    try:
        stopping = gateway.begin_stop()
        status, headers, _ = gateway.call(b"/once/")
        stopping.get()
    finally:
        gateway.end()
    _check_refused(status, headers, 0)
