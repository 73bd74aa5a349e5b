"""Chooses an upstream for each attempt of a request."""

from collections.abc import Iterable
import math
import random

import msgspec

from papayalink.coordination import outliers
from papayalink.coordination import ranks
from papayalink.coordination import routing
from papayalink.coordination import work_queue
from papayalink.protocol import messages
from papayalink.state import document as documents

# Replicas of one model that an entry uses. The reports of all replicas, when
# there are 640, would exceed the 6 KB/s that a node may spend on control
# traffic.
SUBSET_SIZE = 24
# Assumed prefill rate until the first report of a replica arrives.
_UNKNOWN_PREFILL_RATE = 8_000.0
_HINTS_PER_WORKSPACE = 512
# An agent reports once a second. One whose last report is older than this has
# died or cannot reach control.
STALE_S = 5.0


class Choice(msgspec.Struct, frozen=True):
    """A chosen upstream with predicted times.

    Attributes:
        weight_version: weights that the replica has loaded.
        ttft_s: predicted time to first token.
        wait_s: the part of `ttft_s` before the request starts.
        fleet_wait_s: wait of the rank that at least half of the usable
            replicas report.
    """

    upstream: documents.Upstream
    weight_version: str
    ttft_s: float
    wait_s: float
    fleet_wait_s: float = math.inf


class SelectionRequest(msgspec.Struct):
    """A request for which a replica is to be chosen.

    Attributes:
        family: digest of the start of the prompt, for prefix hints.
        rank: index of the rank, 0 is the most urgent.
        tokens: prompt tokens.
        target_s: target of the rank for the time to first token.
        adapter: adapter that the replica must hold, "" for none.
        stream: whether the first frame of the answer is its first token.
    """

    request_id: str
    workspace: str
    model: str
    family: str
    rank: int
    tokens: int
    target_s: float
    adapter: str = ""
    stream: bool = True


