"""Shares of the constant part of the retry allowance, granted by the leader.

The shares of all entries add up to 1 at most in any window of the allowance,
whatever number of entries each member hears of: only a leader that a quorum
has confirmed lets a share grow, and only by what no other entry can still use
or has used in the window.
"""

from papayalink.coordination import windows

# A share may be used this long after the entry asked for it. Leaders change
# within about a second.
LEASE_S = 5.0
# Longest time for which a member that has lost its quorum renews shares.
MAX_DEPOSED_S = 2.0
# A share grows by this fraction of the wanted one at least, since a quorum
# confirms each growth.
MIN_GROWTH = 0.05


class RetryShares:
    """Shares that one member has granted while it leads.

    Args:
        window_s: window of the allowance.
    """

    __slots__ = ("_period_s", "_term", "_leads_since", "_asked_at", "_granted")

    def __init__(self, window_s: float) -> None:
        self._period_s = window_s + LEASE_S + MAX_DEPOSED_S
        self._term: int | None = None
        self._leads_since = 0.0
        # When entries asked within the time of a lease, the oldest first.
        self._asked_at: dict[str, float] = {}
        # Shares that entries may have used in the window, by entry; the one
        # that was granted something longest ago comes first.
        self._granted: dict[str, windows.SlidingMax] = {}

    def find_share(
        self, entry: str, held: float, term: int, now: float
    ) -> float:
        """Find the share that an entry may have next.

        Args:
            held: share that the entry may still use.
            term: term in which this member leads.
            now: seconds.

        Returns: the share, which counts once it is granted.
        """
        self._begin_term(term, now)
        self._expire(now)
        self._asked_at.pop(entry, None)
        self._asked_at[entry] = now
        wanted = 1.0 / len(self._asked_at)
        if wanted <= held:
            return wanted
        if now - self._leads_since < self._period_s:
            # Other entries may use shares that this member knows nothing of.
            return held
        least = held + MIN_GROWTH * wanted
        if wanted < least:
            return held
        used = sum(
            granted.at(now)
            for name, granted in self._granted.items()
            if name != entry
        )
        share = min(wanted, 1.0 - used)
        return share if share >= least else held

    def grant(self, entry: str, share: float, now: float) -> None:
        """Record that an entry may use a share from now on."""
        granted = self._granted.pop(entry, None)
        if granted is None:
            granted = windows.SlidingMax(self._period_s)
        granted.add(share, now)
        self._granted[entry] = granted

    def _begin_term(self, term: int, now: float) -> None:
        if term != self._term:
            self._term = term
            self._leads_since = now
            self._asked_at.clear()
            self._granted.clear()

    def _expire(self, now: float) -> None:
        while self._asked_at:
            entry, asked_at = next(iter(self._asked_at.items()))
            if now - asked_at < LEASE_S:
                break
            del self._asked_at[entry]
        while self._granted:
            entry, granted = next(iter(self._granted.items()))
            if granted.at(now) > 0:
                break
            del self._granted[entry]


def make_retry_shares(window_s: float) -> RetryShares:
    return RetryShares(window_s)
