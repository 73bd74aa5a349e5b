"""Retention policies: values of kept pieces, for eviction and copying."""

import abc
import collections
from collections.abc import Sequence
import contextlib
import heapq
import itertools

import msgspec

from papayalink.coordination import return_gaps
from papayalink.protocol import pieces

# Prefill rate assumed for a piece whose engine reported none.
DEFAULT_PREFILL_TOKENS_PER_S = 8000.0

# Maximum number of pieces whose last request is remembered, whether they are
# kept or not. Each takes 100 to 200 bytes.
MAX_TRACKED_PIECES = 500_000

# Value of a second copy relative to the first: the probability that the first
# copy is lost before the piece is requested again. A few of several hundred
# VMs fail each day, and return gaps reach days.
SECOND_COPY_VALUE_RATIO = 0.03

# Prompts requested at least this often are counted in the same pools.
_MAX_REQUEST_COUNT = 8

# Maximum number of families with a pool of their own. The one that returned
# longest ago is dropped first.
_MAX_FAMILIES = 5_000

# Discount for each position in a prompt. It is small enough to order the
# pieces of one prompt without outweighing differences between prompts.
_POSITION_DISCOUNT = 1e-4

# Age up to which a cached return rate is used. The pools behind it change
# slowly, while each request needs many rates.
_MAX_RATE_AGE_S = 600.0


class PieceFacts(msgspec.Struct, frozen=True):
    """Facts that the value of a piece is estimated from.

    Args:
        family: digest of the first piece of the prompt; prompts with the same
            first piece form a family.
        parent: digest of the piece before this one, empty for the first.
        position: index of the piece in its prompt.
        recompute_s: prefill time that the piece saves, seconds.
        is_copy: whether this is the second copy of a piece.
    """

    family: str
    parent: str
    position: int
    recompute_s: float
    is_copy: bool = False


def make_facts(
    keys: Sequence[pieces.PieceKey],
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S,
    is_copy: bool = False,
) -> list[PieceFacts]:
    """Describe the pieces of a prompt.

    Args:
        keys: keys of the pieces in prompt order.
        prefill_tokens_per_s: measured rate of the engine.
        is_copy: whether these are second copies.
    Returns: facts of each piece.
    """
    recompute_s = pieces.PIECE_TOKENS / prefill_tokens_per_s
    return [
        PieceFacts(
            keys[0].digest,
            keys[position - 1].digest if position else "",
            position,
            recompute_s,
            is_copy,
        )
        for position in range(len(keys))
    ]


class Policy(abc.ABC):
    """Values pieces; a piece of lower value is evicted first."""

    __slots__ = ()

    @abc.abstractmethod
    def record_request(
        self, keys: Sequence[pieces.PieceKey], now: float
    ) -> None:
        """Record a request for a prompt.

        Args:
            keys: keys of its pieces in prompt order.
            now: time in seconds.
        """

    @abc.abstractmethod
    def value(
        self,
        key: pieces.PieceKey,
        facts: PieceFacts,
        size_bytes: int,
        now: float,
    ) -> float:
        """Returns: the value of the piece per byte at this time."""

    @abc.abstractmethod
    def copy_count(self, value: float, floor: float) -> int:
        """Decide on how many stores a piece is kept.

        Args:
            value: value of the piece.
            floor: lowest value that a full store holds, 0 while it has room.
        Returns: 1 or 2.
        """


class LruPolicy(Policy):
    """Baseline: the most recently requested piece has the highest value.

    Args:
        max_pieces: pieces whose last request is remembered.
    """

    __slots__ = ("_last_requests", "_max_pieces")

    def __init__(self, max_pieces: int = MAX_TRACKED_PIECES) -> None:
        self._last_requests: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._max_pieces = max_pieces

    def record_request(
        self, keys: Sequence[pieces.PieceKey], now: float
    ) -> None:
        for key in keys:
            self._last_requests[key.digest] = now
            self._last_requests.move_to_end(key.digest)
        while len(self._last_requests) > self._max_pieces:
            self._last_requests.popitem(last=False)

    def value(
        self,
        key: pieces.PieceKey,
        facts: PieceFacts,
        size_bytes: int,
        now: float,
    ) -> float:
        # Of pieces requested together the later ones are evicted first: they
        # are useless without the earlier ones.
        requested_at = self._last_requests.get(key.digest, 0.0)
        return requested_at - facts.position * 1e-6

    def copy_count(self, value: float, floor: float) -> int:
        return 1


