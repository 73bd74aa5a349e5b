"""Raft state machine of one member, without I/O or a clock."""

from papayalink.coordination.raft import changes
from papayalink.coordination.raft import election
from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import installation
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages
from papayalink.coordination.raft import node_state
from papayalink.coordination.raft import reads
from papayalink.coordination.raft import replication
from papayalink.state import log_entries

_LEADER_MESSAGES = (
    messages.Append,
    messages.Heartbeat,
    messages.InstallSnapshot,
)


class Node:
    """Raft node of one member.

    The owner calls step() with inputs and carries out the returned Ready.

    Args:
        config: see inputs.Config.
    """

    __slots__ = ("_state",)

    def __init__(self, config: inputs.Config) -> None:
        self._state = node_state.NodeState(config)

    @property
    def term(self) -> int:
        return self._state.term

    @property
    def role(self) -> node_state.Role:
        return self._state.role

    @property
    def is_leader(self) -> bool:
        return self._state.is_leader

    @property
    def leader_id(self) -> str | None:
        return self._state.leader_id

    @property
    def membership(self) -> memberships.Membership:
        return self._state.membership

    @property
    def commit(self) -> int:
        return self._state.log.commit

    @property
    def persisted(self) -> int:
        return self._state.log.persisted

    @property
    def first_index(self) -> int:
        return self._state.log.base_index + 1

    @property
    def last_index(self) -> int:
        return self._state.log.last_index

    @property
    def last_term(self) -> int:
        return self._state.log.last_term

    @property
    def removed(self) -> bool:
        return self._state.removed

    @property
    def disk_full(self) -> bool:
        return self._state.disk_full

    @property
    def match(self) -> dict[str, int]:
        """Last durable index of each peer; empty unless this is the leader."""
        return {
            peer: progress.match
            for peer, progress in self._state.progress.items()
        }

    def make_snapshot(
        self, index: int, parts: tuple[bytes, ...]
    ) -> messages.Snapshot:
        """Build a snapshot at an index.

        Args:
            index: an applied index that the log still holds.
            parts: state of the machine as of that index.
        """
        log = self._state.log
        return messages.Snapshot(
            index, log.term_at(index), log.membership_at(index), parts
        )

    def step(self, node_input: inputs.Input) -> inputs.Ready:
        """Handle one input.

        Returns: what the owner has to write, send and apply.
        """
        state = self._state
        self._handle(node_input)
        if state.is_leader:
            replication.advance_commit(state)
            reads.advance(state)
            replication.send_pending(state)
        _deliver_committed(state)
        state.compact()
        state.start_write()
        state.ready.removed = state.removed
        return state.take_ready()

    def _handle(self, node_input: inputs.Input) -> None:
        state = self._state
        match node_input:
            case inputs.Batch(batch):
                for each in batch:
                    self._handle(each)
            case inputs.Receive(message):
                if message.to == state.member_id:
                    _receive(state, message)
            case inputs.Tick():
                if not state.removed:
                    election.tick(state)
                if state.is_leader:
                    replication.tick(state)
            case inputs.Propose(data, token):
                if _may_append(state, token):
                    kind = log_entries.EntryKind.COMMAND
                    index = state.append(kind, data)
                    state.ready.appended.append(
                        inputs.Appended(token, index, state.term)
                    )
            case inputs.ChangeMembers(_, token):
                if _may_append(state, token):
                    changes.request(state, node_input)
            case inputs.ReadIndex(token):
                if state.removed:
                    state.drop(token, "this member was removed")
                else:
                    reads.request(state, token)
            case inputs.ReadRoundDue():
                state.read_round_due = True
            case inputs.Persisted(write_id):
                for message in state.on_persisted(write_id):
                    if message.to == state.member_id:
                        _receive(state, message)
                    else:
                        state.send(message)
            case inputs.Compacted(snapshot):
                _compact(state, snapshot)
            case inputs.StorageFull():
                state.disk_full = True
                if state.is_leader:
                    state.become_follower(state.term, None)
            case inputs.StorageFree():
                state.disk_full = False


def _may_append(state: node_state.NodeState, token: int) -> bool:
    if not state.is_leader:
        cause = inputs.DropCause.NOT_LEADER
        state.drop(token, f"the leader is {state.leader_id}", cause)
    elif state.disk_full:
        state.drop(token, "the disk is full")
    else:
        return True
    return False


def _receive(state: node_state.NodeState, message) -> None:
    if state.removed or not _enter_term(state, message):
        return
    if isinstance(message, _LEADER_MESSAGES):
        if state.leader_id != message.sender or not _is_follower(state):
            state.become_follower(message.term, message.sender)
        state.reset_election_timer()
    match message:
        case messages.PreVote():
            election.on_pre_vote(state, message)
        case messages.PreVoteReply():
            election.on_pre_vote_reply(state, message)
        case messages.Vote():
            election.on_vote(state, message)
        case messages.VoteReply():
            election.on_vote_reply(state, message)
        case messages.Append():
            replication.on_append(state, message)
        case messages.AppendReply():
            replication.on_append_reply(state, message)
        case messages.AppendRefused():
            replication.on_append_refused(state, message)
        case messages.Heartbeat():
            replication.on_heartbeat(state, message)
        case messages.HeartbeatReply():
            replication.on_heartbeat_reply(state, message)
        case messages.InstallSnapshot():
            installation.on_install_snapshot(state, message)
        case messages.SnapshotReply():
            installation.on_snapshot_reply(state, message)
        case messages.ReadRequest():
            reads.on_request(state, message)
        case messages.ReadReply():
            reads.on_reply(state, message)
        case messages.Removed():
            changes.remove_self(state)


def _enter_term(state: node_state.NodeState, message) -> bool:
    """Adopt a newer term from a message, and reject messages of older ones.

    Returns: whether the message is to be handled in the current term.
    """
    match message:
        case messages.PreVote() | messages.PreVoteReply(granted=True):
            return True
        case messages.ReadReply() | messages.Removed():
            # Their content is valid in every term.
            return True
        case messages.Vote() if message.term >= state.term:
            if election.ignores_vote(state, message):
                return False
    if message.term > state.term:
        state.become_follower(message.term, None)
    elif message.term < state.term:
        if isinstance(message, _LEADER_MESSAGES):
            # Without this reply, a member whose term is ahead of the leader's
            # could neither follow the leader nor win votes from its followers.
            stale = messages.StaleTerm(*state.header(message.sender))
            state.send(stale)
        return False
    return True


def _is_follower(state: node_state.NodeState) -> bool:
    return state.role is node_state.Role.FOLLOWER


def _deliver_committed(state: node_state.NodeState) -> None:
    committed = state.log.take_committed()
    state.ready.committed.extend(committed)
    changed = any(
        entry.kind == log_entries.EntryKind.MEMBERSHIP for entry in committed
    )
    if changed or state.ready.snapshot is not None:
        changes.on_committed(state)


def _compact(state, snapshot: messages.Snapshot) -> None:
    if state.snapshot is None or snapshot.index > state.snapshot.index:
        state.snapshot = snapshot
    state.compact_to = (
        min(snapshot.index, state.log.delivered)
        - state.config.trailing_entries
    )


def make_node(config: inputs.Config) -> Node:
    """Returns: a member that starts as a follower."""
    return Node(config)
