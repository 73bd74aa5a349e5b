"""Requests at the engine whose prompts are not yet computed."""

import math

import msgspec

from papayalink import clock as clocks
from papayalink.roles.agent import upstream as upstream_state

# An engine on the same VM takes a request within milliseconds; the rest covers
# a VM whose processes wait for a core.
START_MARGIN_S = 0.25


class Prefill(msgspec.Struct, eq=False):
    """One request from its dispatch until its first token.

    Attributes:
        tokens: its prompt tokens.
        ends_at: when the prefill should end, infinite while the first token
            tells it.
        started_at: when the engine has started the request at the latest,
            infinite while the first token tells it.
    """

    tokens: int
    ends_at: float = math.inf
    started_at: float = math.inf


class Prefills:
    """Prefills in progress at one engine.

    The first token of a streamed answer shows that the prefill has ended. Of
    an answer that is not streamed only the end is seen, so its prefill counts
    for as long as it takes by the measured rate.

    Args:
        engine_state: measured prefill rate.
        clock: time of estimates.
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
        """Prompt tokens of the prefills that have not ended."""
        return sum(one.tokens for one in self._active())

    @property
    def count(self) -> int:
        """Prefills that have not ended."""
        return len(self._active())

    @property
    def starting(self) -> int:
        """Requests that the engine may not have started.

        A swap of weights waits for these: the engine chooses the version of
        a request when it starts it.
        """
        now = self._clock.now()
        return sum(one.started_at > now for one in self._running)

    def begin(self, tokens: int) -> Prefill:
        """Count a request; finish() follows."""
        prefill = Prefill(tokens)
        self._running.append(prefill)
        return prefill

    def estimate(self, prefill: Prefill) -> None:
        """Estimate the end of a prefill whose request is sent now."""
        now = self._clock.now()
        prefill.started_at = now + START_MARGIN_S
        prefill.ends_at = now + self.tokens / self._state.prefill_rate

    def finish(self, prefill: Prefill) -> None:
        """The request has its first token or its end; may be repeated."""
        if prefill in self._running:
            self._running.remove(prefill)

    def _active(self) -> list[Prefill]:
        now = self._clock.now()
        return [one for one in self._running if one.ends_at > now]


def make_prefills(
    engine_state: upstream_state.EngineState, clock: clocks.Clock
) -> Prefills:
    return Prefills(engine_state, clock)
