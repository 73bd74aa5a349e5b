"""Tests of streams that run when the grace period of a gateway ends."""

import gevent
from gevent import event
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_GRACE_S = 1.0


class _Upstream(stubs.Upstream):
    """Goes on with a stream when it is told to.

    Attributes:
        goes_on: set to send the rest of the stream.
    """

    def __init__(self):
        super().__init__("models1")
        self.goes_on = event.Event()

    def next_steps(self, request):
        yield stubs.STREAM
        yield stubs.event(1)
        self.goes_on.wait()
        yield stubs.event(2)
        yield stubs.END


# Guards against a stream that is cut although its replica has sent the rest
# before the process has to exit, as it does behind a silence of a second.
@pytest.mark.parametrize(
    "repeat", [traffic.RepeatPolicy.ONCE, traffic.RepeatPolicy.RESUMABLE]
)
def test_stream_goes_on_behind_the_last_answers(repeat, monkeypatch):
    upstream = _Upstream()
    route = stubs.make_route(
        "r", repeat, stream=True, timeout_s=30.0, objective_s=10.0
    )
    end_requests = caller_server.CallerServer.end_requests

    def go_on_and_end_requests(server, timeout_s):
        gevent.spawn_later(0, upstream.goes_on.set)
        return end_requests(server, 10.0)

    monkeypatch.setattr(
        caller_server.CallerServer, "end_requests", go_on_and_end_requests
    )
    gateway = stopped.Gateway(_GRACE_S, [upstream], [route])
    try:
        caller = gevent.spawn(gateway.call, b"/r/", partial=True)
        while not upstream.received:
            gevent.sleep(0.001)
        # What the replica has sent is passed on.
        gevent.sleep(0.1)
        gateway.begin_stop().get()
    finally:
        gateway.end()
    status, _, body = caller.get()
    assert status == 200
    assert body == (b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n", True)
