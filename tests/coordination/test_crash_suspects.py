"""Tests of the table of parts that are suspected of ending replicas."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.coordination import call_keys
from papayalink.coordination import crash_suspects
from papayalink.protocol import messages


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
    assert tried_at[0] == crash_suspects.FIRST_TRIAL_S
    gaps = [later - at for at, later in zip(tried_at, tried_at[1:])]
    assert gaps == sorted(gaps)
    assert gaps[-1] <= crash_suspects.MAX_TRIAL_DELAY_S + 1
    assert table.note_whole_answer(["a"], 2000.0) == ["a"]
    assert table.find_blocked(["a"]) is None


def test_trial_is_for_one_prompt_of_one_entry():
    table = crash_suspects.make_crash_suspects()
    table.permit_trial("a", 1.0)
    assert table.take_trial("a", 1.1)
    assert not table.take_trial("a", 1.2)
    table.permit_trial("a", 2.0)
    assert not table.take_trial("a", 2.0 + crash_suspects.TRIAL_WINDOW_S)


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
    size = len(
        messages.encode(messages.Parts("e", suspects=table.encode(3e3)))
    )
    assert size < 8192


_EVENTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["crash", "begun", "whole", "tell", "trial"]),
        st.sampled_from(["r1", "r2", "r3", "r4"]),
        st.sets(st.sampled_from("abcd"), min_size=1),
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

    for index, kind, replica, parts in events:
        now += 0.5
        entry = entries[index]
        match kind:
            case "crash" | "begun":
                entry.note_crash(replica, sorted(parts), kind == "begun", now)
            case "whole":
                entry.note_whole_answer(sorted(parts), now)
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
