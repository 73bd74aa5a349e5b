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
# A share grows by this fraction at least, since each growth is confirmed.
MIN_GROWTH = 0.05


class _Holder:
    """One entry.

    Attributes:
        asked_at: when it asked last.
        granted: shares that it may have used in the window.
    """

    __slots__ = ("asked_at", "granted")

    def __init__(self, period_s: float) -> None:
        self.asked_at = float("-inf")
        self.granted = windows.SlidingMax(period_s)


class RetryShares:
    """Shares that one member has granted while it leads.

    Args:
        window_s: window of the allowance.
    """

    __slots__ = ("_period_s", "_term", "_leads_since", "_holders")

    def __init__(self, window_s: float) -> None:
        self._period_s = window_s + LEASE_S + MAX_DEPOSED_S
        self._term: int | None = None
        self._leads_since = 0.0
        self._holders: dict[str, _Holder] = {}

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
        asking = {
            name
            for name, holder in self._holders.items()
            if now - holder.asked_at < LEASE_S
        }
        wanted = 1.0 / len(asking | {entry})
        if wanted <= held * (1 + MIN_GROWTH):
            return min(held, wanted)
        if now - self._leads_since < self._period_s:
            # Other entries may use shares that this member knows nothing of.
            return held
        used = sum(
            holder.granted.at(now)
            for name, holder in self._holders.items()
            if name != entry
        )
        return max(held, min(wanted, 1.0 - used))

    def grant(self, entry: str, share: float, now: float) -> None:
        """Record that an entry may use a share from now on."""
        holder = self._holders.get(entry)
        if holder is None:
            holder = self._holders[entry] = _Holder(self._period_s)
        holder.asked_at = now
        holder.granted.add(share, now)

    def _begin_term(self, term: int, now: float) -> None:
        if term != self._term:
            self._term = term
            self._leads_since = now
            self._holders.clear()

    def _expire(self, now: float) -> None:
        self._holders = {
            name: holder
            for name, holder in self._holders.items()
            if now - holder.asked_at < self._period_s
        }


def make_retry_shares(window_s: float) -> RetryShares:
    return RetryShares(window_s)
