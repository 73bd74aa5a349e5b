"""Tests of calls that fail at one replica and get no answer from another."""

import gevent
import pytest

from papayalink.roles.gateway import call_ending
from papayalink.state import traffic
from papayalink.transport import upstream_channels
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route(
        "safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=4.0, max_attempts=3
    ),
    stubs.make_route(
        "resumed",
        traffic.RepeatPolicy.RESUMABLE,
        stream=True,
        timeout_s=4.0,
        max_attempts=3,
    ),
)
_LONG = b"x" * 1024 * 1024
_LONG_ERROR = (
    b"HTTP/1.1 500 No\r\n%sContent-Length: %d\r\n\r\n"
    % (stubs.STAMP, len(_LONG))
    + _LONG
)
_PROMPT = (b"Papayalink-Model: m", b"Papayalink-Token-Usage: 100,10")
# Service of each route, and the headers of its calls.
_CALLS = {b"/safe/": ("desk", ()), b"/resumed/": ("models", _PROMPT)}


@pytest.fixture
def call():
    """Function that calls upstreams which answer with these in turn."""
    gateways = []

    def make(path, *answers):
        service, headers = _CALLS[path]
        script = list(answers)
        upstreams = [
            stubs.Upstream(f"{service}{index}")
            for index in range(len(answers))
        ]
        for upstream in upstreams:
            # Whichever is called takes the next one.
            upstream.script = script
        gateway = stubs.Gateway(upstreams, _ROUTES)
        gateways.append(gateway)
        status, received, body = gateway.call(path, headers)
        arrivals = sum(len(each.received) for each in upstreams)
        return status, received, body, arrivals

    yield make
    for gateway in gateways:
        gateway.stop()


# Guards against a 502 or a 504 in place of the answer of the one replica that
# has answered.
@pytest.mark.parametrize("path", [b"/safe/", b"/resumed/"])
@pytest.mark.parametrize(
    "further",
    [
        [],
        [["reset"]],
        [["close"]],
        [[stubs.BUSY]],
        [[stubs.BUSY], [stubs.BUSY]],
        [["reset"], [stubs.BUSY]],
        [[stubs.OK.replace(stubs.STAMP, b"")]],
        [[6.0]],
    ],
    ids=[
        "no other",
        "reset",
        "closed",
        "refused",
        "refused twice",
        "reset and refused",
        "no stamp",
        "silent",
    ],
)
def test_failure_is_passed_on_without_a_later_answer(call, path, further):
    status, headers, body, arrivals = call(path, [stubs.ERROR], *further)
    assert (status, body) == (500, b"bad")
    assert headers[b"papayalink-server-stamp"] == b"s"
    assert arrivals == 1 + len(further)


# Guards against failures of replicas that fill the memory while other replicas
# are tried.
def test_long_failure_is_not_kept(call):
    status, headers, body, _ = call(b"/safe/", [_LONG_ERROR], ["reset"])
    assert (status, body) == (502, b"")
    assert b"papayalink-server-stamp" not in headers


# Guards against a failure that takes the place of a later answer.
def test_later_answer_replaces_the_failure(call):
    status, _, body, _ = call(b"/safe/", [stubs.ERROR], [stubs.OK])
    assert (status, body) == (200, b"ok")


# Guards against a call that a replica has run and that counts as not run.
def test_refusal_behind_a_failure_is_not_passed_on(call):
    status, headers, _, _ = call(b"/safe/", [stubs.ERROR], [stubs.BUSY])
    assert status == 500
    assert b"papayalink-not-executed" not in headers


_KEPT = b"y" * call_ending.MAX_KEPT_BODY_BYTES
_KEPT_ERROR = (
    b"HTTP/1.1 500 No\r\n%sContent-Length: %d\r\n\r\n"
    % (stubs.STAMP, len(_KEPT))
    + _KEPT
)
_CALLS_AT_ONCE = 12


class _Failing(stubs.Upstream):
    """Fails each call that comes to it first, and is silent to the others.

    Attributes:
        failed: ids of calls that have failed, which all upstreams share.
        error: answer to a call that fails.
    """

    failed: set
    error = _KEPT_ERROR

    def next_steps(self, request):
        _, _, rest = request.partition(b"Papayalink-Request-Id: ")
        call_id, _, _ = rest.partition(b"\r\n")
        if call_id in self.failed:
            return [1]
        self.failed.add(call_id)
        return [self.error]


@pytest.fixture
def failing():
    """A gateway before replicas that fail each call once."""
    upstreams = [_Failing(f"desk{index}") for index in range(2)]
    failed = set()
    for upstream in upstreams:
        upstream.failed = failed
    gateway = stubs.Gateway(upstreams, _ROUTES)
    yield gateway
    gateway.stop()


def _call_all(gateway):
    """Returns: the answers, and the bytes held beside those at the start."""
    held = gateway.channels.held
    before = held.taken_bytes
    calls = [
        gevent.spawn(
            gateway.call, b"/safe/", [b"Papayalink-Request-Id: c%d" % number]
        )
        for number in range(_CALLS_AT_ONCE)
    ]
    most_bytes = 0
    while not all(call.ready() for call in calls):
        most_bytes = max(most_bytes, held.taken_bytes - before)
        gevent.sleep(0.005)
    assert held.taken_bytes == before
    return [call.get() for call in calls], most_bytes


# Guards against failures of many calls that fill the memory beside answers.
def test_kept_failures_count_as_held(failing):
    answers, most_bytes = _call_all(failing)
    kept = [body for status, _, body in answers if status == 500]
    assert kept == [_KEPT] * _CALLS_AT_ONCE
    assert most_bytes >= len(kept) * len(_KEPT)


# Guards against a small failure that is dropped beside them.
@pytest.mark.parametrize(
    ("error", "status"),
    [(_KEPT_ERROR, 504), (stubs.ERROR, 500)],
    ids=["large", "small"],
)
def test_failures_without_room(failing, monkeypatch, error, status):
    monkeypatch.setattr(_Failing, "error", error)
    held = failing.channels.held
    assert held.take(upstream_channels.MAX_HELD_BYTES, 0)
    answers, _ = _call_all(failing)
    assert {each for each, _, _ in answers} == {status}
