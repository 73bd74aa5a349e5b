"""Tests of calls through a gateway to upstreams that fail."""

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE),
    stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT),
    stubs.make_route(
        "single", traffic.RepeatPolicy.IDEMPOTENT, max_attempts=1, public=True
    ),
    stubs.make_route(
        "hasty", traffic.RepeatPolicy.IDEMPOTENT, objective_s=0.1
    ),
    stubs.make_route("brief", traffic.RepeatPolicy.ONCE, timeout_s=0.2),
    stubs.make_route("stream", traffic.RepeatPolicy.ONCE, stream=True),
    stubs.make_route("resumed", traffic.RepeatPolicy.RESUMABLE, stream=True),
)
_SLOW = stubs.make_route(
    "slow", traffic.RepeatPolicy.RESUMABLE, stream=True, timeout_s=12.0
)
_PROMPT = (b"Papayalink-Model: m", b"Papayalink-Token-Usage: 100,10")


@pytest.fixture
def start():
    started = []

    def make(*upstreams, routes=_ROUTES, **fields):
        started.append(stubs.Gateway(upstreams, routes, **fields))
        return started[-1]

    yield make
    for gateway in started:
        gateway.stop()


def _count_received(gateway):
    """Returns: how many calls the upstreams received."""
    return sum(len(upstream.received) for upstream in gateway.upstreams)


@pytest.mark.parametrize(
    ("path", "first", "status", "arrivals"),
    [
        (b"/once/", [stubs.OK], 200, 1),
        (b"/once/", [stubs.BUSY], 200, 2),
        (b"/once/", ["reset"], 502, 1),
        (b"/once/", ["close"], 502, 1),
        (b"/once/", [stubs.ERROR], 500, 1),
        (b"/once/", [stubs.OK[:-1], "close"], 502, 1),
        (b"/once/", [stubs.OK.replace(stubs.STAMP, b"")], 502, 1),
        (b"/once/", [b"nonsense\r\n\r\n", "close"], 502, 1),
        (b"/safe/", ["reset"], 200, 2),
        (b"/safe/", [stubs.ERROR], 200, 2),
        (b"/safe/", [stubs.OK[:-1], "close"], 200, 2),
        (b"/single/", ["reset"], 502, 1),
        (b"/single/", [stubs.BUSY], 503, 1),
        (b"/single/", [stubs.ERROR], 500, 1),
        (b"/brief/", [1.0], 504, 1),
    ],
)
def test_plain_calls(start, path, first, status, arrivals):
    """The upstream called first follows `first`, any further one answers."""
    script = [first]
    upstreams = [stubs.Upstream(f"desk{index}") for index in range(2)]
    for upstream in upstreams:
        # The upstream that is called first takes the only list of steps.
        upstream.script = script
    gateway = start(*upstreams)
    answer = gateway.call(path)
    assert answer[0] == status
    assert _count_received(gateway) == arrivals
    if status == 503:
        assert b"retry-after" in answer[1]
    if status == 500:
        assert answer[2] == b"bad"
        assert answer[1][b"papayalink-server-stamp"] == b"s"


def test_connection_whose_answers_have_no_id_is_used_once(start):
    gateway = start(stubs.Upstream("desk1"))
    for _ in range(3):
        assert gateway.call(b"/once/")[0] == 200
    assert gateway.upstreams[0].connections == 3


def test_call_without_a_replica_is_refused(start):
    status, headers, _ = start().call(b"/once/")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0


@pytest.mark.parametrize("repeat", [1, 3])
def test_unreachable_upstream_is_skipped(start, repeat):
    # Nothing is sent on a refused connection, so the call may be retried.
    gone = stubs.Upstream("desk1")
    gateway = start(gone, stubs.Upstream("desk2"))
    gone.server.stop()
    for _ in range(repeat):
        assert gateway.call(b"/once/")[0] == 200


_KEYS = (traffic.Workspace(name="w1", keys=("k1",)),)


@pytest.mark.parametrize(
    ("headers", "path", "status"),
    [
        ([b"Authorization: Bearer k1"], b"/once/x", 200),
        ([b"Authorization: Bearer k2"], b"/once/x", 401),
        ([b"Authorization: Basic k1"], b"/once/x", 401),
        ([], b"/once/x", 401),
        ([], b"/single/x", 200),
        ([b"Authorization: Bearer k1"], b"/other/x", 404),
        ([b"Authorization: Bearer k1"], b"/once", 404),
        (
            [b"Authorization: Bearer k1", b"Papayalink-Request-Id: "],
            b"/once/x",
            400,
        ),
    ],
)
def test_key_and_route_decide_who_may_call(start, headers, path, status):
    upstream = stubs.Upstream("desk1")
    gateway = start(upstream, workspaces=_KEYS)
    assert gateway.call(path, headers)[0] == status
    for received in upstream.received:
        assert b"Authorization" not in received


