"""Lease under which a process may accept new work."""

# A document is in force everywhere within 4 s of its acceptance: a process
# that has not confirmed a version for this long accepts no new work, and one
# second is left for the confirmation to arrive and be applied.
LEASE_S = 3.0
POLL_PERIOD_S = 1.0
# Allows polling a second control member within one period.
POLL_TIMEOUT_S = 0.6


class ConfigurationLease:
    """Time until which the held configuration is known to be current.

    The lease starts when the confirmed poll is sent, not when its reply
    arrives, because the control member answered at an unknown time between.
    """

    __slots__ = ("_confirmed_at",)

    def __init__(self) -> None:
        self._confirmed_at: float | None = None

    def confirm(self, sent_at: float) -> None:
        """Record a confirmed poll.

        Args:
            sent_at: clock time in seconds at which the poll was sent.
        """
        if self._confirmed_at is None or sent_at > self._confirmed_at:
            self._confirmed_at = sent_at

    def valid(self, now: float) -> bool:
        """Returns: whether new work may be accepted."""
        return self.left_s(now) > 0

    def left_s(self, now: float) -> float:
        """Returns: seconds until the lease ends, 0 when it has ended."""
        if self._confirmed_at is None:
            return 0.0
        return max(0.0, self._confirmed_at + LEASE_S - now)


def make_lease() -> ConfigurationLease:
    return ConfigurationLease()
