"""Tests of calls that may have run while replicas turn calls away."""

import time

import pytest

from papayalink.roles.gateway import replica_wait
from papayalink.state import traffic
from tests.roles.gateway import stubs


@pytest.fixture
def start(monkeypatch):
    """Function that starts a gateway before two upstreams."""
    monkeypatch.setattr(replica_wait, "MAX_TURNED_AWAY_S", 60.0)
    started = []

    def make(timeout_s):
        upstreams = [
            stubs.Upstream("desk1", [stubs.ERROR]),
            stubs.Upstream("desk2"),
        ]
        route = stubs.make_route(
            "safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=timeout_s
        )
        started.append(stubs.Gateway(upstreams, [route]))
        return started[-1]

    yield make
    for gateway in started:
        gateway.stop()


# Guards against a failure of a replica that its caller gets at the end of its
# time only, since the call waits for a replica that can't be used before.
@pytest.mark.parametrize(
    "timeout_s, refuses_for_s, waits", [(8.0, 30.0, False), (60.0, 2.0, True)]
)
def test_call_waits_only_for_what_comes_in_its_time(
    start, timeout_s, refuses_for_s, waits
):
    gateway = start(timeout_s)
    member = gateway.fleet.find("desk2")
    member.note_full(time.monotonic(), refuses_for_s)
    waited = []
    wait = gateway.fleet.changed.wait

    class _Changed:
        def wait(self, seconds):
            waited.append(seconds)
            return wait(seconds)

    gateway.fleet.changed = _Changed()
    status, _, body = gateway.call(b"/safe/", timeout_s=60)
    assert (status, body) == ((200, b"ok") if waits else (500, b"bad"))
    assert bool(waited) == waits
