"""Simulates queueing and routing, and their baselines, in virtual time.

Run with `python -m bench.policy`; prints JSON. The result depends only on the
seed. A replica is modelled as follows: a request holds one slot from dispatch
to its end; prefill runs in chunks, one at a time, lowest priority value
first; decoding takes a constant time for each token.
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
RANK_NAMES = [rank.name for rank in RANKS]
OWED_SHARES = tuple(work_queue.owed_shares(RANKS))
ZONES = ("korangi", "west-wharf", "port-qasim")

# Mean prompt and answer tokens by rank; a quote is short, a summary long.
MEAN_TOKENS = {"urgent": (600, 60), "deferrable": (2000, 200)}

# A replica. With these values prefill and slots are exhausted at similar
# loads, so that neither limit hides the other.
SLOTS = 16
PREFILL_TOKENS_PER_S = 8000.0
CHUNK_TOKENS = 512
TOKEN_DECODE_S = 0.02
NETWORK_DELAY_S = 0.002

# Requests a second that one replica serves of one rank alone.
REPLICA_CAPACITY_PER_S = {
    name: min(
        PREFILL_TOKENS_PER_S / prompt,
        SLOTS / (answer * TOKEN_DECODE_S + prompt / PREFILL_TOKENS_PER_S),
    )
    for name, (prompt, answer) in MEAN_TOKENS.items()
}

# Requests of the first seconds are not counted: the queues are still filling
# and the estimates still settle.
WARM_UP_S = 20.0


class Arrival(msgspec.Struct):
    """One request of the trace and its outcome.

    Attributes:
        prompt: tokens of the prompt.
        answer: tokens of the answer.
        upstream: replica that the entry chose.
    """

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
    """Policies and fleet of a run.

    Args:
        queue: "ranks" for the queue of the agents, otherwise FIFO.
        route: one of ROUTES.
        report_lag_s: delay until a load report reaches the entries.
        slow_replicas: number of replicas that run at half the speed.
        feedback: whether entries are told of first tokens and ends, as in a
            deployment; otherwise they know only the load reports.
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


