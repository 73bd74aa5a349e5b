"""Engines that batch, with memory for a few long prompts, in virtual time."""

import heapq
import itertools

import msgspec

# As the users' sheets tell for their engines.
CAPACITY_TOKENS = 50_000
SLOTS = 64
STEP_S = 0.0038
SLOT_STEP_S = 0.00009
PREFILL_TOKENS_PER_S = 56_600.0
CHUNK_TOKENS = 2_048
# Tokens of the first event of an answer.
EVENT_TOKENS = 7


class Run(msgspec.Struct, eq=False):
    """One prompt at an engine.

    Attributes:
        prefill: prompt tokens that are to be read.
        memory: tokens that it holds from its start to its end.
        first_at, ended_at: None until then.
    """

    urgency: int
    prefill: int
    memory: int
    output: int
    arrived_at: float
    first_at: float | None = None
    ended_at: float | None = None
    unread: int = 0
    made: int = 0
    preempted: int = 0

    def __post_init__(self) -> None:
        self.unread = self.prefill


class Engine:
    """One replica: urgent prompts first, the newest others put back."""

    def __init__(self) -> None:
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self.used = 0
        self.busy = False

    def begin_step(self) -> float:
        """Admit and read. Returns: seconds that the step takes."""
        self.waiting.sort(key=lambda run: (run.urgency, run.arrived_at))
        while self.waiting and self._make_room(self.waiting[0]):
            run = self.waiting.pop(0)
            self.running.append(run)
            self.used += run.memory
        left = CHUNK_TOKENS
        for run in sorted(self.running, key=lambda run: run.urgency):
            read = min(left, run.unread)
            run.unread -= read
            left -= read
        return (
            STEP_S
            + SLOT_STEP_S * len(self.running)
            + (CHUNK_TOKENS - left) / PREFILL_TOKENS_PER_S
        )

    def end_step(self, now: float) -> list[Run]:
        """Make a token of each read prompt. Returns: those that ended."""
        ended = []
        for run in self.running:
            if run.unread:
                continue
            run.made += 1
            if run.made >= EVENT_TOKENS and run.first_at is None:
                run.first_at = now
            if run.made >= run.output:
                run.ended_at = now
                ended.append(run)
        for run in ended:
            self._drop(run)
        return ended

    def _make_room(self, run: Run) -> bool:
        """Returns: whether the prompt can begin, putting others back."""
        later = [each for each in self.running if each.urgency > run.urgency]
        later.sort(key=lambda each: each.arrived_at)
        room = CAPACITY_TOKENS - self.used
        if run.memory > room + sum(each.memory for each in later):
            return False
        while run.memory > CAPACITY_TOKENS - self.used:
            back = later.pop()
            self._drop(back)
            back.unread = back.prefill + back.made
            back.preempted += 1
            self.waiting.append(back)
        return len(self.running) < SLOTS

    def _drop(self, run: Run) -> None:
        self.running.remove(run)
        self.used -= run.memory


class Clock:
    """Events in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def at(self, when: float, action, *arguments) -> None:
        heapq.heappush(
            self._events, (when, next(self._order), action, arguments)
        )

    def run(self) -> None:
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
