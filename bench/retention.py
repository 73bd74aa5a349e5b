"""Compares retention with LRU, and restore plans with their baselines.

Runs a seeded synthetic trace in virtual time and prints JSON. Sizes are in
pieces. The figures compare the policies; they do not predict what a
deployment would see.
"""

import argparse
import collections
import json
import math
import random

import msgspec

from bench import restores
from papayalink.coordination import occupancy as occupancies
from papayalink.coordination import restore
from papayalink.coordination import retention
from papayalink.protocol import pieces

_HOUR_S = 3600.0
_DAY_S = 24 * _HOUR_S
_PIECE_BYTES = 64 * 2**20

# After this gap the pieces of a prompt are no longer in accelerator memory.
_LONG_GAP_S = 600.0

# The policies learn return gaps in the first days, which are not counted.
_WARM_UP_S = 4 * _DAY_S
_DURATION_S = 18 * _DAY_S
_REVALUE_PERIOD_S = _HOUR_S


class PromptKind(msgspec.Struct, frozen=True):
    """Distribution of the prompts of one application.

    Args:
        weight: share of the workspace's new prompts.
        returns: probability that a prompt returns once more.
        median_gap_s: median of the log-normal gap between arrivals.
        sigma: standard deviation of the logarithm of the gap.
        shares_first: whether all prompts start with the same piece.
        mean_pieces: mean number of pieces of a new prompt.
    """

    weight: float
    returns: float
    median_gap_s: float
    sigma: float
    shares_first: bool
    mean_pieces: float


_ONE_OFF = PromptKind(0.0, 0.0, 1.0, 1.0, False, 6)
_SORTING = PromptKind(0.0, 0.03, 2 * _HOUR_S, 1.5, True, 4)
_CHAT = PromptKind(0.0, 0.75, 1.5 * _HOUR_S, 1.8, True, 5)
_CASES = PromptKind(0.0, 0.85, 20 * _HOUR_S, 1.0, True, 8)
_DOCUMENTS = PromptKind(0.0, 0.6, 6 * _HOUR_S, 1.5, False, 10)


def _mix(**weights: float) -> list[PromptKind]:
    kinds = {
        "one_off": _ONE_OFF,
        "sorting": _SORTING,
        "chat": _CHAT,
        "cases": _CASES,
        "documents": _DOCUMENTS,
    }
    return [
        msgspec.structs.replace(kinds[name], weight=weight)
        for name, weight in weights.items()
    ]


# New prompts an hour and the mix of their kinds, by workspace. The large
# workspaces mostly send prompts that never return.
_WORKSPACES = {
    "large-1": (12.0, _mix(one_off=0.5, sorting=0.4, chat=0.1)),
    "large-2": (8.0, _mix(one_off=0.3, sorting=0.5, cases=0.2)),
    "large-3": (6.0, _mix(one_off=0.7, documents=0.1, chat=0.2)),
    "small-1": (0.6, _mix(one_off=0.4, chat=0.6)),
    "small-2": (0.6, _mix(one_off=0.4, cases=0.6)),
    "small-3": (0.6, _mix(sorting=0.5, cases=0.5)),
    "small-4": (0.5, _mix(one_off=0.5, documents=0.5)),
    "small-5": (0.5, _mix(sorting=0.3, chat=0.4, cases=0.3)),
    "small-6": (0.4, _mix(one_off=0.6, cases=0.4)),
    "small-7": (0.4, _mix(documents=1.0)),
}


class Arrival(msgspec.Struct, frozen=True):
    """One request.

    Args:
        at: virtual time in seconds.
        keys: keys of the pieces.
        facts: facts of the pieces.
        previous_count: number of leading pieces that this prompt had at its
            previous arrival, 0 for a new prompt.
        gap_s: time since that arrival, 0 for a new prompt.
    """

    at: float
    keys: list[pieces.PieceKey]
    facts: list[retention.PieceFacts]
    previous_count: int
    gap_s: float


def make_trace(seed: int, duration_s: float = _DURATION_S) -> list[Arrival]:
    """Draw the arrivals of all workspaces.

    Args:
        seed: seed of the generator.
        duration_s: length of the trace in virtual seconds.
    Returns: arrivals in order of time.
    """
    rng = random.Random(seed)
    trace: list[Arrival] = []
    for workspace, (per_hour, kinds) in _WORKSPACES.items():
        at = 0.0
        while True:
            at += rng.expovariate(per_hour / _HOUR_S)
            if at >= duration_s:
                break
            weights = [kind.weight for kind in kinds]
            index = rng.choices(range(len(kinds)), weights)[0]
            trace += _draw_prompt(
                rng, workspace, f"app-{index}", kinds[index], at, duration_s
            )
    trace.sort(key=lambda arrival: arrival.at)
    return trace