def test_workspace_and_time_left_reach_the_upstream(start):
    upstream = stubs.Upstream("desk1")
    gateway = start(upstream, workspaces=_KEYS)
    gateway.call(
        b"/once/a%2Fb?q=1",
        [
            b"Authorization: Bearer k1",
            b"Papayalink-Deadline-Ms: 900",
            b"Papayalink-Tenant-Id: forged",
        ],
    )
    received = upstream.received[0]
    assert received.startswith(b"POST /once/a%2Fb?q=1 HTTP/1.1\r\n")
    assert b"Papayalink-Tenant-Id: w1\r\n" in received
    assert b"forged" not in received
    left = int(received.split(b"Deadline-Ms: ")[1].split(b"\r\n")[0])
    assert 0 < left <= 900


def test_stream_is_relayed(start):
    steps = [stubs.STREAM, stubs.event(1), stubs.event(2), stubs.END]
    gateway = start(stubs.Upstream("models1", steps))
    status, headers, body = gateway.call(b"/stream/", _PROMPT)
    assert status == 200
    assert headers[b"papayalink-server-stamp"] == b"s"
    assert body == b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"


@pytest.mark.parametrize(
    "broken",
    [
        [stubs.STREAM, stubs.event(1), "reset"],
        [stubs.STREAM, stubs.event(1), b"5\r\nid: 2\r\n", "close"],
        [stubs.STREAM, stubs.event(1), b"5\r\nid: 2\r\n", stubs.END],
        [stubs.STREAM, stubs.event(1), stubs.event(1), stubs.END],
    ],
    ids=["reset", "within-event", "ends-within-event", "goes-back"],
)
def test_broken_stream_must_not_look_complete(start, broken):
    gateway = start(stubs.Upstream("models1", broken))
    status, _, body = gateway.call(b"/stream/", _PROMPT)
    assert (status, body) == (200, None)
    assert _count_received(gateway) == 1


def test_resumable_stream_continues_elsewhere_after_the_last_event(start):
    # No part of the incomplete event may reach the caller.
    broken = [stubs.STREAM, stubs.event(1), b"5\r\nid: 2\r\n", "reset"]
    rest = [stubs.STREAM, stubs.event(2), stubs.event(3), stubs.END]
    script = [broken, rest]
    upstreams = [stubs.Upstream(f"models{index}") for index in range(2)]
    for upstream in upstreams:
        upstream.script = script
    gateway = start(*upstreams)
    status, _, body = gateway.call(b"/resumed/", _PROMPT)
    assert status == 200
    assert body == b"".join(
        b"id: %d\ndata: p%d\n\n" % (number, number) for number in (1, 2, 3)
    )
    received = [request for stub in upstreams for request in stub.received]
    assert sum(b"Last-Event-Id: 1\r\n" in request for request in received) == 1


_ERROR_TEXT = b"it failed: no such thing\n\n"
_ERROR_HEAD = stubs.STAMP + b"Content-Length: %d\r\n" % len(_ERROR_TEXT)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 404 No\r\n" + _ERROR_HEAD,
        b"HTTP/1.1 500 No\r\n" + _ERROR_HEAD,
        b"HTTP/1.1 429 No\r\n"
        + _ERROR_HEAD
        + b"Papayalink-Not-Executed: 1\r\n",
        b"HTTP/1.1 503 No\r\n" + _ERROR_HEAD,
        b"HTTP/1.1 301 No\r\n" + _ERROR_HEAD,
        b"HTTP/1.1 206 Part\r\n" + _ERROR_HEAD,
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + _ERROR_HEAD,
        # An event without an id, among events with ids.
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        + _ERROR_HEAD,
    ],
    ids=["404", "500", "429", "503", "301", "206", "text", "no-id"],
)
@pytest.mark.parametrize("attempts", [2, 3])
def test_error_of_the_next_upstream_stays_out_of_a_begun_stream(
    start, answer, attempts
):
    """Guards against an error's text in the middle of a stream.

    The stream goes on at a third upstream if the route allows one, and is cut
    otherwise, so that it does not look complete.
    """
    route = stubs.make_route(
        "resumed",
        traffic.RepeatPolicy.RESUMABLE,
        stream=True,
        max_attempts=attempts,
    )
    upstreams = [stubs.Upstream(f"models{number}") for number in range(3)]
    gateway = start(*upstreams, routes=[route])
    script = [
        [stubs.STREAM + stubs.event(1), "reset"],
        [answer + b"\r\n" + _ERROR_TEXT],
        [stubs.STREAM + stubs.event(2) + stubs.END],
    ]
    for upstream in upstreams:
        upstream.script = script
    status, _, (body, whole) = gateway.call(
        b"/resumed/", _PROMPT, partial=True
    )
    events = b"id: 1\ndata: p1\n\n"
    if attempts == 3:
        events += b"id: 2\ndata: p2\n\n"
    assert (status, body, whole) == (200, events, attempts == 3)


