"""State of a Raft node, shared by the modules of this package."""

import enum
import random

import msgspec

from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import log as logs
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages
from papayalink.coordination.raft import progress as progresses
from papayalink.state import log_entries

# Most entries removed from memory in one step. A log that covers the whole
# ledger has a million entries; freeing them at once takes over 100 ms.
_MAX_COMPACTED_ENTRIES = 20_000


class Role(enum.Enum):
    """Raft role of a member; learners are followers that never campaign."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Write(msgspec.Struct):
    """A write submitted to the log store and not yet synced.

    Attributes:
        write_id: number of the write.
        index: last log index that this write makes durable.
        held_messages: messages to send once the write is durable.
    """

    write_id: int
    index: int
    held_messages: list[messages.PeerMessage]


class PartialSnapshot(msgspec.Struct):
    """A snapshot that is being received in parts.

    Attributes:
        sender: member that sends it; parts from two members are not mixed.
        head: the snapshot without its parts.
        parts: parts received so far, in order.
    """

    sender: str
    head: messages.Snapshot
    parts: list[bytes]


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits at the leader; the sender may be the leader."""

    sender: str
    token: int


class ReadRound(msgspec.Struct, frozen=True):
    """A heartbeat round that confirms reads at the leader.

    Attributes:
        number: number of the round, echoed by the members that confirm it.
        commit: commit index when the round began.
        reads: reads that the round confirms.
    """

    number: int
    commit: int
    reads: list[PendingRead]


