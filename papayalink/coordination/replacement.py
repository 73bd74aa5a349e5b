"""Which membership change brings joining and lost members to an end."""

from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from papayalink.coordination.raft import membership

# Longer than a restart of a process, so that one that only restarts keeps
# its place.
LOST_AFTER_S = 4.0


class Joining(msgspec.Struct, frozen=True):
    """A member that asked to be added.

    Args:
        member_id: its id, used by no other disk.
        place: the same for all ids that one address ever had.
    """

    member_id: str
    place: str


def next_change(
    group: membership.Membership,
    joining: Collection[Joining],
    places: Mapping[str, str],
    silent_s: Mapping[str, float],
) -> membership.Change | None:
    """Choose the next change, one at a time.

    A joining member becomes a learner, then a voter. The earlier id of its
    place is removed after that, and an even group drops a voter that is
    silent, whose machine was replaced at another address.

    Args:
        group: members now.
        joining: members that asked and are not known to be done.
        places: place of each member by id.
        silent_s: seconds since a member was reached; reached ones left out.
    Returns: the change, None when nothing is to be done.
    """
    for member in sorted(joining, key=lambda each: each.member_id):
        known = group.find(member.member_id)
        if known is None:
            if member.member_id not in group.removed:
                return membership.AddLearner(member.member_id)
        elif not known.voter:
            return membership.PromoteLearner(member.member_id)
        else:
            for other in group.ids:
                same_place = places.get(other) == member.place
                if same_place and other != member.member_id:
                    return membership.RemoveMember(other)
    voters = group.voters
    if len(voters) > 1 and len(voters) % 2 == 0:
        lost = [
            (silent_s[voter], voter)
            for voter in voters
            if silent_s.get(voter, 0.0) >= LOST_AFTER_S
        ]
        if lost:
            return membership.RemoveMember(max(lost)[1])
    learners = [each for each in group.members if not each.voter]
    for learner in learners:
        if silent_s.get(learner.member_id, 0.0) >= 2 * LOST_AFTER_S:
            return membership.RemoveMember(learner.member_id)
    return None