class Selection:
    """State of the replicas in the subset of one entry.

    Args:
        name: name of the entry, which determines its subset.
        zone: availability zone of the entry.
        rng: source of randomness.
    """

    __slots__ = (
        "_self",
        "_rng",
        "_recent",
        "_outliers",
        "_reports",
        "_document",
        "_replied_at",
        "_subsets",
        "_leaving",
        "_shares",
        "_blocked",
        "_hints",
    )

    def __init__(self, name: str, zone: str, rng: random.Random) -> None:
        self._self = routing.Member(name, zone)
        self._rng = rng
        self._recent = routing.RecentWork()
        self._outliers: dict[str, outliers.Outliers] = {}
        self._reports: dict[str, tuple[messages.LoadReport, float]] = {}
        self._document = documents.Document()
        self._replied_at = 0.0
        self._subsets: dict[str, list[documents.Upstream]] = {}
        self._leaving: frozenset[str] = frozenset()
        self._shares: tuple[float, ...] = ()
        self._blocked: dict[str, float] = {}
        self._hints: dict[tuple[str, str], tuple[str, int]] = {}

    @property
    def watched(self) -> tuple[str, ...]:
        """Upstreams whose reports the entry asks for."""
        return tuple(
            upstream.name
            for subset in self._subsets.values()
            for upstream in subset
        )

    def update(
        self,
        document: documents.Document,
        leaving: Iterable[str],
        reports: Iterable[messages.LoadReport],
        received_at: float,
    ) -> None:
        """Apply a confirmed poll reply.

        Args:
            received_at: clock seconds at which the reply arrived.
        """
        if document is not self._document:
            self._apply_document(document)
        self._leaving = frozenset(leaving)
        self._replied_at = received_at
        for report in reports:
            taken_at = received_at - report.age_ms / 1000
            self._apply_report(report, taken_at)
        for name, detection in self._outliers.items():
            detection.evaluate(
                [upstream.name for upstream in self._subsets[name]],
                received_at,
            )

    def choose(
        self, request: SelectionRequest, tried: frozenset[str], now: float
    ) -> Choice | None:
        """Choose a replica of a model, and record the request as sent there.

        Args:
            tried: upstreams that did not accept the request.
        """
        usable = {
            upstream.name: upstream
            for upstream in self._usable(request.model, tried)
        }
        versions = {
            name: version
            for name in usable
            if (version := self._version(request.model, name))
            and (not request.adapter or self._holds(name, request.adapter))
        }
        routing_request = routing.Request(
            request_id=request.request_id,
            rank=request.rank,
            tokens=request.tokens,
            target_s=request.target_s,
            zone=self._self.zone,
            hints=self._find_hints(request, versions),
        )
        decision = routing.choose(
            [
                self._candidate(request.model, usable[name], now)
                for name in versions
            ],
            routing_request,
            now,
            self._rng,
            self._recent,
        )
        if decision is None:
            return None
        reused = decision.hint.reused_tokens
        self._recent.add(
            decision.upstream,
            request.request_id,
            request.rank,
            max(0, request.tokens - reused),
            now,
        )
        return Choice(
            usable[decision.upstream],
            versions[decision.upstream],
            decision.ttft_s,
            decision.wait_s,
            decision.fleet_wait_s,
        )

    def choose_service(
        self, service: str, tried: frozenset[str]
    ) -> documents.Upstream | None:
        """Choose a random replica of a service, preferably in the own zone."""
        usable = self._usable(service, tried)
        local = [one for one in usable if one.zone == self._self.zone]
        pool = local or usable
        return self._rng.choice(pool) if pool else None

    def answered(
        self,
        request: SelectionRequest,
        upstream: str,
        latency_s: float | None,
        now: float,
    ) -> None:
        """Record the result of an attempt.

        Args:
            latency_s: time to the first frame, None when the upstream
                failed or was not reached.
        """
        if latency_s is None:
            self._recent.ended(upstream, request.request_id)
        else:
            self._recent.prefilled(upstream, request.request_id)
        detection = self._outliers.get(request.model)
        if detection is not None:
            if latency_s is None or request.stream:
                detection.record(upstream, latency_s, now)
            else:
                detection.record_success(upstream)
        if latency_s is not None and request.family:
            self._record_prefix(request, upstream)

    def finished(self, request: SelectionRequest, upstream: str) -> None:
        """Record that an answer has ended, which frees its slot."""
        self._recent.ended(upstream, request.request_id)

    def refused(self, request: SelectionRequest, upstream: str) -> None:
        """Record that an agent refused an attempt."""
        self._recent.ended(upstream, request.request_id)

    def block(self, upstream: str, now: float) -> None:
        """Send nothing to an upstream until a report taken after `now`.

        Otherwise each request before the next report could try the same
        unavailable replicas first, which would use up the retry budget.
        """
        self._blocked[upstream] = now

    def dump(self, now: float) -> dict:
        return {
            "subsets": {
                model: [upstream.name for upstream in subset]
                for model, subset in self._subsets.items()
            },
            "ejected": {
                model: detection.ejected(now)
                for model, detection in self._outliers.items()
            },
            "leaving": sorted(self._leaving),
            "hints": len(self._hints),
        }

    def _apply_document(self, document: documents.Document) -> None:
        self._document = document
        by_serves: dict[str, list[documents.Upstream]] = {}
        for upstream in document.upstreams:
            by_serves.setdefault(upstream.serves, []).append(upstream)
        self._subsets = {
            name: self._subset(upstreams)
            for name, upstreams in by_serves.items()
        }
        models = {model.name for model in document.models}
        self._outliers = {
            name: self._outliers.get(name) or outliers.Outliers()
            for name in self._subsets
            if name in models
        }
        self._shares = tuple(
            work_queue.owed_shares(ranks.from_document(document))
            if document.ranks
            else ()
        )

    def _subset(
        self, upstreams: list[documents.Upstream]
    ) -> list[documents.Upstream]:
        by_name = {upstream.name: upstream for upstream in upstreams}
        members = [routing.Member(one.name, one.zone) for one in upstreams]
        chosen = routing.subset(self._self, members, SUBSET_SIZE)
        return [by_name[member.name] for member in chosen]

    def _apply_report(
        self, report: messages.LoadReport, taken_at: float
    ) -> None:
        known = self._reports.get(report.upstream)
        if known is not None and known[0].sequence == report.sequence:
            return
        self._reports[report.upstream] = (report, taken_at)
        self._recent.reported(report.upstream, taken_at)
        if taken_at > self._blocked.get(report.upstream, taken_at):
            del self._blocked[report.upstream]

    def _usable(
        self, serves: str, tried: frozenset[str]
    ) -> list[documents.Upstream]:
        return [
            upstream
            for upstream in self._subsets.get(serves, ())
            if upstream.name not in tried
            and not upstream.draining
            and upstream.name not in self._leaving
            and upstream.name not in self._blocked
            and self._takes_work(upstream.name)
        ]

    def _takes_work(self, upstream: str) -> bool:
        known = self._reports.get(upstream)
        if known is None:
            return True
        report, taken_at = known
        return report.state == "up" and self._replied_at - taken_at < STALE_S

    def _version(self, model: str, upstream: str) -> str:
        """Returns: weight version that a replica may serve, "" for none."""
        allowed = self._document.versions_of(model)
        known = self._reports.get(upstream)
        if known is None:
            return allowed[0] if allowed else ""
        loaded = known[0].weight_version
        return loaded if loaded in allowed else ""

    def _holds(self, upstream: str, adapter: str) -> bool:
        known = self._reports.get(upstream)
        return known is not None and adapter in known[0].adapters

    def _candidate(
        self, model: str, upstream: documents.Upstream, now: float
    ) -> routing.Candidate:
        weight = self._outliers[model].weight(upstream.name, now)
        known = self._reports.get(upstream.name)
        rank_count = len(self._document.ranks)
        if known is None:
            return routing.Candidate(
                upstream=upstream.name,
                zone=upstream.zone,
                queued_tokens=(0,) * rank_count,
                queued_items=(0,) * rank_count,
                prefill_rate=_UNKNOWN_PREFILL_RATE,
                reported_at=now,
                free_slots=(upstream.max_running,) * rank_count,
                shares=self._shares,
                weight=weight,
                slots=upstream.max_running,
            )
        report, taken_at = known
        return routing.Candidate(
            upstream=upstream.name,
            zone=upstream.zone,
            queued_tokens=_padded(report.waiting_tokens, rank_count),
            queued_items=_padded(report.waiting, rank_count),
            prefill_rate=report.prefill_rate,
            reported_at=taken_at,
            free_slots=_padded(report.free_slots, rank_count),
            start_periods_s=tuple(
                period_ms / 1000
                for period_ms in _padded(report.start_periods_ms, rank_count)
            ),
            loads=tuple(
                load / 1000
                for load in _padded(report.loads_permille, rank_count)
            ),
            shares=self._shares,
            weight=weight,
            slots=upstream.max_running,
        )

    def _find_hints(
        self, request: SelectionRequest, versions: dict[str, str]
    ) -> dict[str, routing.Hint]:
        known = self._hints.get((request.workspace, request.family))
        if known is None or known[0] not in versions:
            return {}
        upstream, tokens = known
        return {upstream: routing.Hint(min(tokens, request.tokens))}

    def _record_prefix(self, request: SelectionRequest, upstream: str) -> None:
        key = (request.workspace, request.family)
        self._hints.pop(key, None)
        self._hints[key] = (upstream, request.tokens)
        # The oldest hints are dropped; the engines have evicted their prompts.
        max_hints = _HINTS_PER_WORKSPACE * max(
            1, len(self._document.workspaces)
        )
        while len(self._hints) > min(max_hints, _MAX_HINTS):
            del self._hints[next(iter(self._hints))]


# Bounds the memory for hints to a few megabytes per entry.
_MAX_HINTS = 20_000


def _padded(values: tuple, count: int) -> tuple:
    """Pad or cut values per rank to the number of ranks.

    An agent may hold another version of the document than this entry.
    """
    return (values + (0,) * count)[:count]


def make_selection(
    name: str, zone: str, rng: random.Random | None = None
) -> Selection:
    return Selection(name, zone, rng or random.Random())