def _draw_prompt(
    rng: random.Random,
    workspace: str,
    application: str,
    kind: PromptKind,
    at: float,
    end_s: float,
) -> list[Arrival]:
    def make_key(digest: str) -> pieces.PieceKey:
        return pieces.PieceKey(workspace, "v1", digest)

    name = f"{workspace}/{application}/{rng.getrandbits(64):x}"
    count = 1 + int(rng.expovariate(1 / kind.mean_pieces))
    keys = [make_key(f"{name}/{position}") for position in range(count)]
    if kind.shares_first:
        keys.insert(0, make_key(f"{workspace}/{application}/first"))
    arrivals = []
    previous_count, gap_s = 0, 0.0
    while at < end_s:
        facts = retention.make_facts(keys)
        arrivals.append(Arrival(at, list(keys), facts, previous_count, gap_s))
        if rng.random() >= kind.returns:
            break
        previous_count = len(keys)
        gap_s = rng.lognormvariate(0, kind.sigma) * kind.median_gap_s
        at += gap_s
        if rng.random() < 0.5:
            keys.append(make_key(f"{name}/{len(keys)}"))
    return arrivals


class Clairvoyant(retention.Policy):
    """Keeps the pieces whose next use is nearest, as Belady's algorithm does.

    It knows the trace in advance, so it is a bound for the policies.

    Args:
        trace: the trace that will be replayed.
    """

    __slots__ = ("_uses",)

    def __init__(self, trace: list[Arrival]) -> None:
        self._uses: dict[str, collections.deque[float]] = {}
        for arrival in trace:
            for key in arrival.keys:
                uses = self._uses.setdefault(key.digest, collections.deque())
                uses.append(arrival.at)

    def record_request(self, keys: list[pieces.PieceKey], now: float) -> None:
        for key in keys:
            self._uses[key.digest].popleft()

    def value(
        self,
        key: pieces.PieceKey,
        facts: retention.PieceFacts,
        size_bytes: int,
        now: float,
    ) -> float:
        uses = self._uses[key.digest]
        return -uses[0] if uses else -float("inf")

    def copy_count(self, value: float, floor: float) -> int:
        return 1


class Informed(retention.Policy):
    """Knows the distributions of the trace; a bound for estimates of gaps.

    It values a piece by the same rule as ReturnPolicy, but with the
    probabilities that the trace was drawn from. Its distance to Clairvoyant
    is what no estimate of return gaps can gain.
    """

    __slots__ = ("_seen_at", "_rates")

    def __init__(self) -> None:
        self._seen_at: dict[str, float] = {}
        self._rates: dict[tuple[PromptKind, int], float] = {}

    def record_request(self, keys: list[pieces.PieceKey], now: float) -> None:
        for key in keys:
            self._seen_at[key.digest] = now

    def value(
        self,
        key: pieces.PieceKey,
        facts: retention.PieceFacts,
        size_bytes: int,
        now: float,
    ) -> float:
        _, application, prompt, *_ = key.digest.split("/")
        if prompt == "first":
            # This piece is used by every prompt of its application.
            return 1.0
        kind = _WORKSPACES[key.workspace][1][
            int(application.removeprefix("app-"))
        ]
        age_s = max(60.0, now - self._seen_at[key.digest])
        # Ages are rounded to a quarter of an octave.
        kind_and_age = (kind, int(4 * math.log2(age_s)))
        if kind_and_age not in self._rates:
            self._rates[kind_and_age] = _best_rate(kind, age_s)
        return self._rates[kind_and_age] / (1 + 1e-4 * facts.position)

    def copy_count(self, value: float, floor: float) -> int:
        return 1


def _best_rate(kind: PromptKind, age_s: float) -> float:
    """Returns: expected returns per second of storage, at the best duration.

    Args:
        age_s: time since the last arrival of the prompt.
    """
    if not kind.returns:
        return 0.0

    def unreturned(at_s: float) -> float:
        deviations = math.log(at_s / kind.median_gap_s) / kind.sigma
        returned = 0.5 * math.erfc(-deviations / math.sqrt(2))
        return 1 - kind.returns * returned

    best_rate = storage_s = 0.0
    unreturned_before, since_s = unreturned(age_s), 0.0
    for step in range(80):
        # From half a minute to a month, three steps to an octave.
        until_s = 30 * 2 ** (step / 3)
        unreturned_after = unreturned(age_s + until_s)
        storage_s += (
            (unreturned_before + unreturned_after) / 2 * (until_s - since_s)
        )
        unreturned_before, since_s = unreturned_after, until_s
        best_rate = max(
            best_rate, (unreturned(age_s) - unreturned_after) / storage_s
        )
    return best_rate


