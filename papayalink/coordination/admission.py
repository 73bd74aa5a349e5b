"""Early refusal of requests that cannot be answered in time."""

import math
import random
from typing import Sequence

import msgspec

from papayalink.coordination import errors
from papayalink.coordination import limits
from papayalink.coordination import queueing
from papayalink.coordination import windows

# Offered and admitted tokens fade over this time: long enough to tell large
# callers from a short burst of a small one.
FADE_S = 10.0

# Fair shares are computed over a little less than what was admitted lately, so
# that the largest callers are above theirs before others are refused.
CAPACITY_MARGIN = 0.8

# The largest callers are still admitted up to this part of the target, so that
# the upstreams do not run dry while the largest callers are held back.
LEAST_LIMIT = 0.25

# Fair shares are computed at most this often, since each time costs a sort of
# all active workspaces.
LEVEL_PERIOD_S = 0.25

# Offered rates below this many tokens a second are forgotten.
LEAST_RATE = 0.01

# Bounds of Retry-After. One second is its resolution; a caller that is told
# more than a minute misses most floods' end.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 60


class Admitted(msgspec.Struct, frozen=True):
    """The request may be sent or queued."""


class Refused(msgspec.Struct, frozen=True):
    """The request is refused as "not run".

    Args:
        reason: `late` when it cannot meet the target, `share` when its caller
            is above its fair share of an overloaded rank.
        retry_after_s: whole seconds, for Retry-After.
    """

    reason: str
    retry_after_s: int


class _RankLoad:
    """Offered and admitted tokens of one rank."""

    __slots__ = ("rank", "offered", "admitted", "level", "level_at")

    def __init__(self, rank: queueing.Rank) -> None:
        self.rank = rank
        self.offered: dict[str, windows.Rate] = {}
        self.admitted: windows.Rate | None = None
        self.level = math.inf
        self.level_at = -math.inf


class Admission:
    """Admission at one entry or agent.

    The predicted time is that of the rank: work of less urgent ranks does not
    count for an urgent request, and a less urgent rank counts on what it is
    owed (see `routing.predict_wait`). So urgent work is refused only because
    of urgent work, and the other rank is admitted at the rate it is owed.

    Args:
        ranks: most urgent first.
        rng: source of randomness for Retry-After.

    Raises:
        InvalidRanks: see `queueing.owed_shares`.
    """

    __slots__ = ("_loads", "_rng")

    def __init__(
        self, ranks: Sequence[queueing.Rank], rng: random.Random
    ) -> None:
        self._loads: dict[str, _RankLoad] = {}
        self._rng = rng
        self.update_ranks(ranks)

    def update_ranks(self, ranks: Sequence[queueing.Rank]) -> None:
        """Put changed rank records in force."""
        queueing.owed_shares(ranks)
        loads = {}
        for rank in ranks:
            load = self._loads.get(rank.name) or _RankLoad(rank)
            load.rank = rank
            loads[rank.name] = load
        self._loads = loads

    def decide(
        self,
        rank: str,
        workspace: str,
        tokens: int,
        ttft_s: float,
        now: float,
    ) -> Admitted | Refused:
        """Admit or refuse one request; each request is asked for once.

        Args:
            rank: name of the rank.
            workspace: workspace of the caller.
            tokens: expected tokens of service.
            ttft_s: predicted time to first token.
            now: seconds.

        Returns:
            The decision.

        Raises:
            UnknownRank: there is no such rank.
        """
        load = self._loads.get(rank)
        if load is None:
            raise errors.UnknownRank(rank)
        offered = self._note(load, workspace, tokens, now)
        excess = offered / self._level(load, now)
        target_s = load.rank.ttft_target_s
        limit_s = target_s
        if excess > 1:
            limit_s = target_s * max(LEAST_LIMIT, 1 / excess)
        if ttft_s <= limit_s:
            load.admitted.add(tokens, now)
            return Admitted()
        reason = "late" if ttft_s > target_s else "share"
        return Refused(reason, self._retry_after(ttft_s - limit_s))

    def _note(
        self, load: _RankLoad, workspace: str, tokens: int, now: float
    ) -> float:
        rate = load.offered.get(workspace)
        if rate is None:
            rate = load.offered[workspace] = windows.Rate(FADE_S, now)
        if load.admitted is None:
            load.admitted = windows.Rate(FADE_S, now)
        rate.add(tokens, now)
        return rate.at(now)

    def _level(self, load: _RankLoad, now: float) -> float:
        """Tokens a second up to which a workspace is within its share."""
        if now < load.level_at + LEVEL_PERIOD_S:
            return load.level
        rates = {name: rate.at(now) for name, rate in load.offered.items()}
        for name, rate in rates.items():
            if rate < LEAST_RATE:
                del load.offered[name]
        capacity = CAPACITY_MARGIN * load.admitted.at(now)
        load.level = math.inf
        if capacity > 0:
            load.level = limits.water_level(rates.values(), capacity)
        load.level_at = now
        return load.level

    def _retry_after(self, excess_s: float) -> int:
        # Spread, so that callers refused together do not return together.
        seconds = max(1.0, excess_s) * self._rng.uniform(1.0, 1.5)
        if seconds >= MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, math.ceil(seconds))


class AdmitAll:
    """Baseline: admits everything; only queue bounds refuse."""

    __slots__ = ()

    def decide(
        self,
        rank: str,
        workspace: str,
        tokens: int,
        ttft_s: float,
        now: float,
    ) -> Admitted | Refused:
        return Admitted()
