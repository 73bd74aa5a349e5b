"""Raft messages between the members of a group, and their codec."""

import msgspec

from papayalink.coordination.raft import membership
from papayalink.state import log_entries


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the machine and membership as of an index, inclusive."""

    index: int
    term: int
    membership: membership.Membership
    parts: tuple[bytes, ...]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages; sender and to are member ids."""

    sender: str
    to: str
    term: int


class PreVote(Message, frozen=True, array_like=True, tag=True):
    """Asks whether the receiver would vote for the sender in the next term.

    The term field holds that next term.
    """

    last_index: int
    last_term: int


class PreVoteReply(Message, frozen=True, array_like=True, tag=True):
    """Answers a pre-vote.

    The term field of a grant is the requested term; that of a refusal is the
    current term of the answering member.
    """

    granted: bool


class Vote(Message, frozen=True, array_like=True, tag=True):
    """Requests a vote in the current term."""

    last_index: int
    last_term: int


class VoteReply(Message, frozen=True, array_like=True, tag=True):
    granted: bool


class Append(Message, frozen=True, array_like=True, tag=True):
    """Carries entries that follow the entry (prev_index, prev_term)."""

    prev_index: int
    prev_term: int
    entries: tuple[log_entries.Entry, ...]
    commit: int


class AppendReply(Message, frozen=True, array_like=True, tag=True):
    """Reports how far the log matches the leader's.

    Attributes:
        match: last matching index that is durable.
        accepted: last matching index, durable or not.
    """

    match: int
    accepted: int


class AppendRefused(Message, frozen=True, array_like=True, tag=True):
    """Reports that the entry at prev_index is missing or conflicts.

    The hint is the last entry of the sender that may match the leader's log:
    the one with the greatest index before prev_index whose term is not above
    prev_term of the refused message.
    """

    prev_index: int
    hint_index: int
    hint_term: int


class Heartbeat(Message, frozen=True, array_like=True, tag=True):
    """Maintains leadership; peers echo read_round to confirm reads."""

    commit: int
    read_round: int


class HeartbeatReply(Message, frozen=True, array_like=True, tag=True):
    read_round: int


class InstallSnapshot(Message, frozen=True, array_like=True, tag=True):
    """One part of a snapshot that replaces the receiver's log.

    It is sent to a peer that needs entries the leader no longer holds. Each
    part is sent once the previous one is received, so that the size of a
    message does not grow with the state.

    Attributes:
        head: the snapshot without its parts.
        number: number of this part, from 0.
        count: number of parts; 0 for an empty snapshot.
        data: content of the part.
    """

    head: Snapshot
    number: int
    count: int
    data: bytes


class SnapshotReply(Message, frozen=True, array_like=True, tag=True):
    """Reports how many parts of the snapshot at an index were received."""

    index: int
    received: int


class ReadRequest(Message, frozen=True, array_like=True, tag=True):
    """Asks the leader for a confirmed read index."""

    token: int


class ReadReply(Message, frozen=True, array_like=True, tag=True):
    token: int
    index: int


class StaleTerm(Message, frozen=True, array_like=True, tag=True):
    """Tells the leader of an older term that there is a newer term."""


class Removed(Message, frozen=True, array_like=True, tag=True):
    """Tells a member that a committed change removed it."""


PeerMessage = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Append
    | AppendReply
    | AppendRefused
    | Heartbeat
    | HeartbeatReply
    | InstallSnapshot
    | SnapshotReply
    | ReadRequest
    | ReadReply
    | StaleTerm
    | Removed
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[PeerMessage])
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode(batch: list[PeerMessage]) -> bytes:
    """Returns: a batch of messages, encoded as msgpack."""
    return _ENCODER.encode(batch)


def decode(data: bytes) -> list[PeerMessage]:
    """Returns: the batch of messages that encode() encoded.

    Raises:
        msgspec.ValidationError: the bytes are not a batch of messages.
    """
    return _DECODER.decode(data)


def encode_snapshot(snapshot: Snapshot) -> tuple[bytes, ...]:
    """Encode a snapshot for the log store.

    The parts of the machine are passed on without a copy, because copying
    them would block the other threads of the process.

    Returns: the encoded metadata, followed by the parts of the machine.
    """
    head = msgspec.structs.replace(snapshot, parts=())
    return (_ENCODER.encode(head), *snapshot.parts)


def decode_snapshot(parts: tuple[bytes, ...]) -> Snapshot:
    """Returns: the snapshot that encode_snapshot() encoded."""
    head = _SNAPSHOT_DECODER.decode(parts[0])
    return msgspec.structs.replace(head, parts=parts[1:])
