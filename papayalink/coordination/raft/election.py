"""Leader election: timeouts, pre-votes, votes and the quorum check."""

from papayalink.coordination.raft import messages
from papayalink.coordination.raft import node_state
from papayalink.coordination.raft import replication
from papayalink.state import log_entries

_Role = node_state.Role


def tick(state: node_state.NodeState) -> None:
    """Advance the election clock by one tick."""
    state.election_elapsed += 1
    if state.is_leader:
        if state.election_elapsed >= state.config.election_ticks:
            _check_quorum(state)
        return
    if state.election_elapsed < state.election_timeout:
        return
    state.reset_election_timer()
    # A member with a full disk could not make its own vote durable.
    if state.may_campaign and not state.disk_full:
        _start_pre_vote(state)


def on_pre_vote(state: node_state.NodeState, message) -> None:
    """Answer a pre-vote request without changing the term or the vote."""
    if ignores_vote(state, message):
        return
    header = state.header(message.sender)
    if message.term <= state.term or not _is_up_to_date(state, message):
        state.send(messages.PreVoteReply(*header, granted=False))
        return
    sender, to, _ = header
    state.send(messages.PreVoteReply(sender, to, message.term, granted=True))


def on_pre_vote_reply(state: node_state.NodeState, message) -> None:
    """Count a pre-vote; a quorum of grants starts the election."""
    if state.role is not _Role.PRE_CANDIDATE:
        return
    expected = state.term + 1 if message.granted else state.term
    if message.term != expected:
        return
    state.votes[message.sender] = message.granted
    if _has_won(state):
        _start_election(state)


def ignores_vote(state: node_state.NodeState, message) -> bool:
    """Check whether to ignore a vote or pre-vote request.

    A member that hears from a leader ignores such requests, so that a removed
    or partitioned member cannot depose the leader. A member with a full disk
    ignores them because it could not make its vote durable. A sender that was
    removed from the group is ignored too, and told of its removal.

    Returns: whether the request must not change any state.
    """
    return (
        state.disk_full
        or state.has_live_leader
        or _notify_if_removed(state, message.sender)
    )


def on_vote(state: node_state.NodeState, message) -> None:
    """Answer a vote request of the current term.

    The receiver does not check that it is a voter itself: the candidate asks
    only voters, and its log may hold a promotion not yet received here.
    """
    granted = state.vote in (None, message.sender) and _is_up_to_date(
        state, message
    )
    if granted:
        if state.vote is None:
            state.set_term(state.term, message.sender)
        state.reset_election_timer()
    state.send_after_write(
        messages.VoteReply(*state.header(message.sender), granted=granted)
    )


def on_vote_reply(state: node_state.NodeState, message) -> None:
    """Count a vote; a quorum of grants makes this member the leader."""
    if state.role is not _Role.CANDIDATE or state.disk_full:
        return
    state.votes[message.sender] = message.granted
    if _has_won(state):
        _become_leader(state)


def _start_pre_vote(state: node_state.NodeState) -> None:
    state.role = _Role.PRE_CANDIDATE
    state.leader_id = None
    state.votes = {state.member_id: True}
    if _has_won(state):
        _start_election(state)
        return
    for peer in _other_voters(state):
        request = messages.PreVote(
            state.member_id,
            peer,
            state.term + 1,
            state.log.last_index,
            state.log.last_term,
        )
        state.send(request)


def _start_election(state: node_state.NodeState) -> None:
    state.role = _Role.CANDIDATE
    state.leader_id = None
    state.votes = {}
    state.set_term(state.term + 1, state.member_id)
    state.reset_election_timer()
    # This member's own vote is counted, and the other voters are asked, only
    # once that vote is durable. A member that restarts without it could vote
    # a second time in the same term.
    own_vote = state.header(state.member_id)
    state.send_after_write(messages.VoteReply(*own_vote, granted=True))
    for peer in _other_voters(state):
        state.send_after_write(
            messages.Vote(
                *state.header(peer),
                state.log.last_index,
                state.log.last_term,
            )
        )


def _become_leader(state: node_state.NodeState) -> None:
    state.role = _Role.LEADER
    state.leader_id = state.member_id
    state.leader_known_since_start = True
    state.election_elapsed = 0
    state.heartbeat_elapsed = 0
    state.forwarded_reads.clear()
    state.progress.clear()
    # Entries of older terms are committed only together with a later entry
    # of the current term, so the leader appends one at once.
    state.append(log_entries.EntryKind.NOOP, b"")
    replication.sync_peers(state)


def _check_quorum(state: node_state.NodeState) -> None:
    state.election_elapsed = 0
    active = {state.member_id}
    for peer, progress in state.progress.items():
        if progress.active:
            active.add(peer)
        progress.active = False
    if not state.membership.has_quorum(active):
        state.become_follower(state.term, None)


def _has_won(state: node_state.NodeState) -> bool:
    granted = {peer for peer, vote in state.votes.items() if vote}
    return state.membership.has_quorum(granted)


def _is_up_to_date(state: node_state.NodeState, message) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (message.last_term, message.last_index) >= own


def _other_voters(state: node_state.NodeState) -> list[str]:
    voters = state.membership.voters
    return [voter for voter in voters if voter != state.member_id]


def _notify_if_removed(state: node_state.NodeState, sender: str) -> bool:
    committed = state.log.membership_at(state.log.commit)
    if sender not in committed.removed:
        return False
    state.send(messages.Removed(*state.header(sender)))
    return True
