"""Tests of calls with little time left that connect to replicas."""

import gevent
import pytest

from papayalink.state import traffic
from papayalink.transport import errors
from papayalink.transport import upstream_channels
from tests.roles.gateway import stubs

_ROUTE = stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT)
# Time to connect to a replica in another zone, and less than that.
_HANDSHAKE_S = 0.1
_BUDGET_MS = 60


@pytest.fixture
def gateway():
    started = stubs.Gateway([stubs.Upstream("desk0")], [_ROUTE])
    yield started
    started.stop()


# Guards against a sound replica that is taken out of use because a call has
# less time left than it takes to connect.
def test_replica_is_not_lost_when_the_time_of_a_call_ends(
    gateway, monkeypatch
):
    connect = upstream_channels.Channels._connect

    def connect_slowly(channels, address, timeout_s):
        gevent.sleep(min(_HANDSHAKE_S, timeout_s))
        if timeout_s < _HANDSHAKE_S:
            raise errors.NotConnected(address)
        return connect(channels, address, timeout_s)

    monkeypatch.setattr(upstream_channels.Channels, "_connect", connect_slowly)
    budget = b"Papayalink-Deadline-Ms: %d" % _BUDGET_MS
    assert gateway.call(b"/safe/", [budget])[0] == 503
    assert gateway.fleet.find("desk0").reachable
    assert gateway.call(b"/safe/")[0] == 200
