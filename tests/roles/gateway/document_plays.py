"""Plays of one call at a gateway process whose document changes."""

import time
import zlib

import gevent
from gevent import event
from gevent import socket
import msgspec

from papayalink import node_settings
from papayalink.protocol import messages
from papayalink.roles.gateway import budgets
from papayalink.state import traffic
from tests.roles.gateway import changed_documents
from tests.roles.gateway import standing_still
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_GRACE_S = 6.0
_ROUTES = tuple(
    stubs.make_route(
        name, repeat, timeout_s=6.0, max_attempts=3, stream=stream
    )
    for name, repeat, stream in (
        ("once", traffic.RepeatPolicy.ONCE, False),
        ("safe", traffic.RepeatPolicy.IDEMPOTENT, False),
        ("stream", traffic.RepeatPolicy.ONCE, True),
        ("resumed", traffic.RepeatPolicy.RESUMABLE, True),
    )
)
DOCUMENT = changed_documents.make_document(_ROUTES)
CHANGES = changed_documents.make_changes(DOCUMENT)
PATHS = ("once", "safe", "stream", "resumed")
_STREAMS = ("stream", "resumed")
_KEY = b"Authorization: Bearer key1"
_PROMPT = (
    b"Papayalink-Model: m",
    b"Papayalink-Token-Usage: 300,10",
    b"Papayalink-Prefix-Hash: shared:200,own:100",
)
# Headers of the calls on each path.
HEADERS = {
    path: [_KEY, *(_PROMPT if path in _STREAMS else ())] for path in PATHS
}
_EVENTS = 4
RUN_S = 0.3
SILENCE_S = 1.2


def make_body(path):
    if path not in _STREAMS:
        return b"ok"
    return b"".join(
        b"id: %d\ndata: p%d\n\n" % (number, number)
        for number in range(1, _EVENTS + 1)
    )


class _Upstream(standing_still.Upstream):
    """Answers in 0.3 s, and streams from the event that a call names.

    A script may come before that.
    """

    def next_steps(self, request):
        if self.script:
            return self.script.pop(0)
        if not self.name.startswith("models"):
            return [RUN_S, stubs.OK]
        _, _, rest = request.partition(b"Last-Event-Id: ")
        first = int(rest.split(b"\r\n")[0] or 0) + 1
        steps = [stubs.STREAM]
        for number in range(first, _EVENTS + 1):
            steps += [stubs.event(number), RUN_S / 4]
        return [*steps, stubs.END]


class Gateway(stopped.Gateway):
    """A gateway process with two replicas, whose document changes."""

    def __init__(self, path):
        kind = "models" if path in _STREAMS else "desk"
        self.path = path
        super().__init__(
            _GRACE_S, [_Upstream(f"{kind}{n}") for n in range(2)], ()
        )
        self.fleet = self.process._fleet
        # Streams go on at replicas of the same version only.
        self.fleet.update(
            msgspec.structs.replace(member.replica, software="v1")
            for member in list(self.fleet.all_members())
        )
        # The share of a gateway that has run for a while, and alone.
        handler = self.server._handler.__self__
        handler._shared.budgets = budgets.make_budgets(
            node_settings.Bounds(), lambda: 1.0, float("-inf")
        )
        self._number = 0
        self._rest = event.Event()
        self.put_in_force(DOCUMENT)

    def put_in_force(self, document):
        self._document = document
        self._number += 1
        self.process._watcher._apply_reply(
            messages.WatchReply(self._number, zlib.compress(b"{}")),
            "",
            time.monotonic(),
        )
        assert self.process._watcher.number == self._number

    def use_only(self, count):
        """Let this many replicas be reached, and the others be lost."""
        for number, member in enumerate(self.fleet.all_members()):
            member.set_reachable(number < count)
            if number >= count:
                member.lost_at = time.monotonic()
        self.fleet.changed.notify()

    def spawn_call(self, pauses=False):
        """Args: pauses: whether the rest of its body waits for `send_rest`."""
        return gevent.spawn(self._send, pauses)

    def send_rest(self):
        self._rest.set()

    def _send(self, pauses):
        headers = HEADERS[self.path]
        path = b"/%s/x" % self.path.encode()
        if not pauses:
            return self.call(path, headers, timeout_s=15)
        head = b"\r\n".join(
            [
                b"POST %s HTTP/1.1" % path,
                b"Host: a.example",
                b"Connection: close",
                b"Content-Length: 6",
                b"Papayalink-Request-Id: c1",
                *headers,
            ]
        )
        with socket.create_connection(self.server.address, 15) as sock:
            sock.sendall(head + b"\r\n\r\nabc")
            self._rest.wait()
            sock.sendall(b"def")
            return stubs._read(sock, False)

    def wait_until_it_is_half_read(self):
        with gevent.Timeout(10):
            while not self.server._reading:
                gevent.sleep(0.005)

    def wait_until_it_is_read(self):
        with gevent.Timeout(10):
            while not self.server.in_flight:
                gevent.sleep(0.005)
        gevent.sleep(0.05)

    def wait_until_it_runs(self):
        with gevent.Timeout(10):
            while not any(each.received for each in self.upstreams):
                gevent.sleep(0.005)
        gevent.sleep(0.1)

    def end(self):
        for upstream in self.upstreams:
            upstream.go_on()
        super().end()


def play_all(state, path, documents):
    """Returns: by change, status and body of the answer."""

    def play(name):
        gateway = Gateway(path)
        try:
            calling = state(
                gateway, lambda: gateway.put_in_force(documents[name])
            )
            status, _, body = calling.get(timeout=15)
            return status, body
        finally:
            gateway.end()

    playing = {name: gevent.spawn(play, name) for name in documents}
    gevent.joinall(playing.values(), raise_error=True)
    return {name: task.value for name, task in playing.items()}
