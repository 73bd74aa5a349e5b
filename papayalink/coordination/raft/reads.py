"""Linearizable reads by read index, confirmed by a quorum."""

from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import messages
from papayalink.coordination.raft import node_state
from papayalink.coordination.raft import replication

# Owners start reads at a bounded rate and retry them with a new token, so
# only tokens whose request or reply was lost accumulate.
_FORWARDED_LIMIT = 1024


def request(state: node_state.NodeState, token: int) -> None:
    """Start a read of the node's owner; a follower asks the leader."""
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
    """Accept a read that a follower forwarded."""
    if state.is_leader:
        pending = node_state.PendingRead(message.sender, message.token)
        state.reads_waiting.append(pending)


def on_reply(state: node_state.NodeState, message) -> None:
    """Finish a forwarded read."""
    if message.token in state.forwarded_reads:
        del state.forwarded_reads[message.token]
        state.ready.reads.append(inputs.Read(message.token, message.index))


def advance(state: node_state.NodeState) -> None:
    """Finish confirmed read rounds and start the next one.

    A leader does not know the commit index of the group until an entry of
    its own term is committed, so reads wait until then. The commit index is
    recorded before the round begins. A quorum that still follows this leader
    afterwards proves that no later leader had committed anything at that
    time. Pacing only delays the start of a round, so a read still waits for a
    round that begins after the read arrived. Paced rounds do not wait for
    each other, since a slow reply would otherwise delay the reads of two
    rounds.
    """
    while state.is_leader:
        while state.read_rounds and _is_confirmed(state, state.read_rounds[0]):
            confirmed = state.read_rounds.pop(0)
            for read in confirmed.reads:
                _finish(state, read, confirmed.commit)
        if not _may_begin(state):
            return
        state.read_round += 1
        state.read_rounds.append(
            node_state.ReadRound(
                state.read_round, state.log.commit, state.reads_waiting
            )
        )
        state.reads_waiting = []
        if state.config.paced_reads:
            state.read_round_due = False
            state.ready.read_round_begun = True
        replication.broadcast_heartbeat(state)


def _may_begin(state: node_state.NodeState) -> bool:
    return (
        bool(state.reads_waiting)
        and state.read_round_due
        and (state.config.paced_reads or not state.read_rounds)
        and state.committed_own_term
    )


def _is_confirmed(
    state: node_state.NodeState, pending: node_state.ReadRound
) -> bool:
    confirming = {state.member_id}
    for peer, progress in state.progress.items():
        if progress.read_round >= pending.number:
            confirming.add(peer)
    return state.membership.has_quorum(confirming)


def _finish(
    state: node_state.NodeState, read: node_state.PendingRead, commit: int
) -> None:
    if read.sender == state.member_id:
        found = inputs.Read(read.token, commit)
        state.ready.reads.append(found)
        return
    header = state.header(read.sender)
    state.send(messages.ReadReply(*header, read.token, commit))
