"""The stand-in of the platform tells the lifetimes of a replica apart."""

import math

import gevent
import pytest

from soak import proxy
from soak import records
from soak.platform import standins


@pytest.fixture
def platform(monkeypatch):
    monkeypatch.setattr(standins, "RETURN_S", 0.01)
    started = standins.Platform(
        "127.0.0.1", records.History(records.Executions()), proxy.make_proxy
    )
    yield started
    started.stop()


@pytest.mark.parametrize("keeps_id", [False, True])
def test_replica_that_returns_names_no_limit_of_its_former_lifetime(
    platform, keeps_id
):
    """Guards against calls that count against a limit that has ended."""
    replica = platform.add_replica("i-1", "z", "127.0.0.1")
    limit = replica.limit = records.NamedLimit("i-1", 3.0, 0.0)
    platform.history.limits.append(limit)
    platform.end(replica, keeps_id)
    with gevent.Timeout(10):
        while platform.replicas == [replica]:
            gevent.sleep(0.01)
    assert math.isfinite(limit.until)
    (returned,) = platform.replicas
    assert returned.limit is None
    assert (returned.replica_id == "i-1") is keeps_id
    assert returned.born_ms >= replica.born_ms


def test_every_other_crash_keeps_the_id(platform):
    for number in range(4):
        (replica,) = platform.replicas or [
            platform.add_replica("i-1", "z", "127.0.0.1")
        ]
        before = replica.replica_id
        platform.crash(replica, "cause")
        with gevent.Timeout(10):
            while platform.replicas == [replica]:
                gevent.sleep(0.01)
        kept = platform.replicas[0].replica_id == before
        assert kept is (number % 2 == 1)


def test_replica_that_returned_outlasts_the_removal_of_the_former(platform):
    """Guards against a run that ends when a leaving replica has crashed."""
    former = platform.add_replica("i-1", "z", "127.0.0.1")
    platform.leave(former)
    platform.end(former, keeps_id=True)
    with gevent.Timeout(10):
        while platform.replicas == [former]:
            gevent.sleep(0.01)
    platform.remove(former)
    (returned,) = platform.replicas
    assert returned is not former
    assert returned.replica_id in platform.proxies


def test_time_in_which_a_replica_serves_is_recorded(platform):
    replica = platform.add_replica("i-1", "z", "127.0.0.1", "v2")
    (period,) = platform.history.serving_periods
    assert (period.software, math.isinf(period.until)) == ("v2", True)
    platform.leave(replica)
    left_at = period.until
    platform.remove(replica)
    assert period.until == left_at < math.inf
