"""Tests that the logs name the call whose connection a gateway ends."""

import gevent
from gevent import socket
import pytest
from structlog import testing

from papayalink.state import traffic
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE, timeout_s=9.0),
    stubs.make_route(
        "stream", traffic.RepeatPolicy.ONCE, timeout_s=9.0, stream=True
    ),
)
_PROMPT = (b"Papayalink-Model: m", b"Papayalink-Token-Usage: 100,10")
_BEGUN = [stubs.STREAM, stubs.event(1)]


def _find_ends(logs):
    return [
        (each["event"], each["call"], each["reason"])
        for each in logs
        if each["event"] in ("call_cut", "caller_left")
    ]


# Guards against streams that a gateway cuts without naming them.
def test_broken_stream_is_named():
    upstream = stubs.Upstream("models1", [*_BEGUN, "reset"])
    gateway = stubs.Gateway([upstream], _ROUTES)
    with testing.capture_logs() as logs:
        assert gateway.call(b"/stream/", _PROMPT)[2] is None
        gevent.sleep(0.05)
    gateway.stop()
    reason = "ResponseAborted('upstream broke off the stream')"
    assert _find_ends(logs) == [("call_cut", "c1", reason)]


# Guards against the same at the end of a planned stop.
def test_stream_that_a_stop_cuts_is_named():
    upstream = stubs.Upstream("models1", [*_BEGUN, 20.0])
    gateway = stopped.Gateway(1.2, [upstream], _ROUTES)
    with testing.capture_logs() as logs:
        calling = gevent.spawn(gateway.call, b"/stream/", _PROMPT)
        while not upstream.received:
            gevent.sleep(0.005)
        gateway.begin_stop()
        assert calling.get(timeout=10)[2] is None
        gevent.sleep(0.05)
    gateway.end()
    ((event, call, _),) = _find_ends(logs)
    assert (event, call) == ("call_cut", "c1")


# Guards against callers that leave unnamed before their call is sent.
@pytest.mark.parametrize("has_replica", [True, False])
def test_caller_that_leaves_is_named(has_replica):
    upstream = stubs.Upstream("desk1", [20.0])
    gateway = stubs.Gateway([upstream], _ROUTES)
    gateway.fleet.find("desk1").set_reachable(has_replica)
    gateway.fleet.find("desk1").lost_at = float("inf")
    with testing.capture_logs() as logs:
        sock = socket.create_connection(gateway.server.address)
        sock.sendall(
            b"POST /once/ HTTP/1.1\r\nHost: a.example\r\n"
            b"Papayalink-Request-Id: c7\r\nContent-Length: 0\r\n\r\n"
        )
        while not gateway.server.in_flight:
            gevent.sleep(0.005)
        gevent.sleep(0.05)
        sock.close()
        with gevent.Timeout(10):
            while not _find_ends(logs):
                gevent.sleep(0.01)
    gateway.stop()
    ((event, call, _),) = _find_ends(logs)
    assert (event, call) == ("caller_left", "c7")
