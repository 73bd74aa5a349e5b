"""Inputs and outputs of a node."""

import enum

import msgspec

from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages as peer_messages
from papayalink.state import log_entries


class Config(msgspec.Struct, kw_only=True):
    """Configuration and stored state from which a node is created.

    Attributes:
        member_id: id of this member; never reused after its disk is lost.
        seed: seed of the random election timeouts.
        hard_state: stored term and vote.
        snapshot: stored snapshot, None when the log starts at index 1.
        entries: stored entries after the snapshot.
        election_ticks: shortest election timeout; the longest is one tick
            less than twice this.
        first_election_ticks: shortest election timeout of the first election
            after the start, as long as no leader is known; it grows by as
            much with each further one, up to election_ticks. None to use
            election_ticks at once.
        heartbeat_ticks: ticks between heartbeats.
        snapshot_ticks: ticks to wait for the reply to a snapshot part before
            the transfer is suspended; it resumes once the peer replies.
        max_batch_entries: most entries in one message.
        max_batch_bytes: most payload bytes in one message; a single larger
            entry is sent alone.
        window_entries: most unacknowledged entries sent to a peer.
        promotion_lag: most entries that a learner may be behind the leader
            when it is promoted.
        trailing_entries: entries before the snapshot index that stay in
            memory.
        paced_reads: whether a read round waits for the ReadRoundDue that
            follows the previous round.
    """

    member_id: str
    seed: int
    hard_state: log_entries.HardState = log_entries.HardState()
    snapshot: peer_messages.Snapshot | None = None
    entries: list[log_entries.Entry] = []
    election_ticks: int = 10
    first_election_ticks: int | None = None
    heartbeat_ticks: int = 2
    # 5 s at the default tick of 50 ms: well above the time to transfer a
    # part, or to write and restore the snapshot after the last part.
    snapshot_ticks: int = 100
    max_batch_entries: int = 256
    max_batch_bytes: int = 256 * 1024
    window_entries: int = 4096
    promotion_lag: int = 64
    # Lets a restarted member catch up from the log instead of a snapshot.
    trailing_entries: int = 500
    paced_reads: bool = False


class Tick(msgspec.Struct, frozen=True):
    """One tick of the clock has passed."""


class Receive(msgspec.Struct, frozen=True):
    """A message from a peer has arrived."""

    message: peer_messages.PeerMessage


class Propose(msgspec.Struct, frozen=True):
    """Append a command; dropped unless this member is the leader."""

    data: bytes
    token: int


class ReadIndex(msgspec.Struct, frozen=True):
    """Request a confirmed read index.

    A token must not be reused after a restart of the member; otherwise a
    late reply to an earlier read would answer a new one.
    """

    token: int


class ReadRoundDue(msgspec.Struct, frozen=True):
    """The pacing period is over: a leader may start the next read round."""


class ChangeMembers(msgspec.Struct, frozen=True):
    """Append a membership change; dropped unless this is the leader."""

    change: memberships.Change
    token: int


class Persisted(msgspec.Struct, frozen=True):
    """All writes up to and including this one are synced."""

    write_id: int


class Compacted(msgspec.Struct, frozen=True):
    """The log store has synced a snapshot of applied entries."""

    snapshot: peer_messages.Snapshot


class StorageFull(msgspec.Struct, frozen=True):
    """A write failed because the disk is full; it will be retried."""


class StorageFree(msgspec.Struct, frozen=True):
    """Writes succeed again."""


class Batch(msgspec.Struct, frozen=True):
    """Several inputs handled together, with one write and one send."""

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
    """Index and term at which a proposal or change was appended."""

    token: int
    index: int
    term: int


class DropCause(enum.Enum):
    """Why a request was refused."""

    NOT_LEADER = "not the leader"
    CHANGE_REFUSED = "change refused"
    UNAVAILABLE = "unavailable"


class Dropped(msgspec.Struct, frozen=True):
    """A proposal, change or read that was refused without any effect."""

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
        messages: messages to send; they need not wait for the write.
        write_id: number of the write, None when there is nothing to write.
            Writes are made in the order of their numbers. Within a write,
            the snapshot comes first, then entries and hard state. An entry
            replaces all stored entries from its index on.
        snapshot: received snapshot, to write and to restore from.
        hard_state: hard state to write, None when it has not changed.
        entries: entries to write.
        committed: entries to apply, after the snapshot is restored.
        reads: confirmed reads.
        read_round_begun: a read round has started; the owner sends
            ReadRoundDue after the pacing period.
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
