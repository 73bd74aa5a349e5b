"""Tests of the choice of stores for a prompt."""

import collections

import hypothesis
from hypothesis import strategies

from papayalink.coordination import placement
from papayalink.state import document as documents

ADDRESS = "127.0.0.1:1"
ZONES = ["korangi", "west-wharf", "port-qasim"]


@hypothesis.given(
    strategies.lists(strategies.sampled_from(ZONES), min_size=1, max_size=8),
    strategies.integers(0, 2**32).map(hex),
)
def test_owners_are_stable_and_spread(zones, family):
    """Guards against losing both copies with a zone, and needless moves."""
    stores = [
        documents.Store(f"s{n}", ADDRESS, zone) for n, zone in enumerate(zones)
    ]
    chosen = placement.owners(family, stores)
    assert len(chosen) == min(2, len(stores))
    if len(set(zones)) > 1:
        assert chosen[0].zone != chosen[1].zone
    assert placement.owners(family, stores[::-1]) == chosen
    others = [store for store in stores if store not in chosen]
    assert placement.owners(family, [*chosen, *others[1:]]) == chosen


def test_owners_balance():
    stores = [
        documents.Store(f"s{n}", ADDRESS, ZONES[n % 3]) for n in range(6)
    ]
    counts = collections.Counter(
        placement.owners(str(n), stores)[0].name for n in range(1200)
    )
    assert min(counts.values()) > 140
