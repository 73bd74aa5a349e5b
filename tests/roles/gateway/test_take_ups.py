"""Tests of the version at which a stream goes on."""

import time
from types import SimpleNamespace

import gevent
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
    """Members that may know a stream; "down" refuse connections.

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
            raise errors.ConnectionRefused(address)
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


def _make_finder(members, tables):
    return take_ups.make_take_ups(
        SimpleNamespace(rpc_client=members),
        lambda: list(members.known),
        tables,
        metrics_module.make_metrics(),
    )


def _make_call(last_event_id="3", resumes="c1"):
    return calls.Call(
        call_id="c2",
        method=b"POST",
        target=b"/",
        host="a.example",
        path="/",
        last_event_id=last_event_id,
        resumes=resumes,
    )


def _find(members, tables, route=_RESUMED, last_event_id="3", resumes="c1"):
    finder = _make_finder(members, tables)
    return finder.find_version(_make_call(last_event_id, resumes), route)


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
    """Members that answer from the third question on.

    Attributes:
        silent: those that do; the others answer each question.
        error: what becomes of the other questions.
    """

    def __init__(self, silent, error=errors.Timeout, **known):
        super().__init__(**known)
        self.silent = silent
        self.error = error

    def call(self, address, method, message, timeout_s):
        if address in self.silent and self.asked.count(address) < 2:
            self.asked.append(address)
            raise self.error(address)
        return super().call(address, method, message, timeout_s)


# A connection of a silent member is given up by the transport, and a new one
# may not be taken.
_SILENCES = [errors.Timeout, errors.NotConnected, errors.ConnectionLost]


@pytest.fixture
def clock(monkeypatch):
    """Replaces the clock by one that only waits move.

    Returns: function that moves it.
    """
    now = time.monotonic()

    def sleep(seconds):
        nonlocal now
        now += seconds

    monkeypatch.setattr(
        take_ups, "time", SimpleNamespace(monotonic=lambda: now)
    )
    monkeypatch.setattr(
        take_ups,
        "gevent",
        SimpleNamespace(
            sleep=sleep, spawn=gevent.spawn, joinall=gevent.joinall
        ),
    )
    return sleep


# Guards against streams that can't be taken up, with seconds left, because
# members are silent for a moment. "a" is the leader, which alone may know a
# stream that began just now; a new leader does not know it at once.
@pytest.mark.parametrize("error", _SILENCES)
@pytest.mark.parametrize(
    ("silent", "known"),
    [
        ("a", {"a": "v1"}),
        ("ab", {"a": "v1", "b": ""}),
        ("ab", {"a": "", "b": "v1"}),
        ("a", {"a": "v1", "b": "", "c": ""}),
        ("a", {"a": "v1", "b": "down"}),
        ("b", {"a": "", "b": "v1", "c": ""}),
    ],
)
def test_silent_members_are_asked_again(clock, silent, known, error):
    members = _SilentMembers(silent, error, **known)
    assert _find(members, table_exchange.make_table_set()) == _V1


# Guards against a stream that a member comes to know while another is silent,
# and that is refused.
@pytest.mark.parametrize("error", _SILENCES)
def test_members_that_answered_are_asked_again(clock, error):
    members = _SilentMembers("a", error, a="", b="")
    answer = members.call

    def call(address, *arguments):
        if members.asked.count("b") == 1:
            members.known["b"] = "v1"
        return answer(address, *arguments)

    members.call = call
    assert _find(members, table_exchange.make_table_set()) == _V1


class _GoneMembers(_Members):
    """Members of which some never answer.

    Attributes:
        gone: those that do not.
        error: what becomes of their questions.
    """

    def __init__(self, gone, error, **known):
        super().__init__(**known)
        self.gone = gone
        self.error = error

    def call(self, address, method, message, timeout_s):
        if address in self.gone:
            self.asked.append(address)
            raise self.error(address)
        return super().call(address, method, message, timeout_s)


# Guards against streams that wait for a member that is gone, each for seconds,
# although the others have said that they do not know them.
@pytest.mark.parametrize("error", _SILENCES)
@pytest.mark.parametrize("gone", ["a", "b"])
def test_member_that_stays_silent_is_not_waited_for(clock, gone, error):
    members = _GoneMembers(gone, error, a="", b="")
    finder = _make_finder(members, table_exchange.make_table_set())
    finder.find_version(_make_call(), _RESUMED)
    assert len(members.asked) > 2
    clock(take_ups.MAX_ASK_S)
    for _ in range(20):
        members.asked.clear()
        version = finder.find_version(_make_call(), _RESUMED)
        assert version == take_ups.UnknownVersion()
        assert members.asked == ["a", "b"]
        clock(1.0)


# Guards against a member that is not waited for because it stood still once.
@pytest.mark.parametrize("ends_by", ["answer", "time"])
def test_silence_ends(clock, ends_by):
    members = _GoneMembers("a", errors.Timeout, a="", b="")
    finder = _make_finder(members, table_exchange.make_table_set())
    finder.find_version(_make_call(), _RESUMED)
    clock(take_ups.MAX_ASK_S)
    if ends_by == "answer":
        members.gone = ""
        finder.find_version(_make_call(), _RESUMED)
        members.gone = "a"
    else:
        clock(take_ups.SILENCE_MEMORY_S)
    members.asked.clear()
    finder.find_version(_make_call(), _RESUMED)
    assert len(members.asked) > 2


# Guards against a stream that ends with an error because a member that is
# silent for its call answers another one.
def test_silence_that_ends_for_another_call(clock):
    members = _GoneMembers("a", errors.Timeout, a="", b="")
    finder = _make_finder(members, table_exchange.make_table_set())
    answer = members.call

    def call(address, *arguments):
        if members.gone and address == "b":
            members.gone = ""
            finder.find_version(_make_call(resumes="c9"), _RESUMED)
            members.known["a"] = "v1"
        return answer(address, *arguments)

    members.call = call
    assert finder.find_version(_make_call(), _RESUMED) == _V1
