"""Tests of the time that replicas are given for attempts."""

import time

import gevent
import pytest

from papayalink.coordination import retry
from papayalink.coordination import run_times
from papayalink.state import traffic
from tests.roles.gateway import stubs

_TIME_S = 6.0
# The latency objective; runs of the stubs are much shorter.
_LIMIT_S = 0.4
_ROUTES = (
    stubs.make_route(
        "once", traffic.RepeatPolicy.ONCE, timeout_s=_TIME_S, max_attempts=3
    ),
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
        timeout_s=1.0,
        max_attempts=1,
    ),
    stubs.make_route(
        "resumed",
        traffic.RepeatPolicy.RESUMABLE,
        timeout_s=_TIME_S,
        max_attempts=2,
        stream=True,
    ),
)
_STREAM = [stubs.STREAM, stubs.event(1), stubs.END]
_STOPPED = stubs.ERROR.replace(b"500 No", b"504 Too late")


class _Upstream(stubs.Upstream):
    """Streams models' calls, and stops a run at the time that it is given."""

    run_s = 0.0

    def next_steps(self, request):
        if self.script:
            return self.script.pop(0)
        given_s = _given_s(request)
        if self.run_s > given_s:
            return [given_s, _STOPPED]
        return _STREAM if self.name.startswith("models") else [stubs.OK]


def _given_s(request):
    _, _, rest = request.lower().partition(b"papayalink-deadline-ms: ")
    return int(rest.split(b"\r\n")[0]) / 1000


@pytest.fixture
def start():
    """Function that starts a gateway, which has seen runs of each route.

    Args of that: runs: how many of each.
    """
    started = []

    def make(count, kind="desk", runs=1):
        upstreams = [_Upstream(f"{kind}{each}") for each in range(count)]
        gateway = stubs.Gateway(upstreams, _ROUTES)
        started.append(gateway)
        for route in _ROUTES * runs:
            if route.targets[0].service == kind:
                assert gateway.call(f"/{route.name}/".encode())[0] == 200
        for upstream in upstreams:
            upstream.received.clear()
        return gateway

    yield make
    for gateway in started:
        gateway.stop()


def _given(gateway):
    """Returns: the time that each attempt was given, in their order."""
    return [
        _given_s(request)
        for upstream in gateway.upstreams
        for request in upstream.received
    ]


# Guards against replicas that read a call after a pause and have the whole
# time of its caller once more.
@pytest.mark.parametrize(
    ("path", "kind"), [(b"/safe/", "desk"), (b"/resumed/", "models")]
)
def test_attempt_that_may_be_followed_is_limited(start, path, kind):
    gateway = start(3, kind)
    assert gateway.call(path)[0] == 200
    assert _given(gateway) == [pytest.approx(_LIMIT_S, abs=0.3)]


# Guards against calls that end early although nothing could follow.
@pytest.mark.parametrize(
    ("path", "replicas", "runs"),
    [
        (b"/once/", 3, 1),
        (b"/single/", 3, 1),
        # No other replica.
        (b"/safe/", 1, 1),
        # Nothing is known of how long runs take.
        (b"/safe/", 3, 0),
    ],
)
def test_last_attempt_has_all_the_time(start, path, replicas, runs):
    gateway = start(replicas, runs=runs)
    assert gateway.call(path)[0] == 200
    assert _given(gateway) == [pytest.approx(_TIME_S, abs=0.3)]


class _NoRepeats:
    """Retry budgets without room."""

    def for_service(self, service, now):
        return retry.Budget(ratio=0.0, constant=0)


# Guards against the same while the retry budget is used up.
def test_attempt_has_all_the_time_without_room_for_a_repeat(start):
    gateway = start(3)
    gateway.shared.budgets = _NoRepeats()
    assert gateway.call(b"/safe/")[0] == 200
    assert _given(gateway) == [pytest.approx(_TIME_S, abs=0.3)]


