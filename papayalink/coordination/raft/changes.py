"""Single-server membership changes in the log."""

from papayalink.coordination import errors
from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import node_state
from papayalink.coordination.raft import replication
from papayalink.state import log_entries


def request(
    state: node_state.NodeState, change_input: inputs.ChangeMembers
) -> None:
    """Append a membership change to the log, or refuse it."""
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
    """Apply the effects of a committed membership change."""
    if state.is_leader:
        replication.sync_peers(state)
    committed = state.log.membership_at(state.log.commit)
    if state.member_id in committed.removed:
        remove_self(state)


def remove_self(state: node_state.NodeState) -> None:
    """Stop taking part in the group permanently."""
    state.become_follower(state.term, None)
    state.removed = True


def _check_allowed(state, change: memberships.Change) -> None:
    # Majorities of two memberships that differ by one voter overlap. The
    # overlap is lost when two changes are uncommitted at once, or when a new
    # leader appends a change before an entry of its own term is committed:
    # until then it may not know of an earlier change.
    if state.log.membership_index > state.log.commit:
        raise errors.ChangeRefused("an earlier change is not yet committed")
    if not state.committed_own_term:
        raise errors.ChangeRefused(
            "the leader has not yet committed an entry of its term"
        )
    if isinstance(change, memberships.PromoteLearner):
        progress = state.progress.get(change.member_id)
        if progress is None:
            raise errors.ChangeRefused(f"{change.member_id} is not a learner")
        lag = state.log.last_index - progress.match
        if not progress.active or lag > state.config.promotion_lag:
            raise errors.ChangeRefused(
                f"learner {change.member_id} is {lag} entries behind"
            )
