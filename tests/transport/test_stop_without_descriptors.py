"""Tests of a stop while the process has no descriptor left."""

import resource
import socket as blocking_socket

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from papayalink.transport import http_server
from tests import own_host

_LIMITS = traffic.CallerLimits(
    header_bytes=4096,
    body_bytes=100,
    header_timeout_s=5.0,
    idle_timeout_s=5.0,
)


def _make_caller_server(run):
    def handle(request, responder):
        run()
        responder.respond(200, [], b"whole")

    return caller_server.make_caller_server(
        (own_host.HOST, 0), handle, handle, lambda: _LIMITS
    )


def _make_http_server(run):
    def app(environ, start_response):
        run()
        start_response("200 OK", [("Content-Length", "5")])
        return [b"whole"]

    return http_server.make_server((own_host.HOST, 0), app)


def _stop(server):
    if isinstance(server, caller_server.CallerServer):
        server.stop(5.0)
    else:
        server.stop()


@pytest.mark.parametrize("make", [_make_caller_server, _make_http_server])
def test_stop_without_a_descriptor_left_answers_the_calls_in_flight(make):
    """Guards against a stop that fails, and ends all calls of a process."""
    begun = []

    def run():
        begun.append(True)
        gevent.sleep(0.3)

    server = make(run)
    server.start()
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.create_connection(server.address, 5) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        while not begun:
            gevent.sleep(0.01)
        # Does not switch, so that it stays in the accept queue.
        with blocking_socket.create_connection(server.address, 5) as late:
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (late.fileno() + 1, limits[1])
            )
            stopping = gevent.spawn(_stop, server)
            try:
                gevent.sleep(0.1)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            answer = sock.recv(65536)
            while answer and not answer.endswith(b"whole"):
                answer += sock.recv(65536)
            late.close()
            stopping.get(timeout=6)
    assert answer.endswith(b"whole")
