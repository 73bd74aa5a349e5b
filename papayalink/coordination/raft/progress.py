"""Replication progress of one peer, as the leader knows it."""

import enum

import msgspec

from papayalink.coordination.raft import messages


class Mode(enum.Enum):
    """How entries are sent to a peer."""

    PROBE = "probe"  # one message at a time until a matching entry is found
    REPLICATE = "replicate"  # pipelined
    SNAPSHOT = "snapshot"  # no entries until a snapshot is installed


class Progress(msgspec.Struct):
    """Replication progress of one peer.

    Attributes:
        next_index: first index of the next message.
        match: last matching index known to be durable at the peer.
        accepted: last matching index known to be in the peer's memory.
        mode: how entries are sent to the peer.
        paused: in PROBE, a message has been sent and not answered.
        force_send: in REPLICATE, send a message even without new entries; a
            peer that missed an earlier message refuses it and thereby reports
            the loss.
        active: the peer has answered since the last quorum check.
        sent_commit: commit index in the last Append message.
        read_round: last read round that the peer confirmed.
        waited_ticks: in SNAPSHOT, ticks since a part was sent.
        snapshot: in SNAPSHOT, the snapshot being sent; kept so that an
            interrupted transfer can resume.
        last_sent_part: in SNAPSHOT, number of the last part sent.
    """

    next_index: int
    match: int = 0
    accepted: int = 0
    mode: Mode = Mode.PROBE
    paused: bool = False
    force_send: bool = False
    active: bool = False
    sent_commit: int = 0
    read_round: int = 0
    waited_ticks: int = 0
    snapshot: messages.Snapshot | None = None
    last_sent_part: int = 0

    def probe(self, next_index: int) -> None:
        """Return to sending one message at a time."""
        self.mode = Mode.PROBE
        self.paused = False
        self.next_index = max(next_index, self.match + 1)

    def acknowledge(self, match: int, accepted: int) -> None:
        """Record that the peer's log matches up to accepted."""
        self.match = max(self.match, match)
        self.accepted = max(self.accepted, accepted)
        if self.mode is Mode.SNAPSHOT and accepted < self.next_index - 1:
            return
        if self.mode is not Mode.REPLICATE:
            self.mode = Mode.REPLICATE
            self.snapshot = None
            self.next_index = self.accepted + 1
        self.next_index = max(self.next_index, self.accepted + 1)

    def is_message_due(
        self, last_index: int, commit: int, window: int
    ) -> bool:
        """Returns: whether a message to the peer is due.

        Args:
            last_index: last index of the leader's log.
            commit: commit index of the leader.
            window: most entries that may be sent without a reply.
        """
        match self.mode:
            case Mode.PROBE:
                return not self.paused
            case Mode.REPLICATE:
                return (
                    self.force_send
                    or self.sent_commit < commit
                    or (
                        self.next_index <= last_index and self.has_room(window)
                    )
                )
            case Mode.SNAPSHOT:
                return False

    def has_room(self, window: int) -> bool:
        """Returns: whether more entries may be sent without a reply."""
        return self.next_index - 1 - self.accepted < window
