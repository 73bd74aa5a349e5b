"""Tests of the waits of a planned stop, for any grace period."""

import time

import gevent
import pytest

from tests.roles.gateway import stopped

# A balancer that checks once a second takes a node out within this time.
_TWO_MISSES_S = 2.0


class _Server:
    """Has calls that don't end; notes when each step of the stop begins."""

    in_flight = 1
    connections = 1

    def __init__(self):
        self.now = 0.0
        self.begun_at = {}

    def pass_time(self, seconds):
        self.now += seconds

    def close_after_responses(self):
        self.begun_at["announce"] = self.now

    def stop(self, timeout_s):
        self.begun_at["stop"] = self.now
        self.pass_time(timeout_s)
        return False

    def end_requests(self, timeout_s):
        self.begun_at["end"] = self.now
        self.pass_time(timeout_s)
        return False

    def cut_responses(self, timeout_s):
        self.begun_at["cut"] = self.now
        self.pass_time(timeout_s)
        return False


def _drain(grace_s, monkeypatch):
    """Returns: seconds after SIGTERM at which each step began."""
    gateway = stopped.Gateway(grace_s, [], ())
    gateway.end()
    server = gateway.process._server = _Server()
    monkeypatch.setattr(gevent, "sleep", server.pass_time)
    monkeypatch.setattr(time, "monotonic", lambda: server.now)
    gateway.process.drain()
    server.begun_at["exit"] = server.now
    return server.begun_at


@pytest.mark.parametrize("grace_s", [0.0, 0.5, 1.0, 2.0, 3.0, 4.0, 8.0, 60.0])
def test_waits_fit_in_the_grace_period(grace_s, monkeypatch):
    """Guards against calls that are cut by the kill, without an answer."""
    begun_at = _drain(grace_s, monkeypatch)
    assert begun_at["exit"] <= grace_s
    if grace_s:
        # Each step has a part of the time, and no replica's run is ended
        # before the last sixth.
        assert 0 <= begun_at["announce"] < begun_at["stop"]
        assert begun_at["stop"] < begun_at["end"]
        assert grace_s * 5 / 6 <= begun_at["end"] < begun_at["cut"]
        assert begun_at["cut"] < begun_at["exit"]


@pytest.mark.parametrize("grace_s", [4.0, 8.0, 60.0])
def test_balancer_is_told_in_time_where_the_grace_allows(grace_s, monkeypatch):
    """Guards against a gateway that is gone while the balancer sends calls."""
    begun_at = _drain(grace_s, monkeypatch)
    assert begun_at["stop"] >= _TWO_MISSES_S


@pytest.mark.parametrize("grace_s", [2.0, 4.0, 8.0, 60.0])
def test_callers_learn_long_before_their_connections_close(
    grace_s, monkeypatch
):
    """Guards against calls that cross the close of a connection in use."""
    begun_at = _drain(grace_s, monkeypatch)
    announced_s = begun_at["stop"] - begun_at["announce"]
    assert announced_s >= min(_TWO_MISSES_S, 0.5 * grace_s)
