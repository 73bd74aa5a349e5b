"""Membership of a Raft group and the changes to it."""

import msgspec

from papayalink.coordination import errors


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member: a voter, or a learner, which does not vote.

    A learner receives the log but does not count towards a quorum.
    """

    member_id: str
    address: str = ""
    voter: bool = True


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """All members, and the ids of removed members.

    Ids are never reused, because a member whose disk was lost no longer knows
    the votes and acknowledgements it gave under its old id.
    """

    members: tuple[Member, ...] = ()
    removed: tuple[str, ...] = ()

    @property
    def ids(self) -> tuple[str, ...]:
        return tuple(member.member_id for member in self.members)

    @property
    def voters(self) -> tuple[str, ...]:
        return tuple(
            member.member_id for member in self.members if member.voter
        )

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    def find(self, member_id: str) -> Member | None:
        """Returns: the member with the id, None when there is none."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None

    def has_quorum(self, ids: set[str]) -> bool:
        """Returns: whether the ids include a majority of the voters."""
        voters = self.voters
        agreeing = sum(voter in ids for voter in voters)
        return bool(voters) and agreeing >= self.quorum


class AddLearner(msgspec.Struct, frozen=True, tag=True):
    """Add a member that receives the log and does not vote."""

    member_id: str
    address: str = ""


class PromoteLearner(msgspec.Struct, frozen=True, tag=True):
    """Turn a learner that has caught up into a voter."""

    member_id: str


class RemoveMember(msgspec.Struct, frozen=True, tag=True):
    """Remove a voter or learner permanently."""

    member_id: str


Change = AddLearner | PromoteLearner | RemoveMember

_DECODER = msgspec.msgpack.Decoder(Membership)


def make_membership(*member_ids: str) -> Membership:
    """Returns: a membership whose members are all voters."""
    return Membership(tuple(Member(member_id) for member_id in member_ids))


def encode(membership: Membership) -> bytes:
    """Returns: the data of a membership entry."""
    return msgspec.msgpack.encode(membership)


def decode(data: bytes) -> Membership:
    """Returns: the membership of an entry that encode() made."""
    return _DECODER.decode(data)


def apply_change(current: Membership, requested: Change) -> Membership:
    """Apply one membership change.

    Returns: the membership after the change.
    Raises:
        ChangeRefused: the change does not fit the current members.
    """
    member = current.find(requested.member_id)
    match requested:
        case AddLearner(member_id, address):
            if member is not None or member_id in current.removed:
                raise errors.ChangeRefused(
                    f"member id {member_id} was used before"
                )
            learner = Member(member_id, address, False)
            return Membership((*current.members, learner), current.removed)
        case PromoteLearner(member_id):
            if member is None or member.voter:
                raise errors.ChangeRefused(f"{member_id} is not a learner")
            promoted = tuple(
                (
                    Member(each.member_id, each.address, True)
                    if each is member
                    else each
                )
                for each in current.members
            )
            return Membership(promoted, current.removed)
        case RemoveMember(member_id):
            if member is None:
                raise errors.ChangeRefused(f"{member_id} is not a member")
            if current.voters == (member_id,):
                raise errors.ChangeRefused("the last voter cannot be removed")
            rest = tuple(each for each in current.members if each != member)
            return Membership(rest, (*current.removed, member_id))
