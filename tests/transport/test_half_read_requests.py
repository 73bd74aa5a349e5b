"""Tests of requests that reach an HTTP server late or not as a whole."""

import contextlib

import falcon
import gevent
from gevent import event
from gevent import socket
import pytest

from papayalink import clock as clocks
from papayalink.console import application
from papayalink.platform import operator_api
from papayalink.roles.entry import callers
from papayalink.transport import auth
from papayalink.transport import http_server
from papayalink.transport import request_source
from tests import own_host
from tests.console import fake_backend
from tests.transport import sockets

# Bounds the wait of a failing test; a passing test never waits that long.
_FAILURE_S = 10.0
_POST = b"POST /echo HTTP/1.1\r\nHost: x\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_PARTS_OF_HEADS = [
    b"POST /echo HTTP/1.1",
    b"GET /echo HTTP/1.1\r\nHos",
    _POST,
    _POST + b"Content-Len",
    _POST + b"Content-Length: 1",
]
_PARTS_OF_BODIES = [
    _POST + b"Content-Length: 2\r\n\r\n",
    _POST + b"Content-Length: 2\r\n\r\na",
    _POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n",
    _POST + _CHUNKED,
    _POST + _CHUNKED + b"2",
    _POST + _CHUNKED + b"2\r\na",
    _POST + _CHUNKED + b"2\r\nab\r\n",
    _POST + _CHUNKED + b"2\r\nab\r\n0\r\n",
    _POST + _CHUNKED + b"2\r\nab\r\n0\r\nA: b\r\n",
]
_PARTS = _PARTS_OF_HEADS + _PARTS_OF_BODIES
_CONTRADICTORY = [
    _POST + b"Content-Length: 1\r\n" + _CHUNKED + b"2\r\nab\r\n0\r\n\r\n",
    _POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    _POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    _POST + b"Transfer-Encoding: gzip\r\n\r\nab",
]


class _Application:
    """Notes what it is given as a whole."""

    def __init__(self, make):
        self.begun = []
        self.run = []
        self.may_end = event.Event()
        self.may_end.set()
        self.app = make(self)

    def answer(self, path, read):
        self.begun.append(path)
        body = read()
        self.run.append(body)
        self.may_end.wait()
        return body


def _make_plain(application):
    def app(environ, start_response):
        body = application.answer(
            environ["PATH_INFO"], environ["wsgi.input"].read
        )
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    return app


class _Resource:
    def __init__(self, application):
        self._application = application

    def on_post(self, request, response):
        response.data = self._application.answer(
            request.path, request.stream.read
        )

    on_get = on_post


def _make_falcon(application):
    app = falcon.App()
    app.add_route("/echo", _Resource(application))
    return app


@pytest.fixture(params=[_make_plain, _make_falcon])
def echo(request):
    return _Application(request.param)


@contextlib.contextmanager
def _serving(app):
    server = http_server.make_server((own_host.HOST, 0), app)
    server.start()
    try:
        yield server
    finally:
        server._server.tasks.kill()
        server._server.close()


def _send(server, part):
    """Returns: the connection; the server has read all that was sent."""
    sock = socket.create_connection(server.address, _FAILURE_S)
    sock.sendall(part)
    gevent.sleep(0.02)
    return sock


def _receive_all(sock):
    """Returns: what the server sends until it closes the connection."""
    received = b""
    while data := sock.recv(65536):
        received += data
    return received.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")


@pytest.mark.parametrize("part", _PARTS, ids=repr)
def test_request_that_ends_early_is_not_run(echo, part):
    """Guards against a part of a request that is run as the whole."""
    with _serving(echo.app) as server, _send(server, part) as sock:
        sock.shutdown(socket.SHUT_WR)
        received = _receive_all(sock)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert b"Connection: close" in received
    assert received.count(b"HTTP/1.1 ") == 1
    assert echo.run == []


@pytest.mark.parametrize("part", _PARTS, ids=repr)
def test_request_whose_connection_breaks_is_not_run(echo, part):
    """Guards against a part of a request that is run as the whole."""
    with _serving(echo.app) as server:
        sockets.reset(_send(server, part))
        gevent.sleep(0.02)
        assert len(server._server.tasks) == 0
    assert echo.run == []


