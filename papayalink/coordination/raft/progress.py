"""What a leader knows of one peer."""

import enum

import msgspec

from papayalink.coordination.raft import messages


class Mode(enum.Enum):
    """How entries are sent to a peer."""

    PROBE = "probe"  # one message at a time until the logs are seen to match
    REPLICATE = "replicate"  # pipelined
    SNAPSHOT = "snapshot"  # waits for a snapshot to be installed


class Progress(msgspec.Struct):
    """Progress of one peer.

    Attributes:
        next_index: first index to send next.
        match: last index known to be durable on the peer.
        accepted: last index known to be in the peer's memory.
        paused: in PROBE, a message is on its way.
        nudge: in REPLICATE, send even when there is nothing new, so that
            the peer refuses and thereby reports a lost message.
        active: a message came since the last quorum check.
        sent_commit: commit index in the last message sent.
        read_round: last read round that the peer confirmed.
        waited_ticks: in SNAPSHOT, time since a part was sent.
        snapshot: in SNAPSHOT, what is sent; kept to resume a transfer.
        part: in SNAPSHOT, number of the part that was sent last.
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
        """Go back to sending one message at a time."""
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
            window: entries that may be sent without a reply.
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
