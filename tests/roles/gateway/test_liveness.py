"""Tests of replicas that stop answering while connections stay open.

A VM loses power while calls wait for it; new connections to it are neither
accepted nor refused.
"""

import gevent
import msgspec
import pytest

from papayalink import metrics as metrics_module
from papayalink.coordination import change_signal
from papayalink.coordination import fleet_member
from papayalink.roles.gateway import liveness as livenesses
from papayalink.state import replicas
from papayalink.transport import errors


class _Channels:
    """Connection probes that succeed or fail."""

    def __init__(self):
        self.reachable = False
        self.probes = 0
        self.closed = []

    def probe(self, address):
        self.probes += 1
        gevent.sleep(0.01)
        if not self.reachable:
            raise errors.NotConnected(address)

    def close_idle(self, address):
        self.closed.append(address)


@pytest.fixture
def components():
    member = fleet_member.Member(
        replicas.Replica(
            replica_id="r1",
            service="s",
            address="10.0.0.1:80",
            zone="z",
            slots=1,
            condition=replicas.Condition.READY,
        )
    )
    channels = _Channels()
    metrics = metrics_module.make_metrics()
    changed = change_signal.make_change_signal()
    liveness = livenesses.make_liveness(channels, metrics, changed)
    return member, channels, liveness


def test_waiting_calls_share_one_check(components):
    member, channels, liveness = components
    checks = [gevent.spawn(liveness.is_reachable, member) for _ in range(20)]
    gevent.joinall(checks, timeout=5)
    assert not any(check.value for check in checks)
    assert channels.probes == livenesses.CONNECT_ATTEMPTS
    assert not member.usable(1e9)
    assert channels.closed == ["10.0.0.1:80"]


def test_replica_is_not_lost_after_one_lost_packet(components):
    member, channels, liveness = components
    check = gevent.spawn(liveness.is_reachable, member)
    gevent.sleep(0.005)
    channels.reachable = True
    assert check.get(timeout=5)
    assert member.usable(1e9)


def test_replica_that_answered_recently_is_not_checked(components):
    member, channels, liveness = components
    channels.reachable = True
    assert liveness.is_reachable(member)
    assert liveness.is_reachable(member)
    assert channels.probes == 1


def test_replica_is_usable_again_once_it_is_reached(components, monkeypatch):
    monkeypatch.setattr(livenesses, "PROBE_PERIOD_S", 0.02)
    member, channels, liveness = components
    liveness.note_not_reached(member)
    liveness.note_not_reached(member)
    gevent.sleep(0.1)
    assert not member.usable(1e9)
    channels.reachable = True
    with gevent.Timeout(5):
        while not member.usable(1e9):
            gevent.sleep(0.01)


def test_replica_lost_to_several_entries_gets_no_calls(
    components, monkeypatch
):
    """Guards against each of many entries finding out by calls of its own."""
    monkeypatch.setattr(livenesses, "PROBE_PERIOD_S", 0.02)
    member, channels, liveness = components
    liveness.note_lost_to_others(member)
    assert not member.usable(1e9)
    channels.reachable = True
    with gevent.Timeout(5):
        while not member.usable(1e9):
            gevent.sleep(0.01)
    # What this entry has found itself goes before what others report.
    liveness.note_lost_to_others(member)
    gevent.sleep(0.05)
    assert member.usable(1e9)
    channels.reachable = False
    member.heard_at = 0.0
    liveness.note_lost_to_others(member)
    with gevent.Timeout(5):
        while member.usable(1e9):
            gevent.sleep(0.01)


def test_replica_that_returns_under_its_id_is_probed(components, monkeypatch):
    """Guards against a new replica that is never used as its id was lost."""
    monkeypatch.setattr(livenesses, "PROBE_PERIOD_S", 0.02)
    former, channels, liveness = components
    liveness.note_not_reached(former)
    # The list has dropped it and names it again.
    member = fleet_member.Member(former.replica)
    liveness.note_not_reached(member)
    channels.reachable = True
    with gevent.Timeout(2):
        while not member.usable(1e9):
            gevent.sleep(0.01)


def test_check_of_a_replica_says_nothing_of_a_later_one(components):
    """Guards against a replica that is lost by a check of its former run."""
    former, channels, liveness = components
    check = gevent.spawn(liveness.is_reachable, former)
    gevent.sleep(0.005)
    channels.reachable = True
    member = fleet_member.Member(former.replica)
    assert liveness.is_reachable(member)
    assert member.reached_at > 0
    assert check.get(timeout=5)


def test_replica_is_probed_while_it_is_listed(start_site, monkeypatch):
    """Guards against a replica that is never used after a long cut."""
    monkeypatch.setattr(livenesses, "PROBE_PERIOD_S", 0.02)
    monkeypatch.setattr(livenesses, "PROBE_DURATION_S", 0.1)
    site = start_site(size=2)
    entry = site.entries[0]
    member = entry.fleet.find(site.replicas[0].name)
    address = member.replica.address
    # Nothing listens there.
    member.replica = msgspec.structs.replace(
        member.replica, address="127.0.0.1:1"
    )
    entry.liveness.note_not_reached(member)
    exchanges = gevent.spawn(entry.exchange_all)
    gevent.sleep(0.4)
    assert not member.reachable
    member.replica = msgspec.structs.replace(member.replica, address=address)
    try:
        with gevent.Timeout(3):
            while not member.reachable:
                gevent.sleep(0.01)
    finally:
        exchanges.kill()


# Guards against calls that leave a sound replica because other entries can't
# reach it.
def test_replica_lost_to_others_is_checked_before_calls_leave_it(components):
    member, channels, liveness = components
    channels.reachable = True
    liveness.note_lost_to_others(member)
    assert not member.reachable
    assert liveness.is_reachable(member)


# Guards against checks of a replica that this entry knows to be lost.
def test_lost_replica_is_not_checked_beside_its_probes(components):
    member, channels, liveness = components
    liveness.note_lost_to_others(member)
    assert not liveness.is_reachable(member)
    assert channels.probes == livenesses.CONNECT_ATTEMPTS
    assert not liveness.is_reachable(member)
    assert channels.probes == livenesses.CONNECT_ATTEMPTS
