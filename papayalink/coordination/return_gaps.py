"""Histograms of return gaps, the times between requests for a prompt."""

import bisect
from collections.abc import Sequence
from typing import Annotated

import msgspec

# Return gaps range from minutes to weeks. Buckets of doubling width separate
# minutes from hours and still hold enough observations each. Gaps shorter than
# the first edge are served by the engine's own cache. With narrower first
# buckets, the returns within seconds that the prior assumes would outweigh the
# observed returns within hours.
_FIRST_EDGE_S = 120.0
NUM_BUCKETS = 16
EDGES_S = [_FIRST_EDGE_S * 2**i for i in range(NUM_BUCKETS - 1)]
_WIDTHS_S = [
    high - low
    for low, high in zip([0.0, *EDGES_S], [*EDGES_S, 2 * EDGES_S[-1]])
]

# Assumed probability to return within a bucket that was reached, before
# anything is observed. It is the same for all buckets since gaps have no
# typical scale.
_PRIOR_HAZARD = 0.02

# Number of pieces after which a pool weighs as much as the next larger pool.
_PRIOR_WEIGHT_PIECES = 6.0


class GapHistogram:
    """Returns by the time since the last request, in log-spaced buckets.

    Each bucket counts how many pieces reached it without a return and how
    many returned within it, so that pieces that have not returned yet count
    for the time they were watched.
    """

    __slots__ = ("reached", "returned")

    def __init__(self) -> None:
        self.reached = [0] * NUM_BUCKETS
        self.returned = [0] * NUM_BUCKETS


BucketCounts = Annotated[
    list[int], msgspec.Meta(min_length=NUM_BUCKETS, max_length=NUM_BUCKETS)
]


def bucket_of(age_s: float) -> int:
    """Returns: the bucket of a time since the last request."""
    return bisect.bisect_right(EDGES_S, age_s)


def best_rate(pools: Sequence[GapHistogram], first_bucket: int) -> float:
    """Returns: the highest return rate per second, over all times to hold.

    Args:
        pools: histograms, from the largest pool to the smallest.
        first_bucket: bucket of the age of the piece.
    """
    highest_rate = returned = occupied_s = 0.0
    reached = 1.0
    for bucket in range(first_bucket, NUM_BUCKETS):
        hazard = _PRIOR_HAZARD
        for gaps in pools:
            hazard = (
                gaps.returned[bucket] + _PRIOR_WEIGHT_PIECES * hazard
            ) / (gaps.reached[bucket] + _PRIOR_WEIGHT_PIECES)
        # A return within a bucket falls in its middle on average.
        occupied_s += reached * _WIDTHS_S[bucket] * (1 - hazard / 2)
        returned += reached * hazard
        reached *= 1 - hazard
        rate = returned / occupied_s
        if rate > highest_rate:
            highest_rate = rate
    return highest_rate
