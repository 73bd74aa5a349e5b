"""State of a node, shared by the modules of the core."""

import enum
import random

import msgspec

from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import log as logs
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages
from papayalink.coordination.raft import progress as progresses
from papayalink.state import log_entries

# Entries forgotten in one step; a log as large as the ledger has a million,
# and freeing them all takes over 100 ms.
_MAX_COMPACTED_ENTRIES = 20_000


class Role(enum.Enum):
    """Role of a member; learners are followers that never campaign."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Write(msgspec.Struct):
    """A write given to the log store and not yet synced.

    Attributes:
        write_id: number of the write.
        index: last entry that is durable once the write is.
        held: messages that rest on the write.
    """

    write_id: int
    index: int
    held_messages: list[messages.PeerMessage]


class PartialSnapshot(msgspec.Struct):
    """A snapshot that arrives in parts.

    Attributes:
        sender: member that sends it; parts of two members are not mixed.
        head: the snapshot without its parts.
        parts: received so far, in order.
    """

    sender: str
    head: messages.Snapshot
    parts: list[bytes]


class PendingRead(msgspec.Struct, frozen=True):
    """A read at the leader; the sender is the member that asked."""

    sender: str
    token: int


class ReadRound(msgspec.Struct, frozen=True):
    """A round under way at the leader.

    Attributes:
        number: echoed by the members that confirm it.
        commit: commit index when it began.
        reads: what it confirms.
    """

    number: int
    commit: int
    reads: list[PendingRead]


class NodeState:
    """All state of a node; no method does I/O or reads a clock.

    Args:
        config: see inputs.Config.
    """

    __slots__ = (
        "config",
        "term",
        "vote",
        "role",
        "leader_id",
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
        """Whether this member votes now or did before an uncommitted change.

        A member whose own removal is not committed may hold the longest log
        of all, and then nobody else can be elected.
        """
        committed = self.log.membership_at(self.log.commit)
        return (
            self.member_id in self.membership.voters
            or self.member_id in committed.voters
        )

    @property
    def has_live_leader(self) -> bool:
        """Whether a leader was heard from within the election timeout."""
        return (
            self.leader_id is not None
            and self.election_elapsed < self.config.election_ticks
        )

    @property
    def committed_own_term(self) -> bool:
        return self.log.term_at(self.log.commit) == self.term

    def reset_election_timer(self) -> None:
        """Start a new election timeout of a random length."""
        ticks = self.config.election_ticks
        if self.leader_id is None and self.term == self._start_term:
            ticks = self.config.first_election_ticks or ticks
        self.election_elapsed = 0
        self.election_timeout = self._random.randint(ticks, 2 * ticks - 1)

    def set_term(self, term: int, vote: str | None) -> None:
        """Enter a term or vote in it; durable with the next write."""
        if term != self.term:
            # What was promised in an older term must not be sent any more.
            self._held_messages.clear()
            for write in self.writes:
                write.held_messages.clear()
        self.term = term
        self.vote = vote
        self._hard_state_changed = True

    def become_follower(self, term: int, leader_id: str | None) -> None:
        """Follow a leader, or wait for one when the id is None."""
        if term > self.term:
            self.set_term(term, None)
        if self.is_leader:
            self.drop_reads("lost leadership")
        if self.role is not Role.FOLLOWER:
            self.reset_election_timer()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.progress.clear()
        self.votes.clear()

    def drop_reads(self, reason: str) -> None:
        """Refuse the own reads that wait at this leader."""
        waiting = [each for one in self.read_rounds for each in one.reads]
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
        """Refuse a request of the owner."""
        self.ready.dropped.append(inputs.Dropped(token, cause, reason))

    def header(self, to: str) -> tuple[str, str, int]:
        """Returns: the first fields of a message of the current term."""
        return self.member_id, to, self.term

    def send(self, message: messages.PeerMessage) -> None:
        """Send a message that rests on no write."""
        self.outbox.append(message)

    def send_after_write(self, message: messages.PeerMessage) -> None:
        """Send a message once everything changed so far is durable."""
        self._held_messages.append(message)

    def commit_to(self, index: int) -> None:
        """Note that entries up to an index are committed."""
        self.log.commit = max(self.log.commit, index)

    def acknowledge(self, leader_id: str, accepted: int) -> None:
        """Tell the leader how far the log matches, once it is durable."""
        if not self.disk_full:
            self.send_after_write(
                messages.AppendReply(
                    *self.header(leader_id), accepted, accepted
                )
            )
            return
        # Without room on disk, entries are followed in memory, so that
        # reads continue to be served; they do not count for the quorum.
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
        """Forget some of the entries that a stored snapshot covers."""
        if self.compact_to > self.log.base_index:
            step = self.log.base_index + _MAX_COMPACTED_ENTRIES
            self.log.compact(min(self.compact_to, step))

    def cap_writes(self, index: int) -> None:
        """Entries after the index were replaced.

        Writes already under way no longer make those durable.
        """
        for write in self.writes:
            write.index = min(write.index, index)

    def on_persisted(self, write_id: int) -> list[messages.PeerMessage]:
        """Record finished writes.

        Returns: the messages that rested on them.
        """
        released = []
        while self.writes and self.writes[0].write_id <= write_id:
            write = self.writes.pop(0)
            self.log.persisted = max(self.log.persisted, write.index)
            released.extend(write.held_messages)
        return released

    def start_write(self) -> None:
        """Put unwritten state into the output, and what rests on it aside."""
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
        """Returns: the output collected since the last call."""
        ready = self.ready
        ready.messages = self.outbox
        self.ready = inputs.Ready()
        self.outbox = []
        return ready
