"""Tests of answers that a replica sends once more, beside a later call."""

import gevent
import pytest

from papayalink.state import traffic
from papayalink.transport import upstream_channels
from tests.roles.gateway import stubs

_ROUTES = (stubs.make_route("once", traffic.RepeatPolicy.ONCE),)


@pytest.fixture
def start():
    started = []

    def make(*upstreams):
        started.append(stubs.Gateway(upstreams, _ROUTES))
        return started[-1]

    yield make
    for gateway in started:
        gateway.stop()


@pytest.fixture
def checks(monkeypatch):
    """Addresses to which gateways have connected for a check only."""
    made = []
    probe = upstream_channels.Channels.probe

    def note(channels, address):
        made.append(address)
        probe(channels, address)

    monkeypatch.setattr(upstream_channels.Channels, "probe", note)
    return made


_OTHER = stubs.OK.replace(
    stubs.STAMP, stubs.STAMP + b"Papayalink-Request-Id: other\r\n"
).replace(b"ok", b"no")
_OWN = stubs.OK.replace(
    stubs.STAMP, stubs.STAMP + b"Papayalink-Request-Id: c1\r\n"
)


@pytest.mark.parametrize(
    ("steps", "status"),
    [
        # The call's own answer may still come until its deadline.
        ([_OTHER], 504),
        ([_OTHER, "close"], 502),
        ([_OTHER, "reset"], 502),
        ([_OTHER[:-1], "close"], 502),
        ([_OTHER] * 3 + [_OWN], 502),
        ([_OTHER, _OWN], 200),
        ([_OTHER + _OWN], 200),
        ([_OTHER, _OTHER, 0.1, _OWN], 200),
    ],
    ids=[
        "other",
        "other-closed",
        "other-reset",
        "other-truncated",
        "many-others",
        "own-follows",
        "own-at-once",
        "own-after-two",
    ],
)
def test_late_copy_of_another_answer_is_not_relayed(start, steps, status):
    """Guards against an answer that reaches the caller of another call.

    An upstream may send an answer a second time, once the connection is in
    use for the next call. That call's own answer follows.
    """
    gateway = start(stubs.Upstream("desk1", steps), stubs.Upstream("desk2"))
    for upstream in gateway.upstreams:
        upstream.script = [steps]
    answer = gateway.call(b"/once/")
    assert answer[0] == status
    assert sum(len(each.received) for each in gateway.upstreams) == 1
    assert answer[2] == (b"ok" if status == 200 else b"")


def _with_id(answer, call_id):
    return answer.replace(
        b"Content-Length",
        b"Papayalink-Request-Id: %s\r\nContent-Length" % call_id,
        1,
    )


_MISDIRECTED = b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    "copy",
    [
        _with_id(stubs.BUSY, b"c1"),
        stubs.BUSY,
        _with_id(_MISDIRECTED, b"c1"),
        _MISDIRECTED,
    ],
    ids=["busy", "busy-without-id", "misdirected", "misdirected-without-id"],
)
@pytest.mark.parametrize(
    ("answered", "wait_s"),
    # The last wait is longer than a replica may be silent without a check.
    [(True, 0.05), (False, 0.05), (True, 0.9)],
)
def test_second_copy_of_a_refusal_is_not_taken_for_the_next_call(
    start, checks, copy, answered, wait_s
):
    """Guards against "not run" for calls that a replica runs.

    A faulty replica writes an earlier refusal once more, on a connection that
    carries the next call by then.
    """
    replica = stubs.Upstream("desk1", [_with_id(stubs.OK, b"c1")])
    own = _with_id(stubs.OK, b"c2")
    replica.script.append([copy, wait_s, *([own] if answered else ["close"])])
    gateway = start(replica)
    assert gateway.call(b"/once/", [b"Papayalink-Request-Id: c1"])[0] == 200
    connections = replica.connections
    answer = gateway.call(b"/once/", [b"Papayalink-Request-Id: c2"])
    assert answer[0] == (200 if answered else 502)
    assert replica.carriers == [1, 1]
    if answered:
        # A replica that has been silent is checked by a connection, which its
        # server takes a moment later.
        gevent.sleep(0.05)
        own_checks = checks.count(replica.address)
        assert replica.connections == connections + own_checks
