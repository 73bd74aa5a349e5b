"""Tests of the requests that wait for a replica."""

import itertools

import gevent
import pytest

from papayalink.coordination import errors
from papayalink.coordination import waiting
from papayalink.coordination.raft import inputs


def _ask(reads):
    waiter = waiting.Waiter()
    reads.add(waiter)
    return waiter


def test_read_waits_until_its_index_is_applied():
    reads = waiting.Reads(itertools.count())
    waiter = _ask(reads)
    reads.confirmed(inputs.Read(reads.start().token, 5))
    reads.applied(4)
    with pytest.raises(errors.Unavailable):
        waiter.wait(0)
    waiter = _ask(reads)
    reads.confirmed(inputs.Read(reads.start().token, 6))
    reads.applied(6)
    assert waiter.wait(0) == 6


def test_read_does_not_join_the_one_under_way():
    """That one may have been confirmed before the caller asked."""
    reads = waiting.Reads(itertools.count())
    early = _ask(reads)
    first = reads.start()
    late = gevent.spawn(_ask(reads).wait, 5)
    reads.confirmed(inputs.Read(first.token, 5))
    reads.applied(9)
    assert early.wait(0) == 5
    reads.confirmed(inputs.Read(reads.start().token, 9))
    reads.applied(9)
    assert late.get() == 9
