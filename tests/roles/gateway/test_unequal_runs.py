"""Tests of calls whose length differs from that of others of their route."""

import time

import gevent
import pytest

from papayalink.coordination import attempt_limits
from papayalink.coordination import attempts
from papayalink.coordination import awaited
from papayalink.coordination import fleet_member
from papayalink.coordination import retry
from papayalink.coordination import run_times
from papayalink.roles.gateway import attempt
from papayalink.roles.gateway import run_notes
from papayalink.roles.gateway import stopping
from papayalink.state import replicas
from papayalink.state import traffic
from tests.roles.gateway import stubs

_TIME_S = 6.0
_SAFE = stubs.make_route(
    "safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=_TIME_S, max_attempts=2
)
# Half of its time is less than any limit, so that it has none.
_SHORT = stubs.make_route(
    "short", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=0.7, max_attempts=2
)
_SINGLE = stubs.make_route(
    "single",
    traffic.RepeatPolicy.IDEMPOTENT,
    timeout_s=_TIME_S,
    max_attempts=1,
)
_ROUTES = (_SAFE, _SHORT, _SINGLE)
_STREAM = stubs.make_route(
    "resumed", traffic.RepeatPolicy.RESUMABLE, timeout_s=_TIME_S, stream=True
)
_STOPPED = stubs.ERROR.replace(b"500 No", b"504 Too late")
_MEMBER = fleet_member.make_member(
    replicas.Replica(
        replica_id="r",
        service="desk",
        address="10.0.0.1:80",
        zone="z",
        slots=1,
        condition=replicas.Condition.READY,
    )
)


class _Call:
    last_event_id = ""
    output_tokens = 0


class _Upstream(stubs.Upstream):
    """Stops a run at the time that it is given, or a little later."""

    run_s = 0.0
    late_s = 0.0

    def next_steps(self, request):
        if self.script:
            return self.script.pop(0)
        given_s = _given_s(request)
        if self.run_s > given_s:
            return [given_s + self.late_s, _STOPPED]
        return [self.run_s, stubs.OK] if self.run_s else [stubs.OK]


def _given_s(request):
    _, _, rest = request.lower().partition(b"papayalink-deadline-ms: ")
    return int(rest.split(b"\r\n")[0]) / 1000


@pytest.fixture
def start():
    """Function that starts a gateway, which knows enough runs of each route.

    Args of that:
        run_s: how long each took.
        speaks: whether each replica has answered a call.
    """
    started = []

    def make(run_s=0.02, speaks=True):
        upstreams = [_Upstream(f"desk{each}") for each in range(2)]
        gateway = stubs.Gateway(upstreams, _ROUTES)
        started.append(gateway)
        for route in _ROUTES:
            for _ in range(run_times.MAX_RUNS):
                run = run_times.Run(run_s)
                gateway.shared.run_times.note(route.name, run)
        for member in gateway.fleet.members("desk") if speaks else ():
            member.note_spoke(time.monotonic())
        return gateway

    yield make
    for gateway in started:
        gateway.stop()


def _wait_for_arrival(gateway):
    """Returns: the upstream that got a call, and the other one."""
    with gevent.Timeout(10):
        while not any(each.received for each in gateway.upstreams):
            gevent.sleep(0.01)
    return sorted(
        gateway.upstreams, key=lambda each: len(each.received), reverse=True
    )


# Guards against a sound call that is stopped, or leaves a replica that answers
# others, and has too little time left then for a run of the same length.
@pytest.mark.parametrize("age_s", [None, 121.0], ids=["unknown", "forgotten"])
def test_first_long_call_is_answered_within_its_time(start, age_s):
    gateway = start(0.5)
    if age_s is not None:
        gateway.shared.run_times.note_at_work(
            "safe", 5.0, 5.0, time.monotonic() - age_s
        )
    for upstream in gateway.upstreams:
        upstream.run_s = 5.0
    calling = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    while not calling.ready():
        for member in gateway.fleet.members("desk"):
            member.note_spoke(time.monotonic())
        gevent.sleep(0.1)
    assert calling.get()[0] == 200


