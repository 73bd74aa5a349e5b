"""Tests of replicas that name a delay when they turn a call away."""

import time

import gevent
import pytest

# The delay counts from half a second after the answer on.
_GRACE_S = 0.5
_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nPapayalink-Not-Executed: 1\r\n"
    b"Retry-After: %.1f\r\nContent-Length: %d\r\n\r\n"
)


def _send_until(site, until):
    statuses = []
    while time.monotonic() < until:
        statuses.append(site.entries[0].prompt("resumed", "base", "own")[0])
        gevent.sleep(0.02)
    return statuses


@pytest.mark.parametrize(
    "content_length", [0, 10], ids=["whole", "broken-off"]
)
def test_replica_gets_no_calls_for_the_delay_that_it_names(
    start_site, content_length
):
    """Guards against a delay that is cut, or lost with the answer."""
    site = start_site(size=2)
    refusing = site.replicas[0]
    refusing.refusal = _REFUSAL % (2.5, content_length)
    while not refusing.arrived_at:
        site.entries[0].prompt("resumed", "base", "own")
    told_at = refusing.arrived_at[0]
    statuses = _send_until(site, told_at + 2.4)
    late = [at for at in refusing.arrived_at if at > told_at + _GRACE_S]
    assert not late
    assert set(statuses) == {200}
    refusing.refusal = None
    _send_until(site, told_at + 3.5)
    if not content_length:
        assert refusing.arrived_at[-1] > told_at + 2.5


def test_call_is_refused_at_once_if_all_replicas_name_a_delay(start_site):
    """Guards against calls that wait, or return too soon to be served."""
    site = start_site(size=2)
    for replica in site.replicas:
        replica.refusal = _REFUSAL % (4.0, 0)
    for _ in range(2):
        site.entries[0].prompt("stream", "base", "own")
    arrivals = len(site.arrivals)
    status, headers, _ = site.entries[0].call(b"/stream/")
    assert status == 503
    assert 3.0 < float(headers[b"retry-after"]) <= 4.0
    assert len(site.arrivals) == arrivals


def test_caller_may_return_before_the_delay_of_one_replica_ends(start_site):
    """The delay of a replica is for this entry's calls to itself."""
    site = start_site(size=2)
    site.replicas[0].refusal = _REFUSAL % (30.0, 0)
    site.replicas[1].refusal = _REFUSAL % (0.0, 0)
    for _ in range(2):
        status, headers, _ = site.entries[0].call(b"/stream/")
    assert status == 503
    assert float(headers[b"retry-after"]) < 1.0


def test_absurd_delay_is_bounded(start_site):
    site = start_site(size=1)
    site.replicas[0].refusal = _REFUSAL % (1e9, 0)
    site.entries[0].prompt("stream", "base", "own")
    status, headers, _ = site.entries[0].call(b"/stream/")
    assert status == 503
    assert float(headers[b"retry-after"]) <= 300.0