# Workspace and family of a pool. The family is empty for a whole workspace,
# both are empty for the whole fleet.
_Scope = tuple[str, str]

_FLEET: _Scope = ("", "")

# Takes the place of the family in the pool of all families of a workspace that
# consist of one prompt. Most of these never return, unlike the prompts of an
# application that share a first piece. No digest has this form.
_SINGLE_PROMPT_FAMILIES = "single"


class _Pool(msgspec.Struct, array_like=True):
    workspace: str
    family: str
    request_count: int
    reached: return_gaps.BucketCounts
    returned: return_gaps.BucketCounts


class _Snapshot(msgspec.Struct):
    pools: list[_Pool]
    families: list[_Scope]
    shared: list[_Scope]


class _Cohort:
    """Pieces of one prompt that were last requested together.

    Attributes:
        request_count: requests for these pieces, up to _MAX_REQUEST_COUNT;
            negative for a first piece, which returns with every prompt of its
            family.
        counted_buckets: buckets whose reached count includes this cohort.
        is_open: whether it has neither returned nor been dropped.
    """

    __slots__ = (
        "workspace",
        "family",
        "request_count",
        "requested_at",
        "counted_buckets",
        "is_open",
        "digests",
    )

    def __init__(
        self,
        workspace: str,
        family: str,
        request_count: int,
        requested_at: float,
    ) -> None:
        self.workspace = workspace
        self.family = family
        self.request_count = request_count
        self.requested_at = requested_at
        self.counted_buckets = 0
        self.is_open = True
        self.digests: list[str] = []