# Guards against a call that leaves a replica which speaks to others, so that
# it may be long, and is limited at the next one, where another one waits.
@pytest.mark.parametrize(("speaks", "given_s"), [(True, 4.8), (False, 0.4)])
def test_call_that_left_a_speaking_replica_has_all_the_time(
    start, speaks, given_s
):
    gateway = start()
    for upstream in gateway.upstreams:
        upstream.script = [[3.0, stubs.OK], [0.05, stubs.OK]]
    calling = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    left, other = _wait_for_arrival(gateway)
    member = gateway.fleet.find(left.name)
    waiting = None
    for step in range(30):
        if speaks:
            member.note_spoke(time.monotonic())
        if step == 8:
            member.note_full(time.monotonic(), 0.3)
            waiting = gevent.spawn(gateway.call, b"/single/", timeout_s=10)
        gevent.sleep(0.1)
    assert calling.get(timeout=10)[0] == 200
    assert waiting.get(timeout=10)[0] == 200
    assert [_given_s(each) for each in other.received[1:]] == [
        pytest.approx(given_s, abs=0.3)
    ]


# Guards against a long call whose only attempt is limited although no replica
# is silent: one that has not been called yet isn't.
@pytest.mark.parametrize("speaks", [True, False])
def test_replica_without_calls_is_not_taken_for_silent(start, speaks):
    gateway = start(speaks=speaks)
    for upstream in gateway.upstreams:
        upstream.run_s = 1.5
    assert gateway.call(b"/single/", timeout_s=10)[0] == 200


# Guards against short calls that stay at a replica which takes no connections
# until their time has ended, since another call of the route was long.
@pytest.mark.parametrize("longest_s", [0.3, 2.6])
def test_short_call_leaves_an_unreachable_replica(
    start, longest_s, monkeypatch
):
    gateway = start()
    gateway.shared.run_times.note_at_work(
        "safe", longest_s, longest_s, time.monotonic()
    )
    for upstream in gateway.upstreams:
        upstream.script = [[10.0, stubs.OK]]
    header = b"Papayalink-Deadline-Ms: 1900"
    calling = gevent.spawn(gateway.call, b"/safe/", [header], timeout_s=10)
    lost, other = _wait_for_arrival(gateway)
    assert _given_s(lost.received[0]) < 1.95
    other.script.clear()
    member = gateway.fleet.find(lost.name)
    monkeypatch.setattr(
        type(gateway.liveness),
        "is_reachable",
        lambda _, each: each is not member,
    )
    assert calling.get(timeout=10)[0] == 200
    assert other.received


class _Budgets:
    """One retry budget, with room for one repeat."""

    def __init__(self):
        self.budget = retry.Budget(ratio=0.0, constant=1)

    def for_service(self, service, now):
        return self.budget


# Guards against calls that can't be repeated after a fault, although no call
# has been repeated: sound calls hold the room.
@pytest.mark.parametrize("beside_sound_call", [False, True])
def test_refused_call_goes_elsewhere_beside_sound_calls(
    start, beside_sound_call
):
    gateway = start()
    gateway.shared.budgets = _Budgets()
    if beside_sound_call:
        for upstream in gateway.upstreams:
            upstream.script = [[1.0, stubs.OK]]
        sound = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
        _wait_for_arrival(gateway)
    for upstream in gateway.upstreams:
        upstream.script = []
    refused = []

    def refuse_once(request):
        refused.append(request)
        return [stubs.BUSY] if len(refused) == 1 else [stubs.OK]

    for upstream in gateway.upstreams:
        upstream.next_steps = refuse_once
    status = gateway.call(b"/short/")[0]
    if beside_sound_call:
        assert sound.get(timeout=10)[0] == 200
    assert status == 200


# Guards against a stopped call that gets no answer since the replica that has
# stopped it turns calls away for a moment.
def test_stopped_call_waits_for_the_replica_that_stopped_it(start):
    gateway = start()
    for upstream in gateway.upstreams:
        upstream.run_s = 1.5
    calling = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    stopping_one, other = _wait_for_arrival(gateway)
    now = time.monotonic()
    gateway.fleet.find(other.name).note_full(now, 10.0)
    gateway.fleet.find(stopping_one.name).note_full(now, 0.7)
    assert calling.get(timeout=10)[0] == 200


