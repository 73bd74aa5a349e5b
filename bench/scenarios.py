"""Traffic and disturbances of the scenarios of `bench.run`."""

import random

import msgspec

from bench import fleet as fleets
from bench import load

LARGE = ("large-1", "large-2")
SMALL = tuple(f"small-{number}" for number in range(1, 9))

# Share of the offered requests that each workspace sends without a flood.
LARGE_SHARE = 0.25
SMALL_SHARE = (1 - len(LARGE) * LARGE_SHARE) / len(SMALL)

# Mean prompt and answer tokens; a quote is short, a summary long.
MEAN_TOKENS = {"urgent": (600, 30), "deferrable": (2000, 60)}

# Requests a second without a flood. An engine with the options ENGINE serves
# about 24 urgent or 10 deferrable requests a second, so this is about half of
# the capacity of six engines.
REQUESTS_PER_S = {"urgent": 25.0, "deferrable": 20.0}

# Requests a second that the large workspaces send in addition during a flood:
# about three times the capacity of the fleet for requests of that rank.
FLOOD_REQUESTS_PER_S = {"urgent": 400.0, "deferrable": 180.0}

REPLICAS = 6
ENGINE = {
    "slots": 8,
    "prefill_tokens_per_s": 20_000.0,
    "decode_interval_s": 0.01,
}

# The targets are scaled to the engines, so that waits in the queue of the less
# urgent rank reach its target within a scenario.
TTFT_TARGETS_MS = {"urgent": 1600, "deferrable": 6000}

# Number of prompts that are sent twice, and the range of their lengths in
# tokens.
RETURNING = 40
RETURNING_TOKENS = (4000, 8000)


class Scenario(msgspec.Struct, frozen=True):
    """One scenario.

    Attributes:
        factor: multiple of REQUESTS_PER_S that is sent.
        flood: rank of the requests of a flood, "" for no flood.
        returning: whether prompts are sent, evicted and sent again.
        disturbance: what happens halfway, "" for nothing.
        begins: fraction of the duration after which requests are counted.
    """

    name: str
    factor: float = 1.0
    flood: str = ""
    returning: bool = False
    disturbance: str = ""
    stores: int = 2
    begins: float = 0.2


SCENARIOS = (
    Scenario("steady"),
    Scenario("returns", factor=0.4, returning=True, begins=0.0),
    Scenario(
        "returns_without_stores",
        factor=0.4,
        returning=True,
        stores=0,
        begins=0.0,
    ),
    Scenario("flood_deferrable", flood="deferrable"),
    Scenario("flood_urgent", flood="urgent"),
    Scenario(
        "store_killed",
        factor=0.4,
        returning=True,
        disturbance="store_killed",
        begins=0.0,
    ),
    Scenario("entry_killed", disturbance="entry_killed"),
    Scenario("weight_swap", disturbance="weight_swap"),
)

# Fractions of the duration: returning prompts are sent first until
# FIRST_UNTIL, evicted at EVICTED_AT, and sent again from RETURN_FROM to
# RETURN_UNTIL.
FIRST_UNTIL = 0.35
EVICTED_AT = 0.5
RETURN_FROM = 0.52
RETURN_UNTIL = 0.9

# Fraction of the duration at which a flood starts; counting begins soon after.
FLOOD_FROM = 0.1


def token_of(workspace: str) -> str:
    return f"{workspace}-token"


class Traffic:
    """Makes the requests of one scenario; they depend only on the seed."""

    __slots__ = ("_random", "_planned_requests", "_prompt_number")

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._planned_requests: list[load.PlannedRequest] = []
        self._prompt_number = 0

    def make(
        self, scenario: Scenario, seconds: float
    ) -> list[load.PlannedRequest]:
        callers = {name: LARGE_SHARE for name in LARGE}
        callers |= {name: SMALL_SHARE for name in SMALL}
        for rank, rate in REQUESTS_PER_S.items():
            self._add_poisson(
                rank, rate * scenario.factor, callers, "base", 0.0, seconds
            )
        if scenario.flood:
            self._add_poisson(
                scenario.flood,
                FLOOD_REQUESTS_PER_S[scenario.flood],
                {name: 1.0 for name in LARGE},
                "flood",
                FLOOD_FROM * seconds,
                seconds,
            )
        if scenario.returning:
            self._add_returning(callers, seconds)
        return self._planned_requests

    def _add_poisson(self, rank, rate, callers, kind, start, end) -> None:
        at = start + self._random.expovariate(rate)
        while at < end:
            workspace = self._choose_workspace(callers)
            prompt, answer = (
                max(1, round(mean * self._random.uniform(0.5, 1.5)))
                for mean in MEAN_TOKENS[rank]
            )
            self._add(
                at, rank, workspace, kind, self._make_prompt(prompt), answer
            )
            at += self._random.expovariate(rate)

    def _add_returning(self, callers, seconds) -> None:
        for number in range(RETURNING):
            workspace = self._choose_workspace(callers)
            rank = ("urgent", "deferrable")[number % 2]
            prompt = self._make_prompt(self._random.randint(*RETURNING_TOKENS))
            progress = number / RETURNING
            first_at = progress * FIRST_UNTIL * seconds
            return_fraction = RETURN_FROM + progress * (
                RETURN_UNTIL - RETURN_FROM
            )
            self._add(first_at, rank, workspace, "first", prompt, 10)
            self._add(
                return_fraction * seconds,
                rank,
                workspace,
                "return",
                prompt,
                10,
            )

    def _choose_workspace(self, callers: dict[str, float]) -> str:
        return self._random.choices(
            list(callers), weights=list(callers.values())
        )[0]

    def _make_prompt(self, words: int) -> str:
        self._prompt_number += 1
        return " ".join(
            f"p{self._prompt_number}w{word}" for word in range(words)
        )

    def _add(self, at, rank, workspace, kind, prompt, answer) -> None:
        body = load.make_body(fleets.MODEL, prompt, answer, rank)
        self._planned_requests.append(
            load.PlannedRequest(
                at, rank, workspace, kind, token_of(workspace), body
            )
        )
