"""Repeats of failed calls and hedging of slow ones, within budgets."""

import collections
import random

import msgspec

from papayalink.coordination import windows

# Repeats allowed for each recent request. A fraction keeps repeats from
# multiplying the load of a fleet that fails as a whole.
RETRY_RATIO = 0.1

# Repeats allowed in a period whatever the number of requests, so that an entry
# with few requests can repeat one.
RETRY_CONSTANT = 3

# Hedges double the load of the slow part of the requests, so their budget is
# smaller than that of repeats.
HEDGE_RATIO = 0.05
HEDGE_CONSTANT = 1

# Half of the time over which requests and repeats are counted.
BUDGET_WINDOW_S = 5.0

# Backoff doubles from the first to the second value. The first is a few round
# trips between zones; the second is below the lease, so that a repeat finds
# the configuration of its first attempt.
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0

# Attempts of one call, the first included.
MAX_ATTEMPTS = 3

# Samples of recent TTFT kept; the 95th percentile then rests on the largest
# 12, and is not used below the least number.
TTFT_SAMPLES = 256
LEAST_TTFT_SAMPLES = 40
HEDGE_PERCENTILE = 0.95

# The percentile is computed again after this many new samples.
TTFT_REFRESH = 16


class Call(msgspec.Struct):
    """What the decision needs to know of a call.

    Args:
        repeatable: whether running it twice does no harm; false for
            protected calls and while it is not known.
        attempts: attempts made so far.
        started_at: when the first attempt was sent.
        deadline: time after which the answer is of no use, or None.
        answered: whether part of the answer has reached the caller.
        hedged: whether a second attempt is running beside the first.
    """

    repeatable: bool
    attempts: int
    started_at: float
    deadline: float | None = None
    answered: bool = False
    hedged: bool = False


class Retry(msgspec.Struct, frozen=True):
    """Repeat the call after a delay."""

    delay_s: float


class GiveUp(msgspec.Struct, frozen=True):
    """Report the failure to the caller.

    Args:
        reason: `not_repeatable`, `answered`, `attempts`, `deadline` or
            `budget`.
    """

    reason: str


class Budget:
    """Extra attempts allowed: a part of recent requests plus a constant.

    Args:
        ratio: extra attempts for each request.
        constant: extra attempts beyond that.
    """

    __slots__ = ("_ratio", "_constant", "_requests", "_spent")

    def __init__(
        self, ratio: float = RETRY_RATIO, constant: int = RETRY_CONSTANT
    ) -> None:
        self._ratio = ratio
        self._constant = constant
        self._requests = windows.TwoWindows(BUDGET_WINDOW_S)
        self._spent = windows.TwoWindows(BUDGET_WINDOW_S)

    def note_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._requests.add(1, now)

    def take(self, now: float) -> bool:
        """Returns: whether one more attempt is allowed; spent when it is."""
        allowed = self._ratio * self._requests.total(now) + self._constant
        if self._spent.total(now) + 1 > allowed:
            return False
        self._spent.add(1, now)
        return True


def backoff(attempts: int, rng: random.Random) -> float:
    """Delay before the next attempt, exponential with full jitter.

    Args:
        attempts: attempts made so far, at least 1.
        rng: source of randomness.

    Returns:
        Seconds, uniform between 0 and the bound of this attempt.
    """
    # The exponent is bounded so that the power cannot overflow.
    bound = BACKOFF_BASE_S * 2.0 ** min(attempts - 1, 30)
    return rng.uniform(0.0, min(BACKOFF_MAX_S, bound))


def decide(
    call: Call, budget: Budget, now: float, rng: random.Random
) -> Retry | GiveUp:
    """Decide on a call whose attempt has failed.

    A protected call is not repeated even after a refusal as "not run": its
    claim is void then, so the repeat is up to the caller.

    Args:
        call: the call.
        budget: budget for repeats; spent when the call is repeated.
        now: seconds.
        rng: source of randomness.

    Returns:
        The decision.
    """
    if not call.repeatable:
        return GiveUp("not_repeatable")
    if call.answered:
        return GiveUp("answered")
    if call.attempts >= MAX_ATTEMPTS:
        return GiveUp("attempts")
    delay_s = backoff(call.attempts, rng)
    if call.deadline is not None and now + delay_s >= call.deadline:
        return GiveUp("deadline")
    if not budget.take(now):
        return GiveUp("budget")
    return Retry(delay_s)


class RetryAlways:
    """Baseline: a fixed delay and no budget."""

    __slots__ = ()

    def decide(self, call: Call) -> Retry | GiveUp:
        if not call.repeatable:
            return GiveUp("not_repeatable")
        if call.attempts >= MAX_ATTEMPTS:
            return GiveUp("attempts")
        return Retry(BACKOFF_BASE_S)


class RecentTtft:
    """95th percentile of recent times to first token."""

    __slots__ = ("_samples", "_p95", "_fresh")

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=TTFT_SAMPLES
        )
        self._p95: float | None = None
        self._fresh = 0

    def add(self, ttft_s: float) -> None:
        """Count the time to first token of a request that was not hedged."""
        self._samples.append(ttft_s)
        self._fresh += 1

    @property
    def p95_s(self) -> float | None:
        """Seconds; None while there are too few samples."""
        if len(self._samples) < LEAST_TTFT_SAMPLES:
            return None
        if self._p95 is None or self._fresh >= TTFT_REFRESH:
            ordered = sorted(self._samples)
            self._p95 = ordered[int(HEDGE_PERCENTILE * (len(ordered) - 1))]
            self._fresh = 0
        return self._p95


class Hedging:
    """Decides on a second attempt beside a slow first one.

    The attempt whose first token comes later is to be cancelled.
    """

    __slots__ = ("_recent", "_budget")

    def __init__(self) -> None:
        self._recent = RecentTtft()
        self._budget = Budget(HEDGE_RATIO, HEDGE_CONSTANT)

    def note_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._budget.note_request(now)

    def note_ttft(self, ttft_s: float) -> None:
        """Count the time to first token of a request that was not hedged."""
        self._recent.add(ttft_s)

    def delay(self, call: Call) -> float | None:
        """Time after the start of a call at which to ask `hedge`.

        Args:
            call: the call.

        Returns:
            Seconds; None when the call is not to be hedged.
        """
        return self._recent.p95_s if call.repeatable else None

    def hedge(self, call: Call, now: float) -> bool:
        """Decide whether to send a second attempt now.

        Args:
            call: a call without a first token; set its `hedged` when the
                second attempt is sent.
            now: seconds.

        Returns:
            Whether to send it; the budget is spent when true.
        """
        delay_s = self.delay(call)
        if delay_s is None or call.hedged or call.answered:
            return False
        if now - call.started_at < delay_s:
            return False
        if call.deadline is not None and now >= call.deadline:
            return False
        return self._budget.take(now)
