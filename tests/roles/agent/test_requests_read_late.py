"""Tests of requests that arrive while an agent stands still."""

import time

from gevent import socket
import pytest

from papayalink.protocol import relay
from papayalink.roles.agent import process
from papayalink.transport import http_server

_PAUSE_S = 0.8
_REQUEST = relay.RelayRequest(
    attempt_id="a",
    request_id="r",
    workspace="w",
    rank="urgent",
    version=1,
    model="m",
    weight_version="1",
    path="/v1/completions",
    body=b"{}",
    deadline_s=2.0,
    tokens=10,
)


def _app(environ, start_response):
    environ[http_server.BODY_KEY] = environ["wsgi.input"].read()
    request = process.read_relay_request(environ)
    text = str(request.deadline_s).encode()
    start_response("200 OK", [("Content-Length", str(len(text)))])
    return [text]


@pytest.fixture
def server():
    started = http_server.make_server(("127.0.0.1", 0), _app)
    started.start()
    yield started
    started.stop()


# Guards against a queue in which a request has time that its caller no longer
# has.
@pytest.mark.parametrize(
    ("pause_s", "left_s"), [(0.0, 2.0), (_PAUSE_S, 2.0 - _PAUSE_S)]
)
def test_time_in_which_a_request_was_not_read_counts(server, pause_s, left_s):
    body = relay.encode(_REQUEST)
    with socket.create_connection(server.address, 10) as sock:
        sock.sendall(
            b"POST /relay HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        # No greenlet runs meanwhile.
        time.sleep(pause_s)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
    assert float(received.rpartition(b"\r\n\r\n")[2]) <= left_s
