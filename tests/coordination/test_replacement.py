"""Tests of joining and lost members."""

import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.coordination import replacement
from papayalink.coordination.raft import membership

_JOINING = replacement.Joining("c.1", "c")
_THREE = membership.make_membership("a", "b", "c")


def _places(group):
    return {each: each.partition(".")[0] for each in group.ids}


def _next(group, joining=(), silent=None, target_voters=3):
    return replacement.next_change(
        group, joining, _places(group), silent or {}, target_voters
    )


def _apply_all(group, joining, silent=None, target_voters=3):
    """Returns: the group once nothing more is to be done."""
    for _ in range(20):
        change = _next(group, joining, silent, target_voters)
        if change is None:
            return group
        group = membership.apply_change(group, change)
    raise AssertionError("the changes do not end")


def test_lost_disk_comes_back_under_a_new_id():
    # The earlier id is removed only once the new one votes.
    group = _apply_all(_THREE, [_JOINING])
    assert set(group.voters) == {"a", "b", "c.1"}
    assert group.removed == ("c",)


def test_replaced_at_another_address():
    # A group of four drops the member that is silent, not a slow one.
    joining = [replacement.Joining("d.1", "d")]
    silent = {"c": replacement.LOST_AFTER_S, "b": 1.0}
    group = _apply_all(_THREE, joining, silent)
    assert set(group.voters) == {"a", "b", "d.1"}


@pytest.mark.parametrize(
    "silent", [{}, {"c": 1.0}, {"c": 100.0}, {"a": 9.0, "b": 9.0}]
)
def test_odd_group_loses_nobody(silent):
    # A member that is cut off for long keeps its vote in an odd group.
    assert _next(_THREE, (), silent) is None


def test_learner_that_went_away_is_removed():
    group = membership.apply_change(_THREE, membership.AddLearner("d.1"))
    silent = {"d.1": 2 * replacement.LOST_AFTER_S}
    assert _next(group, (), silent) == membership.RemoveMember("d.1")


def test_removed_id_is_not_added_again():
    group = membership.apply_change(_THREE, membership.RemoveMember("c"))
    joining = [replacement.Joining("c", "c")]
    assert _next(group, joining) is None


@pytest.mark.parametrize(
    ("losses", "voters"), [(0, 3), (1, 3), (2, 5), (3, 7)]
)
def test_voters_bear_the_losses(losses, voters):
    assert replacement.voters_wanted(losses) == voters
    assert voters - losses > voters // 2


def _joining(*names, durable=True):
    return [replacement.Joining(f"{name}.1", name, durable) for name in names]


def test_group_grows_to_the_wanted_voters_and_the_rest_stands_by():
    # Six machines with disks: five vote, an even number bears no more.
    group = _apply_all(_THREE, _joining("d", "e", "f"), target_voters=5)
    assert set(group.voters) == {"a", "b", "c", "d.1", "e.1"}
    assert set(group.ids) - set(group.voters) == {"f.1"}


def test_member_that_stands_by_replaces_a_silent_voter():
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
        replacement.Joining("a.2", "a"),
        replacement.Joining("d.2", "d"),
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
    # It has a new id after each start, and the earlier one goes.
    again = [replacement.Joining("d.2", "d", False)]
    group = _apply_all(group, again, silent)
    assert set(group.ids) == {"a", "b", "c", "d.2"}


@st.composite
def _histories(draw):
    """Joins, losses and returns of up to eight machines."""
    places = "abcdefgh"[: draw(st.integers(3, 8))]
    steps = draw(
        st.lists(
            st.tuples(st.sampled_from(places), st.booleans()), max_size=12
        )
    )
    return places, steps


@hypothesis.given(_histories(), st.sampled_from((3, 5)))
def test_voters_never_fall_below_what_bears_the_losses(history, target_voters):
    """One machine at a time falls silent or comes back with a new disk."""
    places, steps = history
    group = membership.make_membership(*places[:3])
    joining = {
        place: replacement.Joining(f"{place}.0", place) for place in places[3:]
    }
    group = _apply_all(
        group, list(joining.values()), target_voters=target_voters
    )
    full = min(target_voters, len(places))
    for number, (place, wiped) in enumerate(steps, start=1):
        silent = {}
        if wiped:
            back = replacement.Joining(f"{place}.{number}", place)
            joining[place] = back
        else:
            silent = {
                each: replacement.LOST_AFTER_S
                for each in group.ids
                if each.partition(".")[0] == place
            }
        asking = [
            each for each in joining.values() if each.place != place or wiped
        ]
        group = _apply_all(group, asking, silent, target_voters)
        assert len(group.voters) >= full - (full % 2 == 0)
        names = [each.partition(".")[0] for each in group.voters]
        assert len(set(names)) == len(names)
