"""What a process knows of the clock of a member that it asks."""

# Bound on the drift of two clocks, in seconds a second.
MAX_DRIFT = 0.001


class MemberClock:
    """Bounds on the clock of one run of a member.

    A member reads its clock between the sending of a request and the reading
    of its reply. The quickest exchange gives the closest bounds, until drift
    may have made a newer one closer.
    """

    __slots__ = ("_clock", "_sent_at", "_read_at")

    def __init__(self) -> None:
        self._clock: float | None = None
        self._sent_at = 0.0
        self._read_at = 0.0

    def note(self, clock: float, sent_at: float, read_at: float) -> None:
        """Record an exchange.

        Args:
            clock: the member's clock in its reply, in seconds.
            sent_at: when the request was sent.
            read_at: when the reply was read.
        """
        if self._clock is not None:
            drift_s = MAX_DRIFT * (read_at - self._read_at)
            known_s = self._read_at - self._sent_at + drift_s
            if read_at - sent_at > known_s:
                return
        self._clock = clock
        self._sent_at = sent_at
        self._read_at = read_at

    def earliest_reading(self, now: float) -> float | None:
        """Returns: least that the clock shows now, None when unknown."""
        if self._clock is None:
            return None
        return self._clock + (1 - MAX_DRIFT) * (now - self._read_at)

    def earliest_time(self, clock: float) -> float:
        """Returns: earliest time at which the clock shows this."""
        if self._clock is None:
            return float("-inf")
        return self._sent_at + (1 - MAX_DRIFT) * (clock - self._clock)


def make_member_clock() -> MemberClock:
    return MemberClock()
