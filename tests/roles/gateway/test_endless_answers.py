"""Tests of replicas that send bytes without end, in many calls at once."""

import json

import gevent
from gevent import server as servers
import pytest

from papayalink.platform import errors as platform_errors
from papayalink.platform import replicas as platforms
from papayalink.roles.gateway import attempt
from papayalink.state import replicas
from papayalink.state import traffic
from papayalink.transport import upstream_channels
from tests.roles.gateway import stubs

_CALLS = 40
_BLOCK = b"x" * 65536
_ROUTES = (
    stubs.make_route(
        "safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=20.0, max_attempts=1
    ),
    stubs.make_route(
        "stream", traffic.RepeatPolicy.ONCE, stream=True, timeout_s=20.0
    ),
)


class _EndlessReplica:
    """Sends a head, and then blocks of one size until the caller closes.

    Attributes:
        most_sent_bytes: bytes of the longest answer.
    """

    def __init__(self, name, head, block=_BLOCK):
        self.name = name
        self.most_sent_bytes = 0
        self._head = head
        self._block = block
        self.server = servers.StreamServer((stubs.HOST, 0), self._serve)
        self.server.start()
        self.address = f"{stubs.HOST}:{self.server.server_port}"

    def _serve(self, sock, address):
        sock.recv(65536)
        sent_bytes = 0
        try:
            sock.sendall(self._head)
            while True:
                sock.sendall(self._block)
                sent_bytes += len(self._block)
                self.most_sent_bytes = max(self.most_sent_bytes, sent_bytes)
                gevent.sleep(0)
        except OSError:
            return


@pytest.fixture
def start():
    """Returns: function that starts a gateway before an endless replica."""
    started = []

    def make(name, head, block=_BLOCK):
        replica = _EndlessReplica(name, head, block)
        started.append(stubs.Gateway([replica], _ROUTES))
        return started[-1]

    yield make
    for gateway in started:
        gateway.stop()


def _find_channels(gateway):
    return gateway.departures._channels


@pytest.mark.parametrize("status", [b"200 OK", b"500 No", b"503 Busy"])
@pytest.mark.parametrize("framing", ["length", "connection"])
def test_bodies_without_end_share_a_bound(start, status, framing):
    """Guards against memory that many endless bodies fill together.

    The process ended, and with it the calls of all other callers.
    """
    head = b"HTTP/1.1 " + status + b"\r\n" + stubs.STAMP
    if framing == "length":
        head += b"Content-Length: 99999999999\r\n"
    gateway = start("desk0", head + b"\r\n")
    held = _find_channels(gateway).held
    calls = [
        gevent.spawn(gateway.call, b"/safe/x", timeout_s=20)
        for _ in range(_CALLS)
    ]
    most_bytes = 0
    while not all(call.ready() for call in calls):
        most_bytes = max(most_bytes, held.taken_bytes)
        gevent.sleep(0.001)
    assert [call.get()[0] for call in calls] == [502] * _CALLS
    assert most_bytes <= (
        upstream_channels.MAX_HELD_BYTES
        + _CALLS * upstream_channels.OWN_HELD_BYTES
    )
    assert held.taken_bytes == 0


@pytest.mark.parametrize(
    ("name", "route", "head"),
    [
        ("desk0", b"/safe/x", b"HTTP/1.1 200 OK\r\nX: "),
        ("desk0", b"/safe/x", b""),
        ("models0", b"/stream/x", b"HTTP/1.1 200 OK\r\nX: "),
        # One event that never ends.
        (
            "models0",
            b"/stream/x",
            b"HTTP/1.1 200 OK\r\n" + stubs.STAMP + b"\r\ndata: ",
        ),
    ],
    ids=["head", "no-answer", "head-of-a-stream", "event"],
)
def test_heads_and_events_without_end_end_their_calls(
    start, name, route, head
):
    """Guards against bytes that are kept until their call's deadline."""
    gateway = start(name, head)
    headers = [b"Papayalink-Model: m", b"Papayalink-Token-Usage: 100,10"]
    calls = [
        gevent.spawn(gateway.call, route, headers, timeout_s=20)
        for _ in range(_CALLS)
    ]
    gevent.joinall(calls, raise_error=True)
    assert all(call.get()[2] in (None, b"") for call in calls)
    sent_bytes = gateway.upstreams[0].most_sent_bytes
    # Sockets on both ends hold some of it.
    assert sent_bytes < attempt.MAX_ANSWER_BYTES + 16 * 1024 * 1024


def test_small_answers_have_room_beside_endless_ones(start):
    """Guards against sound answers that a faulty replica crowds out."""
    gateway = start("desk0", b"")
    held = _find_channels(gateway).held
    assert held.take(upstream_channels.MAX_HELD_BYTES, 0)
    assert held.take(upstream_channels.OWN_HELD_BYTES, 0)
    assert not held.take(1, upstream_channels.OWN_HELD_BYTES)
    held.give_back(2 * upstream_channels.OWN_HELD_BYTES)
    assert held.take(1, upstream_channels.OWN_HELD_BYTES)


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: ",
        b"",
    ],
    ids=["body", "length", "head", "no-answer"],
)
@pytest.mark.parametrize("call", ["order", "report"])
def test_replies_to_members_without_end_are_not_kept(head, call):
    """Guards against members that run out of memory by their orders."""
    endless = _EndlessReplica("r", head)
    replica = replicas.Replica(
        replica_id="r",
        service="s",
        address=endless.address,
        zone="z",
        slots=1,
        condition=replicas.Condition.READY,
    )
    platform = platforms.make_platform(endless.address)
    with pytest.raises(platform_errors.CallFailed):
        if call == "order":
            platform.order_weights(replica, "m", 2, "h", 1)
        else:
            platform.read_report(replica)
    endless.server.stop()
    assert endless.most_sent_bytes <= (
        platforms.MAX_REPORT_BYTES + 16 * 1024 * 1024
    )


def test_longest_report_of_a_sound_replica_is_read():
    runs = [["0" * 16, 10**6, 10**6, 9]] * 1000
    body = json.dumps({"models": [], "sequence": 1, "runs": runs}).encode()
    assert len(body) < platforms.MAX_REPORT_BYTES / 10
