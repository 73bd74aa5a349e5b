"""Fleet-wide limits of a workspace, shared out to the entries."""

import math
from typing import Iterable
from typing import Mapping

from papayalink.coordination import windows

# Part of a limit that is spread evenly, so that an entry that has shown no
# demand can serve a first request before its next poll.
FLOOR_SHARE = 0.1

# A share counts for this long after the poll that confirmed it was sent. It is
# the length of the configuration lease.
LAPSE_S = 3.0

# Tokens that a bucket holds at most, in seconds of its rate. Polls are one
# second apart, so a shorter time would refuse bursts within one poll.
BURST_S = 1.0

# Demand fades over a few polls: a shorter time follows single requests.
DEMAND_FADE_S = 3.0

# Demand below this many tokens a second is not worth a place in a poll.
LEAST_DEMAND = 0.5


def water_level(demands: Iterable[float], capacity: float) -> float:
    """Level at which demands cut off at it add up to a capacity.

    Args:
        demands: not negative.
        capacity: what there is.

    Returns:
        The level; infinite when the demands fit.
    """
    rest = sorted(demands)
    if sum(rest) <= capacity:
        return math.inf
    left = capacity
    for index, demand in enumerate(rest):
        level = left / (len(rest) - index)
        if demand >= level:
            return max(0.0, level)
        left -= demand
    return math.inf


def floor_share(limit: float, entries: int) -> float:
    """Share of an entry that has shown no demand.

    Args:
        limit: limit of the fleet.
        entries: number of live entries.

    Returns:
        Share, in the unit of the limit.
    """
    return FLOOR_SHARE * limit / entries if entries else 0.0


def share_out(
    limit: float, demands: Mapping[str, float], silent: int = 0
) -> dict[str, float]:
    """Share a limit out to entries by recent demand.

    Args:
        limit: limit of the fleet.
        demands: by entry, recent demand in the unit of the limit.
        silent: live entries without demand that are left out of `demands`;
            each of them has `floor_share(limit, len(demands) + silent)`.

    Returns:
        Share of each entry in `demands`. With the floors of the silent ones
        they never add up to more than the limit.
    """
    if not demands:
        return {}
    floor = floor_share(limit, len(demands) + silent)
    rest = limit - floor * (len(demands) + silent)
    wanted = {
        entry: max(0.0, demand - floor) for entry, demand in demands.items()
    }
    level = water_level(wanted.values(), rest)
    given = {entry: min(want, level) for entry, want in wanted.items()}
    # What nobody asked for is headroom for growing demand.
    spare = max(0.0, rest - sum(given.values())) / len(demands)
    shares = {entry: floor + got + spare for entry, got in given.items()}
    most = limit - floor * silent
    total = math.fsum(shares.values())
    if total > most > 0:
        # Rounding may exceed the limit in the last digits.
        factor = most / total * (1 - 1e-12)
        shares = {entry: share * factor for entry, share in shares.items()}
    return shares


def share_out_whole(
    limit: int, demands: Mapping[str, float], silent: int = 0
) -> dict[str, int]:
    """Share out a limit that cannot be divided, such as requests in flight.

    Args:
        limit: limit of the fleet.
        demands: by entry, requests in flight or refused lately.
        silent: live entries that are left out; each has the floor of
            `floor_share` rounded down.

    Returns:
        Whole share of each entry in `demands`; largest remainders first.
    """
    exact = share_out(limit, demands, silent)
    floor = int(floor_share(limit, len(demands) + silent))
    shares = {entry: int(share) for entry, share in exact.items()}
    left = limit - floor * silent - sum(shares.values())
    if not shares or left <= 0:
        return shares
    # More than one each is left when the fractions of many silent entries add
    # up.
    each, left = divmod(left, len(shares))
    by_remainder = sorted(
        exact,
        key=lambda entry: (
            min(1.0, demands[entry]) * (exact[entry] - shares[entry]),
            entry,
        ),
        reverse=True,
    )
    extra = set(by_remainder[:left])
    return {
        entry: share + each + (entry in extra)
        for entry, share in shares.items()
    }


