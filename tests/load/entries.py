"""Simulated entries that share load reports and call simulated engines."""

import random

import msgspec

from papayalink.coordination import fleet as fleets
from papayalink.coordination import load_reports
from papayalink.coordination import replica_choice
from papayalink.coordination import shedding
from papayalink.protocol import calls
from papayalink.state import replicas
from papayalink.state import traffic
from tests.load import engines

# Interval at which entries report their work to each other.
REPORT_PERIOD_S = 0.2
# Users require that 95% of first tokens arrive within their objective.
TARGET_FRACTION_ON_TIME = 0.95
MODEL = "m"
SERVICE = "models"


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of request, with Poisson arrivals.

    Attributes:
        urgency: 0 for the most urgent requests, larger for less urgent ones.
        objective_s: time from arrival within which users require the first
            token.
        budget_s: time from arrival to deadline.
        prompt: prompt tokens.
        output: tokens of the answer.
        kept: prompt tokens that stores hold.
        per_s: requests a second.
        bursts: (start, end, factor) of times with a higher rate.
    """

    name: str
    urgency: int
    objective_s: float
    budget_s: float
    prompt: int
    output: int
    kept: int = 0
    per_s: float
    bursts: tuple[tuple[float, float, float], ...] = ()


class Outcome(msgspec.Struct, eq=False):
    """Outcome of one request; run is None when it was refused."""

    kind: Kind
    at: float
    run: engines.Run | None = None

    @property
    def on_time(self) -> bool:
        return (
            self.run is not None
            and self.run.first_at is not None
            and self.run.first_at - self.at <= self.kind.objective_s
        )


def fraction_on_time(outcomes: list[Outcome]) -> float:
    return sum(each.on_time for each in outcomes) / len(outcomes)


class Deployment:
    """Entries, engines, and the load reports between entries.

    Args:
        counts_memory: whether entries count the memory that prompts hold.
    """

    def __init__(
        self,
        kinds: tuple[Kind, ...],
        entries: int = 4,
        replicas_: int = 6,
        counts_memory: bool = True,
        seed: int = 1,
    ) -> None:
        self._kinds = kinds
        self._rng = random.Random(seed)
        self._clock = engines.Clock()
        self._engines = {
            f"r{each}": engines.Engine() for each in range(replicas_)
        }
        self._fleets = {
            f"e{each}": _make_fleet(self._engines, self._rng)
            for each in range(entries)
        }
        self._load_reports = load_reports.make_load_reports()
        self._capacity = engines.CAPACITY_TOKENS if counts_memory else 0
        self._overload = shedding.make_overload_timer()
        self.outcomes: list[Outcome] = []

    def simulate(self, length_s: float) -> None:
        """Simulate arrivals for `length_s` and run until all have ended."""
        for kind in self._kinds:
            for at in self._arrivals(kind, length_s):
                self._clock.at(at, self._arrive, kind)
        for entry in self._fleets:
            for turn in range(int(length_s / REPORT_PERIOD_S)):
                offset_s = self._rng.random() * REPORT_PERIOD_S
                self._clock.at(
                    turn * REPORT_PERIOD_S + offset_s, self._report, entry
                )
        self._clock.run()

    def of(self, kind: Kind) -> list[Outcome]:
        return [each for each in self.outcomes if each.kind is kind]

    def _arrivals(self, kind: Kind, length_s: float) -> list[float]:
        max_rate = kind.per_s * max([1.0, *(each[2] for each in kind.bursts)])
        arrivals = []
        at = self._rng.expovariate(max_rate)
        while at < length_s:
            rate = kind.per_s
            for begin, end, factor in kind.bursts:
                if begin <= at < end:
                    rate *= factor
            if self._rng.random() < rate / max_rate:
                arrivals.append(at)
            at += self._rng.expovariate(max_rate)
        return arrivals

    def _report(self, entry: str) -> None:
        now = self._clock.now
        fleet = self._fleets[entry]
        self._load_reports.report(entry, fleet.own_work(), now)
        fleet.update_other_work(
            self._load_reports.work_of_others(entry, now), now
        )

    def _arrive(self, kind: Kind) -> None:
        now = self._clock.now
        outcome = Outcome(kind, now)
        self.outcomes.append(outcome)
        fleet = self._fleets[self._rng.choice(list(self._fleets))]
        tighter = [
            each.objective_s
            for each in self._kinds
            if each.urgency < kind.urgency
        ]
        request = replica_choice.make_selection_request(
            calls.Call(
                call_id="c",
                method=b"POST",
                target=b"/",
                host="h",
                path="/",
                model=MODEL,
                parts=(
                    calls.Part("kept", kind.kept),
                    calls.Part("own", kind.prompt - kind.kept),
                ),
                prompt_tokens=kind.prompt,
                output_tokens=kind.output,
            ),
            SERVICE,
            kind.urgency,
            None,
            _engine(self._capacity),
            bool(tighter),
        )
        choice = fleet.choose(request, (), now)
        prompt = shedding.Prompt(
            wait_s=choice.wait_s,
            own_s=choice.own_s,
            objective_s=kind.objective_s,
            left_s=kind.budget_s,
            urgent_objective_s=min(tighter, default=None),
        )
        decision = shedding.decide(
            prompt, self._rng.random(), self._overload.age_s(now)
        )
        if isinstance(decision, shedding.Shed):
            self._overload.note_shed(now)
            return
        member = choice.member
        outcome.run = engines.Run(
            kind.urgency,
            kind.prompt - kind.kept,
            kind.prompt + kind.output,
            kind.output,
            now,
        )
        member.begin_call(kind.urgency, request.memory_tokens)
        queued, own = fleet.expected_tokens(member, request, now)
        member.begin_prefill(kind.urgency, int(own))
        self._observe(fleet, member, request, outcome.run, queued, int(own))
        engine = self._engines[member.replica.replica_id]
        engine.waiting.append(outcome.run)
        if not engine.busy:
            self._step(engine)

    def _observe(self, fleet, member, request, run, queued, own) -> None:
        """Have the entry observe the first token and the end of a run."""
        prefilling = [own]

        def poll() -> None:
            now = self._clock.now
            if run.first_at is not None and prefilling:
                member.end_prefill(request.urgency, prefilling.pop())
                fleet.note_first_token(
                    queued + own, run.first_at - run.arrived_at
                )
            if run.ended_at is not None:
                member.end_call(request.urgency, request.memory_tokens)
                fleet.note_memory_held(request, run.ended_at - run.arrived_at)
                return
            self._clock.at(now + 0.01, poll)

        self._clock.at(self._clock.now + 0.01, poll)

    def _step(self, engine: engines.Engine) -> None:
        engine.busy = True
        step_s = engine.begin_step()
        self._clock.at(self._clock.now + step_s, self._end_step, engine)

    def _end_step(self, engine: engines.Engine) -> None:
        engine.end_step(self._clock.now)
        engine.busy = bool(engine.running or engine.waiting)
        if engine.busy:
            self._step(engine)


def _engine(capacity: int) -> traffic.Engine:
    return traffic.Engine(
        slots=engines.SLOTS,
        cache_tokens=capacity,
        token_bytes=18_432,
        link_mbps=1.0,
        models=(MODEL,),
    )


def _make_fleet(names, rng) -> fleets.Fleet:
    fleet = fleets.make_fleet(
        "z", 10.0, lambda salt, parts: parts[0].tokens, rng
    )
    fleet.update(
        replicas.Replica(
            replica_id=name,
            service=SERVICE,
            address=f"{name}:80",
            zone="z",
            slots=engines.SLOTS,
            condition=replicas.Condition.READY,
            weights={MODEL: 1},
        )
        for name in names
    )
    return fleet
