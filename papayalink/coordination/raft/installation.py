"""Transfer of snapshots in parts, from the leader to a peer."""

import msgspec

from papayalink.coordination.raft import messages
from papayalink.coordination.raft import node_state
from papayalink.coordination.raft import progress as progresses


def send(
    state: node_state.NodeState, peer: str, progress: progresses.Progress
) -> None:
    """Start or resume sending a snapshot to a peer."""
    # A snapshot sent to a peer that does not answer would be wasted, so wait
    # for a heartbeat reply first.
    if not progress.active:
        progress.probe(progress.next_index)
        progress.paused = True
        return
    earlier = progress.snapshot
    # A transfer is not resumed once the log no longer holds the entries that
    # follow its snapshot: the peer would need another snapshot right after it.
    if earlier is None or state.log.term_at(earlier.index) is None:
        progress.snapshot = state.snapshot
    progress.mode = progresses.Mode.SNAPSHOT
    progress.force_send = False
    progress.next_index = progress.snapshot.index + 1
    _send_part(state, peer, progress, 0)


def on_snapshot_reply(
    state: node_state.NodeState, message: messages.SnapshotReply
) -> None:
    """Send the next part that the peer needs."""
    progress = state.progress.get(message.sender)
    if progress is None:
        return
    progress.active = True
    if (
        progress.mode is not progresses.Mode.SNAPSHOT
        or progress.snapshot.index != message.index
        # A duplicate reply must not start a second transfer.
        or progress.last_sent_part == message.received
    ):
        return
    if message.received < len(progress.snapshot.parts):
        _send_part(state, message.sender, progress, message.received)


def on_install_snapshot(
    state: node_state.NodeState, message: messages.InstallSnapshot
) -> None:
    """Store a part; the last one replaces the log with the snapshot."""
    head = message.head
    if head.index <= state.log.commit:
        state.partial_snapshot = None
        state.acknowledge(message.sender, state.log.commit)
        return
    if state.log.term_at(head.index) == head.term:
        state.partial_snapshot = None
        state.commit_to(head.index)
        state.acknowledge(message.sender, head.index)
        return
    partial_snapshot = _add_part(state, message)
    if len(partial_snapshot.parts) < message.count:
        state.send(
            messages.SnapshotReply(
                *state.header(message.sender),
                head.index,
                len(partial_snapshot.parts),
            )
        )
        return
    state.partial_snapshot = None
    parts = tuple(partial_snapshot.parts)
    _install(state, msgspec.structs.replace(head, parts=parts))
    state.acknowledge(message.sender, head.index)


def _add_part(
    state: node_state.NodeState, message: messages.InstallSnapshot
) -> node_state.PartialSnapshot:
    """Add a part to the partial snapshot if it is the next one.

    A part of another snapshot or sender starts a new partial snapshot.
    """
    partial_snapshot = state.partial_snapshot
    if (
        partial_snapshot is None
        or partial_snapshot.sender != message.sender
        or partial_snapshot.head != message.head
    ):
        partial_snapshot = node_state.PartialSnapshot(
            message.sender, message.head, []
        )
        state.partial_snapshot = partial_snapshot
    if message.count and message.number == len(partial_snapshot.parts):
        partial_snapshot.parts.append(message.data)
    return partial_snapshot


def _install(state: node_state.NodeState, snapshot: messages.Snapshot) -> None:
    log = state.log
    state.cap_writes(log.commit)
    log.persisted = min(log.persisted, log.commit)
    log.reset(snapshot.index, snapshot.term, snapshot.membership)
    state.snapshot = snapshot
    state.ready.snapshot = snapshot


def _send_part(
    state: node_state.NodeState,
    peer: str,
    progress: progresses.Progress,
    number: int,
) -> None:
    snapshot = progress.snapshot
    state.send(
        messages.InstallSnapshot(
            *state.header(peer),
            msgspec.structs.replace(snapshot, parts=()),
            number,
            len(snapshot.parts),
            snapshot.parts[number] if snapshot.parts else b"",
        )
    )
    progress.last_sent_part = number
    progress.waited_ticks = 0