# Guards against a stop that isn't known as one: the answer comes back after a
# round trip, and a short limit is exceeded by more than a tenth.
def test_stop_is_known_behind_a_round_trip(start):
    gateway = start()
    for upstream in gateway.upstreams:
        upstream.run_s = 1.5
        upstream.late_s = 0.06
    assert gateway.call(b"/safe/", timeout_s=10)[0] == 200
    longest_s = gateway.shared.run_times.longest_s("safe", time.monotonic())
    assert longest_s > 0.35


# Guards against a call that left its replica at about the time that this was
# given, and counts as stopped by it.
def test_call_that_left_its_replica_was_not_stopped():
    times = run_times.make_run_times()
    now = time.monotonic()
    waited = awaited.make_awaited(now - 2.0, 1.0)
    waited.note_spoke(now - 0.1)
    notes = run_notes.make_run_notes(times, _Call(), _SAFE)
    lost = attempts.Lost("replica was silent for 2.0 s")
    assert not notes.note_unanswered(
        _MEMBER, attempt.Unanswered(lost), now - 2.0, 2000, waited, True
    )


# Guards against limits that vanish for a minute after a pause: a replica that
# reads a call late and fails it then hasn't worked on it.
def test_failure_behind_a_pause_is_no_stop():
    times = run_times.make_run_times()
    now = time.monotonic()
    waited = awaited.make_awaited(now - 2.0, 1.0)
    # The head of the failure.
    waited.note_spoke(now)
    notes = run_notes.make_run_notes(times, _Call(), _SAFE)
    failed = attempt.Unanswered(attempts.Failed(500))
    assert not notes.note_unanswered(
        _MEMBER, failed, now - 2.0, 2000, waited, False
    )
    assert times.longest_s("safe", now) == 0.0


# Guards against limits that vanish for a minute after a pause: the time in
# which its replica said nothing to any call isn't known to be work.
def test_pause_within_a_long_run_is_not_counted_as_work():
    times = run_times.make_run_times()
    now = time.monotonic()
    waited = awaited.make_awaited(now - 5.2, 1.0)
    for ago_s in (5.0, 4.5, 4.0, 1.5, 1.0, 0.5):
        waited.note_spoke(now - ago_s)
    notes = run_notes.make_run_notes(times, _Call(), _SAFE)
    notes.note_answered(5.2, 5.2, waited)
    assert times.longest_s("safe", now) <= 5.2 - 2.5 + 0.1


# Guards against limits that vanish for a minute after a stream of few tokens:
# an attempt gets no more than twice as long as the longest run took.
def test_limit_behind_a_stream_of_few_tokens():
    times = run_times.make_run_times()
    now = time.monotonic()
    for first_s, rest_s, tokens in [(0.1, 1.0, 100)] * 31 + [(0.1, 0.6, 2)]:
        run = run_times.Run(first_s, rest_s / tokens)
        times.note("resumed", run)
        times.note_at_work("resumed", first_s, first_s + rest_s, now)
    limit_s = attempt_limits.run_limit_s(
        times.usual("resumed"), times.longest_s("resumed", now), 0.4, 100
    )
    assert limit_s <= attempt_limits.USUAL_RUN_FACTOR * 1.1 + 0.01


# Guards against a stream that is begun in a planned stop and cut by its end,
# on a route where a few are long.
def test_stop_expects_streams_as_long_as_the_longest():
    times = run_times.make_run_times()
    now = time.monotonic()
    for rest_s in [2.5] + [0.2] * run_times.MAX_RUNS:
        run = run_times.Run(0.1, rest_s)
        times.note("resumed", run)
        times.note_at_work("resumed", 0.1, 0.1 + rest_s, now - 10.0)
    planned = stopping.make_stopping(times)
    planned.begin(time.monotonic() + 3.0)
    assert not planned.may_end(_STREAM, 0, 0.0, _TIME_S)
