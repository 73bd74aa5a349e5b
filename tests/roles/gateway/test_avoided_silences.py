"""Tests of calls for which some replicas, or all, read nothing for a while."""

import time

import gevent
import pytest

from papayalink.coordination import run_times
from papayalink.state import traffic
from tests.roles.gateway import stubs

_TIME_S = 6.0
_OBJECTIVE_S = 0.4
_ROUTES = (
    stubs.make_route(
        "safe",
        traffic.RepeatPolicy.IDEMPOTENT,
        timeout_s=_TIME_S,
        max_attempts=2,
    ),
    stubs.make_route(
        "single",
        traffic.RepeatPolicy.IDEMPOTENT,
        timeout_s=_TIME_S,
        max_attempts=1,
    ),
    stubs.make_route(
        "short",
        traffic.RepeatPolicy.IDEMPOTENT,
        timeout_s=0.8,
        max_attempts=1,
    ),
)
# Any step that waits stands for a process that reads later: the kernel takes
# connections meanwhile.
_PAUSE_S = 2.0
_PAUSED = [_PAUSE_S, stubs.OK]
# Silence after which a replica is avoided, and some time more.
_SILENT_S = 0.3


def _given_s(request):
    _, _, rest = request.lower().partition(b"papayalink-deadline-ms: ")
    return int(rest.split(b"\r\n")[0]) / 1000


@pytest.fixture
def start():
    """Function that starts a gateway, which has seen runs of each route.

    Args of that: runs: how many of each.
    """
    started = []

    def make(count, runs=1):
        upstreams = [stubs.Upstream(f"desk{each}") for each in range(count)]
        gateway = stubs.Gateway(upstreams, _ROUTES)
        started.append(gateway)
        for path in [f"/{each.name}/".encode() for each in _ROUTES] * runs:
            assert gateway.call(path)[0] == 200
        for upstream in upstreams:
            upstream.received.clear()
        return gateway

    yield make
    for gateway in started:
        gateway.stop()


def _pause(gateway, upstream, path=b"/safe/"):
    """Returns: a call that waits for an upstream, which reads it later."""
    (member,) = [
        each
        for each in gateway.fleet.members("desk")
        if each.replica.replica_id == upstream.name
    ]
    others = [each for each in gateway.fleet.members("desk") if each != member]
    upstream.script = [_PAUSED]
    for other in others:
        other.note_full(time.monotonic(), 0.1)
    waiting = gevent.spawn(gateway.call, path, timeout_s=10)
    with gevent.Timeout(5):
        while not upstream.received:
            gevent.sleep(0.01)
    gevent.sleep(0.1)
    return waiting


# Guards against calls that leave a silent replica for another one that reads
# as late, and are then read by both.
def test_calls_stay_while_all_replicas_are_silent(start):
    gateway = start(2)
    waiting = [_pause(gateway, each) for each in gateway.upstreams]
    assert [each.get(timeout=10)[0] for each in waiting] == [200, 200]
    assert [len(each.received) for each in gateway.upstreams] == [1, 1]


# Guards against the same where the other one speaks.
def test_call_leaves_for_a_replica_that_speaks(start):
    gateway = start(2)
    paused, other = gateway.upstreams
    waiting = _pause(gateway, paused)
    began_at = time.monotonic()
    assert waiting.get(timeout=10)[0] == 200
    assert time.monotonic() - began_at < _PAUSE_S - 0.2
    assert len(other.received) == 1


# Guards against calls that go to a silent replica since the other one has
# failed a call, and against losing those that would wait for it where that one
# fails nearly all.
@pytest.mark.parametrize(("failures", "received"), [(1, 1), (20, 2)])
def test_new_calls_avoid_a_silent_replica(start, failures, received):
    gateway = start(2)
    paused, other = gateway.upstreams
    waiting = _pause(gateway, paused)
    gevent.sleep(_SILENT_S)
    for member in gateway.fleet.members("desk"):
        if member.replica.replica_id == other.name:
            for _ in range(failures):
                member.note_result(True)
    assert gateway.call(b"/safe/")[0] == 200
    assert len(paused.received) == received
    assert waiting.get(timeout=10)[0] == 200


# Guards against a replica that goes on and gets no calls any more, since
# nothing is sent that would show it.
def test_silent_replica_gets_calls_once_it_goes_on(start):
    gateway = start(2)
    paused, other = gateway.upstreams
    waiting = _pause(gateway, paused)
    assert waiting.get(timeout=10)[0] == 200
    assert len(paused.received) == 1
    with gevent.Timeout(10):
        while len(paused.received) < 3:
            calling = [gevent.spawn(gateway.call, b"/safe/") for _ in range(4)]
            assert [each.get()[0] for each in calling] == [200] * 4


# Guards against a last attempt that is read late with all the time: whatever
# made one replica silent may have done so to others. Against a long call that
# loses its answer as well, where it isn't known yet that there are such.
@pytest.mark.parametrize(
    ("runs", "first_given_s"),
    [(run_times.MAX_RUNS, _OBJECTIVE_S), (1, _TIME_S)],
)
def test_attempt_is_limited_where_nothing_came_since_another_fell_silent(
    start, runs, first_given_s
):
    gateway = start(2, runs)
    paused, other = gateway.upstreams
    waiting = _pause(gateway, paused)
    gevent.sleep(_SILENT_S)
    for _ in range(2):
        assert gateway.call(b"/single/")[0] == 200
    # The first answer has shown that the other one goes on.
    assert [_given_s(each) for each in other.received] == [
        pytest.approx(given_s, abs=0.3) for given_s in (first_given_s, _TIME_S)
    ]
    assert waiting.get(timeout=10)[0] == 200


# Guards against a pause that is taken for the time that runs take.
def test_time_at_a_silent_replica_is_no_run(start):
    gateway = start(1)
    (upstream,) = gateway.upstreams
    before = gateway.shared.run_times.slowest("short")
    upstream.script = [_PAUSED]
    assert gateway.call(b"/short/")[0] == 504
    assert gateway.shared.run_times.slowest("short") == before


# Guards against calls that go on without an answer where runs have become
# slower than the time that attempts are given.
def test_run_that_used_up_its_time_counts_as_slow(start):
    gateway = start(2)
    too_late = stubs.ERROR.replace(b"500 No", b"504 Too late")
    for upstream in gateway.upstreams:
        upstream.script = [[_OBJECTIVE_S + 0.1, too_late]]
    assert gateway.call(b"/safe/")[0] == 504
    slowest = gateway.shared.run_times.slowest("safe")
    assert slowest.first_s > _OBJECTIVE_S
