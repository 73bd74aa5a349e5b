"""Callers with persistent connections, and operators that retry."""

import itertools
import random
import time

import gevent
from gevent import event

from soak import caller_connection
from soak import nodes as node_module
from soak import records
from soak.platform import standins

DEADLINE_S = 3.0
# Callers get an answer within their deadline, and this much later at most.
GRACE_S = 3.0
RETRY_INTERVAL_S = 0.2
# Every so many streams of a caller have the part that ends replicas, and every
# so many are the request that does.
CRASHING_INTERVAL = 2
CRASHING_REQUEST_INTERVAL = 3
MAX_TAKE_UPS = 2
PATH_PREFIXES = (
    standins.ONCE,
    standins.LOOKUP,
    standins.STREAM,
    standins.OPTIONAL,
)
# Sizes of bodies, and the pieces and longest pauses in which they are written.
BODY_BYTES = (0, 0, 300, 40_000, 400_000)
MAX_PIECES = 3
MAX_PIECE_PAUSE_S = 0.1
# Share of the calls after which callers close their sending side.
HALF_CLOSED_SHARE = 0.1
# Longest pause of a caller between two calls.
PAUSE_S = 0.06


class Caller:
    """Sends calls one at a time, on the oldest connection to a gateway.

    Args:
        pause_s: longest pause between two calls.
        kept: number of connections to each gateway that are kept open while
            the caller pauses. Without, there is one, opened with a call.
        deadline_s: deadline of each call.
        path_prefixes: kinds of calls.
        looks: see `caller_connection.CallerConnection`.
    """

    def __init__(
        self,
        name: str,
        history: records.History,
        rng,
        pause_s: float = PAUSE_S,
        kept: int = 0,
        deadline_s: float = DEADLINE_S,
        path_prefixes: tuple[str, ...] = PATH_PREFIXES,
        looks: bool = True,
    ) -> None:
        self._name = name
        self._history = history
        self._rng = rng
        self._pause_s = pause_s
        self._kept = kept
        self._deadline_s = deadline_s
        self._path_prefixes = path_prefixes
        self._looks = looks
        self._numbers = itertools.count(1)
        self._connections: dict[
            str, list[caller_connection.CallerConnection]
        ] = {}
        self._streams = 0
        # Independent, so that the other choices are those of earlier runs.
        self._half_close_rng = random.Random(f"{name} half-closes")

    def call(self, gateway: node_module.Node) -> records.Call:
        """Send a call of a random kind and record its answer."""
        path_prefix = self._rng.choice(self._path_prefixes)
        workspace = self._rng.choice(sorted(standins.API_KEYS))
        return self._send(gateway, path_prefix, workspace)

    def take_up(
        self, gateway: node_module.Node, broken: records.Call
    ) -> records.Call:
        """Take up a stream that broke off, and record the answer."""
        return self._send(
            gateway,
            standins.STREAM,
            broken.workspace,
            broken.resumes or broken.call_id,
            broken.last_event + broken.body.count(b"\n\n"),
        )

    def _send(
        self,
        gateway: node_module.Node,
        path_prefix: str,
        workspace: str,
        resumes: str = "",
        last_event: int = 0,
    ) -> records.Call:
        call_id = f"{self._name}-{next(self._numbers)}"
        call = records.Call(
            call_id,
            path_prefix,
            workspace,
            gateway.name,
            time.monotonic(),
            self._deadline_s,
            resumes=resumes,
            last_event=last_event,
        )
        self._history.calls.append(call)
        connections = self._connections_to(gateway)
        connection = connections.pop(0)
        connections.append(connection)
        method = "GET" if path_prefix in standins.BODILESS else "POST"
        path = f"{path_prefix}{call_id}"
        if path_prefix == standins.STREAM and not resumes:
            self._streams += 1
            repeated = self._history.crashing_request
            if repeated and self._streams % CRASHING_REQUEST_INTERVAL == 0:
                path = f"{path_prefix}{repeated}"
                call.workspace = workspace = min(standins.API_KEYS)
                call.cause = repeated
        headers = standins.make_headers(
            call_id, workspace, int(self._deadline_s * 1000)
        )
        if path_prefix == standins.STREAM:
            part = "sound"
            if self._streams % CRASHING_INTERVAL == 0:
                if self._history.crashing_part:
                    part = call.cause = self._history.crashing_part
            headers["Papayalink-Prefix-Hash"] = standins.make_prefix(
                part, call_id
            )
            if self._history.model:
                headers["Papayalink-Model"] = self._history.model
                headers["Papayalink-Token-Usage"] = "25,12"
        if resumes:
            headers["Resumes"] = resumes
            headers["Last-Event-Id"] = str(last_event)
        body = caller_connection.Body()
        if method == "POST":
            # A request that is repeated has the same body.
            body = self._make_body(path)
        call.sent_body = records.digest(b"".join(body.pieces))
        if self._half_close_rng.random() < HALF_CLOSED_SHARE:
            self._history.count("half_closed")
            connection = self._connect(gateway)
            connection.call(call, method, path, headers, body, True)
        else:
            connection.call(call, method, path, headers, body)
        call.ended_at = time.monotonic()
        return call

    def _make_body(self, name: str) -> caller_connection.Body:
        """Returns: the body that bears a name, in a random framing."""
        size = random.Random(name).choice(BODY_BYTES)
        content = (name.encode() * (size // len(name) + 1))[:size]
        length = size // self._rng.randint(1, MAX_PIECES) + 1
        return caller_connection.Body(
            tuple(
                content[begin : begin + length]
                for begin in range(0, size, length)
            ),
            self._rng.choice((0.0, self._rng.random() * MAX_PIECE_PAUSE_S)),
            self._rng.random() < 0.5,
        )

    def run(
        self, gateways: list[node_module.Node], ended: event.Event
    ) -> None:
        while not ended.is_set():
            gateway = self._rng.choice(gateways)
            if self._kept and not self._open(gateway):
                self._history.count("closed_port")
                gevent.sleep(RETRY_INTERVAL_S)
                continue
            gevent.sleep(self._rng.random() * self._pause_s)
            call = self.call(gateway)
            for _ in range(MAX_TAKE_UPS):
                if call.path_prefix != standins.STREAM or call.complete:
                    break
                if not call.resumes and b"\n\n" not in call.body:
                    break
                named = [
                    each
                    for each in gateways
                    if each.name == self._history.take_up_at
                ]
                call = self.take_up(self._rng.choice(named or gateways), call)

    def _connections_to(
        self, gateway: node_module.Node
    ) -> list[caller_connection.CallerConnection]:
        if gateway.name not in self._connections:
            self._connections[gateway.name] = [
                self._connect(gateway) for _ in range(max(1, self._kept))
            ]
        return self._connections[gateway.name]

    def _connect(
        self, gateway: node_module.Node
    ) -> caller_connection.CallerConnection:
        return caller_connection.make_caller_connection(
            (gateway.ip, node_module.LISTEN_PORT),
            self._deadline_s + GRACE_S,
            self._looks,
        )

    def _open(self, gateway: node_module.Node) -> bool:
        """Returns: whether all connections to a gateway are open."""
        try:
            for connection in self._connections_to(gateway):
                connection.open()
        except OSError:
            return False
        return True
