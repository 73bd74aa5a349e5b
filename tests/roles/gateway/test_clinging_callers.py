"""Tests of callers that keep coming to a gateway while it stops."""

import re

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_GRACE_S = 1.0
_CALLERS = 12
_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE, objective_s=5.0),
    stubs.make_route(
        "repeat", traffic.RepeatPolicy.IDEMPOTENT, objective_s=5.0
    ),
)


class _Caller:
    """Sends one call after the other, on a new connection when one ends.

    Attributes:
        statuses: by call, its status, None without a whole answer.
    """

    def __init__(self, gateway, name, route):
        self.statuses = {}
        self._address = gateway.server.address
        self._name = name
        self._route = route

    def run(self):
        """Call until connections are refused."""
        while True:
            try:
                sock = socket.create_connection(self._address, timeout=5)
            except OSError:
                return
            try:
                while self._call(sock):
                    gevent.sleep(0)
            except OSError:
                # The call crossed the close, or its connection was cut.
                gevent.sleep(0.001)
            finally:
                sock.close()

    def _call(self, sock):
        """Returns: whether the connection may carry another call."""
        call_id = f"{self._name}-{len(self.statuses)}"
        self.statuses[call_id] = None
        sock.sendall(
            f"POST /{self._route}/x HTTP/1.1\r\nHost: a.example\r\n"
            f"Papayalink-Request-Id: {call_id}\r\n"
            "Content-Length: 2\r\n\r\nhi".encode()
        )
        received = b""
        while b"\r\n\r\n" not in received:
            data = sock.recv(65536)
            if not data:
                return False
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
        while len(body) < length:
            data = sock.recv(65536)
            if not data:
                return False
            body += data
        self.statuses[call_id] = int(head.split()[1])
        return b"connection: close" not in head.lower()


@pytest.mark.parametrize("run_s", [0.0, 0.02])
def test_callers_that_cling_to_a_stopping_gateway_lose_no_call(run_s):
    """Guards against calls that are passed on and not answered.

    Such callers reconnect at once, so that there is a call in each state of
    the stop, and the port is closed beside new connections.
    """
    steps = [run_s, stubs.OK] if run_s else [stubs.OK]
    upstream = stubs.Upstream("desk1", *[steps] * 100_000)
    gateway = stopped.Gateway(_GRACE_S, [upstream], _ROUTES)
    callers = [
        _Caller(gateway, f"c{number}", ("once", "repeat")[number % 2])
        for number in range(_CALLERS)
    ]
    calling = [gevent.spawn(caller.run) for caller in callers]
    gevent.sleep(0.1)
    # A busy machine takes longer until callers are in all states.
    with gevent.Timeout(10):
        while len(upstream.received) <= 2 * _CALLERS:
            gevent.sleep(0.01)
    gateway.begin_stop().get()
    gevent.joinall(calling, raise_error=True)
    gateway.end()
    statuses = {
        call_id: status
        for caller in callers
        for call_id, status in caller.statuses.items()
    }
    received = b"".join(upstream.received).decode().lower()
    passed_on = set(re.findall(r"request-id: (\S+)", received))
    assert len(passed_on) > _CALLERS
    assert {statuses[each] for each in passed_on} <= {200, 504}
    assert set(statuses.values()) <= {200, 503, 504, None}