@pytest.mark.parametrize("part", _PARTS, ids=repr)
def test_request_whose_rest_does_not_come_is_refused(monkeypatch, echo, part):
    """Guards against a connection that is kept for a request for ever."""
    monkeypatch.setattr(request_source, "READ_TIMEOUT_S", 0.1)
    with _serving(echo.app) as server, _send(server, part) as sock:
        received = _receive_all(sock)
    assert received.startswith(b"HTTP/1.1 408 ")
    assert b"Connection: close" in received
    assert echo.run == []


@pytest.mark.parametrize("request_bytes", _CONTRADICTORY, ids=repr)
def test_request_of_unclear_length_is_not_run(echo, request_bytes):
    """Guards against a request that is run with another's body."""
    with _serving(echo.app) as server, _send(server, request_bytes) as sock:
        received = _receive_all(sock)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1 ") == 1
    assert echo.run == []


@pytest.mark.parametrize(
    "request_bytes",
    [
        _POST + b"Content-Length: 2\r\n\r\nab",
        _POST + _CHUNKED + b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
        _POST + _CHUNKED + b"2;x=y\r\nab\r\n0\r\nA: b\r\n\r\n",
    ],
    ids=repr,
)
def test_request_that_comes_byte_by_byte_is_run(echo, request_bytes):
    """Guards against a whole request that is refused for its pace."""
    with _serving(echo.app) as server, _send(server, b"") as sock:
        for offset in range(len(request_bytes)):
            sock.sendall(request_bytes[offset : offset + 1])
            gevent.sleep(0.0005)
        # The second request follows without a pause.
        sock.sendall(request_bytes + request_bytes)
        gevent.sleep(0.1)
        sock.shutdown(socket.SHUT_WR)
        received = _receive_all(sock)
    assert received.count(b"HTTP/1.1 200 OK\r\n") == 3
    assert received.endswith(b"\r\n\r\nab")
    assert echo.run == [b"ab"] * 3


@pytest.mark.parametrize("timeout_s", [None, 1.0])
@pytest.mark.parametrize("part", _PARTS, ids=repr)
def test_request_that_is_half_read_at_the_end_of_a_stop_is_refused(
    monkeypatch, echo, part, timeout_s
):
    """Guards against a caller whose connection ends without an answer."""
    monkeypatch.setattr(http_server, "_HALF_READ_WAIT_S", 0.1)
    with _serving(echo.app) as server, _send(server, part) as sock:
        stopping = gevent.spawn(server.stop, timeout_s)
        received = _receive_all(sock)
        sock.close()
        stopping.join(_FAILURE_S)
        assert stopping.ready() and stopping.get()
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in received
    assert b"Retry-After: 0" in received
    assert received.count(b"HTTP/1.1 ") == 1
    assert echo.run == []


def test_request_that_is_half_read_is_refused_beside_one_that_runs(echo):
    """Guards against a half-read request that is cut at the time-out."""
    whole = _POST + b"Content-Length: 2\r\n\r\nab"
    echo.may_end.clear()
    with _serving(echo.app) as server, _send(server, whole) as running:
        half = _send(server, whole[:-1])
        stopping = gevent.spawn(server.stop, 0.5)
        assert _receive_all(half).startswith(b"HTTP/1.1 503 ")
        half.close()
        echo.may_end.set()
        assert _receive_all(running).startswith(b"HTTP/1.1 200 ")
        running.close()
        assert stopping.get()
    assert echo.run == [b"ab"]


def test_request_that_is_run_is_answered_after_a_refusal(monkeypatch, echo):
    """Guards against a call that is cut together with half-read ones."""
    monkeypatch.setattr(http_server, "_HALF_READ_WAIT_S", 0.1)
    whole = _POST + b"Content-Length: 2\r\n\r\nab"
    with _serving(echo.app) as server, _send(server, whole[:-1]) as sock:
        with _send(server, whole[:-1]) as half:
            stopping = gevent.spawn(server.stop)
            gevent.sleep(0.2)
            echo.may_end.clear()
            sock.sendall(whole[-1:])
            assert _receive_all(half).startswith(b"HTTP/1.1 503 ")
        gevent.sleep(0.3)
        assert not stopping.ready()
        echo.may_end.set()
        assert _receive_all(sock).startswith(b"HTTP/1.1 200 ")
        sock.close()
        stopping.get()
    assert echo.run == [b"ab"]


