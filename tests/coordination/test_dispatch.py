"""Tests of the agent's dispatcher."""

import pytest

from papayalink import clock as clocks
from papayalink.coordination import dispatch
from papayalink.coordination import queueing
from papayalink.coordination import work_queue


@pytest.mark.parametrize("cancelled, started", [("a", "b"), ("b", "c")])
def test_cancelled_request_frees_its_slot(cancelled, started):
    """Guards against losing a slot when a granted request is cancelled."""
    clock = clocks.ManualClock()
    ranks = [work_queue.Rank("r", 60.0)]
    queue = queueing.make_queue(ranks, slots=1)
    dispatcher = dispatch.make_dispatcher(queue, clock, 1)
    items = {name: work_queue.Item(name, "w", "r", 1, 60.0) for name in "abc"}
    grants = {name: dispatcher.submit(item) for name, item in items.items()}
    assert (dispatcher.running, dispatcher.waiting) == (1, 2)
    dispatcher.cancel(items[cancelled])
    if cancelled == "b":
        dispatcher.finish(items["a"], 1)
    assert grants[started].get(block=False) == dispatch.Granted()
    assert dispatcher.running == 1
