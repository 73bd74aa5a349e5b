"""Tests of the wait for room among replies."""

import collections
import contextlib
from types import SimpleNamespace

import gevent
from gevent import server as servers
import pytest

from papayalink.adapters import connection
from papayalink.adapters import errors
from papayalink.adapters import reply_budget
from tests import own_host

_PEERS = 6
_REPLY_BYTES = 4 * 1024 * 1024
# The reader of a reply that is ended runs within this many turns of the loop.
_MAX_TURNS = 2


class _Budget(reply_budget.ReplyBudget):
    """Counts the turns for which replies wait for one that was ended.

    Attributes:
        turns: by the reply that waits and the one that was ended.
    """

    def __init__(self, monkeypatch):
        super().__init__(_REPLY_BYTES, 65536)
        self.turns = collections.Counter()
        sleeping = SimpleNamespace(sleep=self._sleep)
        monkeypatch.setattr(reply_budget, "gevent", sleeping)

    def _sleep(self, seconds):
        ended = next(each for each in self._replies if each.ended)
        self.turns[gevent.getcurrent(), ended] += 1
        gevent.sleep(seconds)


def _stall(sock):
    sock.sendall(bytes(_REPLY_BYTES - 65536))
    sock.recv(1)


def _send_without_end(sock):
    while True:
        sock.sendall(bytes(65536))
        gevent.sleep(0)


@pytest.fixture
def start():
    """Starts a peer that answers; returns a connector to it."""
    started = []

    def make(answer):
        def serve(sock, address):
            with contextlib.suppress(OSError):
                sock.recv(65536)
                sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
                answer(sock)

        started.append(servers.StreamServer((own_host.HOST, 0), serve))
        started[-1].start()
        address = f"{own_host.HOST}:{started[-1].server_port}"
        return connection.Connector(address, 1.0)

    yield make
    for server in started:
        server.stop()


def _read_on(connector):
    while True:
        with contextlib.suppress(errors.AdapterError, *connection.FAILURES):
            connector.call("GET", "/", 5.0)


# Guards against replies that keep a processor busy while they wait for one
# that was ended: its reader may wait for a peer that stalls.
@pytest.mark.parametrize("answer", [_stall, _send_without_end])
def test_waits_for_room_are_short(start, monkeypatch, answer):
    budget = _Budget(monkeypatch)
    monkeypatch.setattr(connection, "_budget", budget)
    tasks = [gevent.spawn(_read_on, start(answer)) for _ in range(_PEERS)]
    try:
        with gevent.Timeout(20):
            while len(budget.turns) < 200:
                gevent.sleep(0.01)
    finally:
        gevent.killall(tasks)
    assert max(budget.turns.values()) <= _MAX_TURNS
