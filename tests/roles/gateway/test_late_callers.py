"""Tests of callers that keep coming while a gateway stops."""

import time

import gevent
from gevent import socket
import pytest

from papayalink.coordination import run_times
from papayalink.roles import stop_plan
from papayalink.roles.gateway import process as processes
from papayalink.roles.gateway import stopping as stoppings
from papayalink.state import traffic
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

# Times of a stop as short as a test can wait for, with much time behind the
# last call that is taken.
_GRACE_S = 6.0
_NOTICE_S = 0.2
_LAST_ANSWERS_S = 0.1
_RESERVE_S = 4.5
_QUIET_S = 0.4
_PERIOD_S = 0.02
_KEPT = 20
_ROUTE = stubs.make_route(
    "safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=10.0, objective_s=5.0
)
_REQUEST = (
    b"POST /safe/x HTTP/1.1\r\nHost: a.example\r\n"
    b"Papayalink-Request-Id: c1\r\nContent-Length: 0\r\n\r\n"
)


@pytest.fixture
def gateway(monkeypatch):
    monkeypatch.setattr(stop_plan, "BALANCER_NOTICE_S", _NOTICE_S)
    monkeypatch.setattr(stop_plan, "LAST_ANSWERS_S", _LAST_ANSWERS_S)
    monkeypatch.setattr(stop_plan, "RESERVE_S", _RESERVE_S)
    monkeypatch.setattr(stop_plan, "RESERVE_SHARE", 1.0)
    monkeypatch.setattr(processes, "QUIET_S", _QUIET_S)
    upstream = stubs.Upstream("desk1")
    started = stopped.Gateway(_GRACE_S, [upstream], [_ROUTE])
    yield started
    started.end()


def _read_status(sock):
    """Returns: the status of the answer, None without one."""
    received = b""
    while chunk := sock.recv(65536):
        received += chunk
        if received.endswith(b"ok"):
            break
    return int(received.split()[1]) if received else None


def test_callers_that_keep_coming_are_served_until_the_reserve(gateway):
    """Guards against callers that a stopping entry turns away too soon."""
    assert gateway.call(b"/safe/x")[0] == 200
    began_at = time.monotonic()
    stopping = gateway.begin_stop()
    served_until = began_at
    statuses = set()
    while True:
        try:
            statuses.add(gateway.call(b"/safe/x")[0])
        except ConnectionRefusedError:
            break
        served_until = time.monotonic()
        gevent.sleep(_PERIOD_S)
    stopping.get()
    assert statuses == {200}
    plan = stop_plan.make_stop_plan(_GRACE_S)
    assert served_until - began_at > plan.take_s - _QUIET_S


def test_kept_connections_in_use_end_by_an_announced_close(gateway):
    """Guards against calls that cross the close of a connection in use."""
    socks = [
        socket.create_connection(gateway.server.address, 5)
        for _ in range(_KEPT)
    ]
    for sock in socks:
        sock.sendall(_REQUEST)
        assert _read_status(sock) == 200
    stopping = gateway.begin_stop()
    # Each is used once more, one after the other, before they are closed.
    for sock in socks:
        gevent.sleep((_NOTICE_S + _LAST_ANSWERS_S) / 2 / _KEPT)
        sock.sendall(_REQUEST)
        assert _read_status(sock) == 200
        assert not sock.recv(1)
        sock.close()
    stopping.get()


def test_stop_of_an_entry_without_callers_is_not_longer(gateway):
    """Guards against restarts that take the whole grace period."""
    began_at = time.monotonic()
    gateway.begin_stop().get()
    assert (
        time.monotonic() - began_at < stop_plan.make_stop_plan(_GRACE_S).take_s
    )


@pytest.mark.parametrize(
    ("repeat", "now", "allowed_s", "begins"),
    [
        # Recent calls took 1 s, and one of them 2 s.
        (traffic.RepeatPolicy.RESUMABLE, 4.0, 60.0, True),
        (traffic.RepeatPolicy.RESUMABLE, 6.4, 60.0, True),
        (traffic.RepeatPolicy.RESUMABLE, 6.6, 60.0, False),
        (traffic.RepeatPolicy.ONCE, 5.4, 60.0, True),
        (traffic.RepeatPolicy.ONCE, 5.6, 60.0, False),
    ],
)
def test_call_before_the_last_answers_has_the_whole_time(
    repeat, now, allowed_s, begins, monkeypatch
):
    """Guards against refusals of calls that the balancer still sends."""
    assert _may_end(repeat, now, allowed_s, 7.0, monkeypatch) is begins


@pytest.mark.parametrize(
    ("repeat", "now", "allowed_s", "begins"),
    [
        (traffic.RepeatPolicy.RESUMABLE, 3.4, 60.0, True),
        (traffic.RepeatPolicy.RESUMABLE, 3.6, 60.0, False),
        (traffic.RepeatPolicy.ONCE, 3.4, 60.0, True),
        (traffic.RepeatPolicy.ONCE, 3.6, 60.0, False),
        # Ended by its deadline, not by the stop.
        (traffic.RepeatPolicy.ONCE, 7.0, 0.4, True),
    ],
)
def test_late_call_ends_even_if_its_replica_falls_silent(
    repeat, now, allowed_s, begins, monkeypatch
):
    """Guards against late calls that are cut by the end of the stop."""
    assert _may_end(repeat, now, allowed_s, 3.0, monkeypatch) is begins


def _may_end(repeat, now, allowed_s, late_from, monkeypatch):
    """Returns: whether a call is begun, of a stop from 0 to 7.5."""
    times = run_times.make_run_times()
    for took_s in (1.0, 2.0, 1.0):
        times.note("r", run_times.Run(took_s))
    stopping = stoppings.make_stopping(times)
    stopping.begin(7.5, late_from, 2.0)
    monkeypatch.setattr(time, "monotonic", lambda: now)
    route = stubs.make_route("r", repeat)
    return stopping.may_end(route, 0, 0.0, allowed_s)
