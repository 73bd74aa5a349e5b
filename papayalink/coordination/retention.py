"""Retention: which kept pieces are worth their space."""

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

# Pieces whose last sighting is remembered, kept or not: 100 to 200 bytes
# each.
MAX_TRACKED_PIECES = 500_000

# Share of its value that a second copy keeps: the probability that the first
# copy is lost while the piece waits to return. A few of some hundred VMs fail
# each day, and gaps reach days.
COPY_VALUE = 0.03

# Prompts that were seen more often than this are pooled.
_MAX_SIGHTINGS = 8

# Families whose gaps are pooled; the one that returned longest ago goes first.
_MAX_FAMILIES = 5_000

# Orders the pieces of one prompt without outweighing differences between
# prompts.
_POSITION_DISCOUNT = 1e-4

# A return rate is computed anew after this time: the pools behind it change
# slowly, while each arrival asks for many rates.
_RATE_AGE_S = 600.0


class PieceFacts(msgspec.Struct, frozen=True):
    """What the value of a piece is estimated from.

    Args:
        family: digest of the first piece of the prompt.
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
    def arrive(self, keys: Sequence[pieces.PieceKey], now: float) -> None:
        """Record that a prompt was asked for.

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
        """Returns: the value of a byte of the piece at this time."""

    @abc.abstractmethod
    def copies(self, value: float, floor: float) -> int:
        """Decide on how many stores a piece is kept.

        Args:
            value: value of the piece.
            floor: lowest value that a full store holds, 0 while it has room.
        Returns: 1 or 2.
        """


class LruPolicy(Policy):
    """Baseline: the piece that was asked for last is worth most.

    Args:
        max_pieces: pieces whose last arrival is remembered.
    """

    __slots__ = ("_last_seen", "_max_pieces")

    def __init__(self, max_pieces: int = MAX_TRACKED_PIECES) -> None:
        self._last_seen: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._max_pieces = max_pieces

    def arrive(self, keys: Sequence[pieces.PieceKey], now: float) -> None:
        for key in keys:
            self._last_seen[key.digest] = now
            self._last_seen.move_to_end(key.digest)
        while len(self._last_seen) > self._max_pieces:
            self._last_seen.popitem(last=False)

    def value(
        self,
        key: pieces.PieceKey,
        facts: PieceFacts,
        size_bytes: int,
        now: float,
    ) -> float:
        # Of pieces seen together the later ones go first: they are useless
        # without the earlier ones.
        seen_at = self._last_seen.get(key.digest, 0.0)
        return seen_at - facts.position * 1e-6

    def copies(self, value: float, floor: float) -> int:
        return 1


# Workspace and family; empty for the whole workspace or the whole fleet.
_Scope = tuple[str, str]

_FLEET: _Scope = ("", "")

# Pools the families of a workspace that consist of one prompt. Most of these
# never return, unlike the prompts of an application that share a first piece.
# No digest looks like this name.
_SINGLE = "single"


class _Pool(msgspec.Struct, array_like=True):
    workspace: str
    family: str
    sightings: int
    reached: return_gaps.BucketCounts
    returned: return_gaps.BucketCounts


class _Snapshot(msgspec.Struct):
    pools: list[_Pool]
    families: list[_Scope]
    shared: list[_Scope]


class _Cohort:
    """Pieces of one prompt that were last seen together.

    Attributes:
        sightings: how often they were seen, up to _MAX_SIGHTINGS; negative
            for a first piece, which returns with every prompt of its family.
        credited: buckets whose reached count includes this cohort.
        is_open: whether it has neither returned nor expired.
    """

    __slots__ = (
        "workspace",
        "family",
        "sightings",
        "seen_at",
        "credited",
        "is_open",
        "digests",
    )

    def __init__(
        self, workspace: str, family: str, sightings: int, seen_at: float
    ) -> None:
        self.workspace = workspace
        self.family = family
        self.sightings = sightings
        self.seen_at = seen_at
        self.credited = 0
        self.is_open = True
        self.digests: list[str] = []


