"""Prediction of the time to a first token, learnt from answers.

The time is a fixed part, which covers the steps up to the first event, and a
part for each prompt token that is prefilled before. The two are fitted
together: with the fixed part counted as prefill, short queues would look like
a slow engine, and prompts would be refused that could be answered in time.
"""

# Assumed times until enough answers have been seen: an engine of 50,000 tokens
# a second, and a first token that takes a round trip, a step and sampling.
DEFAULT_TOKEN_S = 1 / 50_000
DEFAULT_BASE_S = 0.02
# Bounds of a measured time per token. Engines of any size lie within them.
MIN_TOKEN_S = 1 / 5_000_000
MAX_TOKEN_S = 1 / 1_000
MAX_BASE_S = 0.5
# Weight of the newest answer.
ALPHA = 0.03
# Prompts of these sizes with the assumed times stand for the answers before
# the first one.
_PRIOR_TOKENS = (500.0, 10_000.0)


class FirstTokenTimes:
    """Moving linear fit of the time to a first token over prompt tokens."""

    __slots__ = ("_tokens", "_time_s", "_tokens_squared", "_product")

    def __init__(self) -> None:
        times = [
            DEFAULT_BASE_S + DEFAULT_TOKEN_S * tokens
            for tokens in _PRIOR_TOKENS
        ]
        count = len(_PRIOR_TOKENS)
        # Moving means of the two variables and of their products.
        self._tokens = sum(_PRIOR_TOKENS) / count
        self._time_s = sum(times) / count
        self._tokens_squared = sum(each**2 for each in _PRIOR_TOKENS) / count
        self._product = (
            sum(each * time for each, time in zip(_PRIOR_TOKENS, times))
            / count
        )

    @property
    def token_s(self) -> float:
        """Seconds for each token that is prefilled before the first token."""
        variance = self._tokens_squared - self._tokens**2
        covariance = self._product - self._tokens * self._time_s
        slope = covariance / variance if variance > 1.0 else DEFAULT_TOKEN_S
        # A base above its bound is time that depends on the tokens.
        slope = max(slope, (self._time_s - MAX_BASE_S) / self._tokens)
        return min(MAX_TOKEN_S, max(MIN_TOKEN_S, slope))

    @property
    def base_s(self) -> float:
        """Seconds to a first token without any prefill."""
        base_s = self._time_s - self.token_s * self._tokens
        return min(MAX_BASE_S, max(0.0, base_s))

    def note(self, tokens: float, first_s: float) -> None:
        """Record an answer.

        Args:
            tokens: prompt tokens prefilled up to its first token, including
                those of prompts queued before it.
            first_s: time to its first token. Beyond what the bounds explain,
                it was spent on something else, such as a replica that froze.
        """
        first_s = min(first_s, MAX_BASE_S + MAX_TOKEN_S * tokens)
        self._tokens += ALPHA * (tokens - self._tokens)
        self._time_s += ALPHA * (first_s - self._time_s)
        self._tokens_squared += ALPHA * (tokens**2 - self._tokens_squared)
        self._product += ALPHA * (tokens * first_s - self._product)


def make_first_token_times() -> FirstTokenTimes:
    return FirstTokenTimes()
