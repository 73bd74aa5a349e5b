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


class JoiningMember(msgspec.Struct, frozen=True):
    """A member that asked to be added.

    Args:
        member_id: id of the member, never used with another disk.
        process_name: name of its process, shared by all ids that the process
            has had.
        durable: whether the member has a disk; a member without one never
            votes.
    """

    member_id: str
    process_name: str
    durable: bool = True


def required_voters(losses: int) -> int:
    """Returns: number of voters that tolerates this many losses at once."""
    return max(MIN_VOTERS, 2 * losses + 1)


def next_change(
    group: membership.Membership,
    joining: Collection[JoiningMember],
    process_names: Mapping[str, str],
    silent_s: Mapping[str, float],
    target_voters: int = MIN_VOTERS,
) -> membership.Change | None:
    """Choose the next membership change.

    A joining member first becomes a learner. A durable learner becomes a
    voter if an earlier id of its process is a voter, if a voter is lost, or
    while there are fewer voters than the target; other learners remain
    standbys. After that, the earlier ids of its process are removed. A group
    with an even number of voters removes a lost voter, whose machine may
    never return. A learner is removed when it has not been reached for twice
    the time after which a voter counts as lost.

    Args:
        group: current membership.
        joining: members that asked to join, added already or not.
        process_names: name of each member's process, by member id.
        silent_s: seconds since each unreachable member was last reached, by
            member id; members that are reached are left out.
        target_voters: intended number of voters, odd.
    Returns: the change, None when there is nothing to do.
    """
    voters = group.voters
    lost_voter = _longest_silent(voters, silent_s)
    for member in sorted(joining, key=lambda each: each.member_id):
        known = group.find(member.member_id)
        if known is None:
            if member.member_id not in group.removed:
                return membership.AddLearner(member.member_id)
            continue
        earlier = _earlier_ids(group, member, process_names)
        if not known.voter and member.durable:
            replaces_voter = any(other in voters for other in earlier)
            if (
                replaces_voter
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
    group: membership.Membership,
    member: JoiningMember,
    process_names: Mapping[str, str],
) -> list[str]:
    """Returns: the other ids of a member's process in the group."""
    return [
        other
        for other in group.ids
        if other != member.member_id
        and process_names.get(other) == member.process_name
    ]
