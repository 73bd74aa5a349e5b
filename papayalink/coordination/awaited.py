"""An attempt that waits for its replica, and what the replica said since."""


class Awaited:
    """One attempt at a replica that has not ended.

    Attributes:
        sent_at: monotonic seconds.
        limit_s: seconds for which the replica may say nothing.
        usual_s: seconds for which it usually says nothing at most.
    """

    __slots__ = (
        "sent_at",
        "limit_s",
        "usual_s",
        "_spoke_at",
        "_longest_gap_s",
    )

    def __init__(self, sent_at: float, limit_s: float, usual_s: float) -> None:
        self.sent_at = sent_at
        self.limit_s = limit_s
        self.usual_s = usual_s
        self._spoke_at = sent_at
        self._longest_gap_s = 0.0

    def note_spoke(self, now: float) -> None:
        """Record that the replica said something, to any attempt."""
        self._longest_gap_s = max(self._longest_gap_s, now - self._spoke_at)
        self._spoke_at = now

    def silent_s(self, now: float) -> float:
        """Returns: seconds for which the replica has said nothing since."""
        return now - self._spoke_at

    def longest_gap_s(self, now: float) -> float:
        """Returns: longest time in which the replica said nothing."""
        return max(self._longest_gap_s, now - self._spoke_at)


def make_awaited(
    sent_at: float, limit_s: float, usual_s: float = float("inf")
) -> Awaited:
    return Awaited(sent_at, limit_s, usual_s)
