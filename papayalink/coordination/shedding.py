"""Whether a prompt is taken, by when its first token is expected."""

import msgspec

# Part of the tightest objective of more urgent prompts that less urgent ones
# may queue for at a replica. Admitted prompts are read one after the other,
# so an urgent one waits for what was admitted before it.
URGENT_SHARE = 0.5
# Part of the objective up to which the most urgent prompts are queued while
# they can be on time.
QUEUE_SHARE = 0.8
# A prompt that is late anyway is taken within this part of the time left.
LATE_SHARE = 0.5
# Callers give a stream up that stays silent for about 2 s.
MOST_WAIT_S = 1.5
LEAST_RETRY_S = 0.2
# An overload that has lasted for some time is likely to last as long again.
# Callers of long prompts have about 5 s, and come back once.
MOST_RETRY_S = 2.0
# An overload is over when nothing was refused for this long.
CALM_S = 1.0
# Callers that come back are spread over this part of the wait.
JITTER = 0.5


class Take(msgspec.Struct, frozen=True):
    """Send the prompt."""


class Shed(msgspec.Struct, frozen=True):
    """Refuse the prompt now.

    Attributes:
        retry_after_s: when a place is expected to be free.
    """

    retry_after_s: float


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """What the decision needs to know.

    Attributes:
        wait_s: expected time to the first token at the best replica.
        own_s: part of that for reading the prompt itself.
        objective_s: time to the first token that is on time.
        left_s: time left of the call.
        urgent_objective_s: tightest objective of more urgent prompts of the
            same service, None when there are none.
    """

    wait_s: float
    own_s: float
    objective_s: float
    left_s: float
    urgent_objective_s: float | None = None


class OverloadTimer:
    """How long prompts of one service have been refused without a pause."""

    __slots__ = ("_since", "_last")

    def __init__(self) -> None:
        self._since = 0.0
        self._last = -CALM_S

    def note_shed(self, now: float) -> None:
        """A prompt is refused."""
        if now - self._last >= CALM_S:
            self._since = now
        self._last = now

    def age_s(self, now: float) -> float:
        """Returns: seconds, 0 when there is no overload."""
        return now - self._since if now - self._last < CALM_S else 0.0


def make_overload_timer() -> OverloadTimer:
    return OverloadTimer()


def decide(
    prompt: Prompt, chance: float, overload_s: float = 0.0
) -> Take | Shed:
    """Decide on one prompt.

    A prompt on an idle replica is taken whatever its size: coming back would
    not make it faster. The most urgent prompts are taken as long as they can
    be answered, since less urgent ones make room for them first.

    Args:
        chance: drawn evenly between 0 and 1, to spread callers that return.
        overload_s: how long prompts have been refused.
    """
    queued_s = prompt.wait_s - prompt.own_s
    if prompt.urgent_objective_s is not None:
        limit_s = min(
            QUEUE_SHARE * prompt.objective_s,
            prompt.own_s + URGENT_SHARE * prompt.urgent_objective_s,
        )
    else:
        limit_s = min(MOST_WAIT_S, LATE_SHARE * prompt.left_s)
        limit_s = max(limit_s, QUEUE_SHARE * prompt.objective_s)
    if prompt.wait_s <= limit_s or queued_s <= 0.1 * prompt.objective_s:
        return Take()
    excess_s = prompt.wait_s - limit_s
    spread_s = JITTER * chance * prompt.objective_s
    lasting_s = min(MOST_RETRY_S, overload_s)
    return Shed(max(LEAST_RETRY_S, excess_s, lasting_s) + spread_s)
