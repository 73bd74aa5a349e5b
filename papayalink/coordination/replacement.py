"""Chooses membership changes that add joining and replace lost members."""

from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from papayalink.coordination.raft import membership

# Longer than a restart of a process, so that a member that only restarts is
# not replaced.
LOST_AFTER_S = 4.0


# A group of this many voters tolerates the loss of one.
MIN_VOTERS = 3


class Joining(msgspec.Struct, frozen=True):
    """A member that asked to be added.

    Args:
        member_id: id of the member, never used with another disk.
        place: name shared by all ids that members at one address have had.
        durable: whether the member has a disk; one without never votes.
    """

    member_id: str
    place: str
    durable: bool = True


def voters_wanted(losses: int) -> int:
    """Returns: number of voters that tolerates this many losses at once."""
    return max(MIN_VOTERS, 2 * losses + 1)


def next_change(
    group: membership.Membership,
    joining: Collection[Joining],
    places: Mapping[str, str],
    silent_s: Mapping[str, float],
    target_voters: int = MIN_VOTERS,
) -> membership.Change | None:
    """Choose the next change, one at a time.

    A joining member becomes a learner. A durable one becomes a voter while
    there are fewer than wanted, or one of them is silent; the others stand
    by. The earlier ids of its place are removed after that, and an even
    group drops a voter that is silent, whose machine may be gone for good.

    Args:
        group: members now.
        joining: members that asked and are not known to be done.
        places: place of each member by id.
        silent_s: seconds since a member was reached; reached ones left out.
        wanted: number of voters, odd.
    Returns: the change, None when nothing is to be done.
    """
    voters = group.voters
    lost_voter = _longest_silent(voters, silent_s)
    for member in sorted(joining, key=lambda each: each.member_id):
        known = group.find(member.member_id)
        if known is None:
            if member.member_id not in group.removed:
                return membership.AddLearner(member.member_id)
            continue
        earlier = _earlier_ids(group, member, places)
        if not known.voter and member.durable:
            replaces = any(other in voters for other in earlier)
            if (
                replaces
                or lost_voter is not None
                or len(voters) < target_voters
            ):
                return membership.PromoteLearner(member.member_id)
        if earlier:
            return membership.RemoveMember(earlier[0])
    if lost_voter is not None and len(voters) > 1 and len(voters) % 2 == 0:
        return membership.RemoveMember(lost_voter)
    learners = [each for each in group.members if not each.voter]
    for learner in learners:
        if silent_s.get(learner.member_id, 0.0) >= 2 * LOST_AFTER_S:
            return membership.RemoveMember(learner.member_id)
    return None


def _longest_silent(
    voters: Collection[str], silent_s: Mapping[str, float]
) -> str | None:
    """Returns: the lost voter that is silent the longest, None without one."""
    lost_voters = [
        (silent_s[voter], voter)
        for voter in voters
        if silent_s.get(voter, 0.0) >= LOST_AFTER_S
    ]
    return max(lost_voters)[1] if lost_voters else None


def _earlier_ids(
    group: membership.Membership, member: Joining, places: Mapping[str, str]
) -> list[str]:
    """Returns: the other ids in the group that share the member's place."""
    return [
        other
        for other in group.ids
        if other != member.member_id and places.get(other) == member.place
    ]
