"""Early refusal of requests that cannot be answered in time."""

import math
import random
from typing import Sequence

import msgspec

from papayalink.coordination import errors
from papayalink.coordination import limits
from papayalink.coordination import windows
from papayalink.coordination import work_queue

# Offered and admitted tokens fade over this time: long enough to tell large
# callers from a short burst of a small one.
FADE_S = 10.0

# A wait below this part of the target does not count as overload.
IDLE_PART = 0.1

# Fair shares are computed over a little less than what was admitted lately, so
# that the largest callers are above theirs before others are refused.
CAPACITY_MARGIN = 0.8

# A caller above its fair share is admitted up to this part of the target,
# divided by its excess. The rest absorbs errors of the prediction: with the
# whole target the 95th percentile in a flood was a third above it.
EXCESS_LIMIT = 0.65

# The largest callers are still admitted up to this part of the target, so that
# the upstreams do not run dry while the largest callers are held back.
LEAST_LIMIT = 0.25

# Fair shares are computed at most this often, since each time costs a sort of
# all active workspaces.
LEVEL_PERIOD_S = 0.25

# Offered rates below this many tokens a second are forgotten.
LEAST_RATE = 0.01

# Slack of an entry, see Admission.
ENTRY_SLACK = 1.5

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


class _Caller:
    """Offered and admitted tokens of one workspace in one rank."""

    __slots__ = ("offered", "admitted")

    def __init__(self, now: float) -> None:
        self.offered = windows.Rate(FADE_S, now)
        self.admitted = windows.Rate(FADE_S, now)


class _RankLoad:
    """Callers of one rank."""

    __slots__ = ("rank", "callers", "level", "level_at")

    def __init__(self, rank: work_queue.Rank) -> None:
        self.rank = rank
        self.callers: dict[str, _Caller] = {}
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
        slack: factor of the predicted times that are still admitted. An entry
            predicts from old reports, so it leaves the close decisions to the
            agent, which knows its queue.

    Raises:
        InvalidRanks: see `work_queue.owed_shares`.
    """

    __slots__ = ("_loads", "_rng", "_slack")

    def __init__(
        self,
        ranks: Sequence[work_queue.Rank],
        rng: random.Random,
        slack: float = 1.0,
    ) -> None:
        self._loads: dict[str, _RankLoad] = {}
        self._rng = rng
        self._slack = slack
        self.update_ranks(ranks)

    def update_ranks(self, ranks: Sequence[work_queue.Rank]) -> None:
        """Put changed rank records in force."""
        work_queue.owed_shares(ranks)
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
        wait_s: float,
        now: float,
        fleet_wait_s: float = math.inf,
    ) -> Admitted | Refused:
        """Admit or refuse one request; each request is asked for once.

        Args:
            rank: name of the rank.
            workspace: workspace of the caller.
            tokens: expected tokens of service.
            ttft_s: predicted time to first token.
            wait_s: part of it before the request starts.
            now: seconds.
            fleet_wait_s: wait that the rank has at most upstreams; a caller
                is held to its fair share only when this is overload too.

        Returns:
            The decision.

        Raises:
            UnknownRank: there is no such rank.
        """
        load = self._loads.get(rank)
        if load is None:
            raise errors.UnknownRank(rank)
        caller = load.callers.get(workspace)
        if caller is None:
            caller = load.callers[workspace] = _Caller(now)
        caller.offered.add(tokens, now)
        # Measured by what it was admitted, so that equal callers in a flood
        # are not held back for the size of the flood.
        excess = caller.admitted.at(now) / self._level(load, now)
        target_s = self._slack * load.rank.ttft_target_s
        limit_s = target_s
        idle_s = IDLE_PART * target_s
        if excess > 1 and fleet_wait_s > idle_s:
            limit_s = target_s * max(LEAST_LIMIT, EXCESS_LIMIT / excess)
        # A long prompt on an idle upstream is served, late or not: a repeat
        # would not be faster.
        if wait_s <= idle_s or ttft_s <= limit_s:
            caller.admitted.add(tokens, now)
            return Admitted()
        reason = "late" if ttft_s > target_s else "share"
        return Refused(reason, self._retry_after(ttft_s - limit_s))

    def _level(self, load: _RankLoad, now: float) -> float:
        """Tokens a second up to which a workspace is within its share."""
        if now < load.level_at + LEVEL_PERIOD_S:
            return load.level
        offered = []
        admitted = 0.0
        for name, caller in list(load.callers.items()):
            rate = caller.offered.at(now)
            if rate < LEAST_RATE:
                del load.callers[name]
            else:
                offered.append(rate)
                admitted += caller.admitted.at(now)
        load.level = math.inf
        if admitted > 0:
            load.level = limits.water_level(
                offered, CAPACITY_MARGIN * admitted
            )
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
        wait_s: float,
        now: float,
        fleet_wait_s: float = math.inf,
    ) -> Admitted | Refused:
        return Admitted()