class EventLoop:
    """Runs events in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = itertools.count()

    def schedule(self, delay_s: float, action: Callable, *args: Any) -> None:
        event = (self.now + delay_s, next(self._sequence), action, args)
        heapq.heappush(self._heap, event)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._heap)
            action(*args)


class Replica:
    """An agent with its queue and the model engine behind it."""

    def __init__(
        self,
        loop: EventLoop,
        name: str,
        zone: str,
        setup: Setup,
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.admission_control = admission.Admission(RANKS, rng)
        self.admission = setup.admission
        self.slots = setup.slots
        self.name = name
        self.zone = zone
        self.rate = PREFILL_TOKENS_PER_S
        self.decode_s = TOKEN_DECODE_S
        self.running = 0
        self.prefilling = [0, 0]
        self.waiting = [0, 0]
        self.prefill_rates = [windows.Rate(2.0, 0.0) for _ in RANKS]
        # Slots that become free in a second.
        self.freed_slot_rate = windows.Rate(5.0, 0.0)
        # Heap of [priority, sequence, item, tokens left to prefill].
        self._prefill: list[list] = []
        self._busy = False
        self._sequence = itertools.count()
        if setup.queue == "ranks":
            self.queue = queueing.make_queue(RANKS, slots=setup.slots)
        else:
            self.queue = work_queue.FifoQueue()

    def receive(self, arrival: Arrival) -> None:
        if self.admission:
            outcome = self.admission_control.decide(
                arrival.rank,
                arrival.workspace,
                arrival.tokens,
                *self._predict(arrival),
                self.loop.now,
            )
            if isinstance(outcome, admission.Refused):
                self._notify_end(arrival, refused=True)
                return
        expected = arrival.prompt + MEAN_TOKENS[arrival.rank][1]
        item = work_queue.Item(
            arrival.request_id,
            arrival.workspace,
            arrival.rank,
            expected,
            arrival.at
            + 2 * RANKS[RANK_NAMES.index(arrival.rank)].ttft_target_s,
            arrival,
        )
        self.waiting[RANK_NAMES.index(arrival.rank)] += arrival.prompt
        for shed_item in self.queue.push(item, self.loop.now).shed:
            self._refuse(shed_item)
        self._dispatch()

    def report(self) -> routing.Candidate:
        now = self.loop.now
        return routing.Candidate(
            self.name,
            self.zone,
            tuple(w + p for w, p in zip(self.waiting, self.prefilling)),
            tuple(self.queue.depth(name) for name in RANK_NAMES),
            self.rate,
            now,
            self._free_slots(),
            self._start_periods(),
            OWED_SHARES,
            tuple(rate.at(now) / self.rate for rate in self.prefill_rates),
            slots=self.slots,
        )

    def _predict(self, arrival: Arrival) -> tuple[float, float]:
        """Returns: predicted TTFT and the part of it spent waiting, in s."""
        rank = RANK_NAMES.index(arrival.rank)
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
        fraction_ahead = 1.0
        if not isinstance(self.queue, work_queue.FifoQueue):
            fraction_ahead = self.queue.fraction_ahead(
                arrival.rank, arrival.workspace, arrival.tokens
            )
        wait_s = fraction_ahead * decision.wait_s
        return decision.ttft_s - decision.wait_s + wait_s, wait_s

    def _free_slots(self) -> tuple[int, ...]:
        if isinstance(self.queue, work_queue.FifoQueue):
            return (self.slots - self.running,) * len(RANKS)
        now = self.loop.now
        return tuple(self.queue.free_slots(name, now) for name in RANK_NAMES)

    def _start_periods(self) -> tuple[float, ...]:
        if isinstance(self.queue, work_queue.FifoQueue):
            rate = max(self.freed_slot_rate.at(self.loop.now), 1.0)
            return (1 / rate,) * len(RANKS)
        now = self.loop.now
        return tuple(self.queue.start_period(name, now) for name in RANK_NAMES)

    def _refuse(self, item: work_queue.Item) -> None:
        self._notify_end(item.payload, refused=True)
        self.waiting[RANK_NAMES.index(item.rank)] -= item.payload.prompt

    def _notify_end(self, arrival: Arrival, refused: bool = False) -> None:
        arrival.refused = refused
        self.loop.schedule(NETWORK_DELAY_S, arrival.entry.ended, arrival)

    def _dispatch(self) -> None:
        now = self.loop.now
        while self.running < self.slots:
            item = self.queue.pop(now)
            if item is None:
                break
            rank = RANK_NAMES.index(item.rank)
            self.running += 1
            self.waiting[rank] -= item.payload.prompt
            self.prefilling[rank] += item.payload.prompt
            priority = 0 if item.owed else rank
            prefill = [
                priority,
                next(self._sequence),
                item,
                item.payload.prompt,
            ]
            heapq.heappush(self._prefill, prefill)
        for item in self.queue.take_expired(now):
            self._refuse(item)
        if not self._busy:
            self._next_chunk()

    def _next_chunk(self) -> None:
        self._busy = bool(self._prefill)
        if self._busy:
            prefill = heapq.heappop(self._prefill)
            tokens = min(CHUNK_TOKENS, prefill[3])
            self.loop.schedule(
                tokens / self.rate, self._finish_chunk, prefill, tokens
            )

    def _finish_chunk(self, prefill: list, tokens: int) -> None:
        item = prefill[2]
        rank = RANK_NAMES.index(item.rank)
        prefill[3] -= tokens
        self.prefilling[rank] -= tokens
        self.prefill_rates[rank].add(tokens, self.loop.now)
        if prefill[3]:
            heapq.heappush(self._prefill, prefill)
        else:
            arrival = item.payload
            arrival.first_token_at = self.loop.now + NETWORK_DELAY_S
            self.loop.schedule(
                NETWORK_DELAY_S, arrival.entry.prefilled, arrival
            )
            self.loop.schedule(arrival.answer * self.decode_s, self._end, item)
        self._next_chunk()

    def _end(self, item: work_queue.Item) -> None:
        now = self.loop.now
        item.payload.ended_at = now
        self._notify_end(item.payload)
        self.running -= 1
        self.freed_slot_rate.add(1, now)
        self.queue.finish(item, item.payload.tokens, now)
        self._dispatch()


class Entry:
    """Routes requests by load reports that are some time old."""

    def __init__(
        self,
        loop: EventLoop,
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
        self.admission_control = admission.Admission(
            RANKS, rng, admission.ENTRY_SLACK
        )
        self.turns = routing.RoundRobin(rng.randrange(len(fleet)))

    def receive_report(self, report: routing.Candidate) -> None:
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
        rank = RANK_NAMES.index(arrival.rank)
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
                    routing.predict(candidate, request, now, self.recent)
                    for candidate in candidates
                ),
                key=lambda candidate: (candidate.ttft_s, self.rng.random()),
            )
        else:
            if self.setup.route == "round_robin":
                chosen = self.turns.choose(candidates)
            else:
                chosen = routing.least_loaded(candidates, self.rng)
            decision = routing.predict(chosen, request, now, self.recent)
        if self.setup.admission:
            outcome = self.admission_control.decide(
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
        self.loop.schedule(NETWORK_DELAY_S, replica.receive, arrival)


def make_trace(
    rng: random.Random,
    sources: list[tuple[str, str, float]],
    seconds: float,
) -> list[Arrival]:
    """Draw Poisson arrivals of several callers.

    Args:
        rng: source of randomness.
        sources: rank, workspace and requests a second of each caller.
        seconds: length of the trace.

    Returns:
        Arrivals in order of time.
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
    """Simulate callers. Returns: their requests with the outcomes."""
    arrivals = make_trace(random.Random(seed + 1), sources, seconds)
    run_trace(setup, arrivals, seconds, seed)
    return arrivals


