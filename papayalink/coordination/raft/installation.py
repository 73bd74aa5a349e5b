"""Sending and receiving of snapshots, part by part."""

import msgspec

from papayalink.coordination.raft import messages
from papayalink.coordination.raft import node_state
from papayalink.coordination.raft import progress as progresses


def send(
    state: node_state.NodeState, peer: str, progress: progresses.Progress
) -> None:
    """Start or resume sending a snapshot to a peer."""
    # A peer that does not answer would receive the snapshot for nothing.
    if not progress.active:
        progress.probe(progress.next_index)
        progress.paused = True
        return
    earlier = progress.snapshot
    # One whose next entry is gone would only be followed by another one.
    if earlier is None or state.log.term_at(earlier.index) is None:
        progress.snapshot = state.snapshot
    progress.mode = progresses.Mode.SNAPSHOT
    progress.force_send = False
    progress.next_index = progress.snapshot.index + 1
    _send_part(state, peer, progress, 0)


def on_snapshot_reply(
    state: node_state.NodeState, message: messages.SnapshotReply
) -> None:
    """Send the part that a peer lacks."""
    progress = state.progress.get(message.sender)
    if progress is None:
        return
    progress.active = True
    if (
        progress.mode is not progresses.Mode.SNAPSHOT
        or progress.snapshot.index != message.index
        # A second copy of a reply must not start a second transfer.
        or progress.last_sent_part == message.received
    ):
        return
    if message.received < len(progress.snapshot.parts):
        _send_part(state, message.sender, progress, message.received)


def on_install_snapshot(
    state: node_state.NodeState, message: messages.InstallSnapshot
) -> None:
    """Take a part; the last one replaces the log by the snapshot."""
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
    """Returns: what is held of the snapshot, with this part if it fits."""
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
