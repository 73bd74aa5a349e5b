"""Queueing and routing against their baselines, in virtual time.

Run with `python -m bench.policy`; prints JSON. The seed fixes the result. The
model of a replica: requests hold one of its slots from dispatch to end;
prefill is serial in chunks, lowest priority value first; decoding takes a
constant time for each token.
"""

import argparse
import collections
import heapq
import itertools
import json
import math
import random
import statistics
from typing import Any
from typing import Callable

import msgspec

from papayalink.coordination import admission
from papayalink.coordination import limits
from papayalink.coordination import queueing
from papayalink.coordination import routing
from papayalink.coordination import windows
from papayalink.coordination import work_queue

RANKS = (
    work_queue.Rank("urgent", 1.6, weight=3.0, min_share=0.5),
    work_queue.Rank("deferrable", 30.0, weight=1.0, min_share=0.2),
)
NAMES = [rank.name for rank in RANKS]
SHARES = tuple(work_queue.owed_shares(RANKS))
ZONES = ("korangi", "west-wharf", "port-qasim")

# Mean prompt and answer tokens by rank; a quote is short, a summary long.
MEAN_TOKENS = {"urgent": (600, 60), "deferrable": (2000, 200)}

# A replica: with these values prefill and slots run out at similar loads, so
# that neither of them hides the other.
SLOTS = 16
PREFILL_RATE = 8000.0
CHUNK_TOKENS = 512
DECODE_S = 0.02
NETWORK_S = 0.002

# Requests a second that one replica serves of one rank alone.
CAPACITY = {
    name: min(
        PREFILL_RATE / prompt,
        SLOTS / (answer * DECODE_S + prompt / PREFILL_RATE),
    )
    for name, (prompt, answer) in MEAN_TOKENS.items()
}

# The first seconds are left out: queues and estimates are still filling.
WARM_UP_S = 20.0


class Arrival(msgspec.Struct):
    """One request of the trace and what became of it."""

    request_id: str
    at: float
    rank: str
    workspace: str
    prompt: int
    answer: int
    first_token_at: float | None = None
    ended_at: float | None = None
    refused: bool = False
    upstream: str = ""
    entry: Any = None

    @property
    def tokens(self) -> int:
        return self.prompt + self.answer


class Setup(msgspec.Struct, frozen=True):
    """Policies of a run.

    Args:
        feedback: whether entries learn of first tokens and ends, as those of
            a deployment do; otherwise they know what reports show.
    """

    queue: str = "ranks"
    route: str = "predicted"
    admission: bool = True
    replicas: int = 6
    entries: int = 4
    report_lag_s: float = 0.5
    slow_replicas: int = 0
    slots: int = SLOTS
    entry_zones: tuple[str, ...] = ZONES
    feedback: bool = False