def run_trace(
    setup: Setup, arrivals: list[Arrival], seconds: float, seed: int
) -> None:
    """Run one trace and record the outcomes in its arrivals."""
    loop = EventLoop()
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
        # All entries get the same report: control answers their polls from the
        # same aggregated loads.
        report = replica.report()
        for entry in entries:
            loop.schedule(setup.report_lag_s, entry.receive_report, report)
        loop.schedule(1.0, send_report, replica)

    for index, replica in enumerate(fleet):
        loop.schedule(index / len(fleet), send_report, replica)
    for index, arrival in enumerate(arrivals):
        # The balancer in front of the entries sends requests to them in turn.
        entry = entries[index % len(entries)]
        loop.schedule(arrival.at, entry.handle, arrival)
    loop.run(seconds)


def percentile(values: list[float], fraction: float) -> float | None:
    """Returns: nearest-rank percentile, None without values."""
    sorted_values = sorted(values)
    if not sorted_values:
        return None
    return sorted_values[max(0, math.ceil(fraction * len(sorted_values)) - 1)]


def _is_counted(arrival: Arrival, seconds: float) -> bool:
    """Returns: whether a request arrived within the counted period.

    The warm-up is excluded, and so are requests at the end, which have too
    little time to be answered.
    """
    target_s = RANKS[RANK_NAMES.index(arrival.rank)].ttft_target_s
    counted_until = max(seconds - 2 * target_s, seconds / 2)
    return WARM_UP_S < arrival.at < counted_until


