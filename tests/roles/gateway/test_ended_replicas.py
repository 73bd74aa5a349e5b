"""Tests of calls at replicas that the list shows to have ended."""

import gevent
import msgspec
import pytest

from papayalink.state import replicas
from papayalink.state import traffic
from tests.roles.gateway import standing_still
from tests.roles.gateway import stubs

_ROUTE = stubs.make_route("once", traffic.RepeatPolicy.ONCE, timeout_s=240.0)
_LEAVES = replicas.Condition.LEAVING


@pytest.fixture
def gateway():
    upstream = standing_still.Upstream("desk0", [0.3, stubs.OK])
    started = stubs.Gateway([upstream], [_ROUTE])
    replica = started.fleet.find("desk0").replica
    started.fleet.update([msgspec.structs.replace(replica, born_ms=1)])
    yield started
    upstream.go_on()
    started.stop()


def _begin_call(gateway):
    """Returns: a call at a replica that has fallen silent."""
    calling = gevent.spawn(gateway.call, b"/once/", timeout_s=30)
    gevent.sleep(0.1)
    assert len(gateway.upstreams[0].received) == 1
    gateway.upstreams[0].stand_still()
    return calling


# Guards against calls that wait until their deadline for a replica that has
# started again under its id.
def test_calls_end_with_a_replica_that_has_started_again(gateway):
    calling = _begin_call(gateway)
    replica = gateway.fleet.find("desk0").replica
    gateway.fleet.update([msgspec.structs.replace(replica, born_ms=2)])
    assert calling.get()[0] == 502


def _note_leaving(gateway):
    replica = gateway.fleet.find("desk0").replica
    gateway.fleet.update([msgspec.structs.replace(replica, condition=_LEAVES)])


def _note_nothing(gateway):
    pass


# Guards against answers that are given up since their replica leaves, or since
# the list lacks it, which may not have shown that it leaves.
@pytest.mark.parametrize("before", [_note_leaving, _note_nothing])
@pytest.mark.parametrize("takes_connections", [False, True])
def test_calls_stay_at_a_replica_that_leaves_the_list(
    gateway, before, takes_connections
):
    if takes_connections:
        gateway.upstreams[0].script = [[1.0, stubs.OK]]
        calling = gevent.spawn(gateway.call, b"/once/", timeout_s=30)
        gevent.sleep(0.1)
    else:
        calling = _begin_call(gateway)
    before(gateway)
    gateway.fleet.update([])
    gevent.sleep(1.5)
    gateway.upstreams[0].go_on()
    assert calling.get()[0] == 200