class NodeState:
    """State of a Raft node; no method does I/O or reads a clock.

    Args:
        config: see inputs.Config.
    """

    __slots__ = (
        "config",
        "term",
        "vote",
        "role",
        "leader_id",
        "leader_known_since_start",
        "log",
        "snapshot",
        "partial_snapshot",
        "compact_to",
        "progress",
        "votes",
        "election_elapsed",
        "election_timeout",
        "heartbeat_elapsed",
        "disk_full",
        "removed",
        "reads_waiting",
        "read_rounds",
        "read_round",
        "read_round_due",
        "forwarded_reads",
        "writes",
        "outbox",
        "ready",
        "_random",
        "_hard_state_changed",
        "_held_messages",
        "_next_write_id",
        "_start_term",
    )

    def __init__(self, config: inputs.Config) -> None:
        self.config = config
        self.term = config.hard_state.term
        self.vote = config.hard_state.vote
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leader_known_since_start = False
        self.snapshot = config.snapshot
        self.partial_snapshot: PartialSnapshot | None = None
        self.compact_to = 0
        if self.snapshot is None:
            base = (0, 0, memberships.Membership())
        else:
            base = (
                self.snapshot.index,
                self.snapshot.term,
                self.snapshot.membership,
            )
        self.log = logs.RaftLog(*base, config.entries)
        self.progress: dict[str, progresses.Progress] = {}
        self.votes: dict[str, bool] = {}
        self.election_elapsed = 0
        self.heartbeat_elapsed = 0
        self.disk_full = False
        self.removed = config.member_id in base[2].removed
        self.reads_waiting: list[PendingRead] = []
        # Oldest first.
        self.read_rounds: list[ReadRound] = []
        self.read_round = 0
        self.read_round_due = True
        # Insertion order, oldest first.
        self.forwarded_reads: dict[int, None] = {}
        self.writes: list[Write] = []
        self.outbox: list[messages.PeerMessage] = []
        self.ready = inputs.Ready()
        self._random = random.Random(config.seed)
        self._hard_state_changed = False
        self._held_messages: list[messages.PeerMessage] = []
        self._next_write_id = 1
        self._start_term = self.term
        self.reset_election_timer()

    @property
    def member_id(self) -> str:
        return self.config.member_id

    @property
    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    @property
    def membership(self) -> memberships.Membership:
        return self.log.membership

    @property
    def may_campaign(self) -> bool:
        """Whether this member may start an election.

        It may if it is a voter of the membership in force or of the last
        committed one: a member whose removal is not yet committed may hold
        the most up-to-date log of the group, in which case no other member
        can be elected.
        """
        committed = self.log.membership_at(self.log.commit)
        return (
            self.member_id in self.membership.voters
            or self.member_id in committed.voters
        )

    @property
    def has_live_leader(self) -> bool:
        """Whether a leader sent a message within the election timeout."""
        return (
            self.leader_id is not None
            and self.election_elapsed < self.config.election_ticks
        )

    @property
    def committed_own_term(self) -> bool:
        return self.log.term_at(self.log.commit) == self.term

    def reset_election_timer(self) -> None:
        """Restart the election timer with a random timeout."""
        ticks = self.config.election_ticks
        first_ticks = self.config.first_election_ticks
        if first_ticks is not None and not self.leader_known_since_start:
            # Longer with each election that nobody won, since its votes may
            # need longer than the timeout.
            elections = self.term - self._start_term
            ticks = min(ticks, first_ticks * (1 + elections))
        self.election_elapsed = 0
        self.election_timeout = self._random.randint(ticks, 2 * ticks - 1)

    def set_term(self, term: int, vote: str | None) -> None:
        """Set the term and vote, which the next write makes durable."""
        if term != self.term:
            # Votes and acknowledgements of an older term must not be sent.
            self._held_messages.clear()
            for write in self.writes:
                write.held_messages.clear()
        self.term = term
        self.vote = vote
        self._hard_state_changed = True

    def become_follower(self, term: int, leader_id: str | None) -> None:
        """Become a follower; leader_id is None while no leader is known."""
        if term > self.term:
            self.set_term(term, None)
        if self.is_leader:
            self.drop_reads("lost leadership")
        if self.role is not Role.FOLLOWER:
            self.reset_election_timer()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if leader_id is not None:
            self.leader_known_since_start = True
        self.progress.clear()
        self.votes.clear()

    def drop_reads(self, reason: str) -> None:
        """Refuse this member's own reads and discard those of others."""
        waiting = [
            each for pending in self.read_rounds for each in pending.reads
        ]
        for read in (*waiting, *self.reads_waiting):
            if read.sender == self.member_id:
                self.drop(read.token, reason)
        self.reads_waiting.clear()
        self.read_rounds.clear()

    def drop(
        self,
        token: int,
        reason: str,
        cause: inputs.DropCause = inputs.DropCause.UNAVAILABLE,
    ) -> None:
        """Refuse a request of the node's owner."""
        self.ready.dropped.append(inputs.Dropped(token, cause, reason))

    def header(self, to: str) -> tuple[str, str, int]:
        """Returns: the common fields of a message in the current term."""
        return self.member_id, to, self.term

    def send(self, message: messages.PeerMessage) -> None:
        """Send a message that does not depend on a write."""
        self.outbox.append(message)

    def send_after_write(self, message: messages.PeerMessage) -> None:
        """Send a message once all changes made so far are durable."""
        self._held_messages.append(message)

    def commit_to(self, index: int) -> None:
        """Advance the commit index; it never goes back."""
        self.log.commit = max(self.log.commit, index)

    def acknowledge(self, leader_id: str, accepted: int) -> None:
        """Tell the leader how far the log matches.

        The acknowledgement waits until the accepted entries are durable,
        unless the disk is full.
        """
        if not self.disk_full:
            self.send_after_write(
                messages.AppendReply(
                    *self.header(leader_id), accepted, accepted
                )
            )
            return
        # With a full disk, entries are kept in memory only, so that reads are
        # still served. They do not count towards the quorum.
        match = min(accepted, self.log.persisted)
        self.send(
            messages.AppendReply(*self.header(leader_id), match, accepted)
        )

    def append(self, kind: log_entries.EntryKind, data: bytes) -> int:
        """Append an entry of the current term.

        Returns: its index.
        """
        index = self.log.last_index + 1
        self.log.add(log_entries.Entry(index, self.term, kind, data))
        return index

    def compact(self) -> None:
        """Remove some of the entries that a stored snapshot covers."""
        if self.compact_to > self.log.base_index:
            max_index = self.log.base_index + _MAX_COMPACTED_ENTRIES
            self.log.compact(min(self.compact_to, max_index))

    def cap_writes(self, index: int) -> None:
        """Limit pending writes to an index after later entries were replaced.

        Those writes hold the old entries and make none of the new ones
        durable.
        """
        for write in self.writes:
            write.index = min(write.index, index)

    def on_persisted(self, write_id: int) -> list[messages.PeerMessage]:
        """Record that a write and all earlier ones are durable.

        Returns: the messages that waited for them.
        """
        released = []
        while self.writes and self.writes[0].write_id <= write_id:
            write = self.writes.pop(0)
            self.log.persisted = max(self.log.persisted, write.index)
            released.extend(write.held_messages)
        return released

    def start_write(self) -> None:
        """Move unwritten state to the output.

        Messages that depend on a pending write are held until it is durable.
        """
        ready = self.ready
        ready.entries = self.log.take_unwritten()
        if self._hard_state_changed:
            ready.hard_state = log_entries.HardState(self.term, self.vote)
        if (
            ready.entries
            or self._hard_state_changed
            or ready.snapshot is not None
        ):
            ready.write_id = self._next_write_id
            self._next_write_id += 1
            write = Write(ready.write_id, self.log.last_index, [])
            self.writes.append(write)
        self._hard_state_changed = False
        if self.writes:
            self.writes[-1].held_messages.extend(self._held_messages)
        else:
            self.outbox.extend(self._held_messages)
        self._held_messages.clear()

    def take_ready(self) -> inputs.Ready:
        """Return the output collected since the last call, and reset it."""
        ready = self.ready
        ready.messages = self.outbox
        self.ready = inputs.Ready()
        self.outbox = []
        return ready
