"""Tests of what callers get for replicas' answers in all framings."""

from gevent import pool
import pytest

from papayalink.state import traffic
from tests import framings
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE),
    stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT),
)
# Gateways that run at a time.
_CALLS = 8
_END_NAMES = {"close": "fin", "reset": "rst"}
_OTHER = (200, b"ok")
_NEXT_ID = b"Papayalink-Request-Id: c2"


class _Replica(stubs.Upstream):
    """Answers its calls with their ids, once its script has ended."""

    def next_steps(self, request):
        if self.script:
            return self.script.pop(0)
        call_id = b"c2" if _NEXT_ID in request else b"c1"
        named = b"Papayalink-Request-Id: %s\r\n%s" % (call_id, stubs.STAMP)
        return [stubs.OK.replace(stubs.STAMP, named)]


def _call_twice(case, route, end):
    """Returns: status and body of the call, and of the next one."""
    case = framings.with_call_id(case)
    replicas = [_Replica("desk1"), _Replica("desk2")]
    # The one that is called first answers by the case.
    steps = [[case.sent] + ([] if end == "stay" else [end])]
    for replica in replicas:
        replica.script = steps
    gateway = stubs.Gateway(replicas, _ROUTES)
    path = b"/%s/" % route.encode()
    try:
        status, _, body = gateway.call(path, method=case.method.encode())
        # It may go on elsewhere if the connection has ended.
        next_status, _, next_body = gateway.call(b"/safe/", [_NEXT_ID])
    finally:
        gateway.stop()
    return (status, body), (next_status, next_body)


def _may_get(case, route, end, answer):
    """Whether callers may get an answer.

    A call that is lost runs again at the other replica if it may.
    """
    cut = len(case.sent)
    repeated = (200, b"" if case.method == "HEAD" else b"ok")
    if answer == (repeated if route == "safe" else (502, b"")):
        if case.may_read(cut, _END_NAMES[end], framings.LOST):
            return True
    status, body = answer
    return status == case.status and case.may_read(cut, _END_NAMES[end], body)


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("route", ["once", "safe"])
@pytest.mark.parametrize("kind", ["SOUND", "FAULTY"])
def test_caller_gets_the_whole_answer_or_none(kind, route, end):
    """Guards against a body that isn't the replica's, in two calls."""
    cases = getattr(framings, kind)
    results = pool.Pool(_CALLS).map(
        lambda name: _call_twice(cases[name], route, end), cases
    )
    assert {
        name: result
        for name, result in zip(cases, results)
        if not _may_get(cases[name], route, end, result[0])
        or result[1] != _OTHER
    } == {}


@pytest.mark.parametrize("route", ["once", "safe"])
def test_answer_on_a_connection_that_stays_open(route):
    """Guards against an answer that waits for its connection to end."""
    cases = {
        name: case
        for name, case in framings.SOUND.items()
        if not case.ends_with_connection
    }
    results = pool.Pool(_CALLS).map(
        lambda name: _call_twice(cases[name], route, "stay"), cases
    )
    assert dict(zip(cases, results)) == {
        name: ((case.status, case.results[0]), _OTHER)
        for name, case in cases.items()
    }