# Guards against callers that lose an answer by the limit: a replica that stops
# the run then is followed by one that has all the rest.
def test_call_goes_on_elsewhere_behind_a_limited_attempt(start):
    gateway = start(2)
    for upstream in gateway.upstreams:
        upstream.run_s = 1.5
    assert gateway.call(b"/safe/", timeout_s=10)[0] == 200
    first, second = sorted(_given(gateway))
    assert first == pytest.approx(_LIMIT_S, abs=0.3)
    assert second == pytest.approx(_TIME_S - first, abs=0.5)


class _Budgets:
    """Retry budgets that can be used up."""

    def __init__(self):
        self.constant = 1

    def for_service(self, service, now):
        return retry.Budget(ratio=0.0, constant=self.constant)


class _LongStream(_Upstream):
    """Streams two events in a second, if it is given as much."""

    def next_steps(self, request):
        if self.script:
            return self.script.pop(0)
        if b"last-event-id: 1" in request.lower():
            return [stubs.STREAM, stubs.event(2), stubs.END]
        begin = [stubs.STREAM, 0.2, stubs.event(1)]
        if _given_s(request) < 1.0:
            return [*begin, 0.2, "close"]
        return [*begin, 0.8, stubs.event(2), stubs.END]


# Guards against a stream that is cut by its limit: its sound replica stops it
# then, and other calls have used up the retry budget meanwhile.
def test_stream_beyond_its_limit_is_whole_without_room_for_a_repeat():
    upstreams = [_LongStream(f"models{each}") for each in range(2)]
    for upstream in upstreams:
        upstream.script = [[stubs.STREAM, stubs.END]]
    gateway = stubs.Gateway(upstreams, _ROUTES)
    budgets = gateway.shared.budgets = _Budgets()
    try:
        assert gateway.call(b"/resumed/")[0] == 200
        for upstream in upstreams:
            upstream.script.clear()
            upstream.received.clear()
        calling = gevent.spawn(gateway.call, b"/resumed/", timeout_s=10)
        with gevent.Timeout(10):
            while not _given(gateway):
                gevent.sleep(0.01)
        budgets.constant = 0
        status, _, body = calling.get(timeout=10)
    finally:
        gateway.stop()
    assert status == 200
    assert body == b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"


# Guards against a deadline that ends later than the caller's because it was
# read late: what the replica reads after its pause ends before.
def test_late_reading_keeps_to_the_deadline_of_the_caller(start):
    gateway = start(2)
    pause_s = 3.0
    paused = gateway.upstreams[0]
    calling = []
    while not paused.received:
        # Any step that waits stands for a process that reads later.
        paused.script = [[pause_s, stubs.OK]]
        calling.append(gevent.spawn(gateway.call, b"/safe/", timeout_s=10))
        gevent.sleep(0.05)
    assert all(each.get(timeout=10)[0] == 200 for each in calling)
    late_s = _given_s(paused.received[0])
    assert pause_s + late_s < _TIME_S


# Guards against a last attempt that is read late with all the time, where no
# other replica can take the call. Against a long call that loses its answer as
# well, where it isn't known yet that there are such.
@pytest.mark.parametrize(
    ("runs", "limit_s"), [(run_times.MAX_RUNS, _LIMIT_S), (1, _TIME_S)]
)
def test_attempt_at_a_replica_with_an_overdue_call_is_limited(
    start, runs, limit_s
):
    gateway = start(1, runs=runs)
    (upstream,) = gateway.upstreams
    (member,) = gateway.fleet.members("desk")
    upstream.script = [[1.2, stubs.OK]]
    waiting = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    with gevent.Timeout(10):
        while not member.overdue:
            gevent.sleep(0.01)
    assert gateway.call(b"/safe/")[0] == 200
    # The answer has shown that the replica goes on.
    assert not member.overdue
    assert gateway.call(b"/safe/")[0] == 200
    assert waiting.get(timeout=10)[0] == 200
    assert _given(gateway) == [
        pytest.approx(given_s, abs=0.3)
        for given_s in (_TIME_S, limit_s, _TIME_S)
    ]