class ReturnPolicy(Policy):
    """Values a piece by the prefill time it is expected to save.

    The value is recompute time times the rate of returns that a byte buys:
    the highest ratio, over all times to hold the piece, of its probability to
    return within that time to the expected time it occupies its space. Return
    gaps are pooled by prompt family, workspace and fleet; the smaller pool is
    drawn towards the larger one while it has seen little. They are kept apart
    by the number of sightings, since a prompt that has returned before is
    more likely to return again.

    Args:
        max_pieces: pieces that are watched for returns, kept or not.
    """

    __slots__ = (
        "_gaps",
        "_families",
        "_shared",
        "_cohorts",
        "_max_pieces",
        "_order",
        "_due",
        "_ties",
        "_rates",
    )

    def __init__(self, max_pieces: int = MAX_TRACKED_PIECES) -> None:
        # By scope and number of sightings.
        self._gaps: dict[_Scope, dict[int, return_gaps.Gaps]] = {}
        self._families: collections.OrderedDict[_Scope, None] = (
            collections.OrderedDict()
        )
        self._shared: collections.OrderedDict[_Scope, None] = (
            collections.OrderedDict()
        )
        self._cohorts: dict[str, _Cohort] = {}
        self._max_pieces = max_pieces
        self._order: collections.deque[_Cohort] = collections.deque()
        self._due: list[tuple[float, int, _Cohort]] = []
        self._ties = itertools.count()
        self._rates: dict[tuple[_Scope, int, int], tuple[float, float]] = {}

    def arrive(self, keys: Sequence[pieces.PieceKey], now: float) -> None:
        if not keys:
            return
        self._credit(now)
        self._note_shared(keys)
        workspace, family = keys[0].workspace, keys[0].digest
        created: dict[int, _Cohort] = {}
        is_shared = (workspace, family) in self._shared
        sightings = 1
        for position, key in enumerate(keys):
            cohort = self._cohorts.get(key.digest)
            if cohort is not None:
                if cohort.is_open:
                    cohort.is_open = False
                    self._record(cohort, now)
                sightings = min(abs(cohort.sightings) + 1, _MAX_SIGHTINGS)
            elif position == 0 or (position == 1 and is_shared):
                sightings = 1
            else:
                # A piece that a prompt grew by returns with the prompt, and
                # so counts as seen as often as the piece before it.
                sightings = abs(sightings)
            if position == 0:
                sightings = -sightings
            if sightings not in created:
                created[sightings] = self._open(
                    workspace, family, sightings, now
                )
            created[sightings].digests.append(key.digest)
            self._cohorts[key.digest] = created[sightings]
        while len(self._cohorts) > self._max_pieces:
            self._forget_oldest()

    def value(
        self,
        key: pieces.PieceKey,
        facts: PieceFacts,
        size_bytes: int,
        now: float,
    ) -> float:
        cohort = self._cohorts.get(key.digest)
        sightings, age = 1, 0.0
        if cohort is not None:
            sightings, age = abs(cohort.sightings), now - cohort.seen_at
        rate = self._return_rate(
            key.workspace,
            facts.family,
            sightings,
            return_gaps.bucket_of(age),
            now,
        )
        if facts.position == 0:
            first_rate = self._return_rate(
                key.workspace,
                facts.family,
                -sightings,
                return_gaps.bucket_of(age),
                now,
            )
            # The first piece returns whenever a later one does.
            rate = max(rate, first_rate)
        value = facts.recompute_s * rate / max(1, size_bytes)
        # A later piece is useless without the earlier ones, so that of pieces
        # seen together the later ones go first.
        value /= 1 + _POSITION_DISCOUNT * facts.position
        return value * COPY_VALUE if facts.is_copy else value

    def copies(self, value: float, floor: float) -> int:
        return 2 if value * COPY_VALUE > floor else 1

    def snapshot(self) -> bytes:
        """Returns: the pools, for make_return_policy after a restart."""
        return msgspec.msgpack.encode(
            _Snapshot(
                [
                    _Pool(*scope, sightings, gaps.reached, gaps.returned)
                    for scope, by_sightings in self._gaps.items()
                    for sightings, gaps in by_sightings.items()
                ],
                list(self._families),
                list(self._shared),
            )
        )

    def _load(self, snapshot: "_Snapshot") -> None:
        for pool in snapshot.pools:
            gaps = return_gaps.Gaps()
            gaps.reached = pool.reached
            gaps.returned = pool.returned
            scope = (pool.workspace, pool.family)
            self._gaps.setdefault(scope, {})[pool.sightings] = gaps
        self._families.update(dict.fromkeys(snapshot.families))
        self._shared.update(dict.fromkeys(snapshot.shared))

    def _open(
        self, workspace: str, family: str, sightings: int, now: float
    ) -> _Cohort:
        cohort = _Cohort(workspace, family, sightings, now)
        self._order.append(cohort)
        due = now + return_gaps.EDGES_S[0]
        heapq.heappush(self._due, (due, next(self._ties), cohort))
        return cohort

    def _scopes(self, workspace: str, family: str) -> list[_Scope]:
        """Returns: the pools a family draws on, the largest first."""
        scopes = [_FLEET, (workspace, "")]
        own = (workspace, family)
        if own not in self._shared:
            scopes.append((workspace, _SINGLE))
        if own in self._families:
            scopes.append(own)
        return scopes

    def _pools(self, cohort: _Cohort) -> list[return_gaps.Gaps]:
        pools = []
        for scope in self._scopes(cohort.workspace, cohort.family):
            by_sightings = self._gaps.setdefault(scope, {})
            if cohort.sightings not in by_sightings:
                by_sightings[cohort.sightings] = return_gaps.Gaps()
            pools.append(by_sightings[cohort.sightings])
        return pools

    def _note_shared(self, keys: Sequence[pieces.PieceKey]) -> None:
        """Remember a family once a second prompt starts with its piece."""
        if (
            len(keys) > 1
            and keys[0].digest in self._cohorts
            and keys[1].digest not in self._cohorts
        ):
            family = (keys[0].workspace, keys[0].digest)
            self._shared[family] = None
            self._shared.move_to_end(family)
            if len(self._shared) > _MAX_FAMILIES:
                self._shared.popitem(last=False)

    def _record(self, cohort: _Cohort, now: float) -> None:
        family = (cohort.workspace, cohort.family)
        self._families[family] = None
        self._families.move_to_end(family)
        if len(self._families) > _MAX_FAMILIES:
            oldest, _ = self._families.popitem(last=False)
            self._gaps.pop(oldest, None)
        bucket = return_gaps.bucket_of(now - cohort.seen_at)
        for gaps in self._pools(cohort):
            for reached in range(cohort.credited, bucket + 1):
                gaps.reached[reached] += 1
            gaps.returned[bucket] += 1

    def _credit(self, now: float) -> None:
        """Count open cohorts in the buckets they have passed."""
        while self._due and self._due[0][0] <= now:
            _, _, cohort = heapq.heappop(self._due)
            if not cohort.is_open:
                continue
            # A bucket counts once it has passed: within it the piece may
            # still return.
            passed = return_gaps.bucket_of(now - cohort.seen_at)
            for gaps in self._pools(cohort):
                for reached in range(cohort.credited, passed):
                    gaps.reached[reached] += 1
            cohort.credited = passed
            if passed < return_gaps.BUCKETS - 1:
                due = cohort.seen_at + return_gaps.EDGES_S[passed]
                heapq.heappush(self._due, (due, next(self._ties), cohort))

    def _forget_oldest(self) -> None:
        cohort = self._order.popleft()
        cohort.is_open = False
        for digest in cohort.digests:
            if self._cohorts.get(digest) is cohort:
                del self._cohorts[digest]

    def _return_rate(
        self,
        workspace: str,
        family: str,
        sightings: int,
        bucket: int,
        now: float,
    ) -> float:
        """Returns: returns per second held of a piece of this age."""
        scopes = self._scopes(workspace, family)
        place = (scopes[-1], sightings, bucket)
        cached = self._rates.get(place)
        if cached is not None and now - cached[0] < _RATE_AGE_S:
            return cached[1]
        if len(self._rates) > 4 * _MAX_FAMILIES:
            self._rates.clear()
        pools = []
        for scope in scopes:
            gaps = self._gaps.get(scope, {}).get(sightings)
            if gaps is not None:
                pools.append(gaps)
        rate = return_gaps.best_rate(pools, bucket)
        self._rates[place] = (now, rate)
        return rate


def make_return_policy(
    snapshot: bytes | None = None, max_pieces: int = MAX_TRACKED_PIECES
) -> ReturnPolicy:
    """Make a policy that knows the return gaps of an earlier one.

    Args:
        snapshot: from ReturnPolicy.snapshot. Ages and sightings of pieces are
            not part of it. One that cannot be read is ignored, since the
            pools fill again.
        max_pieces: see ReturnPolicy.
    Returns: the policy.
    """
    policy = ReturnPolicy(max_pieces)
    if snapshot is not None:
        with contextlib.suppress(msgspec.MsgspecError):
            policy._load(msgspec.msgpack.decode(snapshot, type=_Snapshot))
    return policy
