"""Membership changes in the log, one at a time."""

from papayalink.coordination import errors
from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import node_state
from papayalink.coordination.raft import replication
from papayalink.state import log_entries


def request(
    state: node_state.NodeState, change_input: inputs.ChangeMembers
) -> None:
    """Append a change, or refuse it."""
    try:
        _check_allowed(state, change_input.change)
        changed = memberships.apply_change(
            state.membership, change_input.change
        )
    except errors.ChangeRefused as refusal:
        cause = inputs.DropCause.CHANGE_REFUSED
        state.drop(change_input.token, str(refusal), cause)
        return
    index = state.append(
        log_entries.EntryKind.MEMBERSHIP, memberships.encode(changed)
    )
    state.ready.appended.append(
        inputs.Appended(change_input.token, index, state.term)
    )
    replication.sync_peers(state)


def on_committed(state: node_state.NodeState) -> None:
    """Take note of a committed change."""
    if state.is_leader:
        replication.sync_peers(state)
    committed = state.log.membership_at(state.log.commit)
    if state.member_id in committed.removed:
        remove_self(state)


def remove_self(state: node_state.NodeState) -> None:
    """Stop taking part in the group for good."""
    state.become_follower(state.term, None)
    state.removed = True


def _check_allowed(state, change: memberships.Change) -> None:
    # Majorities of memberships that differ by one voter overlap. That fails
    # with two changes under way, and with a change that a new leader appends
    # before it knows, by a commit of its own term, of an earlier one.
    if state.log.membership_index > state.log.commit:
        raise errors.ChangeRefused("an earlier change is not yet committed")
    if not state.committed_own_term:
        raise errors.ChangeRefused("the leader has not yet committed")
    if isinstance(change, memberships.PromoteLearner):
        progress = state.progress.get(change.member_id)
        if progress is None:
            raise errors.ChangeRefused(f"{change.member_id} is not a learner")
        lag = state.log.last_index - progress.match
        if not progress.active or lag > state.config.promotion_lag:
            raise errors.ChangeRefused(
                f"learner {change.member_id} lacks {lag} entries"
            )
