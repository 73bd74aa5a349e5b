"""Tests of link rates, the order of transfers and the choice of stores."""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from papayalink.coordination import links

MIB = 2**20


def _estimate(*rates):
    estimate = links.RateEstimate(100 * MIB)
    for count, rate in enumerate(rates):
        estimate.record(MIB, MIB / (rate * MIB), float(count))
    return estimate


@pytest.mark.parametrize(
    "rates, low, high",
    [
        ([], 100, 100),
        ([50], 50, 50),
        # A link that slows to a tenth is noticed within three transfers.
        ([100, 100, 10, 10, 10], 9, 15),
        # One slow transfer does not reset the estimate.
        ([100, 100, 10], 50, 90),
        ([100, 100, 10, 100], 70, 100),
        # A link that recovers is used again.
        ([10, 10, 100, 100, 100, 100], 85, 100),
    ],
)
def test_rate_estimate(rates, low, high):
    """Guards against restores planned with an outdated rate."""
    assert low <= _estimate(*rates).bytes_per_s / MIB <= high


def test_small_transfers_are_ignored_and_estimates_become_stale():
    estimate = _estimate()
    assert estimate.is_stale(0.0)
    estimate.record(100, 0.1, 0.0)
    assert estimate.bytes_per_s == 100 * MIB
    estimate.record(MIB, 1.0, 0.0)
    assert (estimate.is_stale(1.0), estimate.is_stale(60.0)) == (False, True)
    # A stalled transfer shows a slow link even if few bytes were received.
    for now in (1.0, 2.0):
        estimate.record(100, 5.0, now)
    assert estimate.bytes_per_s < 1000


URGENT, OTHER, COPY = links.Priority


def _transfer(name, workspace="acme", priority=OTHER, size=100):
    return links.Transfer(name, workspace, priority, size)


def _run_all(queue):
    order = []
    while (transfer := queue.next_transfer(0.0)) is not None:
        order.append(transfer)
        queue.finish()
    return order


def test_transfers_run_in_order_of_priority():
    """Guards against an urgent restore that waits for a background copy."""
    queue = links.LinkQueue()
    for priority in (COPY, OTHER, URGENT):
        queue.add(_transfer(priority.name, priority=priority))
    assert queue.queued_bytes(URGENT) == 100
    assert queue.queued_bytes(COPY) == 300
    assert [t.priority for t in _run_all(queue)] == [URGENT, OTHER, COPY]


@pytest.mark.parametrize(
    "running, waiting, expected",
    [
        (COPY, URGENT, True),
        (COPY, OTHER, True),
        (COPY, COPY, False),
        (OTHER, URGENT, False),
    ],
)
def test_only_copies_are_preempted(running, waiting, expected):
    queue = links.LinkQueue()
    queue.add(_transfer("running", priority=running))
    first = queue.next_transfer(0.0)
    queue.add(_transfer("waiting", priority=waiting))
    assert queue.next_transfer(0.0) is None
    assert queue.should_preempt() is expected
    if expected:
        assert queue.preempt() == first
        assert [t.name for t in _run_all(queue)] == ["waiting", "running"]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["large", "small", "other"]),
            strategies.integers(1, 50),
        ),
        max_size=60,
    )
)
def test_workspaces_share_the_link_by_bytes(requests):
    """Guards against one workspace that fills the link with its restores."""
    queue = links.LinkQueue()
    remaining = collections.Counter()
    for number, (workspace, size) in enumerate(requests):
        queue.add(_transfer(str(number), workspace, size=size))
        remaining[workspace] += 1
    served = collections.Counter({name: 0 for name in remaining})
    while (transfer := queue.next_transfer(0.0)) is not None:
        queue.finish()
        served[transfer.workspace] += transfer.size_bytes
        remaining[transfer.workspace] -= 1
        waiting = [served[name] for name in remaining if remaining[name]]
        # While two workspaces wait, they differ by at most one transfer.
        assert not waiting or max(waiting) - min(waiting) <= 50
    assert sum(served.values()) == sum(size for _, size in requests)


def test_idle_time_earns_no_credit():
    """Guards against a burst that starves workspaces served before."""
    queue = links.LinkQueue()
    for number in range(20):
        queue.add(_transfer(f"a{number}", "a"))
    for _ in range(10):
        queue.next_transfer(0.0)
        queue.finish()
    for number in range(10):
        queue.add(_transfer(f"b{number}", "b"))
    order = [t.workspace for t in _run_all(queue)]
    assert order[:6].count("a") == 3


def test_removed_transfer_does_not_run():
    queue = links.LinkQueue()
    queue.add(_transfer("one"))
    queue.add(_transfer("two"))
    assert queue.remove("one")
    assert not queue.remove("one")
    assert [t.name for t in _run_all(queue)] == ["two"]


@pytest.mark.parametrize(
    "holders, queued, expected",
    [
        (["a", "b"], {}, "a"),
        (["slow", "b"], {}, "b"),
        (["a", "b"], {"a": 500}, "b"),
        (["gone", "slow"], {}, "slow"),
        (["gone"], {}, None),
        ([], {}, None),
    ],
)
def test_choose_store(holders, queued, expected):
    """Guards against a read over a slow link when a fast one is available."""
    estimates = {"a": _estimate(100), "b": _estimate(100)}
    estimates["slow"] = _estimate(100, 10, 10)
    assert links.choose_store(holders, estimates, queued, 100) == expected
