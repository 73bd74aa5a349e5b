"""Tests of gateways and members while other members stand still."""

from types import SimpleNamespace
import zlib

import gevent
from gevent import event
import pytest

from papayalink.coordination import weight_history
from papayalink.protocol import messages
from papayalink.roles.authority import group as groups
from papayalink.roles.gateway import parts
from papayalink.roles.gateway import watching
from papayalink.state import traffic
from papayalink.transport import errors

_MEMBERS = tuple(f"m{number}" for number in range(8))


class _Members:
    """Members of which some never answer, not even by a time-out."""

    def __init__(self, still):
        self.still = set(still)
        self.asked = []
        self.number = 3
        self.changed = event.Event()

    def call(self, address, method, message, timeout_s):
        self.asked.append(address)
        if address in self.still:
            event.Event().wait()
        if method == "Join":
            return messages.Acknowledge()
        if message.wait_ms and message.number == self.number:
            self.changed.wait(message.wait_ms / 1000)
        if address in self.still:
            event.Event().wait()
        return messages.WatchReply(
            number=self.number,
            document=zlib.compress(b"%d" % self.number),
            members=_MEMBERS,
            leader="m0",
        )


class _Errors(_Members):
    """Members of which some refuse connections instead."""

    def call(self, address, method, message, timeout_s):
        if address in self.still:
            gevent.sleep(0.01)
            raise errors.NotConnected(address)
        return super().call(address, method, message, timeout_s)


def _translate(content):
    return traffic.TrafficDocument(
        number=int(content), routes=(), services=(), workspaces=()
    )


@pytest.fixture
def watch():
    """Returns: function that starts a gateway's watcher of members."""
    started = []

    def start(members, seeds=_MEMBERS):
        node = SimpleNamespace(
            settings=SimpleNamespace(name="g", seed_peers=seeds),
            rpc_client=members,
        )
        watcher = watching.make_watcher(
            node,
            _translate,
            lambda: None,
            weight_history.make_weight_history(),
        )
        started.append(gevent.spawn(watcher._run))
        return watcher

    yield start
    gevent.killall(started)


def _wait_for_number(watcher, number):
    with gevent.Timeout(20):
        while watcher.number != number:
            gevent.sleep(0.01)


@pytest.mark.parametrize("kind", [_Members, _Errors])
@pytest.mark.parametrize("answering", [1, 4, 7])
def test_change_comes_while_other_members_stand_still(watch, kind, answering):
    """Guards against a change that waits for each silent member in turn."""
    members = kind(())
    watcher = watch(members)
    _wait_for_number(watcher, 3)
    gevent.sleep(0.05)
    watched = members.asked[-1]
    others = [member for member in _MEMBERS if member != watched]
    members.still = {watched, *others[answering:]}
    members.number = 4
    _wait_for_number(watcher, 4)


@pytest.mark.parametrize("kind", [_Members, _Errors])
def test_first_document_comes_while_other_members_stand_still(watch, kind):
    """Guards against a start that asks one silent seed after the other."""
    watcher = watch(kind({"m1", "m2"}), ("m1", "m2", "m3"))
    _wait_for_number(watcher, 3)


def test_leader_is_remembered_while_another_member_stands_still(watch):
    """Guards against exchanges that leave the leader for silent members."""
    members = _Members(())
    watcher = watch(members, ("m5",))
    _wait_for_number(watcher, 3)
    members.still = {f"m{number}" for number in range(1, 8)}
    members.number = 4
    _wait_for_number(watcher, 4)
    assert watcher.authorities()[0] == "m0"


def test_reply_that_was_overtaken_is_not_applied(watch):
    """Guards against loads that end and are taken for open ones again."""
    members = _Members({"m1"})
    watcher = watch(members, ("m1", "m2"))
    _wait_for_number(watcher, 3)
    watcher._answers.put(
        watching._Answer(
            "m1",
            float("-inf"),
            messages.WatchReply(
                number=3, loading=(messages.Loading("r", "m", 2),)
            ),
        )
    )
    members.number = 4
    members.changed.set()
    _wait_for_number(watcher, 4)
    assert watcher.loading == ()


class _Follower(parts.PartsFollower):
    """Exchanges nothing, and records which members it would ask."""

    __slots__ = ("asked", "silent", "members")

    def _exchange(self, address):
        self.asked.append(address)
        return address not in self.silent


def _make_follower(members, silent):
    idle = SimpleNamespace(
        keep_probing=lambda members: None,
        all_members=lambda: (),
        clear=lambda: None,
        add_own_permits=lambda entries: None,
    )
    follower = _Follower(
        SimpleNamespace(),
        lambda: follower.members,
        *[idle] * 2,
        SimpleNamespace(
            by_name=dict, run="", versions=dict, software=None, weights=None
        ),
        *[idle] * 5,
    )
    follower.members = list(members)
    follower.silent = set(silent)
    follower.asked = []
    return follower


@pytest.mark.parametrize(
    ("members", "silent", "expected"),
    [
        ("abc", "", "aa"),
        ("abc", "a", "ab"),
        ("abc", "ab", "abc"),
        # The member that has not failed for longest is tried again.
        ("abc", "abc", "abca"),
    ],
)
def test_exchanges_pass_over_members_that_just_failed(
    members, silent, expected
):
    follower = _make_follower(members, silent)
    task = gevent.spawn(follower._run)
    with gevent.Timeout(20):
        while len(follower.asked) < len(expected):
            gevent.sleep(0.01)
    task.kill()
    assert "".join(follower.asked[: len(expected)]) == expected


def test_exchanges_go_to_a_new_leader_before_other_silent_members():
    """Guards against a new leader that is asked after all silent members."""
    follower = _make_follower("abcdef", "abcde")
    task = gevent.spawn(follower._run)
    with gevent.Timeout(20):
        while "b" not in follower.asked:
            gevent.sleep(0.01)
        follower.members = list("fabcde")
        while "f" not in follower.asked:
            gevent.sleep(0.01)
    task.kill()
    assert follower.asked == ["a", "b", "f"]


def test_member_joins_while_other_members_stand_still():
    """Guards against a join that waits for each silent member in turn."""
    members = _Members(_MEMBERS[:-1])
    upkeep = groups.make_group_upkeep(
        SimpleNamespace(
            rpc_client=members,
            settings=SimpleNamespace(bounds=SimpleNamespace(losses=1)),
        ),
        "m9.2",
        False,
        True,
        SimpleNamespace(
            leader_id=None,
            membership=SimpleNamespace(find=lambda member_id: None, ids=()),
        ),
        SimpleNamespace(
            address_of=lambda member_id: "", others=lambda: list(_MEMBERS)
        ),
        None,
        lambda: None,
    )
    asking = gevent.spawn(upkeep._ask_to_join)
    with gevent.Timeout(20):
        while _MEMBERS[-1] not in members.asked:
            gevent.sleep(0.01)
    asking.kill()
