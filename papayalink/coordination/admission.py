"""Early refusal of requests that cannot be answered in time."""

import math
import random
from typing import Sequence

import msgspec

from papayalink.coordination import errors
from papayalink.coordination import limits
from papayalink.coordination import windows
from papayalink.coordination import work_queue

# Time constant of the offered and admitted token rates. It is long enough to
# tell a large caller from a short burst of a small one.
RATE_DECAY_S = 10.0

# A wait below this fraction of the target does not count as overload.
IDLE_WAIT_FRACTION = 0.1

# Fair shares divide this fraction of the recently admitted rate, so that the
# largest callers exceed their shares before others are refused.
CAPACITY_FRACTION = 0.8

# A caller above its fair share is admitted while its predicted time to first
# token is below this fraction of the target, divided by the caller's excess.
# The rest absorbs prediction errors: with the whole target, the 95th
# percentile under overload was a third above the target.
OVER_SHARE_FRACTION = 0.65

# Lower bound of that fraction, so that the upstreams do not run idle while the
# largest callers are held back.
MIN_OVER_SHARE_FRACTION = 0.25

# Minimum time between two computations of fair shares, each of which sorts all
# active workspaces.
FAIR_SHARE_PERIOD_S = 0.25

# Workspaces that offer less than this are dropped.
MIN_OFFERED_TOKENS_PER_S = 0.01

# Admission slack of an entry, see Admission.
ENTRY_SLACK = 1.5

# Bounds of Retry-After. Its resolution is one second. Most overloads end
# within a minute, so a caller told to wait longer would return too late.
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
        self.offered = windows.Rate(RATE_DECAY_S, now)
        self.admitted = windows.Rate(RATE_DECAY_S, now)


class _RankLoad:
    """Callers and fair share of one rank."""

    __slots__ = ("rank", "callers", "fair_rate", "fair_rate_at")

    def __init__(self, rank: work_queue.Rank) -> None:
        self.rank = rank
        self.callers: dict[str, _Caller] = {}
        self.fair_rate = math.inf
        self.fair_rate_at = -math.inf


class Admission:
    """Admission at one entry or agent.

    Predicted times are specific to a rank: work of less urgent ranks does not
    delay an urgent request, and a less urgent rank can rely on the share it is
    owed (see `routing.predict_wait`). Urgent work is therefore refused only
    because of urgent work, and other ranks are admitted at the rate they are
    owed.

    Args:
        ranks: most urgent first.
        rng: source of randomness for Retry-After.
        slack: multiplies the target that predicted times are compared with.
            An entry predicts from old reports, so it leaves borderline
            requests to the agent, which knows its queue.

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
        """Apply changed rank records."""
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
        """Admit or refuse one request; to be called once for each request.

        Args:
            rank: name of the rank.
            workspace: workspace of the caller.
            tokens: expected tokens of service.
            ttft_s: predicted time to first token.
            wait_s: the part of `ttft_s` before the request starts.
            now: seconds.
            fleet_wait_s: wait of the rank that at least half of the
                upstreams report; callers are held to their fair shares only
                when this wait indicates overload too.

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
        # The excess is that of the admitted rate. With the offered rate, equal
        # callers would all exceed their shares in an overload, and would be
        # held back more, the larger the overload is.
        excess = caller.admitted.at(now) / self._fair_rate(load, now)
        target_s = self._slack * load.rank.ttft_target_s
        limit_s = target_s
        idle_s = IDLE_WAIT_FRACTION * target_s
        if excess > 1 and fleet_wait_s > idle_s:
            limit_s = target_s * max(
                MIN_OVER_SHARE_FRACTION, OVER_SHARE_FRACTION / excess
            )
        # A long prompt on an idle upstream is admitted even if it will be
        # late: a retry would not be faster.
        if wait_s <= idle_s or ttft_s <= limit_s:
            caller.admitted.add(tokens, now)
            return Admitted()
        reason = "late" if ttft_s > target_s else "share"
        return Refused(reason, self._retry_after(ttft_s - limit_s))

    def _fair_rate(self, load: _RankLoad, now: float) -> float:
        """Returns: tokens a second that a workspace may use as its share."""
        if now < load.fair_rate_at + FAIR_SHARE_PERIOD_S:
            return load.fair_rate
        offered = []
        admitted = 0.0
        for name, caller in list(load.callers.items()):
            rate = caller.offered.at(now)
            if rate < MIN_OFFERED_TOKENS_PER_S:
                del load.callers[name]
            else:
                offered.append(rate)
                admitted += caller.admitted.at(now)
        load.fair_rate = math.inf
        if admitted > 0:
            load.fair_rate = limits.water_level(
                offered, CAPACITY_FRACTION * admitted
            )
        load.fair_rate_at = now
        return load.fair_rate

    def _retry_after(self, excess_s: float) -> int:
        # Randomized, so that callers refused together return at different
        # times.
        seconds = max(1.0, excess_s) * self._rng.uniform(1.0, 1.5)
        if seconds >= MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, math.ceil(seconds))


class AdmitAll:
    """Baseline: admits everything; only the queue bounds refuse."""

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
