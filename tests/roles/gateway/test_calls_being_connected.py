"""Tests of calls that arrive at once while no connections are open."""

import gevent
import msgspec
import pytest

from papayalink.state import traffic
from papayalink.transport import upstream_channels
from tests.roles.gateway import stubs

_CALLS = 40
_ROUTES = (
    stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT),
    stubs.make_route("stream", traffic.RepeatPolicy.ONCE, stream=True),
)
_PROMPT = (
    b"Papayalink-Model: m",
    b"Papayalink-Token-Usage: 100,10",
    b"Papayalink-Prefix-Hash: own:10",
)
# A round trip to another machine, by which a new connection is delayed.
_ROUND_TRIP_S = 0.02


@pytest.fixture
def distant(monkeypatch):
    """Lets each connection that is taken be a new one to another machine."""
    take = upstream_channels.Channels.take

    def take_later(channels, address, remaining_s):
        gevent.sleep(_ROUND_TRIP_S)
        return take(channels, address, remaining_s)

    monkeypatch.setattr(upstream_channels.Channels, "take", take_later)


# Guards against calls that all go to one replica, since those for which
# connections are being made do not count as load of the replicas chosen.
@pytest.mark.parametrize(
    "path, kind, headers, answer",
    [
        (b"/safe/", "desk", (), stubs.OK),
        (b"/stream/", "models", _PROMPT, stubs.STREAM + stubs.END),
    ],
    ids=["plain", "prompt"],
)
def test_calls_are_spread_while_they_are_connected(
    distant, path, kind, headers, answer
):
    upstreams = [
        stubs.Upstream(f"{kind}{number}", *[[0.3, answer]] * _CALLS)
        for number in range(2)
    ]
    gateway = stubs.Gateway(upstreams, _ROUTES)
    # The other one costs a little more.
    other = gateway.fleet.find(f"{kind}1")
    other.replica = msgspec.structs.replace(other.replica, zone="y")
    try:
        calling = [
            gevent.spawn(gateway.call, path, headers) for _ in range(_CALLS)
        ]
        assert [each.get()[0] for each in calling] == [200] * _CALLS
    finally:
        gateway.stop()
    received = [len(upstream.received) for upstream in upstreams]
    assert max(received) <= 0.6 * _CALLS, received
