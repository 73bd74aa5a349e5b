"""Admission of prompts by predicted time to first token."""

import msgspec

# Less urgent prompts may queue at a replica for at most this fraction of the
# tightest objective of more urgent ones. Admitted prompts are prefilled one
# after the other, so an urgent prompt waits for those admitted before it.
URGENT_OBJECTIVE_FRACTION = 0.5
# Predicted waits up to this fraction of the objective are admitted for the
# most urgent prompts. For less urgent ones it bounds the limit that
# results from URGENT_OBJECTIVE_FRACTION.
OBJECTIVE_FRACTION = 0.8
# The most urgent prompts with a longer wait are admitted while it is within
# this fraction of the time left and within MAX_WAIT_S.
TIME_LEFT_FRACTION = 0.5
# Callers abandon a stream that sends nothing for about 2 s.
MAX_WAIT_S = 1.5
MIN_RETRY_S = 0.2
# Upper bound of the retry delay that grows with the age of an overload, which
# is likely to last as long again. Callers of long prompts have about 5 s and
# retry once.
MAX_RETRY_S = 2.0
# An overload ends when no prompt was refused for this long.
OVERLOAD_END_S = 1.0
# Retries are spread over this fraction of the objective.
RETRY_JITTER_FRACTION = 0.5


class Admit(msgspec.Struct, frozen=True):
    """The prompt is admitted."""


class Shed(msgspec.Struct, frozen=True):
    """The prompt is refused.

    Attributes:
        retry_after_s: seconds after which a retry is expected to be admitted.
    """

    retry_after_s: float


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt and its predicted times.

    Attributes:
        wait_s: predicted time to first token at the best replica.
        own_s: the part of `wait_s` for prefilling the prompt itself.
        objective_s: objective for the time to first token.
        left_s: time left until the deadline of the call.
        urgent_objective_s: tightest objective of more urgent prompts of the
            same service, None when there are none.
    """

    wait_s: float
    own_s: float
    objective_s: float
    left_s: float
    urgent_objective_s: float | None = None


class OverloadTimer:
    """Measures how long prompts of one service have been refused."""

    __slots__ = ("_started_at", "_last_shed_at")

    def __init__(self) -> None:
        self._started_at = 0.0
        self._last_shed_at = -OVERLOAD_END_S

    def note_shed(self, now: float) -> None:
        """Note that a prompt was refused."""
        if now - self._last_shed_at >= OVERLOAD_END_S:
            self._started_at = now
        self._last_shed_at = now

    def age_s(self, now: float) -> float:
        """Returns: age of the overload in seconds, 0 without overload."""
        return (
            now - self._started_at
            if now - self._last_shed_at < OVERLOAD_END_S
            else 0.0
        )


def make_overload_timer() -> OverloadTimer:
    return OverloadTimer()


def decide(
    prompt: Prompt, chance: float, overload_s: float = 0.0
) -> Admit | Shed:
    """Decide on one prompt.

    A prompt is admitted on an idle replica whatever its size, since a retry
    would not be faster. The most urgent prompts are admitted as long as they
    can be answered, since less urgent ones are refused first.

    Args:
        chance: random number, uniform between 0 and 1, to spread retries.
        overload_s: age of the overload, see `OverloadTimer.age_s`.
    """
    queued_s = prompt.wait_s - prompt.own_s
    if prompt.urgent_objective_s is not None:
        limit_s = min(
            OBJECTIVE_FRACTION * prompt.objective_s,
            prompt.own_s
            + URGENT_OBJECTIVE_FRACTION * prompt.urgent_objective_s,
        )
    else:
        limit_s = min(MAX_WAIT_S, TIME_LEFT_FRACTION * prompt.left_s)
        limit_s = max(limit_s, OBJECTIVE_FRACTION * prompt.objective_s)
    if prompt.wait_s <= limit_s or queued_s <= 0.1 * prompt.objective_s:
        return Admit()
    excess_s = prompt.wait_s - limit_s
    jitter_s = RETRY_JITTER_FRACTION * chance * prompt.objective_s
    overload_delay_s = min(MAX_RETRY_S, overload_s)
    return Shed(max(MIN_RETRY_S, excess_s, overload_delay_s) + jitter_s)
