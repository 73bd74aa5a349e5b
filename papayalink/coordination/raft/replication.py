"""Log replication and heartbeats."""

from papayalink.coordination.raft import installation
from papayalink.coordination.raft import messages
from papayalink.coordination.raft import node_state
from papayalink.coordination.raft import progress as progresses

_Mode = progresses.Mode


def sync_peers(state: node_state.NodeState) -> None:
    """Track all members of the memberships in force and last committed."""
    current = state.membership.ids
    committed = state.log.membership_at(state.log.commit).ids
    tracked = {*current, *committed} - {state.member_id}
    for peer in sorted(tracked - state.progress.keys()):
        next_index = state.log.last_index
        state.progress[peer] = progresses.Progress(next_index, active=True)
    for peer in state.progress.keys() - tracked:
        del state.progress[peer]


def tick(state: node_state.NodeState) -> None:
    """Send due heartbeats; suspend snapshot transfers that got no reply."""
    for progress in state.progress.values():
        if progress.mode is _Mode.SNAPSHOT:
            progress.waited_ticks += 1
            if progress.waited_ticks >= state.config.snapshot_ticks:
                progress.probe(progress.match + 1)
    state.heartbeat_elapsed += 1
    if state.heartbeat_elapsed >= state.config.heartbeat_ticks:
        broadcast_heartbeat(state)


def broadcast_heartbeat(state: node_state.NodeState) -> None:
    """Send a heartbeat with the current read round to every peer."""
    state.heartbeat_elapsed = 0
    for peer, progress in state.progress.items():
        # Beyond progress.match, the peer's log may differ.
        commit = min(state.log.commit, progress.match)
        heartbeat = messages.Heartbeat(
            *state.header(peer), commit, state.read_round
        )
        state.send(heartbeat)


def send_pending(state: node_state.NodeState) -> None:
    """Send each peer the entries it lacks, within its window."""
    for peer, progress in state.progress.items():
        _send_pending_to(state, peer, progress)


def _send_pending_to(state, peer, progress) -> None:
    config = state.config
    log = state.log
    while progress.is_message_due(
        log.last_index, log.commit, config.window_entries
    ):
        prev_index = progress.next_index - 1
        prev_term = log.term_at(prev_index)
        if prev_term is None:
            installation.send(state, peer, progress)
            return
        entries = ()
        if progress.has_room(config.window_entries):
            entries = log.slice(
                progress.next_index,
                config.max_batch_entries,
                config.max_batch_bytes,
            )
        state.send(
            messages.Append(
                *state.header(peer), prev_index, prev_term, entries, log.commit
            )
        )
        progress.sent_commit = log.commit
        progress.force_send = False
        if progress.mode is _Mode.PROBE:
            progress.paused = True
        else:
            progress.next_index += len(entries)


def advance_commit(state: node_state.NodeState) -> None:
    """Commit entries that are durable at a quorum of voters.

    Only an entry of the current term is committed by counting: an entry of an
    older term held by a quorum may still be replaced by a later leader.
    """
    matches = sorted(
        (
            (
                state.log.persisted
                if voter == state.member_id
                else state.progress[voter].match
            )
            for voter in state.membership.voters
        ),
        reverse=True,
    )
    if not matches:
        return
    index = matches[state.membership.quorum - 1]
    if index > state.log.commit and state.log.term_at(index) == state.term:
        state.log.commit = index


def on_append(state: node_state.NodeState, message) -> None:
    """Merge a leader's entries into the log."""
    log = state.log
    accepted = message.prev_index + len(message.entries)
    if accepted <= log.commit:
        # The message is late: committed entries are known to match.
        state.acknowledge(message.sender, log.commit)
        return
    if message.prev_index > log.base_index:
        held_term = log.term_at(message.prev_index)
        if held_term != message.prev_term:
            _refuse(state, message)
            return
    unwritten = log.last_index - log.persisted
    if state.disk_full and unwritten >= state.config.window_entries:
        return
    truncated = log.merge(message.entries)
    if truncated is not None:
        state.cap_writes(truncated - 1)
    # A leader whose entries match is not sending a snapshot.
    state.partial_snapshot = None
    state.commit_to(min(message.commit, accepted))
    state.acknowledge(message.sender, accepted)


def on_append_reply(state: node_state.NodeState, message) -> None:
    """Record how far a peer's log matches."""
    progress = state.progress.get(message.sender)
    if progress is not None:
        progress.active = True
        progress.acknowledge(message.match, message.accepted)


def on_append_refused(state: node_state.NodeState, message) -> None:
    """Go back to the next entry at which the logs may match."""
    progress = state.progress.get(message.sender)
    if progress is None:
        return
    progress.active = True
    if progress.mode is _Mode.SNAPSHOT or message.prev_index <= progress.match:
        return
    if (
        progress.mode is _Mode.PROBE
        and message.prev_index != progress.next_index - 1
    ):
        return
    candidate = min(message.hint_index, message.prev_index - 1)
    progress.accepted = progress.match
    progress.probe(
        state.log.last_at_or_below(candidate, message.hint_term) + 1
        if candidate >= state.log.base_index
        else candidate + 1
    )


def on_heartbeat(state: node_state.NodeState, message) -> None:
    """Answer at once, since neither leadership nor reads need a write."""
    state.commit_to(min(message.commit, state.log.last_index))
    state.send(
        messages.HeartbeatReply(
            *state.header(message.sender), message.read_round
        )
    )


def on_heartbeat_reply(state: node_state.NodeState, message) -> None:
    """Record that a peer follows, and prompt it to report lost messages."""
    progress = state.progress.get(message.sender)
    if progress is None:
        return
    progress.active = True
    progress.paused = False
    progress.read_round = max(progress.read_round, message.read_round)
    if progress.match < state.log.last_index:
        progress.force_send = True


def _refuse(state, message) -> None:
    hint = state.log.last_at_or_below(
        message.prev_index - 1, message.prev_term
    )
    state.send(
        messages.AppendRefused(
            *state.header(message.sender),
            message.prev_index,
            hint,
            state.log.term_at(hint),
        )
    )
