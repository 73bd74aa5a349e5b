"""Stub upstreams and a gateway without control members."""

from types import SimpleNamespace

import gevent
from gevent import server as servers
from gevent import socket

from papayalink import metrics as metrics_module
from papayalink import node_settings
from papayalink.coordination import cache_placement
from papayalink.coordination import fleet as fleets
from papayalink.coordination import table_exchange
from papayalink.platform import dialect as dialects
from papayalink.roles.gateway import budgets
from papayalink.roles.gateway import crashes
from papayalink.roles.gateway import departures
from papayalink.roles.gateway import handling
from papayalink.roles.gateway import limits
from papayalink.roles.gateway import liveness
from papayalink.roles.gateway import shared
from papayalink.roles.gateway import take_ups
from papayalink.state import part_directory
from papayalink.state import replicas
from papayalink.state import traffic
from papayalink.transport import caller_server
from papayalink.transport import errors
from papayalink.transport import upstream_channels
from tests import own_host
from tests.transport import sockets

HOST = own_host.HOST
STAMP = b"Papayalink-Server-Stamp: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 2\r\n\r\nok"
ERROR = b"HTTP/1.1 500 No\r\n" + STAMP + b"Content-Length: 3\r\n\r\nbad"
BUSY = (
    b"HTTP/1.1 503 Busy\r\nPapayalink-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
STREAM = (
    b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"


def event(number, text=None):
    """Returns: one event of a stream as a chunk."""
    text = text or f"p{number}"
    data = b"id: %d\ndata: %s\n\n" % (number, text.encode())
    return b"%x\r\n%s\r\n" % (len(data), data)


# State of a control member that does not lead.
NOT_LEADING = SimpleNamespace(leading_term=None)


class Upstream:
    """Answers each request with the next list of steps, then with OK.

    A step is bytes to send, seconds to wait, "reset" or "close".

    Attributes:
        received: requests, in their order.
        carriers: for each of these, the number of its connection, from 1.
    """

    def __init__(self, name, *script):
        self.name = name
        self.script = list(script)
        self.received = []
        self.carriers = []
        self.hang_ups = 0
        self.connections = 0
        self.server = servers.StreamServer((HOST, 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"{self.server.server_host}:{self.server.server_port}"

    def next_steps(self, request):
        """Returns: the steps of the answer to a request."""
        return self.script.pop(0) if self.script else [OK]

    def _serve(self, sock, address):
        self.connections += 1
        number = self.connections
        while True:
            data = b""
            while b"\r\n\r\n" not in data:
                chunk = sock.recv(65536)
                if not chunk:
                    return
                data += chunk
            self.received.append(data)
            self.carriers.append(number)
            for step in self.next_steps(data):
                if step == "reset":
                    gevent.sleep(0.02)
                    sockets.reset(sock)
                    return
                if step == "close":
                    return
                if isinstance(step, bytes):
                    try:
                        sock.sendall(step)
                    except ConnectionError:
                        self.hang_ups += 1
                        return
                    gevent.sleep(0.01)
                    continue
                sock.settimeout(step)
                try:
                    if not sock.recv(1, socket.MSG_PEEK):
                        self.hang_ups += 1
                        return
                except TimeoutError:
                    sock.settimeout(None)
                except ConnectionError:
                    self.hang_ups += 1
                    return


class _Watcher:
    """Always holds the same document."""

    number = 1
    weights = {}

    def __init__(self, directory):
        self.directory = directory

    def age_s(self):
        return 0.1


def make_route(name, repeat, **fields):
    stream = fields.get("stream", False)
    return traffic.Route(
        name=name,
        host="a.example",
        prefix=f"/{name}/",
        targets=(traffic.Target("models" if stream else "desk", 1),),
        repeat=repeat,
        timeout_s=fields.pop("timeout_s", 2.0),
        objective_s=fields.pop("objective_s", 0.4),
        rank=1,
        max_attempts=fields.pop("max_attempts", 2),
        prompts=stream,
        **fields,
    )


class _Channels(upstream_channels.Channels):
    """Channels that can end the probes of lost replicas, which last 30 s.

    Attributes:
        ended: whether no replica is probed from now on.
    """

    ended = False

    def probe(self, address):
        if self.ended:
            raise gevent.GreenletExit
        super().probe(address)


class Gateway:
    """A gateway in front of upstreams, without control members."""

    def __init__(self, upstreams, routes, workspaces=()):
        self.upstreams = upstreams
        document = traffic.TrafficDocument(
            number=1,
            routes=tuple(routes),
            services=(),
            workspaces=tuple(workspaces),
        )
        placement = cache_placement.make_cache_placement(
            "z", part_directory.make_part_directory()
        )
        self.tables = table_exchange.make_table_set()
        self.fleet = fleets.make_fleet("z", 10.0, history=self.tables.weights)
        self.metrics = metrics_module.make_metrics()
        self.channels = _Channels()
        self.fleet.update(
            replicas.Replica(
                replica_id=upstream.name,
                service=service,
                address=upstream.address,
                zone="z",
                slots=8,
                condition=replicas.Condition.READY,
                weights={"m": 1} if service == "models" else {},
                software=getattr(upstream, "software", "v1"),
            )
            for service in ("desk", "models")
            for upstream in upstreams
            if upstream.name.startswith(service)
        )
        self.liveness = liveness.make_liveness(
            self.channels, self.metrics, self.fleet.changed
        )
        self.limits = limits.make_limit_keeper(self.tables.limits, self.fleet)
        self.crashes = crashes.make_crash_observer(
            self.tables.suspects, self.liveness, self.metrics
        )
        self.departures = departures.make_departures(
            self.tables.leaving, self.fleet, self.channels
        )
        self.shared = shared.make_shared(
            dialects.make_dialect(),
            _Watcher(traffic.make_directory(document)),
            self.fleet,
            self.channels,
            budgets.make_budgets(
                node_settings.Bounds(), lambda: 1.0, float("-inf")
            ),
            placement,
            self.liveness,
            self.crashes,
            self.limits,
            self.departures,
            take_ups.make_take_ups(
                SimpleNamespace(
                    rpc_client=SimpleNamespace(call=self.ask_member)
                ),
                lambda: ["member"],
                self.tables,
                self.metrics,
            ),
            self.metrics,
        )
        handler = handling.make_handler(self.shared)
        self.server = caller_server.make_caller_server(
            (HOST, 0),
            handler.handle,
            handler.reject_late,
            lambda: document.limits,
        )
        self.server.start()

    def call(
        self,
        path,
        headers=(),
        method=b"POST",
        body=b"hi",
        timeout_s=5,
        partial=False,
    ):
        """Returns: status, headers and body; body None if it is incomplete.

        Args:
            partial: return what there is of the body, and whether it is whole.
        """
        lines = [
            method + b" " + path + b" HTTP/1.1",
            b"Host: a.example",
            b"Connection: close",
            b"Content-Length: %d" % len(body),
            *headers,
        ]
        if not any(b"Request-Id" in header for header in headers):
            lines.append(b"Papayalink-Request-Id: c1")
        with socket.create_connection(
            self.server.address, timeout=timeout_s
        ) as sock:
            sock.sendall(b"\r\n".join([*lines, b"", body]))
            return _read(sock, partial)

    def ask_member(self, address, method, message, timeout_s):
        raise errors.NotConnected("there are no control members")

    def stop_serving(self):
        self.server.stop(0.1)

    def stop(self):
        self.stop_serving()
        self.channels.ended = True
        for upstream in self.upstreams:
            upstream.server.stop()


def _read(sock, partial):
    received = b""
    while chunk := sock.recv(65536):
        received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    if not head:
        return None, {}, (b"", False) if partial else None
    lines = head.split(b"\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(b":") for line in lines[1:])
    }
    status = int(lines[0].split()[1])
    if b"content-length" in headers:
        whole = len(body) == int(headers[b"content-length"])
    else:
        body, whole = _join_chunks(body)
    if partial:
        return status, headers, (body, whole)
    return status, headers, body if whole else None


def _join_chunks(data):
    """Returns: the content of the chunks, and whether the last one came."""
    joined = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        if not int(size, 16):
            return joined, True
        joined += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return joined, False
