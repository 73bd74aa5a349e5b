"""Tests of how long members stay that are told to stop."""

import time

import gevent
from gevent import event
import pytest

from papayalink.coordination.raft import membership
from papayalink.protocol import messages
from papayalink.roles.authority import departure
from papayalink.transport import errors as transport_errors
from tests import turns
from tests.roles.authority import members as members_module
from tests.roles.authority import ports

_GRACE_S = 3.0
_SHORT_WAIT_S = 0.5


class _Group:
    """Members of a new group."""

    def __init__(self, folder, hosts):
        member_ports = [ports.choose("127.0.9.1") for _ in range(2)]
        seeds = tuple(range(1, hosts + 1))
        self.members = [
            members_module.Member(
                f"127.0.9.{host}",
                *member_ports,
                folder / str(host),
                None,
                seeds=seeds,
                grace_s=_GRACE_S,
            )
            for host in seeds
        ]
        members_module.wait_until(
            lambda: all(each.process.accepting for each in self.members)
        )


@pytest.fixture
def make_group(tmp_path):
    groups = []

    def make(hosts):
        groups.append(_Group(tmp_path, hosts))
        return groups[-1]

    yield make
    for group in groups:
        for member in group.members:
            member.stop()


def _stop(member):
    """Returns: task of a planned stop, whose value is how long it took.

    A time in which the process of the test stands still does not count.
    """

    def drain():
        with turns.watching() as running:
            member.process.drain()
            return running.run_s

    return gevent.spawn(drain)


def _join(stopping):
    """Returns: value of the task of a stop, once it has ended."""
    with turns.watching() as running:
        while not stopping.ready():
            assert running.run_s < members_module.TIMEOUT_S
            gevent.sleep(0.01)
    return stopping.get()


@pytest.mark.parametrize("hosts", [1, 2, 3])
def test_no_member_stays_longer_than_its_grace_period(make_group, hosts):
    """Guards against members that are killed when all are told to stop."""
    group = make_group(hosts)
    stopping = [_stop(member) for member in group.members]
    for task in stopping:
        assert _join(task) <= _GRACE_S


def test_members_that_are_stopped_at_once_leave_one_after_the_other(
    make_group,
):
    """Guards against two members that wait for each other until the end."""
    group = make_group(3)
    stopping = [_stop(member) for member in group.members[:2]]
    assert _join(stopping[0]) < _GRACE_S / 2
    assert not stopping[1].ready()
    members_module.wait_until(
        lambda: all(each.process.accepting for each in group.members[1:])
    )
    assert not stopping[1].ready()


class _Voters:
    """Stand-in for the group and its RPC client.

    Args:
        presences: reply of each other voter by its id, None without one.
    """

    def __init__(self, presences):
        self.presences = presences
        self.timeouts = []
        self.member_id = "a"
        self.replica = self
        self.membership = membership.make_membership("a", *presences)

    def address_of(self, voter):
        return voter

    def call(self, voter, method, message, timeout_s):
        self.timeouts.append(timeout_s)
        if self.presences[voter] is None:
            raise transport_errors.ConnectionRefused(voter)
        return self.presences[voter]


_LEADERLESS = messages.Presence(False)
_TAKES_PART = messages.Presence(True)
_BEGAN_EARLIER = messages.Presence(True, 5.0)
_BEGAN_LATER = messages.Presence(True, 0.0)


@pytest.mark.parametrize(
    ("stays", "presences"),
    [
        (False, [_TAKES_PART, _TAKES_PART]),
        (False, [_TAKES_PART, _BEGAN_LATER]),
        (True, [_TAKES_PART, _BEGAN_EARLIER]),
        (True, [_TAKES_PART, None]),
        # The leader has just left, and none is elected yet.
        (True, [_LEADERLESS, None]),
        (True, [_LEADERLESS, _LEADERLESS]),
        # The others are off, and may be back at any moment.
        (True, [None, None]),
    ],
)
def test_member_stays_while_the_others_have_no_quorum(stays, presences):
    """Guards against members that leave during an election."""
    voters = _Voters(dict(zip("bc", presences)))
    waiting = departure.make_departure(voters, voters, voters, voters)
    began_at = time.monotonic()
    waiting.wait(_SHORT_WAIT_S, event.Event())
    assert (time.monotonic() - began_at >= _SHORT_WAIT_S) == stays


def test_silent_voters_are_waited_for_until_the_end_only():
    """Guards against members that ask for longer than they may stay."""
    voters = _Voters({"b": None, "c": None})
    waiting = departure.make_departure(voters, voters, voters, voters)
    waiting.wait(_SHORT_WAIT_S / 2, event.Event())
    assert max(voters.timeouts) <= _SHORT_WAIT_S / 2


class _SilentVoters(_Voters):
    """Voters whose connections take longer than the time of a call."""

    returned = False

    def call(self, voter, method, message, timeout_s):
        gevent.sleep(_SHORT_WAIT_S + timeout_s)
        self.returned = True
        raise transport_errors.Timeout(voter)


def test_wait_ends_before_a_question_that_takes_too_long():
    """Guards against time-outs of connecting and of calling that add up."""
    voters = _SilentVoters({"b": None, "c": None})
    waiting = departure.make_departure(voters, voters, voters, voters)
    waiting.wait(_SHORT_WAIT_S / 2, event.Event())
    assert not voters.returned


def test_second_signal_ends_the_wait(make_group):
    group = make_group(3)
    group.members[0].stop()
    stopping = _stop(group.members[1])
    gevent.sleep(0.1)
    group.members[1].process._on_stop()
    group.members[1].process._on_stop()
    assert _join(stopping) < _GRACE_S / 2
