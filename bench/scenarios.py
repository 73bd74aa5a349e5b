"""Traffic and disturbances of the scenarios of `bench.run`."""

import random

import msgspec

from bench import fleet as fleets
from bench import load

LARGE = ("large-1", "large-2")
SMALL = tuple(f"small-{number}" for number in range(1, 9))

# Share of the offered requests of each workspace without a flood.
LARGE_SHARE = 0.25
SMALL_SHARE = (1 - len(LARGE) * LARGE_SHARE) / len(SMALL)

# Mean prompt and answer tokens; a quote is short, a summary long.
TOKENS = {"urgent": (600, 30), "deferrable": (2000, 60)}

# Requests a second without a flood. With ENGINE below, an engine serves about
# 24 urgent or 10 deferrable requests a second, so this is about half of the
# capacity of six.
RATES = {"urgent": 25.0, "deferrable": 20.0}

# Requests a second of a flood, sent by the large workspaces in addition:
# about three times the capacity of the fleet of that rank's requests.
FLOOD_RATES = {"urgent": 400.0, "deferrable": 180.0}

REPLICAS = 6
ENGINE = {
    "slots": 8,
    "prefill_tokens_per_s": 20_000.0,
    "decode_interval_s": 0.01,
}

# The targets are scaled with the engines, so that a queue of the less urgent
# rank reaches its target within a scenario.
TTFT_TARGETS_MS = {"urgent": 1600, "deferrable": 6000}

RETURNING = 40
RETURNING_TOKENS = (4000, 8000)


class Scenario(msgspec.Struct, frozen=True):
    """One scenario.

    Attributes:
        factor: of RATES.
        flood: rank that floods, "" for none.
        returning: prompts are sent, evicted and sent again.
        disturbance: what happens halfway, "" for nothing.
        begins: part of the time after which requests are counted.
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

# Parts of the time: returning prompts are first sent until the first one,
# evicted at the second one and sent again between the others.
FIRST_UNTIL = 0.35
EVICTED_AT = 0.5
RETURN_FROM = 0.52
RETURN_UNTIL = 0.9

# Part of the time at which a flood starts, just before counting begins.
FLOOD_FROM = 0.1


def token_of(workspace: str) -> str:
    return f"{workspace}-token"


class Traffic:
    """Makes the requests of one scenario; the seed fixes them."""

    __slots__ = ("_random", "_shots", "_number")

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._shots: list[load.Shot] = []
        self._number = 0

    def make(self, scenario: Scenario, seconds: float) -> list[load.Shot]:
        everyone = {name: LARGE_SHARE for name in LARGE}
        everyone |= {name: SMALL_SHARE for name in SMALL}
        for rank, rate in RATES.items():
            self._add_poisson(
                rank, rate * scenario.factor, everyone, "base", 0.0, seconds
            )
        if scenario.flood:
            self._add_poisson(
                scenario.flood,
                FLOOD_RATES[scenario.flood],
                {name: 1.0 for name in LARGE},
                "flood",
                FLOOD_FROM * seconds,
                seconds,
            )
        if scenario.returning:
            self._add_returning(everyone, seconds)
        return self._shots

    def _add_poisson(self, rank, rate, callers, kind, start, end) -> None:
        at = start + self._random.expovariate(rate)
        while at < end:
            workspace = self._draw(callers)
            prompt, answer = (
                max(1, round(mean * self._random.uniform(0.5, 1.5)))
                for mean in TOKENS[rank]
            )
            self._add(at, rank, workspace, kind, self._prompt(prompt), answer)
            at += self._random.expovariate(rate)

    def _add_returning(self, callers, seconds) -> None:
        for number in range(RETURNING):
            workspace = self._draw(callers)
            rank = ("urgent", "deferrable")[number % 2]
            prompt = self._prompt(self._random.randint(*RETURNING_TOKENS))
            part = number / RETURNING
            first = part * FIRST_UNTIL * seconds
            again = RETURN_FROM + part * (RETURN_UNTIL - RETURN_FROM)
            self._add(first, rank, workspace, "first", prompt, 10)
            self._add(again * seconds, rank, workspace, "return", prompt, 10)

    def _draw(self, callers: dict[str, float]) -> str:
        return self._random.choices(
            list(callers), weights=list(callers.values())
        )[0]

    def _prompt(self, words: int) -> str:
        self._number += 1
        return " ".join(f"p{self._number}w{word}" for word in range(words))

    def _add(self, at, rank, workspace, kind, prompt, answer) -> None:
        body = load.make_body(fleets.MODEL, prompt, answer, rank)
        self._shots.append(
            load.Shot(at, rank, workspace, kind, token_of(workspace), body)
        )
