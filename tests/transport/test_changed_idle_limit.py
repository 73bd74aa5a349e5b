"""Tests of idle connections beside a change of the limits."""

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from tests import own_host

_REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
_SHORT_S = 0.4
_LONG_S = 20.0


class _Server:
    """A server whose idle limit changes."""

    def __init__(self, idle_timeout_s):
        self.idle_timeout_s = idle_timeout_s
        self.server = caller_server.make_caller_server(
            (own_host.HOST, 0), self._answer, self._answer, self._limits
        )
        self.server.start()

    def _answer(self, request, responder):
        responder.respond(200, [], request.target)

    def _limits(self):
        return traffic.CallerLimits(idle_timeout_s=self.idle_timeout_s)


@pytest.mark.parametrize("answered_first", [False, True])
def test_raised_idle_limit_holds_for_connections_that_are_idle(answered_first):
    """Guards against a close that crosses a call within the new limit."""
    changing = _Server(_SHORT_S)
    try:
        with socket.create_connection(changing.server.address, 5) as sock:
            if answered_first:
                sock.sendall(_REQUEST)
                assert sock.recv(1000).endswith(b"/a")
            while not len(changing.server._waits):
                gevent.sleep(0)
            changing.idle_timeout_s = _LONG_S
            gevent.sleep(2 * _SHORT_S)
            sock.sendall(_REQUEST)
            assert sock.recv(1000).endswith(b"/a")
    finally:
        changing.server.stop(0.1)
