"""Reads confirmed by a quorum round (read index)."""

from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import messages
from papayalink.coordination.raft import node_state
from papayalink.coordination.raft import replication

# Owners keep one read under way and repeat it with a new token, so that only
# tokens whose request or reply was lost add up.
_FORWARDED_LIMIT = 1024


def request(state: node_state.NodeState, token: int) -> None:
    """Start a read of the owner; followers forward it to the leader."""
    if state.is_leader:
        own = node_state.PendingRead(state.member_id, token)
        state.reads_waiting.append(own)
    elif state.leader_id is None:
        state.drop(token, "no leader is known")
    else:
        state.forwarded_reads[token] = None
        if len(state.forwarded_reads) > _FORWARDED_LIMIT:
            oldest = next(iter(state.forwarded_reads))
            del state.forwarded_reads[oldest]
            state.drop(oldest, "the leader did not answer")
        header = state.header(state.leader_id)
        state.send(messages.ReadRequest(*header, token))


def on_request(state: node_state.NodeState, message) -> None:
    """Take a read that a follower forwarded."""
    if state.is_leader:
        pending = node_state.PendingRead(message.sender, message.token)
        state.reads_waiting.append(pending)


def on_reply(state: node_state.NodeState, message) -> None:
    """Finish a forwarded read."""
    if message.token in state.forwarded_reads:
        del state.forwarded_reads[message.token]
        state.ready.reads.append(inputs.Read(message.token, message.index))


def advance(state: node_state.NodeState) -> None:
    """Finish a confirmed round and start the next one.

    A leader does not know the commit index of the group until an entry of
    its own term is committed; reads wait until then. The index is taken
    before the round begins, so a quorum that still follows this leader after
    that proves that no later leader had committed anything by then. Pacing
    only delays the beginning of a round, so a read still waits for one that
    begins after the read arrived.
    """
    while state.is_leader:
        if state.reads_in_round:
            if not _is_confirmed(state):
                return
            for read in state.reads_in_round:
                _finish(state, read)
            state.reads_in_round = []
        if not _may_begin(state):
            return
        state.reads_in_round = state.reads_waiting
        state.reads_waiting = []
        state.read_commit = state.log.commit
        state.read_round += 1
        if state.config.paced_reads:
            state.read_round_due = False
            state.ready.read_round_begun = True
        replication.broadcast_heartbeat(state)


def _may_begin(state: node_state.NodeState) -> bool:
    return (
        bool(state.reads_waiting)
        and state.read_round_due
        and state.committed_own_term
    )


def _is_confirmed(state: node_state.NodeState) -> bool:
    confirming = {state.member_id}
    for peer, progress in state.progress.items():
        if progress.read_round >= state.read_round:
            confirming.add(peer)
    return state.membership.has_quorum(confirming)


def _finish(state: node_state.NodeState, read: node_state.PendingRead) -> None:
    if read.sender == state.member_id:
        found = inputs.Read(read.token, state.read_commit)
        state.ready.reads.append(found)
        return
    header = state.header(read.sender)
    state.send(messages.ReadReply(*header, read.token, state.read_commit))
