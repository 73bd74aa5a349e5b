"""Simulated batching engines with memory for a few long prompts."""

import heapq
import itertools

import msgspec

# From the users' specifications of their engines.
CAPACITY_TOKENS = 50_000
SLOTS = 64
STEP_S = 0.0038
SLOT_STEP_S = 0.00009
PREFILL_TOKENS_PER_S = 56_600.0
CHUNK_TOKENS = 2_048
# Tokens in the first event of an answer.
EVENT_TOKENS = 7


class Run(msgspec.Struct, eq=False):
    """One prompt at an engine.

    Attributes:
        urgency: 0 for the most urgent prompts, larger for less urgent ones.
        prefill: prompt tokens to prefill.
        memory: tokens of memory that it holds from its start to its end.
        output: tokens of the answer.
        first_at: time of the first event of the answer, None until then.
        ended_at: time of the end of the answer, None until then.
        prefill_left: prompt tokens that are not prefilled yet.
        generated: tokens generated so far.
        preempted: number of preemptions.
    """

    urgency: int
    prefill: int
    memory: int
    output: int
    arrived_at: float
    first_at: float | None = None
    ended_at: float | None = None
    prefill_left: int = 0
    generated: int = 0
    preempted: int = 0

    def __post_init__(self) -> None:
        self.prefill_left = self.prefill


class Engine:
    """One replica: urgent prompts preempt the newest less urgent ones."""

    def __init__(self) -> None:
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self.used = 0
        self.busy = False

    def begin_step(self) -> float:
        """Admit and prefill prompts. Returns: duration of the step."""
        self.waiting.sort(key=lambda run: (run.urgency, run.arrived_at))
        while self.waiting and self._make_room(self.waiting[0]):
            run = self.waiting.pop(0)
            self.running.append(run)
            self.used += run.memory
        left = CHUNK_TOKENS
        for run in sorted(self.running, key=lambda run: run.urgency):
            chunk = min(left, run.prefill_left)
            run.prefill_left -= chunk
            left -= chunk
        return (
            STEP_S
            + SLOT_STEP_S * len(self.running)
            + (CHUNK_TOKENS - left) / PREFILL_TOKENS_PER_S
        )

    def end_step(self, now: float) -> list[Run]:
        """Generate a token for each prefilled prompt. Returns: ended runs."""
        ended = []
        for run in self.running:
            if run.prefill_left:
                continue
            run.generated += 1
            if run.generated >= EVENT_TOKENS and run.first_at is None:
                run.first_at = now
            if run.generated >= run.output:
                run.ended_at = now
                ended.append(run)
        for run in ended:
            self._drop(run)
        return ended

    def _make_room(self, run: Run) -> bool:
        """Returns: whether the prompt can start; it may preempt others."""
        less_urgent = [
            each for each in self.running if each.urgency > run.urgency
        ]
        less_urgent.sort(key=lambda each: (each.urgency, each.arrived_at))
        free = CAPACITY_TOKENS - self.used
        if run.memory > free + sum(each.memory for each in less_urgent):
            return False
        while run.memory > CAPACITY_TOKENS - self.used:
            victim = less_urgent.pop()
            self._drop(victim)
            victim.prefill_left = victim.prefill + victim.generated
            victim.preempted += 1
            self.waiting.append(victim)
        return len(self.running) < SLOTS

    def _drop(self, run: Run) -> None:
        self.running.remove(run)
        self.used -= run.memory


class Clock:
    """Runs events in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events = []
        self._sequence = itertools.count()

    def at(self, when: float, action, *arguments) -> None:
        heapq.heappush(
            self._events, (when, next(self._sequence), action, arguments)
        )

    def run(self) -> None:
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
