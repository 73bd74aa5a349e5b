"""Whether a prompt is taken, by when its first token is expected."""

import msgspec

# Part of the objective up to which prompts are queued. What waits longer is
# late, and then so is everything behind it; the rest of the objective covers
# estimates that are too low.
QUEUE_SHARE = 0.8
# Part of the time left within which a call that is late anyway is taken.
LATE_SHARE = 0.6
# A call with less than this part of the usual time has been here before, or
# came late for another reason; it cannot meet its objective any more.
RETURNED_SHARE = 0.93
LEAST_RETRY_S = 0.2
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
        usual_s: time that calls of the route have when they first come.
    """

    wait_s: float
    own_s: float
    objective_s: float
    left_s: float
    usual_s: float


def decide(prompt: Prompt, chance: float) -> Take | Shed:
    """Decide on one prompt.

    A prompt on an idle replica is taken whatever its size: coming back
    would not make it faster.

    Args:
        chance: drawn evenly between 0 and 1, to spread callers that return.
    """
    queued_s = prompt.wait_s - prompt.own_s
    returned = prompt.left_s < RETURNED_SHARE * prompt.usual_s
    limit_s = QUEUE_SHARE * prompt.objective_s
    if returned:
        limit_s = LATE_SHARE * prompt.left_s
    if prompt.wait_s <= limit_s or queued_s <= 0.1 * prompt.objective_s:
        return Take()
    excess_s = prompt.wait_s - limit_s
    spread_s = JITTER * chance * prompt.objective_s
    return Shed(max(LEAST_RETRY_S, excess_s) + spread_s)