def test_half_read_request_does_not_hold_up_the_answer_to_others(echo):
    """Guards against requests that are lost as a body keeps the port open."""
    half = _POST + b"Content-Length: 2\r\n\r\na"
    with _serving(echo.app) as server, _send(server, half) as sock:
        stopping = gevent.spawn(server.stop)
        gevent.sleep(0.05)
        assert server._server.closed
        sock.sendall(b"b")
        assert _receive_all(sock).startswith(b"HTTP/1.1 200 ")
        sock.close()
        assert stopping.get()


@pytest.mark.parametrize("part", _PARTS_OF_BODIES, ids=repr)
def test_signed_request_that_ends_early_is_not_verified(part):
    """Guards against a refused signature where the request is incomplete."""
    run = []
    app = http_server.require_signature(
        lambda environ, start_response: run.append(environ),
        auth.make_signer(bytes(32), clocks.make_clock()),
    )
    with _serving(app) as server, _send(server, part) as sock:
        sock.shutdown(socket.SHUT_WR)
        assert _receive_all(sock).startswith(b"HTTP/1.1 400 ")
    assert run == []


class _Documents:
    """State of a member that notes the documents that it is given."""

    def __init__(self):
        self.reasons = []

    def note_invalid(self, reason):
        self.reasons.append(reason)


def _chunked(head, body):
    return b"%s%s%x\r\n%s\r\n0\r\n\r\n" % (head, _CHUNKED, len(body), body)


def test_operators_document_in_chunks_is_read(monkeypatch):
    """Guards against a chunked document that is taken for an empty one."""
    seen = []

    def translate(data):
        seen.append(data)
        raise operator_api.errors.DocumentInvalid("of the test")

    monkeypatch.setattr(operator_api.document, "translate", translate)
    app = operator_api.make_application(_Documents())
    head = b"PUT /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    with _serving(app) as server:
        with _send(server, _chunked(head, b'{"a":1}')) as sock:
            assert _receive_all(sock).startswith(b"HTTP/1.1 400 ")
    assert seen == [b'{"a":1}']


@pytest.mark.parametrize("path", [b"/-/config", b"/-/version-put"])
def test_operators_body_above_the_limit_is_refused(monkeypatch, path):
    """Guards against a change by the first bytes of a body."""
    monkeypatch.setattr(operator_api, "MAX_BODY_BYTES", 4)
    app = operator_api.make_application(_Documents())
    method = b"PUT" if path == b"/-/config" else b"POST"
    head = b"%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    with _serving(app) as server:
        with _send(server, _chunked(head % (method, path), b"{}   ")) as sock:
            assert _receive_all(sock).startswith(b"HTTP/1.1 413 ")


def test_console_reads_a_document_in_chunks():
    """Guards against a chunked document that is taken for an empty one."""
    app = application.make_application(
        fake_backend.FakeBackend(), fake_backend.TOKEN, clocks.make_clock()
    )
    token = fake_backend.TOKEN.encode()
    head = (
        b"POST /api/validate HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Authorization: Bearer %s\r\n" % token
    )
    with _serving(app) as server:
        with _send(server, _chunked(head, b'{"unknown_field":1}')) as sock:
            assert b"unknown_field" in _receive_all(sock)


@pytest.mark.parametrize("limit", [1, 2])
def test_entry_reads_a_body_in_chunks_up_to_its_limit(limit):
    """Guards against a call that is run with an empty body."""

    class Resource:
        def on_post(self, request, response):
            response.data = b"body " + callers._read_body(request, limit)

    app = falcon.App()
    app.add_error_handler(callers._Refusal, callers._answer_refusal)
    app.add_route("/echo", Resource())
    head = _POST + b"Connection: close\r\n"
    with _serving(app) as server:
        with _send(server, _chunked(head, b"ab")) as sock:
            received = _receive_all(sock)
    if limit == 2:
        assert received.endswith(b"body ab")
    else:
        assert received.startswith(b"HTTP/1.1 413 ")
