"""Tests of the weight store's rates."""

import pytest

from fakes import weights
from papayalink import clock as clocks


@pytest.mark.parametrize(
    "readers, seconds", [(1, 0.8), (2, 0.8), (3, 1.2), (4, 1.6)]
)
def test_more_than_two_readers_slow_each_other_down(readers, seconds):
    store = weights.WeightStore(800, 2000.0, 1000.0, clocks.ManualClock())
    store.readers = readers
    assert store.size_bytes / store.rate() == pytest.approx(seconds)


def test_abandoned_read_releases_its_share_of_the_rate():
    store = weights.WeightStore(10**6, 1e9, 1e9, clocks.make_clock())
    reader = store.read("v1")
    next(reader)
    assert store.readers == 1
    reader.close()
    assert store.readers == 0
