"""Tests of a planned stop while callers keep using their connections."""

import random

import gevent
from gevent import event
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from tests import own_host
from tests import permuted_hub

_LIMITS = traffic.CallerLimits(
    header_bytes=4096,
    body_bytes=100,
    header_timeout_s=5.0,
    idle_timeout_s=5.0,
)
_SEEDS = range(8)
# Callers of one run, their calls before the stop, and their longest pause.
_CALLERS = 40
_PAUSE_S = 0.01
_RUN_S = 0.1
# Longest time between the first caller that hangs up and the stop.
_SWITCHES_S = 0.002


class _Calls:
    """Requests that a handler has begun, and those answered whole.

    Attributes:
        ends: what a caller got in place of a whole answer, by target.
    """

    def __init__(self, run_s):
        self.begun = []
        self.answered = []
        self.ends = {}
        self._run_s = run_s

    def handle(self, request, responder):
        self.begun.append(request.target)
        gevent.sleep(self._run_s)
        responder.respond(200, [], request.target)

    def reject(self, request, responder):
        responder.respond(503, [], request.target)


def _start(calls):
    server = caller_server.make_caller_server(
        (own_host.HOST, 0), calls.handle, calls.reject, lambda: _LIMITS
    )
    server.start()
    return server


def _request(target):
    return b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % target


def _call(sock, target, calls):
    """Returns: whether the connection was answered, and may go on."""
    received = b""
    try:
        sock.sendall(_request(target))
        while not received.endswith(b"\r\n\r\n" + target):
            data = sock.recv(65536)
            if not data:
                break
            received += data
        else:
            if received.startswith(b"HTTP/1.1 200"):
                calls.answered.append(target)
                return True
        calls.ends[target] = received
    except OSError as error:
        calls.ends[target] = received, error
    return False


def _check_answered(calls, targets):
    """Each of the requests, and no other one, was answered once."""
    unanswered = {
        target: calls.ends.get(target, "not sent by a caller of the test")
        for target in set(targets) - set(calls.answered)
    }
    assert not unanswered
    assert sorted(targets) == sorted(calls.answered)


def _call_until_closed(server, name, calls, rng):
    """Call on one connection, with pauses, until the server closes it."""
    with socket.create_connection(server.address, timeout=10) as sock:
        number = 0
        while _call(sock, b"/%d/%d" % (name, number), calls):
            number += 1
            gevent.sleep(rng.random() * _PAUSE_S)


@pytest.mark.parametrize("seed", _SEEDS)
def test_each_request_that_was_begun_is_answered_by_a_stopping_server(seed):
    """Guards against a connection that is closed with a request it took."""
    rng = random.Random(seed)
    calls = _Calls(0.002)

    def play():
        server = _start(calls)
        callers = [
            gevent.spawn(_call_until_closed, server, name, calls, rng)
            for name in range(_CALLERS)
        ]
        while len(calls.answered) <= 3 * _CALLERS:
            gevent.sleep(0.001)
        stopping = gevent.spawn(server.stop, 10.0)
        gevent.joinall([stopping, *callers])
        return stopping

    stopping = permuted_hub.run(seed, play)
    _check_answered(calls, calls.begun)
    assert stopping.get()


@pytest.mark.parametrize("seed", _SEEDS)
def test_callers_that_hang_up_do_not_end_a_stop_with_an_error(seed):
    """Guards against a process that ends with the calls of all others."""
    rng = random.Random(seed)
    calls = _Calls(0.05)

    def call_and_hang_up(server, name, hang_up):
        with socket.create_connection(server.address, timeout=10) as sock:
            _call(sock, b"/%d" % name, calls)
            hang_up.wait()

    def play():
        server = _start(calls)
        hang_up = event.Event()
        callers = [
            gevent.spawn(call_and_hang_up, server, name, hang_up)
            for name in range(_CALLERS)
        ]
        gevent.sleep(_RUN_S)
        callers.append(
            gevent.spawn(call_and_hang_up, server, _CALLERS, hang_up)
        )
        while len(calls.begun) <= _CALLERS:
            gevent.sleep(0.001)
        hang_up.set()
        gevent.sleep(rng.random() * _SWITCHES_S)
        assert server.stop(10.0)
        gevent.joinall(callers, raise_error=True)

    permuted_hub.run(seed, play)
    _check_answered(calls, calls.begun)


@pytest.mark.parametrize("seed", _SEEDS)
def test_requests_that_are_unanswered_at_the_end_are_answered(seed):
    """Guards against a request that is cut when the process ends."""
    rng = random.Random(seed)
    calls = _Calls(0.02)
    rejected = []

    def reject(request, responder):
        rejected.append(request.target)
        responder.respond(200, [], request.target)

    calls.reject = reject

    def play():
        server = _start(calls)
        callers = [
            gevent.spawn(_call_until_closed, server, name, calls, rng)
            for name in range(_CALLERS)
        ]
        while len(calls.answered) <= 3 * _CALLERS:
            gevent.sleep(0.001)
        assert not server.stop(0.0)
        assert server.end_requests(10.0)
        gevent.joinall(callers)

    permuted_hub.run(seed, play)
    assert rejected
    _check_answered(calls, {*calls.begun, *rejected})