def rank_summary(
    arrivals: list[Arrival], rank: str, seconds: float
) -> dict[str, Any]:
    """Summarize the requests of one rank after the warm-up."""
    # Requests too late to meet the target before the end are not counted.
    counted_until = seconds - 2 * RANKS[RANK_NAMES.index(rank)].ttft_target_s
    counted_until = max(counted_until, seconds / 2)
    counted = [
        one
        for one in arrivals
        if one.rank == rank and WARM_UP_S < one.at < counted_until
    ]
    ttfts_s = [
        one.first_token_at - one.at
        for one in counted
        if one.first_token_at is not None
    ]
    served_tokens = sum(
        one.tokens
        for one in arrivals
        if one.rank == rank and WARM_UP_S < (one.ended_at or 0.0) < seconds
    )
    refused = sum(one.refused for one in counted)
    return {
        "offered": len(counted),
        "refused_share": _round(refused / max(1, len(counted))),
        "p50_ttft_s": _round(percentile(ttfts_s, 0.5)),
        "p95_ttft_s": _round(percentile(ttfts_s, 0.95)),
        "served_tokens_per_s": _round(served_tokens / (seconds - WARM_UP_S)),
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
    """Compare the setups when one rank floods the fleet.

    The urgent TTFT is compared with and without a flood of deferrable
    requests; the tokens that the deferrable rank is served in a flood of
    urgent requests are compared with what it is owed.
    """
    urgent_per_s = 0.4 * REPLICA_CAPACITY_PER_S["urgent"] * 6
    deferrable_per_s = 0.2 * REPLICA_CAPACITY_PER_S["deferrable"] * 6
    flood_per_s = 5 * REPLICA_CAPACITY_PER_S["deferrable"] * 6
    deferrable_sources = [("deferrable", f"d{n}", 1 / 4) for n in range(4)]

    def make_sources(urgent_per_s: float, deferrable_per_s: float) -> list:
        sources = [("urgent", f"u{n}", urgent_per_s / 4) for n in range(4)]
        if deferrable_per_s:
            sources += [
                (rank, workspace, share * deferrable_per_s)
                for rank, workspace, share in deferrable_sources
            ]
        return sources

    traces = {
        "urgent_alone": make_sources(urgent_per_s, 0),
        "unflooded": make_sources(urgent_per_s, deferrable_per_s),
        "flood_of_deferrable": make_sources(urgent_per_s, flood_per_s),
        "flood_of_urgent": make_sources(
            3 * REPLICA_CAPACITY_PER_S["urgent"] * 6, flood_per_s / 5
        ),
    }
    result: dict[str, Any] = {}
    for name, setup in SETUPS.items():
        runs = {
            trace: {
                rank: rank_summary(arrivals, rank, seconds)
                for rank in RANK_NAMES
            }
            for trace, arrivals in (
                (trace, simulate(setup, sources, seconds, seed))
                for trace, sources in traces.items()
            )
        }
        urgent_flood = runs["flood_of_urgent"]
        served_tokens = [
            urgent_flood[rank]["served_tokens_per_s"] for rank in RANK_NAMES
        ]
        unflooded_p95 = runs["unflooded"]["urgent"]["p95_ttft_s"]
        flooded_p95 = runs["flood_of_deferrable"]["urgent"]["p95_ttft_s"]
        result[name] = {
            "urgent_p95_flood_to_unflooded": flooded_p95
            and flooded_p95 / unflooded_p95,
            "urgent_p95_flood_to_alone": flooded_p95
            and flooded_p95 / runs["urgent_alone"]["urgent"]["p95_ttft_s"],
            "deferrable_kept_to_owed": served_tokens[1]
            / (OWED_SHARES[1] * sum(served_tokens)),
            "runs": runs,
        }
    return result


def compare_callers(seconds: float, seed: int) -> dict[str, Any]:
    """Compare goodput of small callers with and without a large one."""
    result: dict[str, Any] = {}
    for rank in RANK_NAMES:
        capacity = REPLICA_CAPACITY_PER_S[rank] * 6
        rates = {f"small{n}": 0.04 * capacity for n in range(4)}
        rates["large"] = 4.0 * capacity
        small = [name for name in rates if name != "large"]
        for name, setup in SETUPS.items():
            goodputs = []
            for names in (small, list(rates)):
                sources = [(rank, caller, rates[caller]) for caller in names]
                arrivals = simulate(setup, sources, seconds, seed)
                goodputs.append(_goodput(arrivals, rates, seconds))
            alone, flooded = goodputs
            total = sum(flooded.values())
            fair_rate = limits.water_level(rates.values(), capacity)
            to_fair_share = {
                caller: flooded[caller] / min(offered_rate, fair_rate)
                for caller, offered_rate in rates.items()
            }
            result[f"{rank}/{name}"] = {
                "small_kept": {
                    caller: _round(flooded[caller] / alone[caller])
                    for caller in small
                },
                "small_to_large_goodput": _round(
                    sum(flooded[small_caller] for small_caller in small)
                    / len(small)
                    / max(flooded["large"], 1e-9)
                ),
                "jain_of_goodput_to_fair_share": _round(
                    jain([*to_fair_share.values()])
                ),
                "total_to_capacity": _round(total / capacity),
            }
    return result


def _goodput(
    arrivals: list[Arrival], rates: dict[str, float], seconds: float
) -> dict[str, float]:
    """Returns: requests a second that met the TTFT target, by caller."""
    goodput = dict.fromkeys(rates, 0.0)
    for one in arrivals:
        target_s = RANKS[RANK_NAMES.index(one.rank)].ttft_target_s
        counted_until = max(seconds - 2 * target_s, seconds / 2)
        if one.first_token_at is None or not _is_counted(one, seconds):
            continue
        if one.first_token_at - one.at <= target_s:
            goodput[one.workspace] += 1 / (counted_until - WARM_UP_S)
    return goodput


# Report lag in seconds, number of entries, and number of replicas at half the
# speed. The fleet has 24 replicas.
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
    """Compare the routing policies by the lag of load reports."""
    replicas = 24
    urgent_per_s = 0.5 * REPLICA_CAPACITY_PER_S["urgent"] * replicas
    deferrable_per_s = 0.25 * REPLICA_CAPACITY_PER_S["deferrable"] * replicas
    sources = [
        ("urgent", "u", urgent_per_s),
        ("deferrable", "d", deferrable_per_s),
    ]
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
    """Measure how unevenly prompt tokens are spread over the replicas.

    For each second: the prompt tokens of the replica that gets the most,
    divided by the mean over all replicas.

    Returns:
        95th percentile over the seconds; 1 when spread evenly.
    """
    tokens_by_second: dict[int, dict[str, int]] = {}
    for one in arrivals:
        if one.at > WARM_UP_S and one.upstream:
            tokens_by_replica = tokens_by_second.setdefault(int(one.at), {})
            tokens_by_replica[one.upstream] = (
                tokens_by_replica.get(one.upstream, 0) + one.prompt
            )
    peaks = [
        max(tokens_by_replica.values())
        * replicas
        / sum(tokens_by_replica.values())
        for tokens_by_replica in tokens_by_second.values()
    ]
    return percentile(peaks, 0.95) or 0.0


# As in bench.overhead: 4 replicas, one of them in the zone of the entries. All
# streams fit, since there are more slots than streams.
SPREAD_STREAMS = 130
SPREAD_SLOTS = 40
SPREAD_RAMP_S = 4.0
SPREAD_ANSWER_TOKENS = 400
SPREAD_ENTRY_ZONES = ("west-wharf",)
# By this time the first load reports have reached the entries.
SPREAD_START_S = 3.0


def compare_spreading(seed: int) -> dict[str, Any]:
    """Simulate how entries spread long streams over replicas of all zones."""
    result: dict[str, Any] = {}
    for entries in (1, 2, 4):
        setup = Setup(
            replicas=4,
            entries=entries,
            slots=SPREAD_SLOTS,
            entry_zones=SPREAD_ENTRY_ZONES,
            feedback=True,
        )
        arrivals = [
            Arrival(
                str(number),
                SPREAD_START_S + SPREAD_RAMP_S * number / SPREAD_STREAMS,
                "urgent",
                "quotes",
                3,
                SPREAD_ANSWER_TOKENS,
            )
            for number in range(SPREAD_STREAMS)
        ]
        run_until_s = SPREAD_START_S + SPREAD_RAMP_S + 1
        run_trace(setup, arrivals, run_until_s, seed)
        started = [one for one in arrivals if one.first_token_at is not None]
        stream_counts = collections.Counter(one.upstream for one in started)
        result[f"entries_{entries}"] = {
            "running": [stream_counts[f"r{n}"] for n in range(4)],
            "refused": sum(one.refused for one in arrivals),
            "p95_ttft_s": _round(
                percentile(
                    [one.first_token_at - one.at for one in started], 0.95
                )
            ),
        }
    return result


def check_targets(ranks: dict[str, Any], callers: dict[str, Any]) -> dict:
    """Returns: each figure of the policy and whether it meets its target."""
    policy = ranks["policy"]
    small_kept = [
        value
        for name, row in callers.items()
        if name.endswith("/policy")
        for value in row["small_kept"].values()
    ]
    p95_ratio = policy["urgent_p95_flood_to_unflooded"]
    kept_to_owed = policy["deferrable_kept_to_owed"]
    return {
        "urgent_p95_ratio_at_most_1.25": [
            _round(p95_ratio),
            p95_ratio <= 1.25,
        ],
        "small_caller_keeps_0.95": [min(small_kept), min(small_kept) >= 0.95],
        "small_callers_mean": _round(statistics.mean(small_kept)),
        "deferrable_keeps_0.95_of_owed": [
            _round(kept_to_owed),
            kept_to_owed >= 0.95,
        ],
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
        "owed": OWED_SHARES,
        "targets": check_targets(ranks, callers),
        "ranks": ranks,
        "callers": callers,
        "spreading": compare_spreading(options.seed),
        "routing": compare_routing(options.seconds / 2, options.seed),
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