class Loop:
    """Events in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()

    def after(self, delay_s: float, action: Callable, *args: Any) -> None:
        entry = (self.now + delay_s, next(self._order), action, args)
        heapq.heappush(self._heap, entry)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._heap)
            action(*args)


class Replica:
    """Agent queue and model engine."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        zone: str,
        setup: Setup,
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.gate = admission.Admission(RANKS, rng)
        self.admission = setup.admission
        self.slots = setup.slots
        self.name = name
        self.zone = zone
        self.rate = PREFILL_RATE
        self.decode_s = DECODE_S
        self.running = 0
        self.prefilling = [0, 0]
        self.waiting = [0, 0]
        self.loads = [windows.Rate(2.0, 0.0) for _ in RANKS]
        self.slot_times = windows.Rate(5.0, 0.0)
        self._prefill: list[list] = []
        self._busy = False
        self._order = itertools.count()
        if setup.queue == "ranks":
            self.queue = queueing.make_queue(RANKS, slots=setup.slots)
        else:
            self.queue = work_queue.FifoQueue()

    def receive(self, arrival: Arrival) -> None:
        if self.admission:
            outcome = self.gate.decide(
                arrival.rank,
                arrival.workspace,
                arrival.tokens,
                *self._predict(arrival),
                self.loop.now,
            )
            if isinstance(outcome, admission.Refused):
                self._ended(arrival, refused=True)
                return
        expected = arrival.prompt + MEAN_TOKENS[arrival.rank][1]
        item = work_queue.Item(
            arrival.request_id,
            arrival.workspace,
            arrival.rank,
            expected,
            arrival.at + 2 * RANKS[NAMES.index(arrival.rank)].ttft_target_s,
            arrival,
        )
        self.waiting[NAMES.index(arrival.rank)] += arrival.prompt
        for shed in self.queue.push(item, self.loop.now).shed:
            self._refuse(shed)
        self._dispatch()

    def report(self) -> routing.Candidate:
        now = self.loop.now
        return routing.Candidate(
            self.name,
            self.zone,
            tuple(w + p for w, p in zip(self.waiting, self.prefilling)),
            tuple(self.queue.depth(name) for name in NAMES),
            self.rate,
            now,
            self._free_slots(),
            self._start_periods(),
            SHARES,
            tuple(load.at(now) / self.rate for load in self.loads),
            slots=self.slots,
        )

    def _predict(self, arrival: Arrival) -> tuple[float, float]:
        """Returns: predicted first token and the wait in it, seconds."""
        rank = NAMES.index(arrival.rank)
        request = routing.Request(
            arrival.request_id,
            rank,
            arrival.prompt,
            RANKS[rank].ttft_target_s,
            self.zone,
        )
        decision = routing.predict(
            self.report(), request, self.loop.now, routing.RecentWork()
        )
        part = 1.0
        if not isinstance(self.queue, work_queue.FifoQueue):
            part = self.queue.fraction_ahead(
                arrival.rank, arrival.workspace, arrival.tokens
            )
        wait_s = part * decision.wait_s
        return decision.ttft_s - decision.wait_s + wait_s, wait_s

    def _free_slots(self) -> tuple[int, ...]:
        if isinstance(self.queue, work_queue.FifoQueue):
            return (self.slots - self.running,) * len(RANKS)
        now = self.loop.now
        return tuple(self.queue.free_slots(name, now) for name in NAMES)

    def _start_periods(self) -> tuple[float, ...]:
        if isinstance(self.queue, work_queue.FifoQueue):
            rate = max(self.slot_times.at(self.loop.now), 1.0)
            return (1 / rate,) * len(RANKS)
        now = self.loop.now
        return tuple(self.queue.start_period(name, now) for name in NAMES)

    def _refuse(self, item: work_queue.Item) -> None:
        self._ended(item.payload, refused=True)
        self.waiting[NAMES.index(item.rank)] -= item.payload.prompt

    def _ended(self, arrival: Arrival, refused: bool = False) -> None:
        arrival.refused = refused
        self.loop.after(NETWORK_S, arrival.entry.ended, arrival)

    def _dispatch(self) -> None:
        now = self.loop.now
        while self.running < self.slots:
            item = self.queue.pop(now)
            if item is None:
                break
            rank = NAMES.index(item.rank)
            self.running += 1
            self.waiting[rank] -= item.payload.prompt
            self.prefilling[rank] += item.payload.prompt
            priority = 0 if item.owed else rank
            entry = [priority, next(self._order), item, item.payload.prompt]
            heapq.heappush(self._prefill, entry)
        for item in self.queue.take_expired(now):
            self._refuse(item)
        if not self._busy:
            self._next_chunk()

    def _next_chunk(self) -> None:
        self._busy = bool(self._prefill)
        if self._busy:
            entry = heapq.heappop(self._prefill)
            tokens = min(CHUNK_TOKENS, entry[3])
            self.loop.after(
                tokens / self.rate, self._chunk_done, entry, tokens
            )

    def _chunk_done(self, entry: list, tokens: int) -> None:
        item = entry[2]
        rank = NAMES.index(item.rank)
        entry[3] -= tokens
        self.prefilling[rank] -= tokens
        self.loads[rank].add(tokens, self.loop.now)
        if entry[3]:
            heapq.heappush(self._prefill, entry)
        else:
            arrival = item.payload
            arrival.first_token_at = self.loop.now + NETWORK_S
            self.loop.after(NETWORK_S, arrival.entry.prefilled, arrival)
            self.loop.after(arrival.answer * self.decode_s, self._end, item)
        self._next_chunk()

    def _end(self, item: work_queue.Item) -> None:
        now = self.loop.now
        item.payload.ended_at = now
        self._ended(item.payload)
        self.running -= 1
        self.slot_times.add(1, now)
        self.queue.finish(item, item.payload.tokens, now)
        self._dispatch()


