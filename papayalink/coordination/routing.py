"""Choice of the upstream for a request, by predicted time to first token."""

import collections
import hashlib
import itertools
import math
import random
from typing import Iterable
from typing import Mapping
from typing import Sequence

import msgspec

# Candidates sampled from the own zone, and from the other zones. With more of
# them, entries with the same old reports choose the same upstream.
SAMPLES_PER_GROUP = 2

# Cost of crossing zones, as a fraction of the target. An upstream in another
# zone is chosen only when it saves more time; requests with a long target stay
# in their zone.
ZONE_PENALTY_FRACTION = 0.03

# Fraction of a subset taken from the zone of the process while other zones
# have upstreams; the rest keeps the model reachable when the zone is lost.
LOCAL_FRACTION = 2 / 3

# A report is assumed to cover a request when it was taken at least this long
# after the dispatch. One-way delays are below 2 ms; the rest covers the time
# until the agent has queued the request.
ARRIVAL_MARGIN_S = 0.02

# Half-life of the weight of a reported queue in predictions. The mean of all
# candidates has the remaining weight.
REPORT_HALF_LIFE_S = 0.5

# A dispatched request counts as pending at most this long. An upstream that
# does not report for longer is unreachable.
MAX_PENDING_S = 10.0


# Upstreams with a queue are skipped while the others have at least this
# fraction of their slots free. With a quarter, entries with old reports send
# their work to the few others: with 4 of 24 replicas slow, urgent TTFT p95 is
# 2.45 s instead of 0.66 s (bench/policy.py, lag 1.5 s, 60 entries).
MIN_FREE_SLOTS_FRACTION = 0.5


class Hint(msgspec.Struct, frozen=True):
    """Expected reuse of a prompt prefix at an upstream.

    Args:
        reused_tokens: prompt tokens that need no prefill.
        restore_s: time to load them into the engine; 0 when they are there.
    """

    reused_tokens: int = 0
    restore_s: float = 0.0


class Request(msgspec.Struct):
    """A request to route.

    Args:
        request_id: unique request id.
        rank: index of the rank, 0 is the most urgent.
        tokens: prompt tokens.
        target_s: target of the rank for the time to first token.
        zone: availability zone of the entry.
        hints: by upstream, prefix that the upstream holds.
        kept: prefix that any upstream can restore from a store.
    """

    request_id: str
    rank: int
    tokens: int
    target_s: float
    zone: str
    hints: Mapping[str, Hint] = {}
    kept: Hint = Hint()


class Candidate(msgspec.Struct):
    """Last load report of one upstream.

    Args:
        upstream: name.
        zone: its availability zone.
        queued_tokens: prompt tokens waiting, by rank, most urgent first.
        queued_items: requests waiting, by rank.
        prefill_rate: measured prompt tokens a second.
        reported_at: when the report was taken, on the clock of the entry.
        free_slots: by rank, requests that could start immediately; empty when
            not known.
        start_periods_s: by rank, mean time between two starts while requests
            wait; empty when not known.
        shares: fraction of the service that each rank is owed.
        loads: fraction of the capacity that each rank used recently.
        weight: below 1 while the upstream returns gradually after an
            ejection; 0 while it gets no new work.
        slots: requests that it runs at once; 0 when not known.
    """

    upstream: str
    zone: str
    queued_tokens: tuple[int, ...]
    queued_items: tuple[int, ...]
    prefill_rate: float
    reported_at: float
    free_slots: tuple[int, ...] = ()
    start_periods_s: tuple[float, ...] = ()
    shares: tuple[float, ...] = ()
    loads: tuple[float, ...] = ()
    weight: float = 1.0
    slots: int = 0


class Decision(msgspec.Struct, frozen=True):
    """Chosen upstream.

    Args:
        upstream: name.
        wait_s: predicted time until the request starts.
        ttft_s: predicted time to first token.
        hint: reuse of a prefix that the prediction assumes.
        local: whether the upstream is in the zone of the entry.
        fleet_wait_s: wait that at least half of the candidates report, see
            `fleet_wait`; infinite when only one was considered.
    """

    upstream: str
    wait_s: float
    ttft_s: float
    hint: Hint
    local: bool
    fleet_wait_s: float = math.inf


