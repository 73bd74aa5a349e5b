"""Tests of joining and lost members."""

import pytest

from papayalink.coordination import replacement
from papayalink.coordination.raft import membership

_JOINING = replacement.Joining("c.1", "c")
_THREE = membership.make_membership("a", "b", "c")


def _places(group):
    return {each: each.partition(".")[0] for each in group.ids}


def _next(group, joining=(), silent=None):
    return replacement.next_change(
        group, joining, _places(group), silent or {}
    )


def _apply_all(group, joining, silent=None):
    """Returns: the group once nothing more is to be done."""
    for _ in range(10):
        change = _next(group, joining, silent)
        if change is None:
            return group
        group = membership.change(group, change)
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
    group = membership.change(_THREE, membership.AddLearner("d.1"))
    silent = {"d.1": 2 * replacement.LOST_AFTER_S}
    assert _next(group, (), silent) == membership.RemoveMember("d.1")


def test_removed_id_is_not_added_again():
    group = membership.change(_THREE, membership.RemoveMember("c"))
    joining = [replacement.Joining("c", "c")]
    assert _next(group, joining) is None
