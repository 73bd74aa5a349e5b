"""Tests of reads that wait for a replica."""

import itertools

import pytest

from papayalink.coordination import errors
from papayalink.coordination import pending_requests
from papayalink.coordination.raft import inputs


def test_read_waits_for_its_own_round_and_index():
    """Guards against stale reads of callers that arrive during a round.

    A round in progress may have been confirmed before they asked.
    """
    reads = pending_requests.PendingReads(itertools.count())
    early, late, later = (pending_requests.Waiter() for _ in range(3))
    reads.add(early)
    first = reads.start()
    reads.add(late)
    reads.add(later)
    reads.on_confirmed(inputs.Read(first.token, 5))
    for waiter, applied in ((early, 4), (late, 9)):
        reads.on_applied(applied)
        with pytest.raises(errors.Unavailable):
            waiter.wait(0)
    reads.on_confirmed(inputs.Read(reads.start().token, 9))
    reads.on_applied(9)
    assert later.wait(0) == 9


def test_later_read_answers_earlier_ones():
    """Guards against a wait for two replies when the first one is slow."""
    reads = pending_requests.PendingReads(itertools.count())
    waiters = [pending_requests.Waiter() for _ in range(3)]
    started = []
    for waiter in waiters:
        reads.add(waiter)
        started.append(reads.start())
    reads.on_confirmed(inputs.Read(started[1].token, 7))
    reads.on_applied(7)
    assert [waiter.wait(0) for waiter in waiters[:2]] == [7, 7]
    with pytest.raises(errors.Unavailable):
        waiters[2].wait(0)


def test_late_reply_answers_those_that_waited_for_it():
    """Guards against reads that never finish.

    That occurs if a retry discards the earlier read and each reply takes
    longer than the retry interval.
    """
    reads = pending_requests.PendingReads(itertools.count())
    early, late = pending_requests.Waiter(), pending_requests.Waiter()
    reads.add(early)
    first = reads.start()
    for _ in range(10):
        reads.tick()
    reads.add(late)
    assert reads.start().token != first.token
    reads.on_confirmed(inputs.Read(first.token, 5))
    reads.on_applied(5)
    assert early.wait(0) == 5
    with pytest.raises(errors.Unavailable):
        late.wait(0)