class Entry:
    """Routes requests on old reports."""

    def __init__(
        self,
        loop: Loop,
        zone: str,
        setup: Setup,
        fleet: list[Replica],
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.zone = zone
        self.setup = setup
        self.fleet = {replica.name: replica for replica in fleet}
        self.rng = rng
        self.reports = {one.name: one.report() for one in fleet}
        self.recent = routing.RecentWork()
        self.gate = admission.Admission(RANKS, rng, admission.ENTRY_SLACK)
        self.turns = routing.RoundRobin(rng.randrange(len(fleet)))

    def learn(self, report: routing.Candidate) -> None:
        self.reports[report.upstream] = report
        self.recent.reported(report.upstream, report.reported_at)

    def prefilled(self, arrival: Arrival) -> None:
        if self.setup.feedback:
            self.recent.prefilled(arrival.upstream, arrival.request_id)

    def ended(self, arrival: Arrival) -> None:
        if self.setup.feedback:
            self.recent.ended(arrival.upstream, arrival.request_id)

    def handle(self, arrival: Arrival) -> None:
        now = self.loop.now
        rank = NAMES.index(arrival.rank)
        request = routing.Request(
            arrival.request_id,
            rank,
            arrival.prompt,
            RANKS[rank].ttft_target_s,
            self.zone,
        )
        candidates = list(self.reports.values())
        if self.setup.route == "predicted":
            decision = routing.choose(
                candidates, request, now, self.rng, self.recent
            )
        elif self.setup.route == "best_of_all":
            decision = min(
                (
                    routing.predict(one, request, now, self.recent)
                    for one in candidates
                ),
                key=lambda one: (one.ttft_s, self.rng.random()),
            )
        else:
            if self.setup.route == "round_robin":
                chosen = self.turns.choose(candidates)
            else:
                chosen = routing.least_loaded(candidates, self.rng)
            decision = routing.predict(chosen, request, now, self.recent)
        if self.setup.admission:
            outcome = self.gate.decide(
                arrival.rank,
                arrival.workspace,
                arrival.tokens,
                decision.ttft_s,
                decision.wait_s,
                now,
                decision.fleet_wait_s,
            )
            if isinstance(outcome, admission.Refused):
                arrival.refused = True
                return
        arrival.upstream = decision.upstream
        arrival.entry = self
        self.recent.add(
            decision.upstream,
            arrival.request_id,
            rank,
            arrival.prompt,
            now,
        )
        replica = self.fleet[decision.upstream]
        self.loop.after(NETWORK_S, replica.receive, arrival)


def make_trace(
    rng: random.Random,
    sources: list[tuple[str, str, float]],
    seconds: float,
) -> list[Arrival]:
    """Poisson arrivals.

    Args:
        rng: source of randomness.
        sources: rank, workspace and requests a second of each caller.
        seconds: length.

    Returns:
        Arrivals by time.
    """
    arrivals = []
    for index, (rank, workspace, rate) in enumerate(sources):
        prompt, answer = MEAN_TOKENS[rank]
        at = 0.0
        for number in itertools.count():
            at += rng.expovariate(rate)
            if at >= seconds:
                break
            arrivals.append(
                Arrival(
                    f"{index}-{number}",
                    at,
                    rank,
                    workspace,
                    max(16, int(prompt * rng.lognormvariate(-0.08, 0.4))),
                    max(4, int(answer * rng.lognormvariate(-0.08, 0.4))),
                )
            )
    return sorted(arrivals, key=lambda one: one.at)


def simulate(
    setup: Setup,
    sources: list[tuple[str, str, float]],
    seconds: float,
    seed: int,
) -> list[Arrival]:
    """Run callers' requests; returns the arrivals with their outcome."""
    arrivals = make_trace(random.Random(seed + 1), sources, seconds)
    run_trace(setup, arrivals, seconds, seed)
    return arrivals


def run_trace(
    setup: Setup, arrivals: list[Arrival], seconds: float, seed: int
) -> None:
    """Run one trace; its arrivals get their outcome."""
    loop = Loop()
    rng = random.Random(seed)
    fleet = [
        Replica(loop, f"r{n}", ZONES[n % len(ZONES)], setup, rng)
        for n in range(setup.replicas)
    ]
    for replica in fleet[: setup.slow_replicas]:
        replica.rate /= 2
        replica.decode_s *= 2
    entries = [
        Entry(
            loop,
            setup.entry_zones[n % len(setup.entry_zones)],
            setup,
            fleet,
            rng,
        )
        for n in range(setup.entries)
    ]

    def send_report(replica: Replica) -> None:
        # All entries see the same report: polls are answered from the same
        # aggregated loads.
        report = replica.report()
        for entry in entries:
            loop.after(setup.report_lag_s, entry.learn, report)
        loop.after(1.0, send_report, replica)

    for index, replica in enumerate(fleet):
        loop.after(index / len(fleet), send_report, replica)
    for index, arrival in enumerate(arrivals):
        # The balancer in front of the entries.
        entry = entries[index % len(entries)]
        loop.after(arrival.at, entry.handle, arrival)
    loop.run(seconds)


def percentile(values: list[float], part: float) -> float | None:
    """Returns: nearest-rank percentile, None without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


def _is_counted(arrival: Arrival, seconds: float) -> bool:
    """Leaves out the warm-up, and requests too late to be answered."""
    target_s = RANKS[NAMES.index(arrival.rank)].ttft_target_s
    end = max(seconds - 2 * target_s, seconds / 2)
    return WARM_UP_S < arrival.at < end


def rank_summary(
    arrivals: list[Arrival], rank: str, seconds: float
) -> dict[str, Any]:
    """Figures of one rank after the warm-up."""
    # Requests that had no time to meet the target before the end are left out.
    end = seconds - 2 * RANKS[NAMES.index(rank)].ttft_target_s
    end = max(end, seconds / 2)
    counted = [
        one
        for one in arrivals
        if one.rank == rank and WARM_UP_S < one.at < end
    ]
    waits = [
        one.first_token_at - one.at
        for one in counted
        if one.first_token_at is not None
    ]
    served = sum(
        one.tokens
        for one in arrivals
        if one.rank == rank and WARM_UP_S < (one.ended_at or 0.0) < seconds
    )
    refused = sum(one.refused for one in counted)
    return {
        "offered": len(counted),
        "refused_share": _round(refused / max(1, len(counted))),
        "p50_ttft_s": _round(percentile(waits, 0.5)),
        "p95_ttft_s": _round(percentile(waits, 0.95)),
        "served_tokens_per_s": _round(served / (seconds - WARM_UP_S)),
    }


def jain(values: list[float]) -> float:
    """Returns: Jain's index, 1 when all values are equal."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 4)


SETUPS = {
    "plain": Setup("fifo", "least_loaded", False),
    "policy": Setup(),
    "policy_with_feedback": Setup(feedback=True),
}


def compare_ranks(seconds: float, seed: int) -> dict[str, Any]:
    """Urgent TTFT in a flood of the other rank and what that rank keeps."""
    urgent = 0.4 * CAPACITY["urgent"] * 6
    other = 0.2 * CAPACITY["deferrable"] * 6
    flood = 5 * CAPACITY["deferrable"] * 6
    callers = [("deferrable", f"d{n}", 1 / 4) for n in range(4)]

    def mix(urgent_rate: float, other_rate: float) -> list:
        sources = [("urgent", f"u{n}", urgent_rate / 4) for n in range(4)]
        if other_rate:
            sources += [(r, w, part * other_rate) for r, w, part in callers]
        return sources

    traces = {
        "urgent_alone": mix(urgent, 0),
        "unflooded": mix(urgent, other),
        "flood_of_deferrable": mix(urgent, flood),
        "flood_of_urgent": mix(3 * CAPACITY["urgent"] * 6, flood / 5),
    }
    result: dict[str, Any] = {}
    for name, setup in SETUPS.items():
        runs = {
            trace: {
                rank: rank_summary(arrivals, rank, seconds) for rank in NAMES
            }
            for trace, arrivals in (
                (trace, simulate(setup, sources, seconds, seed))
                for trace, sources in traces.items()
            )
        }
        flooded = runs["flood_of_urgent"]
        served = [flooded[rank]["served_tokens_per_s"] for rank in NAMES]
        base = runs["unflooded"]["urgent"]["p95_ttft_s"]
        in_flood = runs["flood_of_deferrable"]["urgent"]["p95_ttft_s"]
        result[name] = {
            "urgent_p95_flood_to_unflooded": in_flood and in_flood / base,
            "urgent_p95_flood_to_alone": in_flood
            and in_flood / runs["urgent_alone"]["urgent"]["p95_ttft_s"],
            "deferrable_kept_to_owed": served[1] / (SHARES[1] * sum(served)),
            "runs": runs,
        }
    return result


def compare_callers(seconds: float, seed: int) -> dict[str, Any]:
    """Goodput of small callers next to a large one, in each rank."""
    result: dict[str, Any] = {}
    for rank in NAMES:
        capacity = CAPACITY[rank] * 6
        rates = {f"small{n}": 0.04 * capacity for n in range(4)}
        rates["large"] = 4.0 * capacity
        small = [name for name in rates if name != "large"]
        for name, setup in SETUPS.items():
            goods = []
            for names in (small, list(rates)):
                sources = [(rank, caller, rates[caller]) for caller in names]
                arrivals = simulate(setup, sources, seconds, seed)
                goods.append(_goodput(arrivals, rates, seconds))
            alone, flooded = goods
            total = sum(flooded.values())
            level = limits.water_level(rates.values(), capacity)
            fair = {
                caller: flooded[caller] / min(rate, level)
                for caller, rate in rates.items()
            }
            result[f"{rank}/{name}"] = {
                "small_kept": {
                    caller: _round(flooded[caller] / alone[caller])
                    for caller in small
                },
                "small_to_large_goodput": _round(
                    sum(flooded[c] for c in small)
                    / len(small)
                    / max(flooded["large"], 1e-9)
                ),
                "jain_of_goodput_to_fair_share": _round(
                    jain([*fair.values()])
                ),
                "total_to_capacity": _round(total / capacity),
            }
    return result


def _goodput(
    arrivals: list[Arrival], rates: dict[str, float], seconds: float
) -> dict[str, float]:
    """Requests a second with a first token within the target, by caller."""
    good = dict.fromkeys(rates, 0.0)
    for one in arrivals:
        target_s = RANKS[NAMES.index(one.rank)].ttft_target_s
        end = max(seconds - 2 * target_s, seconds / 2)
        if one.first_token_at is None or not _is_counted(one, seconds):
            continue
        if one.first_token_at - one.at <= target_s:
            good[one.workspace] += 1 / (end - WARM_UP_S)
    return good


# Lag of reports, entries, and replicas of half the speed, of 24 replicas.
ROUTING_CASES = (
    (0.0, 12, 0),
    (0.5, 12, 0),
    (1.5, 12, 0),
    (3.0, 12, 0),
    (1.5, 60, 0),
    (1.5, 60, 4),
)
ROUTES = ("round_robin", "least_loaded", "best_of_all", "predicted")


def compare_routing(seconds: float, seed: int) -> dict[str, Any]:
    """Effect of the lag of reports on the policies."""
    replicas = 24
    urgent = 0.5 * CAPACITY["urgent"] * replicas
    other = 0.25 * CAPACITY["deferrable"] * replicas
    sources = [("urgent", "u", urgent), ("deferrable", "d", other)]
    result: dict[str, Any] = {}
    for lag_s, entries, slow in ROUTING_CASES:
        for route in ROUTES:
            setup = Setup(
                "ranks", route, False, replicas, entries, lag_s, slow
            )
            arrivals = simulate(setup, sources, seconds, seed)
            summary = rank_summary(arrivals, "urgent", seconds)
            result[f"lag_{lag_s}/entries_{entries}/slow_{slow}/{route}"] = {
                "urgent_p50_ttft_s": summary["p50_ttft_s"],
                "urgent_p95_ttft_s": summary["p95_ttft_s"],
                "urgent_refused_share": summary["refused_share"],
                "burst": _round(_burst(arrivals, replicas)),
            }
    return result


def _burst(arrivals: list[Arrival], replicas: int) -> float:
    """Largest part of a second's prompt tokens at one replica, in fair parts.

    Returns:
        95th percentile over the seconds; 1 when spread evenly.
    """
    seconds: dict[int, dict[str, int]] = {}
    for one in arrivals:
        if one.at > WARM_UP_S and one.upstream:
            second = seconds.setdefault(int(one.at), {})
            second[one.upstream] = second.get(one.upstream, 0) + one.prompt
    peaks = [
        max(second.values()) * replicas / sum(second.values())
        for second in seconds.values()
    ]
    return percentile(peaks, 0.95) or 0.0


# Streams that all fit, as in bench.overhead: 4 replicas, one of them in the
# zone of the entries, with more slots than there are streams.
SPREAD_STREAMS = 130
SPREAD_SLOTS = 40
SPREAD_RAMP_S = 4.0
SPREAD_ANSWER = 400
SPREAD_ZONES = ("west-wharf",)
# Reports have arrived by then.
SPREAD_BEGIN_S = 3.0


def compare_spreading(seed: int) -> dict[str, Any]:
    """Short prompts with long answers over replicas of several zones."""
    result: dict[str, Any] = {}
    for entries in (1, 2, 4):
        setup = Setup(
            replicas=4,
            entries=entries,
            slots=SPREAD_SLOTS,
            entry_zones=SPREAD_ZONES,
            feedback=True,
        )
        arrivals = [
            Arrival(
                str(number),
                SPREAD_BEGIN_S + SPREAD_RAMP_S * number / SPREAD_STREAMS,
                "urgent",
                "quotes",
                3,
                SPREAD_ANSWER,
            )
            for number in range(SPREAD_STREAMS)
        ]
        end = SPREAD_BEGIN_S + SPREAD_RAMP_S + 1
        run_trace(setup, arrivals, end, seed)
        started = [one for one in arrivals if one.first_token_at is not None]
        running = collections.Counter(one.upstream for one in started)
        result[f"entries_{entries}"] = {
            "running": [running[f"r{n}"] for n in range(4)],
            "refused": sum(one.refused for one in arrivals),
            "p95_ttft_s": _round(
                percentile(
                    [one.first_token_at - one.at for one in started], 0.95
                )
            ),
        }
    return result


def check_targets(ranks: dict[str, Any], callers: dict[str, Any]) -> dict:
    """Compare the policy with the targets."""
    policy = ranks["policy"]
    kept = [
        value
        for name, row in callers.items()
        if name.endswith("/policy")
        for value in row["small_kept"].values()
    ]
    ratio = policy["urgent_p95_flood_to_unflooded"]
    owed = policy["deferrable_kept_to_owed"]
    return {
        "urgent_p95_ratio_at_most_1.25": [_round(ratio), ratio <= 1.25],
        "small_caller_keeps_0.95": [min(kept), min(kept) >= 0.95],
        "small_callers_mean": _round(statistics.mean(kept)),
        "deferrable_keeps_0.95_of_owed": [_round(owed), owed >= 0.95],
    }


def main() -> None:
    """Print all comparisons as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--seed", type=int, default=7)
    options = parser.parse_args()
    ranks = compare_ranks(options.seconds, options.seed)
    callers = compare_callers(options.seconds, options.seed)
    report = {
        "seed": options.seed,
        "seconds": options.seconds,
        "owed": SHARES,
        "targets": check_targets(ranks, callers),
        "ranks": ranks,
        "callers": callers,
        "spreading": compare_spreading(options.seed),
        "routing": compare_routing(options.seconds / 2, options.seed),
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
