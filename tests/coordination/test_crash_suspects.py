"""Tests of the table of parts that are suspected of ending replicas."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.coordination import call_keys
from papayalink.coordination import crash_suspects
from papayalink.coordination import suspects
from papayalink.protocol import messages
from papayalink.protocol import shared_tables


def _crash(table, at, *prompts, replica=None, begun=False):
    """Record that a replica ended with prompts, given as "base bad"."""
    for prompt in prompts:
        table.note_crash(replica or f"r{at}", prompt.split(), begun, at)


@pytest.mark.parametrize(
    ("crashes", "sound", "prompt", "blocked"),
    [
        # One prompt in each crash.
        (["a b"] * 2, [], "a b", None),
        (["a b"] * 3, [], "a b", "b"),
        # Prompts that lack one of two parts tell which it is.
        (["a b"] * 3, [], "a", None),
        (["a b"] * 3, [], "b", None),
        (["a b"] * 3, ["a"], "a c", None),
        (["a b"] * 3, ["a"], "c b", "b"),
        (["a b", "c b", "d b"], [], "e b", "b"),
        (["a b", "c b", "d b"], [], "a", None),
        # The part is the only shared one.
        (["b"] * 3, [], "b", "b"),
        (["b"] * 3, ["b"], "b", None),
        (["b"] * 3, [], "", None),
    ],
)
def test_parts_that_block_a_prompt(crashes, sound, prompt, blocked):
    table = crash_suspects.make_crash_suspects()
    for at, lost in enumerate(crashes):
        _crash(table, float(at), lost)
    for part in sound:
        table.note_whole_answer([part], 10.0)
    assert table.find_blocked(prompt.split()) == blocked


def test_lost_prompt_is_not_sent_again_after_two_crashes():
    table = crash_suspects.make_crash_suspects()
    _crash(table, 0.0, "a")
    assert table.find_blocked(["a"], repeated=True) is None
    _crash(table, 1.0, "a")
    assert table.find_blocked(["a"], repeated=True) == "a"
    assert table.find_blocked(["a"]) is None


def test_replicas_that_end_at_the_same_moment_count_once():
    """Guards against parts that are blocked when a rack or a zone fails."""
    table = crash_suspects.make_crash_suspects()
    for number in range(6):
        _crash(table, 1.0 + number / 1000, "popular", replica=f"r{number}")
    assert table.find_blocked(["popular"]) is None


def test_waiting_prompts_are_no_suspects_beside_one_that_had_begun():
    table = crash_suspects.make_crash_suspects()
    for at in (1.0, 2.0, 3.0):
        _crash(table, at, "popular", "base popular")
        _crash(table, at, "base bad", begun=True)
    assert table.find_blocked(["popular"]) is None
    assert table.find_blocked(["base", "bad"]) in ("base", "bad")


def test_whole_answer_outdates_reports_of_earlier_crashes():
    """Guards against parts that late reports of other entries block."""
    entry = crash_suspects.make_crash_suspects()
    other = crash_suspects.make_crash_suspects()
    for at in (1.0, 2.0, 3.0):
        _crash(other, at, "a")
    entry.note_whole_answer(["a"], 3.5)
    entry.merge(other.encode(4.0), 4.0)
    assert entry.find_blocked(["a"]) is None
    other.merge(entry.encode(4.1), 4.1)
    assert other.find_blocked(["a"]) is None
    _crash(entry, 5.0, "a")
    assert not entry.blocked


def test_blocked_part_is_tried_ever_less_often_and_cleared_by_an_answer():
    """At most three prompts of a part get through in 100 s."""
    table = crash_suspects.make_crash_suspects()
    for at in (-0.2, -0.1, 0.0):
        _crash(table, at, "a")
    tried_at = []
    for second in range(1, 1500):
        assert table.find_blocked(["a"]) == "a"
        if table.grant_trials(["a"], float(second)):
            tried_at.append(second)
            _crash(table, second + 0.1, "a")
    assert sum(at <= 100 for at in tried_at) <= 3
    assert tried_at[0] == suspects.FIRST_TRIAL_S
    gaps = [later - at for at, later in zip(tried_at, tried_at[1:])]
    assert gaps == sorted(gaps)
    assert gaps[-1] <= suspects.MAX_TRIAL_DELAY_S + 1
    assert table.note_whole_answer(["a"], 2000.0) == ["a"]
    assert table.find_blocked(["a"]) is None


def test_trial_is_for_one_prompt_of_one_entry():
    table = crash_suspects.make_crash_suspects()
    table.permit_trial("a", 1.0)
    assert table.take_trial("a", 1.1)
    assert not table.take_trial("a", 1.2)
    table.permit_trial("a", 2.0)
    assert not table.take_trial("a", 2.0 + crash_suspects.TRIAL_WINDOW_S)


def _block_base():
    """A part that all prompts have is blocked for two other causes."""
    table = crash_suspects.make_crash_suspects()
    _lose(table, 1.0, "x", "base bad")
    _lose(table, 2.0, "y", "base bad")
    _lose(table, 3.0, "deadly", "base sound")
    assert set(table.blocked) == {"base"}
    table.permit_trial("base", 8.0)
    return table


# Guards against the trial of a part of all prompts that is used by a call
# which may have ended a replica by something else, so that sound calls are
# refused for four times as long.
@pytest.mark.parametrize(
    "suspected", [["base", "sound", "request deadly"], ["base", "bad"]]
)
@pytest.mark.parametrize("delay_s", [0.0, 2.4])
def test_trial_is_left_to_calls_that_are_not_suspected(suspected, delay_s):
    table = _block_base()
    now = 8.0 + delay_s
    assert not table.take_trial("base", now, suspected)
    # It is told when the trial is open to it.
    assert 0 < table.retry_after_s("base", now) <= 2.5 - delay_s
    assert table.take_trial("base", now, ["base", "other", "request z"])
    assert not table.take_trial("base", now, ["base", "other", "request z"])


# Guards against a part whose only callers are suspected, and that therefore
# stays blocked.
@pytest.mark.parametrize(
    "suspected", [["base", "sound", "request deadly"], ["base", "bad"]]
)
def test_trial_that_no_other_call_uses_is_open_to_suspected_ones(suspected):
    table = _block_base()
    now = 8.0 + table.retry_after_s("base", 8.0)
    assert now < 8.0 + crash_suspects.TRIAL_WINDOW_S
    assert table.take_trial("base", now, suspected)


# Guards against a trial that is held back for a part or a request that was
# lost whenever the blocked one was.
@pytest.mark.parametrize(
    ("key", "others"),
    [
        ("base", ["base", "top"]),
        ("request x", ["base", "top", "side"]),
        ("base", ["base", "top", ""]),
    ],
)
def test_trial_is_used_at_once_by_calls_that_can_clear_the_key(key, others):
    table = crash_suspects.make_crash_suspects()
    for at in range(3):
        _lose(table, float(at), "x", "base top")
        _lose(table, at + 3.0, f"{at}", "base top")
    # The part is sound, and was lost with the request again.
    table.note_whole_answer(["side"], 2.5)
    _lose(table, 6.0, "x", "base top side")
    assert key in table.blocked
    table.permit_trial(key, 8.0)
    assert table.take_trial(key, 8.0, others)


def test_part_without_crashes_for_long_is_forgotten():
    table = crash_suspects.make_crash_suspects()
    for at in (0.0, 1.0, 2.0):
        _crash(table, at, "a")
    table.expire(2.0 + crash_suspects.FORGET_S)
    assert table.blocked
    table.expire(2.1 + crash_suspects.FORGET_S)
    assert not table.blocked
    assert not table.encode(700.0)


def test_table_is_bounded_and_keeps_the_worst_parts():
    table = crash_suspects.make_crash_suspects()
    for at in (0.0, 1.0, 2.0):
        _crash(table, at, "worst")
    for number in range(1000):
        long_id = call_keys.part_key("y" * 5000 + str(number))
        _crash(table, 3.0 + number, f"x{number} {long_id}")
    assert len(table) == crash_suspects.MAX_PARTS
    assert table.find_blocked(["worst"]) == "worst"
    for number in range(100):
        _crash(table, 2000.0 + number, "worst")
    size = len(messages.encode(_as_message(table.encode(3e3))))
    assert size < 8192


def _as_message(rows):
    return messages.Parts("e", tables=shared_tables.Tables(suspects=rows))


def _lose(table, at, request, prompt, begun=True, replica=None):
    table.note_crash(
        replica or f"r{at}", prompt.split(), begun, at, f"request {request}"
    )


@pytest.mark.parametrize(
    ("crashes", "blocked"),
    [
        # Requests, each with the number of the replica that it was lost with.
        ([("x", 1)], {}),
        ([("x", 1), ("x", 2)], {"x"}),
        ([("x", 1), ("x", 2), ("x", 3), ("x", 4)], {"x"}),
        # Two requests had begun at the same replicas: more crashes are needed.
        ([("x", 1), ("y", 1), ("x", 2), ("y", 2)], set()),
        ([("x", 1), ("y", 1), ("x", 2), ("y", 2), ("x", 3)], {"x"}),
        # Crashes of a guilty request do not count against another one.
        ([("x", 1), ("x", 2), ("x", 3), ("y", 3), ("y", 4)], {"x"}),
        ([("x", 1), ("x", 2), ("y", 4), ("y", 5)], {"x", "y"}),
        # Three requests show that the part ends replicas.
        ([("x", 1), ("y", 2), ("z", 3)], {"part"}),
        (
            [("x", 1), ("x", 2), ("y", 3), ("y", 4), ("z", 5)],
            {"x", "y", "part"},
        ),
    ],
)
def test_requests_and_parts_are_told_apart(crashes, blocked):
    """Guards against parts that are blocked for a single request."""
    table = crash_suspects.make_crash_suspects()
    for request, replica in crashes:
        _lose(table, float(replica), request, "part")
    keys = {key if key == "part" else f"request {key}" for key in blocked}
    assert set(table.blocked) == keys
    for request, _ in crashes:
        key = f"request {request}"
        refused = "part" in keys or key in keys
        assert bool(table.find_blocked(["part"], request=key)) is refused
    other = table.find_blocked(["part"], request="request other")
    assert other == ("part" if "part" in blocked else None)


def test_base_of_all_prompts_is_not_blocked_for_a_request_and_a_part():
    """Guards against sound prompts that are refused while two causes act.

    A request ends replicas, and so does a part. Both have a part that all
    prompts have, and no whole answer comes in between.
    """
    table = crash_suspects.make_crash_suspects()
    for at in (1.0, 2.0):
        _lose(table, at, "deadly", "base sound")
    for at in (3.0, 4.0, 5.0):
        _lose(table, at, f"other{at}", "base bad")
    assert table.find_blocked(["base", "sound"], request="request s") is None
    assert table.find_blocked(["base", "bad"], request="request b")
    # A second part that ends replicas.
    for at in (6.0, 7.0, 8.0):
        _lose(table, at, f"other{at}", "base worse")
    assert table.find_blocked(["base", "sound"], request="request s") is None
    for part in ("bad", "worse"):
        assert table.find_blocked(["base", part], request="request b")


def test_request_without_an_answer_is_blocked_after_three_crashes():
    table = crash_suspects.make_crash_suspects()
    for replica in range(3):
        assert table.find_blocked([], request="request x") is None
        repeated = table.find_blocked([], True, "request x")
        assert bool(repeated) is (replica == 2)
        _lose(table, float(replica), "x", "", begun=False)
    assert table.find_blocked([], request="request x") == "request x"
    table.note_whole_answer(["request x"], 10.0)
    assert table.find_blocked([], request="request x") is None


def test_request_that_goes_on_coming_is_tried_three_times_in_ten_minutes():
    table = crash_suspects.make_crash_suspects()
    _lose(table, -1.0, "x", "")
    _lose(table, 0.0, "x", "")
    tried_at = []
    for second in range(1, 4000):
        table.expire(float(second))
        assert table.find_blocked([], request="request x") == "request x"
        if table.grant_trials(["request x"], float(second)):
            tried_at.append(second)
            _lose(table, second + 0.1, "x", "")
    assert tried_at[0] == suspects.FIRST_REQUEST_TRIAL_S
    assert sum(at <= 600 for at in tried_at) <= 3
    # Nobody has sent it for long.
    table.expire(4000.0 + crash_suspects.FORGET_S)
    assert not table.blocked


def test_requests_are_bounded_and_the_worst_are_kept():
    table = crash_suspects.make_crash_suspects()
    for at in (0.0, 1.0):
        _lose(table, at, "worst", "base")
    for number in range(1000):
        _lose(table, 3.0 + number, f"{number}", "base", begun=False)
    rows = table.encode(2000.0)
    assert len(rows) <= crash_suspects.MAX_REQUESTS + 1
    assert "request worst" in table.blocked
    size = len(messages.encode(_as_message(rows)))
    assert size < 8192


_EVENTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["crash", "begun", "whole", "tell", "trial"]),
        st.sampled_from(["r1", "r2", "r3", "r4"]),
        st.sets(st.sampled_from("abcd"), min_size=1),
        st.sampled_from(["", "request x", "request y"]),
    ),
    max_size=30,
)


@given(_EVENTS)
def test_tables_agree_and_stop_changing(events):
    """Entries that ask one member soon know the same, in any order."""
    member = crash_suspects.make_crash_suspects(7)
    entries = [crash_suspects.make_crash_suspects() for _ in range(3)]
    now = 0.0

    def exchange(entry, delay_s=0.01):
        member.merge(entry.encode(now), now + delay_s)
        entry.merge(member.encode(now + delay_s), now + 2 * delay_s)

    for index, kind, replica, parts, request in events:
        now += 0.5
        entry = entries[index]
        match kind:
            case "crash" | "begun":
                begun = kind == "begun"
                entry.note_crash(replica, sorted(parts), begun, now, request)
            case "whole":
                keys = [*sorted(parts), request]
                entry.note_whole_answer(filter(None, keys), now)
            case "tell":
                exchange(entry)
            case "trial":
                member.grant_trials(sorted(parts), now)
    for _ in range(4):
        now += 0.2
        for entry in entries:
            exchange(entry)
    versions = [table.version for table in (member, *entries)]
    for entry in entries:
        now += 0.2
        exchange(entry)
    assert versions == [table.version for table in (member, *entries)]
    assert all(entry.blocked == member.blocked for entry in entries)


def test_each_end_of_a_replica_under_its_id_counts():
    """Guards against a part that ends the only replica again and again."""
    table = crash_suspects.make_crash_suspects()
    for number in range(6):
        _crash(table, 10.0 * number, "bad", replica="r")
    assert table.find_blocked(["bad"]) == "bad"
