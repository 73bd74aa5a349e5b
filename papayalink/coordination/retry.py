"""Retries of failed calls, limited by budgets."""

from collections.abc import Callable
import random

import msgspec

from papayalink.coordination import windows

# Retries allowed for each recent request. A small fraction keeps retries from
# multiplying the load when the whole fleet fails.
RETRY_RATIO = 0.1

# Retries allowed in addition, regardless of the number of requests, so that an
# entry with few requests can retry one.
RETRY_CONSTANT = 3

# Default length of a window of a budget.
BUDGET_WINDOW_S = 5.0

# The backoff doubles from the first to the second value. The first is a few
# round trips between zones. The second is below the duration of the lease, so
# that a retry finds the configuration of its first attempt.
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0

# Attempts of one call, the first included.
MAX_ATTEMPTS = 3


class Call(msgspec.Struct):
    """State of a call that the decision depends on.

    Args:
        repeatable: whether the call may safely run twice; false for
            protected calls and while this is not known.
        attempts: attempts made so far.
        deadline: time after which the answer is useless, or None.
        answered: whether part of the answer has reached the caller.
    """

    repeatable: bool
    attempts: int
    deadline: float | None = None
    answered: bool = False


class Retry(msgspec.Struct, frozen=True):
    """Retry the call after a delay."""

    delay_s: float


class GiveUp(msgspec.Struct, frozen=True):
    """Report the failure to the caller.

    Args:
        reason: `not_repeatable`, `answered`, `attempts`, `deadline` or
            `budget`.
    """

    reason: str


class _Held(msgspec.Struct, frozen=True):
    """Retries that may have yet to arrive.

    Attributes:
        is_settled: returns whether all attempts have arrived or never will.
        until: when they are taken to have arrived.
    """

    count: int
    is_settled: Callable[[], bool]
    until: float


class Budget:
    """Retry budget: a fraction of recent requests plus a constant.

    A retry is reserved when it is decided. It counts from then on, and for the
    whole window after its arrival at an upstream.

    Args:
        ratio: retries allowed for each recent request.
        constant: retries allowed in addition; need not be whole.
        window_s: requests and retries are counted in the last two windows of
            this length, at whatever moment they are looked at.
    """

    __slots__ = (
        "ratio",
        "constant",
        "_requests",
        "_spent",
        "_reserved",
        "_held",
    )

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        constant: float = RETRY_CONSTANT,
        window_s: float = BUDGET_WINDOW_S,
    ) -> None:
        self.ratio = ratio
        self.constant = constant
        self._requests = windows.SlidingSum(2 * window_s)
        self._spent = windows.SlidingSum(2 * window_s)
        self._reserved = 0
        self._held: list[_Held] = []

    def note_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._requests.add(1, now)

    def has_room(self, now: float, share: float = 1.0) -> bool:
        """Returns: whether one more retry would be allowed.

        Args:
            share: part of the budget that may be used up.
        """
        allowed = self.ratio * self._requests.at_least(now) + self.constant
        return self.used(now) + 1 <= share * allowed

    def used(self, now: float) -> float:
        """Returns: retries of the window, and those that may still arrive."""
        self._settle(now)
        held = sum(each.count for each in self._held)
        return self._spent.at_most(now) + self._reserved + held

    def take(self, now: float) -> bool:
        """Count a retry that arrives now.

        Returns: whether it is allowed.
        """
        if not self.reserve(now):
            return False
        self.spend(1, now)
        return True

    def reserve(self, now: float, share: float = 1.0) -> bool:
        """Count a retry until `spend`, `hold` or `give_back`.

        Args:
            share: part of the budget that may be used up.
        Returns: whether it is allowed.
        """
        if not self.has_room(now, share):
            return False
        self._reserved += 1
        return True

    def spend(self, count: int, now: float) -> None:
        """Record that reserved retries arrive now."""
        self._reserved -= count
        self._spent.add(count, now)

    def hold(
        self, count: int, is_settled: Callable[[], bool], until: float
    ) -> None:
        """Count reserved retries that may arrive at any time from now on.

        Args:
            is_settled: returns whether they have arrived or never will.
            until: time from which on they are not waited for.
        """
        self._reserved -= count
        self._held.append(_Held(count, is_settled, until))

    def give_back(self) -> None:
        """Record that a reserved retry will not be sent."""
        self._reserved -= 1

    def _settle(self, now: float) -> None:
        if not self._held:
            return
        waiting = []
        for each in self._held:
            if now < each.until and not each.is_settled():
                waiting.append(each)
            else:
                self._spent.add(each.count, now)
        self._held = waiting


def backoff(attempts: int, rng: random.Random) -> float:
    """Delay before the next attempt, exponential with full jitter.

    Args:
        attempts: attempts made so far, at least 1.
        rng: source of randomness.

    Returns:
        Seconds, uniform between 0 and the bound for this attempt.
    """
    # The exponent is bounded so that the power cannot overflow.
    bound = BACKOFF_BASE_S * 2.0 ** min(attempts - 1, 30)
    return rng.uniform(0.0, min(BACKOFF_MAX_S, bound))


def decide(
    call: Call, budget: Budget, now: float, rng: random.Random
) -> Retry | GiveUp:
    """Decide on a call whose attempt has failed.

    A protected call is not retried even after a refusal as "not run": the
    refusal voids its claim, so only the caller can retry it.

    Args:
        call: the failed call.
        budget: retry budget; charged when the call is retried.
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
