"""Messages between the members of a group, and their codec."""

import msgspec

from papayalink.coordination.raft import membership
from papayalink.state import log_entries


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the machine and membership up to and including an index."""

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
    """Asks whether a vote would be granted in a term not yet begun."""

    last_index: int
    last_term: int


class PreVoteReply(Message, frozen=True, array_like=True, tag=True):
    """A grant carries the term asked for, a refusal the sender's term."""

    granted: bool


class Vote(Message, frozen=True, array_like=True, tag=True):
    """Asks for a vote."""

    last_index: int
    last_term: int


class VoteReply(Message, frozen=True, array_like=True, tag=True):
    granted: bool


class Append(Message, frozen=True, array_like=True, tag=True):
    """Entries that follow the entry (prev_index, prev_term)."""

    prev_index: int
    prev_term: int
    entries: tuple[log_entries.Entry, ...]
    commit: int


class AppendReply(Message, frozen=True, array_like=True, tag=True):
    """The log matches the leader's up to accepted, durably up to match."""

    match: int
    accepted: int


class AppendRefused(Message, frozen=True, array_like=True, tag=True):
    """The entry at prev_index is missing or conflicts.

    The hint is the last entry of the sender that may match: the greatest
    index before prev_index whose term is not above the leader's term there.
    """

    prev_index: int
    hint_index: int
    hint_term: int


class Heartbeat(Message, frozen=True, array_like=True, tag=True):
    """Keeps leadership; read_round is echoed to confirm reads."""

    commit: int
    read_round: int


class HeartbeatReply(Message, frozen=True, array_like=True, tag=True):
    read_round: int


class InstallSnapshot(Message, frozen=True, array_like=True, tag=True):
    """One part of a snapshot that replaces a log.

    The log ends before the leader's first entry. A part is sent after the
    one before it was received, so that no message grows with the state.

    Attributes:
        head: the snapshot without its parts.
        number: number of the part, from 0.
        count: number of parts; 0 when there are none.
        data: the part.
    """

    head: Snapshot
    number: int
    count: int
    data: bytes


class SnapshotReply(Message, frozen=True, array_like=True, tag=True):
    """Tells how many parts of the snapshot at an index were received."""

    index: int
    received: int


class ReadRequest(Message, frozen=True, array_like=True, tag=True):
    """Asks the leader for a confirmed read index."""

    token: int


class ReadReply(Message, frozen=True, array_like=True, tag=True):
    token: int
    index: int


class StaleTerm(Message, frozen=True, array_like=True, tag=True):
    """Tells a leader of an older term that a newer term has begun."""


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
    """Returns: a batch of messages as msgpack."""
    return _ENCODER.encode(batch)


def decode(data: bytes) -> list[PeerMessage]:
    """Returns: the batch that encode() was given.

    Raises:
        msgspec.ValidationError: the bytes are not a batch of messages.
    """
    return _DECODER.decode(data)


def encode_snapshot(snapshot: Snapshot) -> tuple[bytes, ...]:
    """Returns: a snapshot in parts, as the log store keeps it.

    The parts of the machine are not copied, which would hold up the other
    threads of the process for as long as it takes.
    """
    head = msgspec.structs.replace(snapshot, parts=())
    return (_ENCODER.encode(head), *snapshot.parts)


def decode_snapshot(parts: tuple[bytes, ...]) -> Snapshot:
    """Returns: the snapshot that encode_snapshot() was given."""
    head = _SNAPSHOT_DECODER.decode(parts[0])
    return msgspec.structs.replace(head, parts=parts[1:])