def test_caller_that_leaves_ends_the_call_at_the_upstream(start):
    upstream = stubs.Upstream("models1", [stubs.STREAM, stubs.event(1), 30.0])
    gateway = start(upstream)
    with socket.create_connection(gateway.server.address, timeout=5) as sock:
        head = b"\r\n".join(
            [
                b"POST /resumed/ HTTP/1.1",
                b"Host: a.example",
                b"Papayalink-Request-Id: c1",
                b"Content-Length: 0",
                *_PROMPT,
                b"",
                b"",
            ]
        )
        sock.sendall(head)
        assert sock.recv(100)
    with gevent.Timeout(5):
        while not upstream.hang_ups:
            gevent.sleep(0.01)


def test_work_is_counted_while_a_call_runs(start):
    upstream = stubs.Upstream(
        "models1", [stubs.STREAM, 0.3, stubs.event(1), stubs.END]
    )
    gateway = start(upstream)
    calling = gevent.spawn(gateway.call, b"/stream/", _PROMPT)
    with gevent.Timeout(5):
        while not gateway.fleet.own_work():
            gevent.sleep(0.01)
    calling.get()
    assert gateway.fleet.own_work() == ()
    assert not any(gateway.fleet.find("models1").prefill.values())


def test_call_that_may_run_again_leaves_a_silent_upstream(start):
    # The answer is lost, and the connection stays open.
    script = [[5.0]]
    upstreams = [stubs.Upstream(f"desk{index}") for index in range(2)]
    for upstream in upstreams:
        upstream.script = script
    gateway = start(*upstreams)
    assert gateway.call(b"/hasty/")[0] == 200
    assert _count_received(gateway) == 2


def test_call_that_may_run_once_waits_for_a_silent_upstream(start):
    gateway = start(stubs.Upstream("desk1", [5.0]), stubs.Upstream("desk2"))
    for upstream in gateway.upstreams:
        upstream.script = [[5.0]]
    assert gateway.call(b"/brief/")[0] == 504
    assert _count_received(gateway) == 1


def test_stream_that_stalls_with_single_bytes_continues_elsewhere(start):
    """Guards against a replica that sends parts of an event for ever."""
    part = [b"1\r\nx\r\n", 0.3] * 20
    script = [
        [stubs.STREAM, stubs.event(1), *part],
        [stubs.STREAM, stubs.event(2), stubs.END],
    ]
    upstreams = [stubs.Upstream(f"models{index}") for index in range(2)]
    for upstream in upstreams:
        upstream.script = script
    gateway = start(*upstreams, routes=(_SLOW,))
    status, _, body = gateway.call(b"/slow/", _PROMPT)
    assert (status, body) == (200, b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n")
    assert _count_received(gateway) == 2


def test_slow_but_sound_stream_is_not_cut(start):
    """Guards against a limit on the whole of a stream that makes progress."""
    steps = [stubs.STREAM]
    for number in range(1, 7):
        steps += [stubs.event(number), 1.0]
    gateway = start(
        stubs.Upstream("models1", [*steps, stubs.END]),
        stubs.Upstream("models2"),
        routes=(_SLOW,),
    )
    for upstream in gateway.upstreams:
        upstream.script = [[*steps, stubs.END]]
    status, _, body = gateway.call(b"/slow/", _PROMPT, timeout_s=15)
    assert status == 200
    assert body.count(b"id: ") == 6
    assert _count_received(gateway) == 1


@pytest.mark.parametrize(
    "answer",
    [
        stubs.STREAM + b"100000\r\n" + b"x" * 0x100000 + b"\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n" * 20,
        b"x" * 100_000,
    ],
    ids=["event", "interim-responses", "head"],
)
def test_answer_without_end_is_given_up_and_sent_elsewhere(start, answer):
    script = [[answer, 5.0], [stubs.STREAM, stubs.event(1), stubs.END]]
    upstreams = [stubs.Upstream(f"models{index}") for index in range(2)]
    for upstream in upstreams:
        upstream.script = script
    gateway = start(*upstreams)
    status, _, body = gateway.call(b"/resumed/", _PROMPT)
    assert (status, body) == (200, b"id: 1\ndata: p1\n\n")
    assert any(
        gateway.fleet.find(upstream.name).failures for upstream in upstreams
    )


_OPEN_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    + stubs.STAMP
    + b"Content-Type: text/event-stream\r\n\r\n"
)


@pytest.mark.parametrize(
    ("steps", "body"),
    [
        # Nothing but the connection ends the stream.
        (
            [_OPEN_HEAD + b"id: 1\ndata: p1\n\n", "close"],
            b"id: 1\ndata: p1\n\n",
        ),
        ([_OPEN_HEAD + b"id: 1\ndata: p1\n\nid: 2", "close"], None),
        ([_OPEN_HEAD, "close"], None),
        # A stream that says that it has no further event is whole.
        ([stubs.STREAM + stubs.END], b""),
    ],
    ids=["whole", "within-an-event", "no-event", "empty"],
)
def test_streams_that_end_with_their_connection(start, steps, body):
    """Guards against a replica that ends at once and looks like an answer."""
    gateway = start(stubs.Upstream("models0", steps))
    answer = gateway.call(b"/stream/", _PROMPT)
    assert answer[2] == body