# A call that may run once is sent to one replica only.
def test_call_that_may_run_once_has_all_the_time_there(start):
    gateway = start(1)
    (member,) = gateway.fleet.members("desk")
    member.note_overdue(time.monotonic(), -1.0)
    assert member.overdue
    assert gateway.call(b"/once/")[0] == 200
    assert _given(gateway) == [pytest.approx(_TIME_S, abs=0.3)]


# Guards against sound calls that end early on a route where most are short:
# its longest run counts, at a replica that answered others meanwhile.
@pytest.mark.parametrize("path", [b"/safe/", b"/resumed/"])
def test_long_calls_have_all_the_time_once_one_has_run(start, path):
    gateway = start(2, "models" if path == b"/resumed/" else "desk")
    route = path.strip(b"/").decode()
    gateway.shared.run_times.note_at_work(route, 0.1, 2.1, time.monotonic())
    assert gateway.call(path)[0] == 200
    assert _given(gateway) == [pytest.approx(_TIME_S, abs=0.3)]


# Guards against a long run that isn't known by its length, and a pause that
# is: a replica that answers others meanwhile works.
@pytest.mark.parametrize("answers_others", [True, False])
def test_run_beside_answers_to_others_is_known_by_its_length(
    start, answers_others
):
    gateway = start(1)
    (upstream,) = gateway.upstreams
    upstream.script = [[1.0, stubs.OK]]
    waiting = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    with gevent.Timeout(10):
        while not upstream.received:
            gevent.sleep(0.01)
    while answers_others and not waiting.ready():
        assert gateway.call(b"/single/")[0] == 200
        gevent.sleep(0.1)
    waiting.get(timeout=10)
    longest_s = gateway.shared.run_times.longest_s("safe", time.monotonic())
    assert (longest_s > 0.8) is answers_others


# Guards against calls that are stopped again and again: a replica that stops a
# run at the time that it was given has read it at once.
def test_time_grows_with_each_run_that_is_stopped(start):
    gateway = start(2, runs=8)
    for upstream in gateway.upstreams:
        upstream.run_s = 1.5
    firsts = []
    for _ in range(3):
        for upstream in gateway.upstreams:
            upstream.received.clear()
        assert gateway.call(b"/safe/", timeout_s=10)[0] == 200
        firsts.append(min(_given(gateway)))
    assert firsts == [
        pytest.approx(_LIMIT_S, abs=0.1),
        pytest.approx(2 * _LIMIT_S, abs=0.2),
        pytest.approx(4 * _LIMIT_S, abs=0.4),
    ]


# Guards against a call that is stopped for another attempt and refused then,
# since no other replica is left: the one that stopped it is sound.
def test_stopped_call_goes_back_if_no_other_replica_is_left(start):
    gateway = start(2)
    for upstream in gateway.upstreams:
        upstream.run_s = 1.5
    calling = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    with gevent.Timeout(10):
        while not _given(gateway):
            gevent.sleep(0.01)
    for upstream in gateway.upstreams:
        if not upstream.received:
            member = gateway.fleet.find(upstream.name)
            member.note_full(time.monotonic(), 10.0)
    assert calling.get(timeout=10)[0] == 200
    assert _given(gateway) == [
        pytest.approx(_LIMIT_S, abs=0.3),
        pytest.approx(_TIME_S - _LIMIT_S, abs=0.5),
    ]


