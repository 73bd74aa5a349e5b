"""Fleet-wide limits of a workspace, divided among the entries."""

import math
from typing import Iterable
from typing import Mapping

from papayalink.coordination import windows

# Fraction of a limit that is divided evenly, so that an entry without recent
# demand can serve a first request before its next poll.
FLOOR_FRACTION = 0.1

# A share lapses this long after the poll that confirmed it was sent. This is
# the duration of the configuration lease.
SHARE_LAPSE_S = 3.0

# Capacity of a token bucket, in seconds of its rate. Polls are one second
# apart, so a smaller bucket would refuse bursts between two polls.
BURST_S = 1.0

# Time constant of the measured demand. It spans a few polls; a shorter one
# would follow single requests.
DEMAND_DECAY_S = 3.0

# Demand below this is left out of polls.
MIN_DEMAND_TOKENS_PER_S = 0.5


def water_level(demands: Iterable[float], capacity: float) -> float:
    """Max-min fair share of a capacity, by water-filling.

    Args:
        demands: non-negative amounts.
        capacity: amount to divide, in the unit of the demands.

    Returns:
        Level such that the demands, each capped at it, add up to the
        capacity; infinite when the demands fit.
    """
    ascending = sorted(demands)
    if sum(ascending) <= capacity:
        return math.inf
    remaining = capacity
    for index, demand in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if demand >= level:
            return max(0.0, level)
        remaining -= demand
    return math.inf


def floor_share(limit: float, entries: int) -> float:
    """Share of an entry without recent demand.

    Args:
        limit: limit of the fleet.
        entries: number of live entries.

    Returns:
        Share, in the unit of the limit.
    """
    return FLOOR_FRACTION * limit / entries if entries else 0.0


def divide_limit(
    limit: float, demands: Mapping[str, float], silent: int = 0
) -> dict[str, float]:
    """Divide a limit among entries by recent demand.

    Args:
        limit: limit of the fleet.
        demands: by entry, recent demand in the unit of the limit.
        silent: number of live entries without demand, which are left out of
            `demands`; each of them has the share
            `floor_share(limit, len(demands) + silent)`.

    Returns:
        Share of each entry in `demands`. Together with the floors of the
        silent entries the shares never exceed the limit.
    """
    if not demands:
        return {}
    floor = floor_share(limit, len(demands) + silent)
    divisible = limit - floor * (len(demands) + silent)
    excess_demands = {
        entry: max(0.0, demand - floor) for entry, demand in demands.items()
    }
    level = water_level(excess_demands.values(), divisible)
    granted = {
        entry: min(excess_demand, level)
        for entry, excess_demand in excess_demands.items()
    }
    # Capacity that is not demanded is headroom for growing demand.
    spare = max(0.0, divisible - sum(granted.values())) / len(demands)
    shares = {entry: floor + part + spare for entry, part in granted.items()}
    max_total = limit - floor * silent
    total = math.fsum(shares.values())
    if total > max_total > 0:
        # The rounded sum may exceed the limit in its last digits.
        factor = max_total / total * (1 - 1e-12)
        shares = {entry: share * factor for entry, share in shares.items()}
    return shares


def divide_whole_limit(
    limit: int, demands: Mapping[str, float], silent: int = 0
) -> dict[str, int]:
    """Divide a limit into whole numbers, such as requests in flight.

    Args:
        limit: limit of the fleet.
        demands: by entry, requests in flight or recently refused.
        silent: number of live entries that are left out of `demands`; each
            has the share `floor_share`, rounded down.

    Returns:
        Whole share of each entry in `demands`; entries with the largest
        remainders are rounded up first.
    """
    exact = divide_limit(limit, demands, silent)
    floor = int(floor_share(limit, len(demands) + silent))
    shares = {entry: int(share) for entry, share in exact.items()}
    remaining = limit - floor * silent - sum(shares.values())
    if not shares or remaining <= 0:
        return shares
    # More than one per entry may be left, since the floors of many silent
    # entries are rounded down.
    per_entry, remaining = divmod(remaining, len(shares))
    by_remainder = sorted(
        exact,
        key=lambda entry: (
            min(1.0, demands[entry]) * (exact[entry] - shares[entry]),
            entry,
        ),
        reverse=True,
    )
    rounded_up = set(by_remainder[:remaining])
    return {
        entry: share + per_entry + (entry in rounded_up)
        for entry, share in shares.items()
    }


def share_evenly(limit: float, entries: Iterable[str]) -> dict[str, float]:
    """Baseline: the same share for each entry, regardless of demand."""
    names = list(entries)
    return {name: limit / len(names) for name in names}


class TokenBucket:
    """Token bucket for one entry's share of a token limit.

    A request is admitted while the balance is positive and is then charged in
    full, so that a request larger than a small share can pass. A negative
    balance is refilled before the next request is admitted.

    Args:
        rate: tokens a second.
        now: when the poll that confirmed the rate was sent.
    """

    __slots__ = ("_rate", "_balance", "_refilled_at", "_confirmed_at")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._balance = rate * BURST_S
        self._refilled_at = now
        self._confirmed_at = now

    def confirm(self, rate: float, now: float) -> None:
        """Apply a share from a poll reply.

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
            None when it is admitted, or seconds until a retry may succeed.
        """
        self._refill(now)
        if now >= self._confirmed_at + SHARE_LAPSE_S:
            return SHARE_LAPSE_S
        if self._balance > 0:
            self._balance -= tokens
            return None
        if self._rate <= 0:
            return SHARE_LAPSE_S
        return -self._balance / self._rate

    def correct(self, tokens: float) -> None:
        """Charge tokens after the answer; a negative number returns them."""
        self._balance = min(self._balance - tokens, self._rate * BURST_S)

    def _refill(self, now: float) -> None:
        # A lapsed share is not refilled: it may belong to another entry now.
        until = min(now, self._confirmed_at + SHARE_LAPSE_S)
        if until > self._refilled_at:
            self._balance = min(
                self._balance + (until - self._refilled_at) * self._rate,
                self._rate * BURST_S,
            )
        self._refilled_at = max(self._refilled_at, now)


class InFlightLimiter:
    """Limiter for one entry's share of a limit on requests in flight.

    Args:
        share: number of requests.
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
        """Apply a share; running requests above it are not cancelled."""
        self._share = share
        self._confirmed_at = max(self._confirmed_at, now)

    def acquire(self, now: float) -> bool:
        """Returns: whether the request may run; it is counted if it may."""
        lapsed = now >= self._confirmed_at + SHARE_LAPSE_S
        if lapsed or self._running >= self._share:
            return False
        self._running += 1
        return True

    def release(self) -> None:
        """Stop counting a request that has ended."""
        self._running -= 1


class DemandMeter:
    """Measures recent demand of workspaces at one entry, for its polls."""

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
            rate = windows.Rate(DEMAND_DECAY_S, now)
            self._rates[workspace] = rate
        rate.add(tokens, now)

    def report(self, now: float) -> dict[str, float]:
        """Demand for the next poll.

        Args:
            now: seconds.

        Returns:
            Tokens a second by workspace; workspaces below
            MIN_DEMAND_TOKENS_PER_S are left out and dropped.
        """
        demands = {name: rate.at(now) for name, rate in self._rates.items()}
        for name, demand in demands.items():
            if demand < MIN_DEMAND_TOKENS_PER_S:
                del self._rates[name]
        return {
            name: demand
            for name, demand in demands.items()
            if demand >= MIN_DEMAND_TOKENS_PER_S
        }