class RecentWork:
    """Requests that an entry sent and that are running or not yet reported."""

    __slots__ = ("_sent", "_running")

    def __init__(self) -> None:
        # Request ids by upstream, from the first token to the end.
        self._running: dict[str, set[str]] = {}
        # By upstream, in the order of dispatch: request id to (time, rank,
        # prompt tokens) of requests that no report covers yet.
        self._sent: dict[
            str, collections.OrderedDict[str, tuple[float, int, int]]
        ] = {}

    def add(
        self,
        upstream: str,
        request_id: str,
        rank: int,
        tokens: int,
        now: float,
    ) -> None:
        """Record a dispatch.

        Args:
            upstream: where the request was sent.
            request_id: unique request id.
            rank: index of its rank.
            tokens: prompt tokens to prefill, without reused ones.
            now: seconds.
        """
        sent = self._sent.setdefault(upstream, collections.OrderedDict())
        sent[request_id] = (now, rank, tokens)
        self._drop_sent_before(upstream, now - MAX_PENDING_S)

    def reported(self, upstream: str, reported_at: float) -> None:
        """Drop the work that a report covers.

        Args:
            upstream: the reporting upstream.
            reported_at: when the report was taken, on the clock of the entry.
        """
        self._drop_sent_before(upstream, reported_at - ARRIVAL_MARGIN_S)

    def prefilled(self, upstream: str, request_id: str) -> None:
        """Record the first token of a request, which now holds a slot."""
        self._running.setdefault(upstream, set()).add(request_id)
        sent = self._sent.get(upstream, {})
        if request_id in sent:
            sent_at, rank, _ = sent[request_id]
            sent[request_id] = (sent_at, rank, 0)

    def ended(self, upstream: str, request_id: str) -> None:
        """Drop a request that has finished, was refused or has failed."""
        sent = self._sent.get(upstream)
        if sent is not None:
            sent.pop(request_id, None)
            if not sent:
                del self._sent[upstream]
        running = self._running.get(upstream)
        if running is not None:
            running.discard(request_id)
            if not running:
                del self._running[upstream]

    def running(self, upstream: str) -> int:
        """Returns: number of requests of this entry that hold a slot."""
        return len(self._running.get(upstream, ()))

    def pending(self, upstream: str, rank: int, now: float) -> tuple[int, int]:
        """Requests of a rank that no report covers yet.

        Args:
            upstream: name.
            rank: index of the rank.
            now: seconds.

        Returns:
            Tokens and requests.
        """
        tokens = items = 0
        for sent_at, its_rank, its_tokens in self._sent.get(
            upstream, {}
        ).values():
            if its_rank == rank and sent_at > now - MAX_PENDING_S:
                tokens += its_tokens
                items += 1
        return tokens, items

    def _drop_sent_before(self, upstream: str, time: float) -> None:
        sent = self._sent.get(upstream)
        while sent:
            request_id, (sent_at, _, _) = next(iter(sent.items()))
            if sent_at > time:
                return
            del sent[request_id]
        self._sent.pop(upstream, None)


def predict_wait(
    queued_tokens: Sequence[float],
    rank: int,
    rate: float,
    shares: Sequence[float] = (),
    loads: Sequence[float] = (),
) -> float:
    """Time until work queued now starts, when urgent work goes first.

    Args:
        queued_tokens: waiting tokens by rank, most urgent first.
        rank: index of the rank.
        rate: prefilled tokens a second of the upstream.
        shares: fraction of the service that each rank is owed; empty when not
            known.
        loads: fraction of the capacity that each rank used recently; empty
            when not known.

    Returns:
        Seconds; infinite when the rate is not positive.
    """
    if rate <= 0:
        return math.inf
    own_tokens = queued_tokens[rank]
    wait = sum(queued_tokens[: rank + 1]) / rate
    share = shares[rank] if shares else 0.0
    # Future work of more urgent ranks takes capacity too, but not what this
    # rank is owed.
    available = max(share, 1.0 - sum(loads[:rank]))
    if available > 0:
        wait = max(wait, own_tokens / (rate * available))
    if share > 0:
        wait = min(wait, own_tokens / (rate * share))
    return wait


class Backlog(msgspec.Struct, frozen=True):
    """Reported work ahead of a new request of one rank.

    Args:
        wait_s: time to prefill the prompts ahead.
        starts: number of requests that start before it, less the free slots.
    """

    wait_s: float
    starts: float


def backlog(candidate: Candidate, rank: int) -> Backlog:
    """Returns: reported backlog of one rank at a candidate."""
    free = candidate.free_slots[rank] if candidate.free_slots else 0
    return Backlog(
        predict_wait(
            candidate.queued_tokens,
            rank,
            candidate.prefill_rate,
            candidate.shares,
            candidate.loads,
        ),
        candidate.queued_items[rank] - free,
    )


