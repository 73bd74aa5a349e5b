"""A caller's connection tells what became of a call."""

import gevent
from gevent import server
from gevent import socket
import pytest

from soak import caller_connection
from soak import records

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _call(connection):
    call = records.Call("c", "/look/", "office", "g1", 100.0)
    connection.call(call, "GET", "/look/c", {"Host": "x"})
    return call


@pytest.fixture
def gateway():
    """A gateway that gives each request the next of some answers."""
    answers = []
    requests = []
    connections = []

    def serve(sock, _):
        connections.append(sock)
        while data := sock.recv(4096):
            requests.append(data)
            answer = answers.pop(0)
            sock.sendall(answer)
            if answer != _ANSWER:
                return

    listener = server.StreamServer(("127.0.0.1", 0), serve)
    listener.start()
    connection = caller_connection.make_caller_connection(
        listener.address, 5.0
    )
    yield connection, answers, requests, connections
    connection.close()
    listener.stop()


def test_connection_is_kept(gateway):
    connection, answers, _, connections = gateway
    answers += [_ANSWER, _ANSWER]
    for _ in range(2):
        call = _call(connection)
        assert (call.status, call.body, call.complete) == (200, b"ok", True)
    assert len(connections) == 1


@pytest.mark.parametrize(
    ("answer", "status", "body"),
    [(b"", 0, b""), (_ANSWER[:-1], 200, b"o"), (_ANSWER[:20], 0, b"")],
)
def test_cut_call_is_recorded_and_not_sent_again(
    gateway, answer, status, body
):
    connection, answers, requests, _ = gateway
    answers += [answer, _ANSWER]
    call = _call(connection)
    assert (call.status, call.body, call.complete) == (status, body, False)
    assert call.written_at
    assert len(requests) == 1
    assert _call(connection).complete


def test_call_without_a_connection_is_not_written():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = unused.getsockname()
        connection = caller_connection.make_caller_connection(address, 5.0)
        call = _call(connection)
    assert not call.complete
    assert not call.written_at


@pytest.mark.parametrize("pause_s", [0.0, 0.01])
@pytest.mark.parametrize("chunked", [False, True])
def test_whole_body_is_written(gateway, pause_s, chunked):
    connection, answers, requests, _ = gateway
    answers += [_ANSWER] * 4
    body = caller_connection.Body((b"ab", b"cd"), pause_s, chunked)
    call = records.Call("c", "/once/", "office", "g1", 100.0)
    connection.call(call, "POST", "/once/c", {"Host": "x"}, body)
    gevent.sleep(0.05)
    assert call.written_at
    sent = b"".join(requests)
    if chunked:
        assert sent.endswith(b"\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n")
    else:
        assert b"Content-Length: 4" in sent
        assert sent.endswith(b"\r\n\r\nabcd")


@pytest.mark.parametrize("looks", [False, True])
def test_closed_connection_is_used_by_callers_that_do_not_look(gateway, looks):
    connection, answers, requests, connections = gateway
    connection._looks = looks
    answers += [_ANSWER, _ANSWER]
    assert not _call(connection).stale
    connections[0].close()
    gevent.sleep(0.05)
    call = _call(connection)
    assert call.stale is not looks
    assert call.complete is looks
    assert len(requests) == 1 + looks
    assert len(connections) == 1 + looks
