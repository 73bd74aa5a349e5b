"""Requests sent to the engine whose prefill has not ended."""

import math

import msgspec

from papayalink import clock as clocks
from papayalink.roles.agent import upstream as upstream_state

# An engine on the same VM accepts a request within milliseconds; the rest
# covers a VM whose processes wait for a core.
START_MARGIN_S = 0.25


class Prefill(msgspec.Struct, eq=False):
    """One request from its dispatch until its first token.

    Attributes:
        tokens: number of prompt tokens.
        ends_at: estimated end of the prefill, infinite if the first token
            will show it.
        started_at: time by which the engine has started the request, infinite
            if the first token will show it.
    """

    tokens: int
    ends_at: float = math.inf
    started_at: float = math.inf


class Prefills:
    """Prefills in progress at one engine.

    The first token of a streamed answer shows that the prefill has ended. If
    the answer is not streamed, only its end is visible, so the end of its
    prefill is estimated from the measured rate.

    Args:
        engine_state: provides the measured prefill rate.
        clock: source of the times of estimates.
    """

    __slots__ = ("_state", "_clock", "_running")

    def __init__(
        self, engine_state: upstream_state.EngineState, clock: clocks.Clock
    ) -> None:
        self._state = engine_state
        self._clock = clock
        self._running: list[Prefill] = []

    @property
    def tokens(self) -> int:
        """Number of prompt tokens in prefills that have not ended."""
        return sum(prefill.tokens for prefill in self._active())

    @property
    def count(self) -> int:
        """Number of prefills that have not ended."""
        return len(self._active())

    @property
    def starting(self) -> int:
        """Number of requests that the engine may not have started.

        A swap of weights waits for these, because the engine chooses the
        weight version of a request when it starts the request.
        """
        now = self._clock.now()
        return sum(prefill.started_at > now for prefill in self._running)

    def begin(self, tokens: int) -> Prefill:
        """Add a request; the caller must call finish()."""
        prefill = Prefill(tokens)
        self._running.append(prefill)
        return prefill

    def estimate(self, prefill: Prefill) -> None:
        """Estimate the end of a prefill whose request is being sent."""
        now = self._clock.now()
        prefill.started_at = now + START_MARGIN_S
        prefill.ends_at = now + self.tokens / self._state.prefill_rate

    def finish(self, prefill: Prefill) -> None:
        """Remove a request at its first token or end; may be repeated."""
        if prefill in self._running:
            self._running.remove(prefill)

    def _active(self) -> list[Prefill]:
        now = self._clock.now()
        return [prefill for prefill in self._running if prefill.ends_at > now]


def make_prefills(
    engine_state: upstream_state.EngineState, clock: clocks.Clock
) -> Prefills:
    return Prefills(engine_state, clock)
