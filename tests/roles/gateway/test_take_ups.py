"""Tests of the version at which a stream goes on."""

import time
from types import SimpleNamespace

import pytest

from papayalink import metrics as metrics_module
from papayalink.coordination import software_history
from papayalink.coordination import table_exchange
from papayalink.protocol import calls
from papayalink.protocol import messages
from papayalink.roles.gateway import take_ups
from papayalink.state import traffic
from papayalink.transport import errors
from tests.roles.gateway import stubs

_RESUMED = stubs.make_route("r", traffic.RepeatPolicy.RESUMABLE, stream=True)
_ONCE = stubs.make_route("o", traffic.RepeatPolicy.ONCE, stream=True)
_V1 = take_ups.OnlyVersion("models", "v1")


class _Members:
    """Members that may know a stream; "down" do not answer.

    Attributes:
        software: what they know of the versions of services.
    """

    def __init__(self, **known):
        self.known = known
        self.software = software_history.make_software_history()
        self.asked = []

    def call(self, address, method, message, timeout_s):
        self.asked.append(address)
        if self.known[address] == "down":
            raise errors.NotConnected(address)
        tables = table_exchange.make_table_set()
        now = time.monotonic()
        if self.known[address]:
            tables.origins.note(
                message.stream, "models", self.known[address], now
            )
        return messages.OriginReply(
            tables.origins.encode_one(message.stream, now),
            self.software.encode(now),
            int(1000 * min(1e6, self.software.list_age_s(now))),
        )


def _find(members, tables, route=_RESUMED, last_event_id="3", resumes="c1"):
    finder = take_ups.make_take_ups(
        SimpleNamespace(rpc_client=members),
        lambda: list(members.known),
        tables,
        metrics_module.make_metrics(),
    )
    call = calls.Call(
        call_id="c2",
        method=b"POST",
        target=b"/",
        host="a.example",
        path="/",
        last_event_id=last_event_id,
        resumes=resumes,
    )
    return finder.find_version(call, route)


@pytest.mark.parametrize(
    ("known", "version", "asked"),
    [
        # What the leader and the other members know.
        ({"a": "v1", "b": ""}, _V1, ["a"]),
        ({"a": "", "b": "v1", "c": ""}, _V1, ["a", "b", "c"]),
        ({"a": "down", "b": "v1"}, _V1, ["a", "b"]),
        ({"a": "", "b": ""}, take_ups.UnknownVersion(), ["a", "b"]),
        ({"a": "down"}, take_ups.UnknownVersion(), ["a"]),
        ({}, take_ups.UnknownVersion(), []),
    ],
)
def test_members_are_asked_until_one_knows(known, version, asked):
    members = _Members(**known)
    assert _find(members, table_exchange.make_table_set()) == version
    assert sorted(members.asked) == asked


def test_own_knowledge_and_a_single_version_need_no_question():
    members = _Members(a="v2")
    tables = table_exchange.make_table_set()
    tables.origins.note("c1", "models", "v1", time.monotonic())
    assert _find(members, tables) == _V1
    tables = table_exchange.make_table_set()
    tables.software.note_first_start(time.monotonic())
    tables.software.note({"models": {"v1"}}, time.monotonic())
    assert _find(members, tables, resumes="") == _V1
    assert not members.asked


@pytest.mark.parametrize(
    ("age_s", "member_age_s", "version", "asked"),
    [
        (0.5, 0.5, _V1, []),
        # An entry that was cut off or stood still, and one of a member that
        # was as well.
        (4.0, 0.5, _V1, ["a"]),
        (4.0, 4.0, take_ups.UnknownVersion(), ["a", "b"]),
        (4.0, None, take_ups.UnknownVersion(), ["a", "b"]),
    ],
)
def test_single_version_is_believed_by_a_list_read_lately(
    age_s, member_age_s, version, asked
):
    """Guards against a record of versions that is old and counts as new."""
    members = _Members(a="", b="")
    tables = table_exchange.make_table_set()
    now = time.monotonic()
    for software, read_s in (
        (tables.software, age_s),
        (members.software, member_age_s),
    ):
        if read_s is not None:
            software.note_first_start(now - read_s)
            software.note({"models": {"v1"}}, now, read_s)
    assert _find(members, tables) == version
    assert sorted(members.asked) == asked


@pytest.mark.parametrize(
    ("route", "fields"),
    [(_RESUMED, {"last_event_id": ""}), (_ONCE, {})],
)
def test_new_streams_may_begin_at_any_version(route, fields):
    members = _Members(a="v1")
    tables = table_exchange.make_table_set()
    found = _find(members, tables, route=route, **fields)
    assert found == take_ups.AnyVersion()
    assert not members.asked


class _SilentMembers(_Members):
    """Members of which each answers from the third question on."""

    def call(self, address, method, message, timeout_s):
        if self.asked.count(address) < 2:
            self.asked.append(address)
            raise errors.Timeout(address)
        return super().call(address, method, message, timeout_s)


# Guards against streams that can't be taken up, with seconds left, because
# members are silent for a moment.
@pytest.mark.parametrize(
    "known", [{"a": "v1"}, {"a": "v1", "b": ""}, {"a": "", "b": "v1"}]
)
def test_silent_members_are_asked_again(known):
    members = _SilentMembers(**known)
    assert _find(members, table_exchange.make_table_set()) == _V1


# Guards against streams that wait for one member although others have said
# that they do not know them.
def test_one_silent_member_is_not_waited_for():
    members = _SilentMembers(a="v1", b="")
    members.asked = ["b", "b"]
    version = _find(members, table_exchange.make_table_set())
    assert version == take_ups.UnknownVersion()
    assert members.asked == ["b", "b", "a", "b"]
