"""Return gaps of prompts, counted in buckets, and rates drawn from them."""

import bisect
from collections.abc import Sequence
from typing import Annotated

import msgspec

# Gaps run from minutes to weeks. One bucket to an octave tells minutes from
# hours without thinning out the counts. Shorter gaps are met by the engine's
# own cache; with narrower first buckets the assumed returns within seconds
# outweighed the observed ones within hours.
_FIRST_EDGE_S = 120.0
BUCKETS = 16
EDGES_S = [_FIRST_EDGE_S * 2**i for i in range(BUCKETS - 1)]
_WIDTHS_S = [
    high - low
    for low, high in zip([0.0, *EDGES_S], [*EDGES_S, 2 * EDGES_S[-1]])
]

# Before anything was observed, a prompt is as likely to return within one
# bucket as within the next: gaps have no typical scale.
_PRIOR_HAZARD = 0.02

# A pool counts as much as the larger pool above it after this many pieces.
_PRIOR_WEIGHT = 6.0


class Gaps:
    """Returns by the time since the last sighting, in log-spaced buckets.

    Each bucket counts how many pieces reached it without a return and how
    many returned within it, so that pieces that have not returned yet count
    for the time they were watched.
    """

    __slots__ = ("reached", "returned")

    def __init__(self) -> None:
        self.reached = [0] * BUCKETS
        self.returned = [0] * BUCKETS


BucketCounts = Annotated[
    list[int], msgspec.Meta(min_length=BUCKETS, max_length=BUCKETS)
]


def bucket_of(age_s: float) -> int:
    """Returns: the bucket of a time since the last sighting."""
    return bisect.bisect_right(EDGES_S, age_s)


def best_rate(pools: Sequence[Gaps], first: int) -> float:
    """Returns: the highest returns per second, over all times to hold.

    Args:
        pools: gaps, from the largest pool to the smallest.
        first: bucket of the age of the piece.
    """
    best = returned = occupied_s = 0.0
    reached = 1.0
    for bucket in range(first, BUCKETS):
        hazard = _PRIOR_HAZARD
        for gaps in pools:
            hazard = (gaps.returned[bucket] + _PRIOR_WEIGHT * hazard) / (
                gaps.reached[bucket] + _PRIOR_WEIGHT
            )
        # A return within a bucket falls in its middle on average.
        occupied_s += reached * _WIDTHS_S[bucket] * (1 - hazard / 2)
        returned += reached * hazard
        reached *= 1 - hazard
        rate = returned / occupied_s
        if rate > best:
            best = rate
    return best
