"""Inputs and outputs of a node."""

import enum

import msgspec

from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages as peer_messages
from papayalink.state import log_entries


class Config(msgspec.Struct, kw_only=True):
    """What a node is made from.

    Attributes:
        member_id: own id, never reused after a lost disk.
        seed: seed of the generator that draws election timeouts.
        hard_state: stored term and vote.
        snapshot: stored snapshot, None when the log starts at index 1.
        entries: stored entries after the snapshot.
        first_election_ticks: the same for the time from the start to the
            first message of a leader; None for no difference.
        election_ticks: shortest election timeout; the longest is below
            twice as long.
        heartbeat_ticks: ticks between heartbeats.
        snapshot_ticks: ticks after which an unanswered part of a snapshot
            is given up; the transfer resumes once the peer is heard from.
        max_batch_entries: entries in one message.
        max_batch_bytes: payload bytes in one message of several entries.
        window_entries: entries sent to a peer without a reply.
        promotion_lag: entries a learner may lack when it is promoted.
        trailing_entries: entries kept in memory behind a snapshot.
        paced_reads: after a read round begins, the next one waits for
            ReadRoundDue.
    """

    member_id: str
    seed: int
    hard_state: log_entries.HardState = log_entries.HardState()
    snapshot: peer_messages.Snapshot | None = None
    entries: list[log_entries.Entry] = []
    election_ticks: int = 10
    first_election_ticks: int | None = None
    heartbeat_ticks: int = 2
    # 5 s at the default tick, well above the transfer of a part, and of
    # the write and restore behind the last one.
    snapshot_ticks: int = 100
    max_batch_entries: int = 256
    max_batch_bytes: int = 256 * 1024
    window_entries: int = 4096
    promotion_lag: int = 64
    # Lets a member that restarts catch up from the log, without a snapshot.
    trailing_entries: int = 500
    paced_reads: bool = False


class Tick(msgspec.Struct, frozen=True):
    """One tick of the clock has passed."""


class Receive(msgspec.Struct, frozen=True):
    """A message of a peer arrived."""

    message: peer_messages.PeerMessage


class Propose(msgspec.Struct, frozen=True):
    """Append a command, if this member leads."""

    data: bytes
    token: int


class ReadIndex(msgspec.Struct, frozen=True):
    """Ask for a confirmed read index.

    The token must not repeat over restarts of the member, since a late
    reply to an earlier read would otherwise answer a new one.
    """

    token: int


class ReadRoundDue(msgspec.Struct, frozen=True):
    """The next read round may begin, if this member leads."""


class ChangeMembers(msgspec.Struct, frozen=True):
    """Append a membership change, if this member leads."""

    change: memberships.Change
    token: int


class Persisted(msgspec.Struct, frozen=True):
    """All writes up to and including this one are synced."""

    write_id: int


class Compacted(msgspec.Struct, frozen=True):
    """The log store has synced a snapshot of applied entries."""

    snapshot: peer_messages.Snapshot


class StorageFull(msgspec.Struct, frozen=True):
    """A write failed since the disk is full; it will be repeated."""


class StorageFree(msgspec.Struct, frozen=True):
    """Writes succeed again."""


class Batch(msgspec.Struct, frozen=True):
    """Several inputs that share one write and one round of messages."""

    inputs: list["Input"]


Input = (
    Tick
    | Receive
    | Propose
    | ReadIndex
    | ReadRoundDue
    | ChangeMembers
    | Persisted
    | Compacted
    | StorageFull
    | StorageFree
    | Batch
)


class Appended(msgspec.Struct, frozen=True):
    """Where the entry of a proposal or change was appended."""

    token: int
    index: int
    term: int


class DropCause(enum.Enum):
    """Why a request was refused."""

    NOT_LEADER = "not the leader"
    CHANGE_REFUSED = "change refused"
    UNAVAILABLE = "unavailable"


class Dropped(msgspec.Struct, frozen=True):
    """A proposal, change or read that was refused and left no trace."""

    token: int
    cause: DropCause
    reason: str


class Read(msgspec.Struct, frozen=True):
    """A read may be served once this index is applied."""

    token: int
    index: int


class Ready(msgspec.Struct, kw_only=True):
    """What the owner of the node has to do.

    Attributes:
        messages: to send; may be sent before the write is done.
        write_id: number of the write, None when there is nothing to write.
            Writes are made in the order of their numbers: the snapshot,
            then entries and hard state. An entry replaces all stored
            entries from its index on.
        snapshot: received snapshot, to write and to restore from.
        hard_state: to write, None when it has not changed.
        entries: to write.
        committed: to apply, after the snapshot was restored.
        reads: confirmed reads.
        read_round_begun: ReadRoundDue is expected after the pacing period.
        appended: accepted proposals and changes.
        dropped: refused proposals, changes and reads.
        removed: a committed change has removed this member.
    """

    messages: list[peer_messages.PeerMessage] = []
    write_id: int | None = None
    snapshot: peer_messages.Snapshot | None = None
    hard_state: log_entries.HardState | None = None
    entries: list[log_entries.Entry] = []
    committed: list[log_entries.Entry] = []
    reads: list[Read] = []
    read_round_begun: bool = False
    appended: list[Appended] = []
    dropped: list[Dropped] = []
    removed: bool = False
