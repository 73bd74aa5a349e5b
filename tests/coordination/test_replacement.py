"""Tests of the replacement of lost members by joining ones."""

import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.coordination import replacement
from papayalink.coordination.raft import membership

_JOINING = replacement.JoiningMember("c.1", "c")
_THREE = membership.make_membership("a", "b", "c")


def _process_names(group):
    return {each: each.partition(".")[0] for each in group.ids}


def _next(group, joining=(), silent=None, target_voters=3):
    return replacement.next_change(
        group, joining, _process_names(group), silent or {}, target_voters
    )


def _apply_all(group, joining, silent=None, target_voters=3):
    """Returns: the group once no further change is due."""
    for _ in range(20):
        change = _next(group, joining, silent, target_voters)
        if change is None:
            return group
        group = membership.apply_change(group, change)
    raise AssertionError("the changes do not converge")


def test_lost_disk_comes_back_under_a_new_id():
    # The earlier id is removed only after the new one has become a voter.
    group = _apply_all(_THREE, [_JOINING])
    assert set(group.voters) == {"a", "b", "c.1"}
    assert group.removed == ("c",)


def test_replaced_at_another_address():
    # A group of four removes the lost member, not one that is merely slow.
    joining = [replacement.JoiningMember("d.1", "d")]
    silent = {"c": replacement.LOST_AFTER_S, "b": 1.0}
    group = _apply_all(_THREE, joining, silent)
    assert set(group.voters) == {"a", "b", "d.1"}


@pytest.mark.parametrize(
    "silent", [{}, {"c": 1.0}, {"c": 100.0}, {"a": 9.0, "b": 9.0}]
)
def test_odd_group_removes_no_silent_voter(silent):
    # A voter that is unreachable for long stays in a group of odd size.
    assert _next(_THREE, (), silent) is None


def test_silent_learner_is_removed():
    group = membership.apply_change(_THREE, membership.AddLearner("d.1"))
    silent = {"d.1": 2 * replacement.LOST_AFTER_S}
    assert _next(group, (), silent) == membership.RemoveMember("d.1")


def test_removed_id_is_not_added_again():
    group = membership.apply_change(_THREE, membership.RemoveMember("c"))
    joining = [replacement.JoiningMember("c", "c")]
    assert _next(group, joining) is None


@pytest.mark.parametrize(
    ("losses", "voters"), [(0, 3), (1, 3), (2, 5), (3, 7)]
)
def test_remaining_voters_are_a_majority(losses, voters):
    assert replacement.required_voters(losses) == voters
    assert voters - losses > voters // 2


def _joining(*names, durable=True):
    return [
        replacement.JoiningMember(f"{name}.1", name, durable) for name in names
    ]


def test_group_grows_to_its_target_and_the_rest_are_standbys():
    # Of six members with disks five vote; a sixth voter would not raise the
    # number of tolerated losses.
    group = _apply_all(_THREE, _joining("d", "e", "f"), target_voters=5)
    assert set(group.voters) == {"a", "b", "c", "d.1", "e.1"}
    assert set(group.ids) - set(group.voters) == {"f.1"}


def test_standby_replaces_a_silent_voter():
    joining = _joining("d", "e", "f")
    group = _apply_all(_THREE, joining, target_voters=5)
    silent = {"b": replacement.LOST_AFTER_S}
    group = _apply_all(group, joining, silent, target_voters=5)
    assert set(group.voters) == {"a", "c", "d.1", "e.1", "f.1"}
    assert group.removed == ("b",)


def test_two_lost_disks_come_back_as_voters():
    joining = _joining("d", "e", "f")
    group = _apply_all(_THREE, joining, target_voters=5)
    back = [
        replacement.JoiningMember("a.2", "a"),
        replacement.JoiningMember("d.2", "d"),
    ]
    group = _apply_all(group, back, target_voters=5)
    assert {"a.2", "d.2"} <= set(group.voters)
    assert set(group.removed) == {"a", "d.1"}
    assert len(group.voters) == 5


@pytest.mark.parametrize("silent", [{}, {"c": 100.0}])
def test_member_without_a_disk_never_votes(silent):
    group = _apply_all(_THREE, _joining("d", durable=False), silent)
    assert set(group.voters) == {"a", "b", "c"}
    assert "d.1" in group.ids
    # It has a new id after each start, and the earlier one is removed.
    again = [replacement.JoiningMember("d.2", "d", False)]
    group = _apply_all(group, again, silent)
    assert set(group.ids) == {"a", "b", "c", "d.2"}


@st.composite
def _histories(draw):
    """Histories of joins, losses and returns of up to eight machines."""
    process_names = "abcdefgh"[: draw(st.integers(3, 8))]
    steps = draw(
        st.lists(
            st.tuples(st.sampled_from(process_names), st.booleans()),
            max_size=12,
        )
    )
    return process_names, steps


@hypothesis.given(_histories(), st.sampled_from((3, 5)))
def test_enough_voters_remain_at_every_step(history, target_voters):
    """One machine at a time is unreachable or returns with a new disk."""
    process_names, steps = history
    group = membership.make_membership(*process_names[:3])
    joining = {
        process_name: replacement.JoiningMember(
            f"{process_name}.0", process_name
        )
        for process_name in process_names[3:]
    }
    group = _apply_all(
        group, list(joining.values()), target_voters=target_voters
    )
    expected_voters = min(target_voters, len(process_names))
    for number, (process_name, wiped) in enumerate(steps, start=1):
        silent = {}
        if wiped:
            back = replacement.JoiningMember(
                f"{process_name}.{number}", process_name
            )
            joining[process_name] = back
        else:
            silent = {
                each: replacement.LOST_AFTER_S
                for each in group.ids
                if each.partition(".")[0] == process_name
            }
        asking = [
            each
            for each in joining.values()
            if each.process_name != process_name or wiped
        ]
        group = _apply_all(group, asking, silent, target_voters)
        assert len(group.voters) >= expected_voters - (
            expected_voters % 2 == 0
        )
        names = [each.partition(".")[0] for each in group.voters]
        assert len(set(names)) == len(names)