def fleet_wait(
    candidates: Sequence[Candidate],
    backlogs: Sequence[Backlog],
    rank: int,
    now: float,
) -> float:
    """Wait of a rank that at least half of the upstreams report.

    Args:
        candidates: at least one.
        backlogs: of the candidates, in their order.
        rank: index of the rank.
        now: seconds.

    Returns:
        Seconds. A prompt in prefill or a full queue at a single upstream does
        not raise it.
    """
    waits = sorted(
        _remaining_wait(candidate, reported, rank, now)
        for candidate, reported in zip(candidates, backlogs)
    )
    return waits[(len(waits) - 1) // 2]


def _remaining_wait(
    candidate: Candidate, reported: Backlog, rank: int, now: float
) -> float:
    if any(candidate.queued_items[: rank + 1]):
        if not candidate.start_periods_s or reported.starts < 0:
            return reported.wait_s
        start_s = (reported.starts + 1) * candidate.start_periods_s[rank]
        return max(reported.wait_s, start_s)
    # Nothing is queued behind the prompts in prefill, which has gone on since
    # the report.
    return max(0.0, reported.wait_s - (now - candidate.reported_at))


def predict(
    candidate: Candidate,
    request: Request,
    now: float,
    recent: RecentWork,
    mean: Backlog | None = None,
) -> Decision:
    """Predict wait and time to first token of a request at an upstream.

    Args:
        candidate: last report.
        request: the request.
        now: seconds.
        recent: requests of this entry that reports do not cover.
        mean: mean backlog of all candidates, towards which old reports are
            weighted; None uses the report as it is.

    Returns:
        The decision for this candidate.
    """
    rank = request.rank
    reported = backlog(candidate, rank)
    wait_s, starts = reported.wait_s, reported.starts
    if mean is not None:
        age_s = max(0.0, now - candidate.reported_at)
        fresh = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        wait_s = mean.wait_s + fresh * (wait_s - mean.wait_s)
        starts = mean.starts + fresh * (starts - mean.starts)
    tokens = [0.0] * len(candidate.queued_tokens)
    for other in range(rank + 1):
        tokens[other], items = recent.pending(candidate.upstream, other, now)
        if other == rank:
            starts += items
        elif starts < 0:
            # More urgent work takes free slots. Beyond them it is not counted,
            # since the start period of the rank already includes it.
            starts = min(0.0, starts + items)
    rate = candidate.prefill_rate
    wait_s += predict_wait(tokens, rank, rate, candidate.shares)
    if candidate.start_periods_s and starts >= 0:
        wait_s = max(wait_s, (starts + 1) * candidate.start_periods_s[rank])
    hint, work_s = request.kept, math.inf
    if rate > 0:
        # Restoring is optional, so the fastest option is assumed: no reuse,
        # the prefix that the upstream holds, or the one kept in a store.
        work_s, hint = min(
            (
                (
                    option.restore_s
                    + max(0, request.tokens - option.reused_tokens) / rate,
                    option,
                )
                for option in (
                    Hint(),
                    request.kept,
                    request.hints.get(candidate.upstream, Hint()),
                )
            ),
            key=lambda pair: pair[0],
        )
    return Decision(
        candidate.upstream,
        wait_s,
        wait_s + work_s,
        hint,
        candidate.zone == request.zone,
    )


def choose(
    candidates: Sequence[Candidate],
    request: Request,
    now: float,
    rng: random.Random,
    recent: RecentWork,
) -> Decision | None:
    """Choose the upstream with the lowest predicted time to first token.

    Only a sample of the candidates is compared, so that entries with the same
    reports spread their requests: some from the own zone, some from other
    zones, and the one that holds most of the prompt.

    Args:
        candidates: upstreams that may take the request.
        request: the request.
        now: seconds.
        rng: source of randomness.
        recent: requests of this entry that reports do not cover.

    Returns:
        The decision; None when no candidate takes work.
    """
    usable = [
        one for one in candidates if one.weight > 0 and one.prefill_rate > 0
    ]
    if not usable:
        return None
    # An upstream that returns gradually is skipped at random, however short
    # its queue is, even when there are few candidates.
    usable = [
        one for one in usable if one.weight >= 1 or rng.random() < one.weight
    ] or usable
    usable = _without_full(usable, request.rank, recent)
    backlogs = [backlog(one, request.rank) for one in usable]
    mean = Backlog(
        sum(one.wait_s for one in backlogs) / len(usable),
        sum(one.starts for one in backlogs) / len(usable),
    )
    local = [one for one in usable if one.zone == request.zone]
    remote = [one for one in usable if one.zone != request.zone]
    sampled = _sample(local, SAMPLES_PER_GROUP, rng) + _sample(
        remote, SAMPLES_PER_GROUP, rng
    )
    hinted = [one for one in usable if one.upstream in request.hints]
    if hinted:
        sampled.append(
            max(
                hinted,
                key=lambda one: request.hints[one.upstream].reused_tokens,
            )
        )
    penalty_s = ZONE_PENALTY_FRACTION * request.target_s
    decision = min(
        (predict(one, request, now, recent, mean) for one in sampled),
        key=lambda decision: (
            decision.ttft_s > request.target_s,
            decision.ttft_s + (0.0 if decision.local else penalty_s),
        ),
    )
    return msgspec.structs.replace(
        decision,
        fleet_wait_s=fleet_wait(usable, backlogs, request.rank, now),
    )


def _without_full(
    candidates: list[Candidate], rank: int, recent: RecentWork
) -> list[Candidate]:
    """Leave out the upstreams where a request is sure to wait for a slot.

    The prediction does not show them: an old report of a full upstream is
    weighted towards the mean of all, and an upstream where nothing has waited
    yet reports no start period. Under overload, reported queues are ignored,
    since all entries would send their requests to the few upstreams without
    one.

    Returns:
        The remaining candidates; all candidates when all are full.
    """
    not_full = [
        candidate
        for candidate in candidates
        if not 0 < candidate.slots <= recent.running(candidate.upstream)
    ]
    without_queue = [
        candidate for candidate in not_full if not _has_queue(candidate, rank)
    ]
    if without_queue and sum(
        candidate.free_slots[rank]
        for candidate in without_queue
        if candidate.free_slots
    ) >= MIN_FREE_SLOTS_FRACTION * sum(
        candidate.slots for candidate in without_queue
    ):
        return without_queue
    return not_full or candidates


def _has_queue(candidate: Candidate, rank: int) -> bool:
    """Returns: whether requests of a rank wait for slots, as reported."""
    return (
        candidate.slots > 0
        and candidate.queued_items[rank] > 0
        and not any(candidate.free_slots[rank : rank + 1])
    )


def _sample(
    candidates: list[Candidate], count: int, rng: random.Random
) -> list[Candidate]:
    return rng.sample(candidates, min(count, len(candidates)))


class RoundRobin:
    """Baseline: each upstream in turn.

    Args:
        start: first turn; should differ between processes, which would
            otherwise choose the same upstreams in the same order.
    """

    __slots__ = ("_turns",)

    def __init__(self, start: int = 0) -> None:
        self._turns = itertools.count(start)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        return candidates[next(self._turns) % len(candidates)]


def least_loaded(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Baseline: the shortest reported queue; ties are broken at random.

    Args:
        candidates: upstreams, at least one.
        rng: source of randomness.

    Returns:
        The chosen upstream.
    """
    return min(
        candidates,
        key=lambda candidate: (
            sum(candidate.queued_tokens) / candidate.prefill_rate,
            rng.random(),
        ),
    )


class Member(msgspec.Struct, frozen=True):
    """A process or an upstream, with its availability zone."""

    name: str
    zone: str


def subset(
    process: Member, upstreams: Iterable[Member], size: int
) -> list[Member]:
    """Choose the upstreams of a model that a process uses.

    By rendezvous hashing, an upstream that is added or removed changes one
    element of the subset. The own zone is preferred, and at least two zones
    are included when the upstreams span as many and the size allows it.

    Args:
        process: the process that uses the subset.
        upstreams: all upstreams of one model.
        size: maximum size of the subset.

    Returns:
        Upstreams of the own zone, then the others, each group by score with
        the highest first.
    """
    by_score = sorted(
        upstreams, key=lambda upstream: _score(process, upstream), reverse=True
    )
    local = [
        upstream for upstream in by_score if upstream.zone == process.zone
    ]
    remote = [
        upstream for upstream in by_score if upstream.zone != process.zone
    ]
    local_size = max(round(size * LOCAL_FRACTION), size - len(remote))
    local = local[:local_size]
    remote = remote[: size - len(local)]
    chosen = local + remote
    zones = {upstream.zone for upstream in chosen}
    if len(zones) == 1 and len(chosen) >= 2:
        other = next(
            (upstream for upstream in by_score if upstream.zone not in zones),
            None,
        )
        if other is not None:
            chosen[-1] = other
    return chosen


def _score(process: Member, upstream: Member) -> bytes:
    """Returns: score of a pair, the same in every process."""
    pair = f"{process.name}\0{upstream.name}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()
