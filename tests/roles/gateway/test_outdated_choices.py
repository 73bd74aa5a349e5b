"""Tests of replicas that become unusable while a call connects to them."""

import time

import gevent
import msgspec
import pytest

from papayalink.coordination import crash_suspects
from papayalink.protocol import messages
from papayalink.state import replicas
from papayalink.state import traffic
from papayalink.transport import upstream_channels
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE, max_attempts=1),
    stubs.make_route("brief", traffic.RepeatPolicy.ONCE, timeout_s=0.2),
    stubs.make_route("stream", traffic.RepeatPolicy.ONCE, stream=True),
    stubs.make_route(
        "resumed", traffic.RepeatPolicy.RESUMABLE, stream=True, max_attempts=2
    ),
)
_PROMPT = (b"Papayalink-Model: m", b"Papayalink-Token-Usage: 100,10")


@pytest.fixture
def gateway():
    upstreams = [
        stubs.Upstream(f"{service}{index}")
        for service in ("desk", "models")
        for index in range(2)
    ]
    for upstream in upstreams[2:]:
        upstream.script = [[stubs.STREAM, stubs.event(1), stubs.END]] * 3
    started = stubs.Gateway(upstreams, _ROUTES)
    yield started
    started.stop()


class _Connecting:
    """Makes something happen while a call connects to a replica.

    Args:
        count: number of the connection at which it happens.

    Attributes:
        address: of the replica that was connected to then, "" before.
    """

    def __init__(self, monkeypatch, gateway, happen, count=1):
        self.address = ""
        taken = []
        take = upstream_channels.Channels.take

        def take_and_change(channels, address, remaining_s):
            channel = take(channels, address, remaining_s)
            taken.append(address)
            if len(taken) == count:
                self.address = address
                happen(gateway, self._find_member(gateway))
            return channel

        monkeypatch.setattr(
            upstream_channels.Channels, "take", take_and_change
        )

    def _find_member(self, gateway):
        return next(
            member
            for member in gateway.fleet.all_members()
            if member.replica.address == self.address
        )

    def chosen(self, gateway):
        return next(
            upstream
            for upstream in gateway.upstreams
            if upstream.address == self.address
        )


def _leave(gateway, member):
    gateway.tables.leaving.note(member.replica.replica_id, time.monotonic())
    gateway.departures.apply()


def _lose(gateway, member):
    gateway.liveness.note_not_reached(member)


def _pause(gateway, member):
    member.note_full(time.monotonic(), 5.0)


def _load(gateway, member):
    loading = messages.Loading(member.replica.replica_id, "m", 2)
    gateway.fleet.set_loading([loading])


def _list(gateway, member, **changes):
    """Apply a list in which a replica differs."""
    gateway.fleet.update(
        [
            (
                msgspec.structs.replace(each.replica, **changes)
                if each is member
                else each.replica
            )
            for each in list(gateway.fleet.all_members())
        ]
    )


def _drain(gateway, member):
    _list(gateway, member, condition=replicas.Condition.LEAVING)


def _remove(gateway, member):
    gateway.fleet.update(
        [
            each.replica
            for each in list(gateway.fleet.all_members())
            if each is not member
        ]
    )


def _name_weights(gateway, member):
    """Name weights long ago that only the other replicas have."""
    for each in gateway.fleet.all_members():
        if each is not member and each.weights:
            each.weights["m"] = 2
    gateway.tables.weights.observe({}, time.monotonic() - 100.0)
    gateway.tables.weights.observe({"m": 2}, time.monotonic())


def _limit(gateway, member):
    now = time.monotonic()
    gateway.limits.limits.note(member.replica.replica_id, 1.0, now, now)
    gateway.limits.apply()


_CHANGES = (_leave, _lose, _pause, _load, _drain, _remove, _limit)


@pytest.mark.parametrize(
    ("route", "happen"),
    [
        *(("once", happen) for happen in _CHANGES),
        *(("stream", happen) for happen in (*_CHANGES, _name_weights)),
    ],
)
def test_call_is_not_sent_to_a_replica_that_became_unusable(
    monkeypatch, gateway, route, happen
):
    """Guards against a call that is sent on a choice that is outdated.

    It goes to the other replica, and nothing counts as an attempt.
    """
    connecting = _Connecting(monkeypatch, gateway, happen)
    headers = _PROMPT if route == "stream" else ()
    status, _, body = gateway.call(f"/{route}/".encode(), headers)
    assert (status, body is None) == (200, False)
    assert connecting.chosen(gateway).received == []


def test_permit_that_has_gone_meanwhile_is_not_used(monkeypatch, gateway):
    """Guards against more calls than the limit that a replica names.

    The limit is named, and the only permit used, while the call connects.
    """

    def use_permit(gateway, member):
        _limit(gateway, member)
        member.add_permits(1, time.monotonic())
        assert member.take_permit(time.monotonic()) is not None

    connecting = _Connecting(monkeypatch, gateway, use_permit)
    assert gateway.call(b"/once/")[0] == 200
    assert connecting.chosen(gateway).received == []


def test_permit_of_a_call_that_is_not_sent_is_used_by_another(
    monkeypatch, gateway
):
    """Guards against permits that are lost with outdated choices."""
    for member in gateway.fleet.members("desk"):
        _limit(gateway, member)
        member.add_permits(1, time.monotonic())
    connecting = _Connecting(monkeypatch, gateway, _pause)
    assert gateway.call(b"/once/")[0] == 200
    assert connecting.chosen(gateway).received == []
    now = time.monotonic()
    left = {
        member.replica.address: member.permits(now)
        for member in gateway.fleet.members("desk")
    }
    assert left.pop(connecting.address) == 1
    assert list(left.values()) == [0]


