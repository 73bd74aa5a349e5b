"""Tests of HTTP calls to outside systems."""

import gevent
from gevent import event
import pytest

from papayalink.adapters import connection
from papayalink.adapters import errors

COMPLETE_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _make_connector(address):
    return connection.Connector(address, 1.0)


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"not HTTP\r\n\r\n",
    ],
)
def test_truncated_reply_raises_and_is_not_requested_again(raw_server, reply):
    address, requests = raw_server(reply)
    with pytest.raises(errors.Interrupted):
        _make_connector(address).call("POST", "/x", 5.0)
    # The call must not have been sent a second time.
    assert len(requests) == 1


def test_call_to_a_silent_server_is_interrupted(raw_server):
    release = event.Event()
    address, requests = raw_server(b"", release.wait)
    with pytest.raises(errors.Interrupted):
        _make_connector(address).call("POST", "/x", 0.05)
    release.set()
    while not requests:
        gevent.sleep(0.005)
    assert len(requests) == 1


def test_idle_connection_closed_by_the_server_is_replaced(raw_server):
    # The server closes after each reply without sending Connection: close.
    address, requests = raw_server(COMPLETE_REPLY)
    connector = _make_connector(address)
    for _ in range(3):
        assert connector.call_idempotent("GET", "/x", 5.0).body == b"ok"
        gevent.sleep(0.01)
    assert len(requests) == 3


@pytest.mark.parametrize(
    "method, target, headers",
    [
        ("GET", "/x y", ()),
        ("GET", "/x\r\nHost: other", ()),
        ("GET", "x", ()),
        ("G T", "/x", ()),
        ("GET", "/x", [("a", "1\r\nb: 2")]),
        ("GET", "/x", [("a:", "1")]),
    ],
)
def test_request_injection_is_refused(raw_server, method, target, headers):
    address, requests = raw_server(COMPLETE_REPLY)
    with pytest.raises(errors.InvalidRequest):
        _make_connector(address).call(method, target, 5.0, headers)
    assert not requests


def test_duplicate_headers_are_kept(raw_server):
    address, _ = raw_server(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: 1\r\nA: 2\r\n\r\n"
    )
    reply = _make_connector(address).call("GET", "/x", 5.0)
    assert reply.headers[1:] == [("A", "1"), ("A", "2")]