def replay(
    trace: list[Arrival],
    policy: retention.Policy,
    capacity: int,
    guaranteed_fraction: float,
) -> dict[str, object]:
    """Replay a trace against one store with one policy.

    Args:
        trace: arrivals in order of time.
        policy: values the pieces.
        capacity: capacity of the store in pieces.
        guaranteed_fraction: see occupancies.Occupancy.
    Returns: tokens recomputed on returns after a long gap, and their share of
        the tokens that those prompts had at their previous arrivals.
    """
    occupancy = occupancies.Occupancy(
        capacity * _PIECE_BYTES, guaranteed_fraction
    )
    stored: dict[pieces.PieceKey, retention.PieceFacts] = {}
    reusable: collections.Counter[str] = collections.Counter()
    recomputed: collections.Counter[str] = collections.Counter()
    revalue_at = 0.0
    for arrival in trace:
        now = arrival.at
        if now >= revalue_at:
            revalue_at = now + _REVALUE_PERIOD_S
            for key, facts in stored.items():
                value = policy.value(key, facts, _PIECE_BYTES, now)
                occupancy.set_value(key, value)
        prefix_count = 0
        while (
            prefix_count < arrival.previous_count
            and arrival.keys[prefix_count] in stored
        ):
            prefix_count += 1
        if arrival.gap_s >= _LONG_GAP_S and now >= _WARM_UP_S:
            size_class = arrival.keys[0].workspace.split("-")[0]
            reusable[size_class] += arrival.previous_count
            recomputed[size_class] += arrival.previous_count - prefix_count
        policy.record_request(arrival.keys, now)
        for key, facts in zip(arrival.keys, arrival.facts):
            value = policy.value(key, facts, _PIECE_BYTES, now)
            if key in stored:
                occupancy.set_value(key, value)
                continue
            victims = occupancy.choose_victims(
                key, _PIECE_BYTES, value, lambda key: False
            )
            if victims is None:
                continue
            for victim in victims:
                occupancy.remove(victim)
                del stored[victim]
            occupancy.add(key, _PIECE_BYTES, value)
            stored[key] = facts
    result: dict[str, object] = {}
    for size_class in ("large", "small", "all"):
        counts = [
            (
                sum(counter.values())
                if size_class == "all"
                else counter[size_class]
            )
            for counter in (recomputed, reusable)
        ]
        result[size_class] = {
            "recomputed_tokens": counts[0] * pieces.PIECE_TOKENS,
            "share": round(counts[0] / max(1, counts[1]), 4),
        }
    return result


def compare_retention(seed: int, capacity: int) -> dict[str, object]:
    """Replay one trace with each policy.

    Args:
        seed: seed of the trace.
        capacity: capacity of the store in pieces.
    Returns: results by policy, and recomputed tokens of retention to LRU.
    """
    trace = make_trace(seed)
    share = occupancies.GUARANTEED_FRACTION
    runs = {
        "lru": (retention.LruPolicy(), 0.0),
        "lru_with_shares": (retention.LruPolicy(), share),
        "retention_without_shares": (retention.ReturnPolicy(), 0.0),
        "retention": (retention.ReturnPolicy(), share),
        "informed": (Informed(), 0.0),
        "clairvoyant": (Clairvoyant(trace), 0.0),
    }
    results: dict[str, object] = {
        "seed": seed,
        "capacity_pieces": capacity,
        "prompts": len(trace),
        "distinct_pieces": len({k for a in trace for k in a.keys}),
    }
    for name, (policy, fraction) in runs.items():
        results[name] = replay(trace, policy, capacity, fraction)
    results["retention_to_lru"] = {
        group: round(
            results["retention"][group]["recomputed_tokens"]
            / max(1, results["lru"][group]["recomputed_tokens"]),
            3,
        )
        for group in ("large", "small", "all")
    }
    return results


def compare_restores() -> list[dict[str, object]]:
    """Simulate restores of 40 kept pieces over links of different rates.

    Returns: for each case the seconds of the restore and of both baselines,
        and the ratio of the restore to the faster baseline.
    """
    rows = []
    for computes_during_import in (False, True):
        for slows in (False, True):
            for mib_per_s in (16, 64, 128, 256, 512, 1024, 4096):
                rate = mib_per_s * 2.0**20
                slows_at_s = float("inf")
                if slows:
                    slows_at_s = 0.3 * 40 * _PIECE_BYTES / rate
                outcome = restores.simulate(
                    40,
                    40,
                    _PIECE_BYTES,
                    restore.Engine(
                        retention.DEFAULT_PREFILL_TOKENS_PER_S,
                        0.0,
                        computes_during_import,
                    ),
                    restores.LinkProfile(rate, slows_at_s, 0.1),
                )
                best = min(outcome.import_s, outcome.recompute_s)
                rows.append(
                    {
                        "can_meet": computes_during_import,
                        "slows_to_a_tenth": slows,
                        "link_mib_per_s": mib_per_s,
                        "restore_s": round(outcome.restore_s, 3),
                        "import_s": round(outcome.import_s, 3),
                        "recompute_s": round(outcome.recompute_s, 3),
                        "imported": outcome.imported,
                        "abandoned": outcome.abandoned,
                        "ratio": round(outcome.restore_s / best, 3),
                    }
                )
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2])
    parser.add_argument(
        "--capacities", type=int, nargs="*", default=[1000, 2000, 4000, 6000]
    )
    options = parser.parse_args()
    report: dict[str, object] = {
        "retention": [
            compare_retention(seed, capacity)
            for seed in options.seeds
            for capacity in options.capacities
        ],
        "restore": compare_restores(),
    }
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