def test_replica_that_moved_is_called_at_its_new_address(monkeypatch, gateway):
    """Guards against a call at an address that has been given away."""
    moved_to = gateway.upstreams[2]
    moved_to.script = []

    def move(gateway, member):
        _list(gateway, member, address=moved_to.address)

    connecting = _Connecting(monkeypatch, gateway, move)
    assert gateway.call(b"/once/")[0] == 200
    assert connecting.chosen(gateway).received == []


def test_connection_is_not_kept_for_the_address_of_another_replica(gateway):
    """Guards against calls at the old address of a replica that has moved.

    Its list entry changes while its answer arrives.
    """
    answer = stubs.OK.replace(
        stubs.STAMP, stubs.STAMP + b"Papayalink-Request-Id: c1\r\n"
    )
    old, moved_to = gateway.upstreams[:2]
    _remove(gateway, gateway.fleet.find("desk1"))
    old.script = [[0.1, answer], [answer]]
    calling = gevent.spawn(gateway.call, b"/once/")
    while not old.received:
        gevent.sleep(0.001)
    member = gateway.fleet.find("desk0")
    _list(gateway, member, address=moved_to.address)
    assert calling.get()[0] == 200
    assert gateway.call(b"/once/")[0] == 200
    assert len(old.received) == 1
    assert len(moved_to.received) == 1


def test_stream_does_not_go_on_at_a_replica_that_became_another_version(
    monkeypatch, gateway
):
    """Guards against streams that are joined from two versions."""

    def change_version(gateway, member):
        _list(gateway, member, software="v2")

    begun = [stubs.STREAM, stubs.event(1), "reset"]
    for upstream in gateway.upstreams[2:]:
        upstream.script = [begun]
    connecting = _Connecting(monkeypatch, gateway, change_version, 2)
    status, _, (body, whole) = gateway.call(
        b"/resumed/", _PROMPT, partial=True
    )
    assert (status, body, whole) == (200, b"id: 1\ndata: p1\n\n", False)
    assert connecting.chosen(gateway).received == []


@pytest.fixture
def request_keys(monkeypatch):
    """Keys of the requests that were looked up among the suspects."""
    keys = []
    find = crash_suspects.CrashSuspects.find_blocked

    def find_and_note(suspects, parts, repeated=False, request=""):
        keys.append(request)
        return find(suspects, parts, repeated, request)

    monkeypatch.setattr(
        crash_suspects.CrashSuspects, "find_blocked", find_and_note
    )
    return keys


def _suspect(gateway, key):
    # At one moment, a common cause would explain them.
    for age_s in (9.0, 6.0, 3.0, 0.0):
        at = time.monotonic() - age_s
        gateway.crashes.suspects.note_crash(f"gone{age_s}", (), False, at, key)


def _suspect_another(gateway):
    now = time.monotonic()
    gateway.crashes.suspects.note_crash(
        f"gone{now}", (), False, now, f"request {now}"
    )


def test_call_that_became_suspect_is_refused(
    monkeypatch, gateway, request_keys
):
    """Guards against one more replica that a call ends."""
    # Requests are looked up only once some request is suspected.
    _suspect_another(gateway)
    connecting = _Connecting(
        monkeypatch,
        gateway,
        lambda gateway, member: _suspect(gateway, request_keys[0]),
    )
    assert gateway.call(b"/once/")[0] == 503
    assert request_keys[0]
    assert connecting.chosen(gateway).received == []


@pytest.mark.parametrize("paused", [False, True])
def test_trial_of_a_blocked_request_survives_a_change_meanwhile(
    monkeypatch, gateway, request_keys, paused
):
    """Guards against a request that stays blocked as its trial was lost."""
    _suspect_another(gateway)

    def change(gateway, member):
        if not gateway.crashes.suspects.blocked:
            _suspect(gateway, request_keys[0])
            return
        _suspect_another(gateway)
        if paused:
            _pause(gateway, member)

    _Connecting(monkeypatch, gateway, change)
    assert gateway.call(b"/once/")[0] == 503
    gateway.crashes.permit_trials([request_keys[0]])
    _Connecting(monkeypatch, gateway, change)
    assert gateway.call(b"/once/")[0] == 200


def test_call_whose_deadline_passed_meanwhile_is_not_sent(
    monkeypatch, gateway
):
    """Guards against work for a caller that can have no answer."""

    def wait(gateway, member):
        gevent.sleep(0.25)

    connecting = _Connecting(monkeypatch, gateway, wait)
    assert gateway.call(b"/brief/")[0] == 503
    assert connecting.chosen(gateway).received == []


def test_connection_that_was_not_used_is_kept(monkeypatch, gateway):
    def pause(gateway, member):
        member.note_full(time.monotonic(), 0.1)

    connecting = _Connecting(monkeypatch, gateway, pause)
    assert gateway.call(b"/once/")[0] == 200
    chosen = connecting.chosen(gateway)
    assert (len(chosen.received), chosen.connections) == (0, 1)
    gevent.sleep(0.15)
    for member in gateway.fleet.members("desk"):
        if member.replica.address != chosen.address:
            member.note_full(time.monotonic(), 5.0)
    assert gateway.call(b"/once/")[0] == 200
    assert (len(chosen.received), chosen.connections) == (1, 1)