class ReturnPolicy(Policy):
    """Values a piece by the prefill time it is expected to save.

    The value per byte is the recompute time times the return rate, divided by
    the size. The return rate is the highest ratio, over all times to hold the
    piece, of its probability to return within that time to the expected time
    that it occupies its space. Return gaps are pooled by prompt family,
    workspace and fleet; a pool with few observations is shrunk towards the
    next larger one. Pools are separate for each number of requests, since a
    prompt that has returned before is more likely to return again.

    Args:
        max_pieces: pieces that are watched for returns, whether they are kept
            or not.
    """

    __slots__ = (
        "_gaps",
        "_families",
        "_shared_families",
        "_cohorts",
        "_max_pieces",
        "_cohorts_by_age",
        "_next_edges",
        "_tie_breakers",
        "_rate_cache",
    )

    def __init__(self, max_pieces: int = MAX_TRACKED_PIECES) -> None:
        # By scope and number of requests.
        self._gaps: dict[_Scope, dict[int, return_gaps.GapHistogram]] = {}
        self._families: collections.OrderedDict[_Scope, None] = (
            collections.OrderedDict()
        )
        self._shared_families: collections.OrderedDict[_Scope, None] = (
            collections.OrderedDict()
        )
        self._cohorts: dict[str, _Cohort] = {}
        self._max_pieces = max_pieces
        self._cohorts_by_age: collections.deque[_Cohort] = collections.deque()
        # Heap of cohorts by the time of their next bucket edge.
        self._next_edges: list[tuple[float, int, _Cohort]] = []
        self._tie_breakers = itertools.count()
        self._rate_cache: dict[
            tuple[_Scope, int, int], tuple[float, float]
        ] = {}

    def record_request(
        self, keys: Sequence[pieces.PieceKey], now: float
    ) -> None:
        if not keys:
            return
        self._count_passed_buckets(now)
        self._record_shared_family(keys)
        workspace, family = keys[0].workspace, keys[0].digest
        new_cohorts: dict[int, _Cohort] = {}
        is_shared = (workspace, family) in self._shared_families
        request_count = 1
        for position, key in enumerate(keys):
            cohort = self._cohorts.get(key.digest)
            if cohort is not None:
                if cohort.is_open:
                    cohort.is_open = False
                    self._record_return(cohort, now)
                request_count = min(
                    abs(cohort.request_count) + 1, _MAX_REQUEST_COUNT
                )
            elif position == 0 or (position == 1 and is_shared):
                request_count = 1
            else:
                # A piece appended to a prompt returns with the prompt, so it
                # takes the request count of the piece before it.
                request_count = abs(request_count)
            if position == 0:
                request_count = -request_count
            if request_count not in new_cohorts:
                new_cohorts[request_count] = self._open_cohort(
                    workspace, family, request_count, now
                )
            new_cohorts[request_count].digests.append(key.digest)
            self._cohorts[key.digest] = new_cohorts[request_count]
        while len(self._cohorts) > self._max_pieces:
            self._drop_oldest_cohort()

    def value(
        self,
        key: pieces.PieceKey,
        facts: PieceFacts,
        size_bytes: int,
        now: float,
    ) -> float:
        cohort = self._cohorts.get(key.digest)
        request_count, age = 1, 0.0
        if cohort is not None:
            request_count, age = (
                abs(cohort.request_count),
                now - cohort.requested_at,
            )
        rate = self._return_rate(
            key.workspace,
            facts.family,
            request_count,
            return_gaps.bucket_of(age),
            now,
        )
        if facts.position == 0:
            first_rate = self._return_rate(
                key.workspace,
                facts.family,
                -request_count,
                return_gaps.bucket_of(age),
                now,
            )
            # The first piece returns whenever a later one does.
            rate = max(rate, first_rate)
        value = facts.recompute_s * rate / max(1, size_bytes)
        # A later piece is useless without the earlier ones, so of pieces
        # requested together the later ones are evicted first.
        value /= 1 + _POSITION_DISCOUNT * facts.position
        return value * SECOND_COPY_VALUE_RATIO if facts.is_copy else value

    def copy_count(self, value: float, floor: float) -> int:
        return 2 if value * SECOND_COPY_VALUE_RATIO > floor else 1

    def snapshot(self) -> bytes:
        """Returns: the pools, encoded for make_return_policy."""
        return msgspec.msgpack.encode(
            _Snapshot(
                [
                    _Pool(*scope, request_count, gaps.reached, gaps.returned)
                    for scope, by_request_count in self._gaps.items()
                    for request_count, gaps in by_request_count.items()
                ],
                list(self._families),
                list(self._shared_families),
            )
        )

    def _load_snapshot(self, snapshot: "_Snapshot") -> None:
        for pool in snapshot.pools:
            gaps = return_gaps.GapHistogram()
            gaps.reached = pool.reached
            gaps.returned = pool.returned
            scope = (pool.workspace, pool.family)
            self._gaps.setdefault(scope, {})[pool.request_count] = gaps
        self._families.update(dict.fromkeys(snapshot.families))
        self._shared_families.update(dict.fromkeys(snapshot.shared))

    def _open_cohort(
        self, workspace: str, family: str, request_count: int, now: float
    ) -> _Cohort:
        cohort = _Cohort(workspace, family, request_count, now)
        self._cohorts_by_age.append(cohort)
        edge_at = now + return_gaps.EDGES_S[0]
        heapq.heappush(
            self._next_edges, (edge_at, next(self._tie_breakers), cohort)
        )
        return cohort

    def _scopes(self, workspace: str, family: str) -> list[_Scope]:
        """Returns: scopes of the pools of a family, the largest first."""
        scopes = [_FLEET, (workspace, "")]
        family_scope = (workspace, family)
        if family_scope not in self._shared_families:
            scopes.append((workspace, _SINGLE_PROMPT_FAMILIES))
        if family_scope in self._families:
            scopes.append(family_scope)
        return scopes

    def _pools_of(self, cohort: _Cohort) -> list[return_gaps.GapHistogram]:
        pools = []
        for scope in self._scopes(cohort.workspace, cohort.family):
            by_request_count = self._gaps.setdefault(scope, {})
            if cohort.request_count not in by_request_count:
                by_request_count[cohort.request_count] = (
                    return_gaps.GapHistogram()
                )
            pools.append(by_request_count[cohort.request_count])
        return pools

    def _record_shared_family(self, keys: Sequence[pieces.PieceKey]) -> None:
        """Record a family once a second prompt has its first piece."""
        if (
            len(keys) > 1
            and keys[0].digest in self._cohorts
            and keys[1].digest not in self._cohorts
        ):
            family = (keys[0].workspace, keys[0].digest)
            self._shared_families[family] = None
            self._shared_families.move_to_end(family)
            if len(self._shared_families) > _MAX_FAMILIES:
                self._shared_families.popitem(last=False)

    def _record_return(self, cohort: _Cohort, now: float) -> None:
        family = (cohort.workspace, cohort.family)
        self._families[family] = None
        self._families.move_to_end(family)
        if len(self._families) > _MAX_FAMILIES:
            oldest, _ = self._families.popitem(last=False)
            self._gaps.pop(oldest, None)
        bucket = return_gaps.bucket_of(now - cohort.requested_at)
        for gaps in self._pools_of(cohort):
            for index in range(cohort.counted_buckets, bucket + 1):
                gaps.reached[index] += 1
            gaps.returned[bucket] += 1

    def _count_passed_buckets(self, now: float) -> None:
        """Count open cohorts as having reached the buckets they passed."""
        while self._next_edges and self._next_edges[0][0] <= now:
            _, _, cohort = heapq.heappop(self._next_edges)
            if not cohort.is_open:
                continue
            # A bucket is counted only once its end has passed: until then the
            # pieces may still return within it.
            passed_buckets = return_gaps.bucket_of(now - cohort.requested_at)
            for gaps in self._pools_of(cohort):
                for index in range(cohort.counted_buckets, passed_buckets):
                    gaps.reached[index] += 1
            cohort.counted_buckets = passed_buckets
            if passed_buckets < return_gaps.NUM_BUCKETS - 1:
                edge_at = (
                    cohort.requested_at + return_gaps.EDGES_S[passed_buckets]
                )
                heapq.heappush(
                    self._next_edges,
                    (edge_at, next(self._tie_breakers), cohort),
                )

    def _drop_oldest_cohort(self) -> None:
        cohort = self._cohorts_by_age.popleft()
        cohort.is_open = False
        for digest in cohort.digests:
            if self._cohorts.get(digest) is cohort:
                del self._cohorts[digest]

    def _return_rate(
        self,
        workspace: str,
        family: str,
        request_count: int,
        bucket: int,
        now: float,
    ) -> float:
        """Returns: expected returns of a piece per second that it is held."""
        scopes = self._scopes(workspace, family)
        cache_key = (scopes[-1], request_count, bucket)
        cached = self._rate_cache.get(cache_key)
        if cached is not None and now - cached[0] < _MAX_RATE_AGE_S:
            return cached[1]
        if len(self._rate_cache) > 4 * _MAX_FAMILIES:
            self._rate_cache.clear()
        pools = []
        for scope in scopes:
            gaps = self._gaps.get(scope, {}).get(request_count)
            if gaps is not None:
                pools.append(gaps)
        rate = return_gaps.best_rate(pools, bucket)
        self._rate_cache[cache_key] = (now, rate)
        return rate


def make_return_policy(
    snapshot: bytes | None = None, max_pieces: int = MAX_TRACKED_PIECES
) -> ReturnPolicy:
    """Make a policy, with the return gaps of an earlier one if given.

    Args:
        snapshot: from ReturnPolicy.snapshot. Ages and request counts of pieces
            are not part of it. A snapshot that cannot be decoded is ignored,
            since the pools fill again.
        max_pieces: see ReturnPolicy.
    Returns: the policy.
    """
    policy = ReturnPolicy(max_pieces)
    if snapshot is not None:
        with contextlib.suppress(msgspec.MsgspecError):
            policy._load_snapshot(
                msgspec.msgpack.decode(snapshot, type=_Snapshot)
            )
    return policy