# Guards against a long call that leaves a replica which works on it: what it
# answers to others shows that it reads.
@pytest.mark.parametrize(("speaks", "left"), [(True, False), (False, True)])
def test_long_call_stays_at_a_replica_that_answers_others(start, speaks, left):
    gateway = start(2)
    gateway.shared.run_times.note_at_work("safe", 2.1, 2.1, time.monotonic())
    calling = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    for upstream in gateway.upstreams:
        upstream.script = [[2.0, stubs.OK]]
    with gevent.Timeout(10):
        while not _given(gateway):
            gevent.sleep(0.01)
    working, other = sorted(
        gateway.upstreams, key=lambda each: len(each.received), reverse=True
    )
    other.script.clear()
    member = gateway.fleet.find(working.name)
    while speaks and not calling.ready():
        member.note_spoke(time.monotonic())
        gevent.sleep(0.1)
    assert calling.get(timeout=10)[0] == 200
    assert bool(other.received) is left


# Guards against a long call that leaves a replica in its pause with too little
# time left for another run, although that had worked on it before.
@pytest.mark.parametrize(("longest_s", "left"), [(5.0, False), (0.3, True)])
def test_call_waits_for_a_pause_where_another_run_has_no_time(
    start, longest_s, left, monkeypatch
):
    gateway = start(2)
    gateway.shared.run_times.note_at_work(
        "safe", longest_s, longest_s, time.monotonic()
    )
    calling = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    for upstream in gateway.upstreams:
        upstream.script = [[2.5, stubs.OK]]
    with gevent.Timeout(10):
        while not _given(gateway):
            gevent.sleep(0.01)
    working, other = sorted(
        gateway.upstreams, key=lambda each: len(each.received), reverse=True
    )
    other.script.clear()
    member = gateway.fleet.find(working.name)
    for _ in range(15):
        member.note_spoke(time.monotonic())
        gevent.sleep(0.1)
    # From here on it says nothing and takes no connections.
    monkeypatch.setattr(
        type(gateway.liveness),
        "is_reachable",
        lambda _, other: other is not member,
    )
    assert calling.get(timeout=10)[0] == 200
    assert bool(other.received) is left


# Guards against a call that a replica reads late with all the time, on a route
# where a long run is known: nothing has come for longer than runs usually
# take, or since another replica fell quiet. Against long calls that are
# stopped there with too little time for another run as well.
@pytest.mark.parametrize(
    ("longest_s", "quiet", "speaks", "given_s"),
    [
        (2.6, "itself", False, _LIMIT_S),
        (2.6, "itself", True, _TIME_S),
        (2.6, "other", False, _LIMIT_S),
        (2.6, "other", True, _TIME_S),
        (2.6, "", False, _TIME_S),
        (5.8, "itself", False, _TIME_S),
    ],
)
def test_attempt_at_a_quiet_replica_is_limited_beside_long_runs(
    start, longest_s, quiet, speaks, given_s
):
    gateway = start(2, runs=run_times.MAX_RUNS // 4)
    first, other = gateway.fleet.members("desk")
    now = time.monotonic()
    gateway.shared.run_times.note_at_work("safe", longest_s, longest_s, now)
    waiting = []
    for upstream in gateway.upstreams:
        # The other one can be used by a repeat, and isn't chosen at first.
        upstream.script = [[1.0, stubs.OK]]
    if quiet:
        member = first if quiet == "itself" else other
        last = other if quiet == "itself" else first
        last.note_full(now, 0.2)
        waiting.append(gevent.spawn(gateway.call, b"/safe/", timeout_s=10))
        gevent.sleep(0.5)
        assert member.in_flight == 1
    for upstream in gateway.upstreams:
        upstream.script = [[0.05, stubs.OK]]
        upstream.received.clear()
    if speaks:
        first.note_spoke(time.monotonic())
    # The other one is loaded, and is there for a repeat.
    for _ in range(20):
        other.begin_call(0)
    assert gateway.call(b"/safe/", timeout_s=10)[0] == 200
    (upstream,) = [
        each
        for each in gateway.upstreams
        if each.name == first.replica.replica_id
    ]
    assert [_given_s(each) for each in upstream.received] == [
        pytest.approx(given_s, abs=0.3)
    ]
    for each in waiting:
        assert each.get(timeout=10)[0] == 200