def share_evenly(limit: float, entries: Iterable[str]) -> dict[str, float]:
    """Baseline: the same share for each entry, whatever its demand."""
    names = list(entries)
    return {name: limit / len(names) for name in names}


class TokenBucket:
    """Share of a token limit at one entry.

    A request is admitted while the balance is positive and is then charged in
    full, so that a request larger than a small share can pass; the debt is
    paid before the next one.

    Args:
        rate: tokens a second.
        now: when the poll that confirmed the rate was sent.
    """

    __slots__ = ("_rate", "_balance", "_at", "_confirmed_at")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._balance = rate * BURST_S
        self._at = now
        self._confirmed_at = now

    def confirm(self, rate: float, now: float) -> None:
        """Put a share from a poll reply in force.

        Args:
            rate: tokens a second.
            now: when the poll was sent.
        """
        self._refill(now)
        self._rate = rate
        self._balance = min(self._balance, rate * BURST_S)
        self._confirmed_at = max(self._confirmed_at, now)

    def take(self, tokens: float, now: float) -> float | None:
        """Charge a request.

        Args:
            tokens: expected tokens.
            now: seconds.

        Returns:
            None when it is admitted, or seconds until a repeat makes sense.
        """
        self._refill(now)
        if now >= self._confirmed_at + LAPSE_S:
            return LAPSE_S
        if self._balance > 0:
            self._balance -= tokens
            return None
        if self._rate <= 0:
            return LAPSE_S
        return -self._balance / self._rate

    def correct(self, tokens: float) -> None:
        """Charge more, or return tokens when negative, after the answer."""
        self._balance = min(self._balance - tokens, self._rate * BURST_S)

    def _refill(self, now: float) -> None:
        # A lapsed share earns nothing: it may belong to another entry now.
        until = min(now, self._confirmed_at + LAPSE_S)
        if until > self._at:
            self._balance = min(
                self._balance + (until - self._at) * self._rate,
                self._rate * BURST_S,
            )
        self._at = max(self._at, now)


class InFlight:
    """Share of a limit on requests in flight at one entry.

    Args:
        share: requests.
        now: when the poll that confirmed the share was sent.
    """

    __slots__ = ("_share", "_running", "_confirmed_at")

    def __init__(self, share: int, now: float) -> None:
        self._share = share
        self._running = 0
        self._confirmed_at = now

    @property
    def running(self) -> int:
        return self._running

    def confirm(self, share: int, now: float) -> None:
        """Put a share in force; requests above it may end."""
        self._share = share
        self._confirmed_at = max(self._confirmed_at, now)

    def acquire(self, now: float) -> bool:
        """Returns: whether the request may run; counted when it may."""
        lapsed = now >= self._confirmed_at + LAPSE_S
        if lapsed or self._running >= self._share:
            return False
        self._running += 1
        return True

    def release(self) -> None:
        """A request that was counted has ended."""
        self._running -= 1


class DemandMeter:
    """Recent demand of workspaces at one entry, for its polls."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[str, windows.Rate] = {}

    def note(self, workspace: str, tokens: float, now: float) -> None:
        """Count a request, admitted or refused.

        Args:
            workspace: workspace of the caller.
            tokens: expected tokens.
            now: seconds.
        """
        rate = self._rates.get(workspace)
        if rate is None:
            rate = windows.Rate(DEMAND_FADE_S, now)
            self._rates[workspace] = rate
        rate.add(tokens, now)

    def report(self, now: float) -> dict[str, float]:
        """Demand for the next poll.

        Args:
            now: seconds.

        Returns:
            Tokens a second by workspace; faded ones are left out and
            forgotten.
        """
        demands = {name: rate.at(now) for name, rate in self._rates.items()}
        for name, demand in demands.items():
            if demand < LEAST_DEMAND:
                del self._rates[name]
        return {
            name: demand
            for name, demand in demands.items()
            if demand >= LEAST_DEMAND
        }
