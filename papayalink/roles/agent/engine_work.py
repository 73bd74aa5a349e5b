"""Queued and running prefills of one engine, and admission by them."""

from collections.abc import Sequence
import math
import random

import msgspec

from papayalink import clock as clocks
from papayalink.coordination import admission
from papayalink.coordination import queueing
from papayalink.coordination import routing
from papayalink.coordination import windows
from papayalink.coordination import work_queue
from papayalink.roles.agent import upstream as upstream_state

# Half-life of the measured load of each rank.
LOAD_HALF_LIFE_S = 2.0


class Prompt(msgspec.Struct, eq=False):
    """A prompt whose prefill is queued or running.

    Attributes:
        rank: rank of the request.
        tokens: number of prompt tokens.
        ends_at: estimated end of the prefill, infinite if the first token
            will show it.
    """

    rank: str
    tokens: int
    ends_at: float = math.inf


class EngineWork:
    """Counts prompt tokens by rank and admits requests by their targets.

    Args:
        work_queue: the agent's queue, for depths and free slots.
        engine_state: provides the measured prefill rate.
        clock: source of the decision times.
    """

    __slots__ = (
        "_queue",
        "_state",
        "_clock",
        "_ranks",
        "_shares",
        "_waiting_tokens",
        "_prompts",
        "_estimated",
        "_loads",
        "_admission",
        "_rng",
    )

    def __init__(
        self,
        work_queue: queueing.RankQueue,
        engine_state: upstream_state.EngineState,
        clock: clocks.Clock,
    ) -> None:
        self._queue = work_queue
        self._state = engine_state
        self._clock = clock
        self._ranks: list[str] = []
        self._shares: tuple[float, ...] = ()
        self._waiting_tokens: dict[str, int] = {}
        self._prompts: set[Prompt] = set()
        self._estimated: set[Prompt] = set()
        self._loads: dict[str, windows.Rate] = {}
        self._admission: admission.Admission | None = None
        self._rng = random.Random()

    def update_ranks(self, ranks: Sequence[work_queue.Rank]) -> None:
        """Apply changed rank records."""
        self._ranks = [rank.name for rank in ranks]
        self._shares = tuple(work_queue.owed_shares(ranks))
        if self._admission is None:
            self._admission = admission.Admission(ranks, self._rng)
        else:
            self._admission.update_ranks(ranks)

    def admit(
        self, rank: str, workspace: str, prompt_tokens: int, tokens: int
    ) -> admission.Admitted | admission.Refused:
        """Decide whether a request is queued or refused without being run.

        Raises:
            ValueError: the configuration has no such rank.
        """
        rank_index = self._ranks.index(rank)
        decision = routing.predict(
            self._candidate(),
            routing.Request("", rank_index, prompt_tokens, 0.0, ""),
            self._clock.now(),
            routing.RecentWork(),
        )
        fraction_ahead = self._queue.fraction_ahead(rank, workspace, tokens)
        wait_s = fraction_ahead * decision.wait_s
        return self._admission.decide(
            rank,
            workspace,
            tokens,
            decision.ttft_s - decision.wait_s + wait_s,
            wait_s,
            self._clock.now(),
        )

    def has_rank(self, rank: str) -> bool:
        """Returns: whether the configuration contains the rank."""
        return rank in self._ranks

    def add_prompt(self, rank: str, tokens: int) -> Prompt:
        """Add the prompt of a queued request.

        The caller must pass the result to remove_prompt().
        """
        waiting = self._waiting_tokens.get(rank, 0)
        self._waiting_tokens[rank] = waiting + tokens
        prompt = Prompt(rank, tokens)
        self._prompts.add(prompt)
        return prompt

    def set_prefill_end(self, prompt: Prompt, ends_at: float) -> None:
        """Set the estimated end of a prefill without a visible first token."""
        prompt.ends_at = ends_at
        self._estimated.add(prompt)

    def remove_prompt(self, prompt: Prompt, served: bool) -> None:
        """Remove a prompt after the first token or the end of its request.

        Args:
            prompt: what add_prompt() returned; removing it twice is harmless.
            served: whether its tokens count as load of the rank.
        """
        if prompt not in self._prompts:
            return
        self._prompts.remove(prompt)
        self._estimated.discard(prompt)
        rank = prompt.rank
        self._waiting_tokens[rank] -= prompt.tokens
        if served:
            now = self._clock.now()
            load = self._loads.get(rank)
            if load is None:
                load = self._loads[rank] = windows.Rate(LOAD_HALF_LIFE_S, now)
            load.add(prompt.tokens, now)

    def report(self) -> dict[str, tuple]:
        """Returns: the fields of a load report that have a value per rank."""
        candidate = self._candidate()
        return {
            "waiting": candidate.queued_items,
            "waiting_tokens": candidate.queued_tokens,
            "free_slots": candidate.free_slots,
            "start_periods_ms": tuple(
                round(period_s * 1000)
                for period_s in candidate.start_periods_s
            ),
            "loads_permille": tuple(
                round(load * 1000) for load in candidate.loads
            ),
        }

    def _remove_ended(self, now: float) -> None:
        """Remove the prompts whose estimated prefill has ended."""
        ended = [one for one in self._estimated if one.ends_at <= now]
        for prompt in ended:
            self.remove_prompt(prompt, served=True)

    def _candidate(self) -> routing.Candidate:
        now = self._clock.now()
        self._remove_ended(now)
        rate = self._state.prefill_rate
        return routing.Candidate(
            upstream="",
            zone="",
            queued_tokens=tuple(
                self._waiting_tokens.get(name, 0) for name in self._ranks
            ),
            queued_items=tuple(
                self._queue.depth(name) for name in self._ranks
            ),
            prefill_rate=rate,
            reported_at=now,
            free_slots=tuple(
                self._queue.free_slots(name, now) for name in self._ranks
            ),
            start_periods_s=tuple(
                self._queue.start_period(name, now) for name in self._ranks
            ),
            shares=self._shares,
            loads=tuple(
                (
                    round(self._loads[name].at(now) / rate, 3)
                    if name in self._loads
                    else 0.0
                )
                for name in self._ranks
            ),
        )


def make_engine_work(
    work_queue: queueing.RankQueue,
    engine_state: upstream_state.EngineState,
    clock: clocks.Clock,
) -> EngineWork:
    return EngineWork(work_queue, engine_state, clock)
