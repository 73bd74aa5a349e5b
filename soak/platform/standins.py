"""Stand-ins for the platform: list of replicas, replicas, documents."""

import errno
import json
import time
import zlib

import gevent
from gevent import event
from gevent import pywsgi
import msgspec

from soak import records
from soak.platform import model_weights
from soak.platform import odd_entries

EVENTS_PER_STREAM = 12
EVENT_INTERVAL_S = 0.03
# Longest interval between events of long streams, which may last for about as
# long as calls have beside silences.
LONG_EVENT_INTERVAL_S = 0.36
# Delay that replicas name while they refuse calls.
REFUSAL_DELAY_S = 1.5
# Time after which a crashed replica is back.
RETURN_S = 1.0
PLAIN_ANSWER_S = 0.05
HOST = "soak.example"
# API key of each workspace.
API_KEYS = {"counter": "key-counter", "office": "key-office"}
# Path prefix of each kind of call. Documents have the OPTIONAL route only
# in some versions.
ONCE, LOOKUP, STREAM, OPTIONAL = "/once/", "/look/", "/stream/", "/extra/"
# Calls that may be sent to more replicas, of the scenario of repeats.
OFTEN = "/often/"
# Streams of the scenario of rolls. SINGLE ones are sent to one replica only.
SHORT, LONG, SINGLE = "/short/", "/long/", "/single/"
# Calls of unequal length, whose replicas stop them at the time they are given.
UNEVEN, UNEVEN_STREAM = "/uneven/", "/uneven-stream/"
SHORT_RUN_S, LONG_RUN_S = 0.3, 2.6
UNEVEN_INTERVAL_S = 0.1
# Calls without a body.
BODILESS = frozenset((LOOKUP, UNEVEN, UNEVEN_STREAM))
# Events of each kind of stream, and seconds before each of them.
STREAM_EVENTS = {
    STREAM: (EVENTS_PER_STREAM, EVENT_INTERVAL_S),
    SHORT: (8, 0.05),
    LONG: (40, 0.05),
    SINGLE: (40, 0.05),
    UNEVEN_STREAM: (3, UNEVEN_INTERVAL_S),
}
_ROUTE_OPTIONS = {
    ONCE: ("non_idempotent", 1, False),
    LOOKUP: ("idempotent", 2, False),
    STREAM: ("streaming", 2, True),
    OPTIONAL: ("idempotent", 2, False),
    OFTEN: ("idempotent", 3, False),
    SHORT: ("streaming", 2, True),
    LONG: ("streaming", 2, True),
    SINGLE: ("streaming", 1, False),
    UNEVEN: ("idempotent", 2, False),
    UNEVEN_STREAM: ("streaming", 2, True),
}


def attempts_of(path_prefix: str) -> int:
    """Returns: replicas to which the route allows a call to be sent."""
    return _ROUTE_OPTIONS[path_prefix][1]


def is_long(call_id: str, long_share: float) -> bool:
    """Returns: whether a call of unequal length runs for long."""
    return zlib.crc32(f"long {call_id}".encode()) < long_share * 2**32


def count_events(path_prefix: str, call_id: str, long_share: float) -> int:
    """Returns: number of events of a stream."""
    if path_prefix == UNEVEN_STREAM and is_long(call_id, long_share):
        return round(LONG_RUN_S / UNEVEN_INTERVAL_S)
    return STREAM_EVENTS[path_prefix][0]


def kind_of(path: str) -> str:
    """Returns: path prefix of a call."""
    return f"/{path.split('/')[1]}/"


def make_document(
    number: int, has_optional_route: bool, padding_routes: int = 0
) -> bytes:
    """Returns: a document, with or without the optional route.

    Args:
        padding_routes: routes beyond those that are called.
    """
    kinds = _ROUTE_OPTIONS | {
        f"/padding{each}/": _ROUTE_OPTIONS[LOOKUP]
        for each in range(padding_routes)
    }
    routes = [
        {
            "name": f"r{prefix.strip('/')}",
            "host": HOST,
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutMs": 6000,
            "sloMs": 400,
            "priority": 0,
            "service": "desk",
            "maxAttempts": attempts,
            "resumable": resumable,
            "sticky": False,
            "public": False,
        }
        for prefix, (kind, attempts, resumable) in kinds.items()
        if has_optional_route or prefix != OPTIONAL
    ]
    tenants = [
        {"name": name, "apiKeys": [key], "priority": 1}
        for name, key in API_KEYS.items()
    ]
    services = [{"name": "desk", "maxConns": 100, "healthPath": "/health"}]
    return json.dumps(
        {
            "version": number,
            "routes": routes,
            "services": services,
            "tenants": tenants,
        }
    ).encode()


def make_prefix(part: str, own_part: str) -> str:
    """Returns: the parts of a prompt, of which the last is its own."""
    return f"base:10,{part}:10,{own_part}:5"


class Replica(msgspec.Struct, eq=False):
    """One replica behind a proxy, with a fault mode.

    Attributes:
        mode: "well" for no fault, "busy" refuses calls for a while that it
            names, "failing" answers 500, "mute" runs calls and does not
            answer, "early" answers before it reads bodies.
        failing_share: share of the calls to which "failing" applies.
        address: address of the proxy, which the list names.
        software: version that the list names.
        limit: limit that its answers name, None for none.
        weights: weights of its model, None without a model.
        born_ms: Unix milliseconds at which its lifetime began.
        going: cleared while it stands still and writes nothing.
    """

    replica_id: str
    zone: str
    executions: records.Executions
    platform: "Platform"
    software: str = "v1"
    mode: str = "well"
    failing_share: float = 1.0
    leaving: bool = False
    address: str = ""
    limit: records.NamedLimit | None = None
    weights: model_weights.ModelWeights | None = None
    born_ms: int = msgspec.field(default_factory=lambda: _now_ms())
    going: event.Event = msgspec.field(default_factory=lambda: _make_set())

    def answer(self, environ: dict, start_response):
        path = environ["PATH_INFO"]
        if self.weights is not None and path == model_weights.REPORT_PATH:
            return self.weights.report(start_response)
        call_id = environ.get("HTTP_PAPAYALINK_REQUEST_ID", "")
        headers = [
            ("Papayalink-Request-Id", call_id),
            ("Papayalink-Instance-Id", self.replica_id),
        ]
        if call_id:
            self.executions.note_arrival(
                call_id,
                self.replica_id,
                environ.get("HTTP_PAPAYALINK_DEADLINE_MS", ""),
            )
        expected = environ.get("HTTP_PAPAYALINK_EXPECT_INSTANCE")
        if expected != self.replica_id:
            start_response("421 Misdirected", headers)
            return [b""]
        weights = self.weights
        if weights is not None:
            if path == model_weights.ORDER_PATH:
                return weights.order(environ, start_response)
            wanted = environ.get("HTTP_PAPAYALINK_EXPECT_VERSION")
            headers.append(("Papayalink-Model-Versions", str(weights.version)))
            if wanted and wanted != str(weights.version):
                start_response("421 Misdirected", headers)
                return [b""]
            if wanted and weights.loading:
                headers.append(("Papayalink-Not-Executed", "1"))
                start_response("503 Loading", headers)
                return [b""]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        if self.limit is not None:
            headers.append(("Server-Limit", str(self.limit.limit_per_s)))
        if self.mode == "busy":
            headers.append(("Papayalink-Not-Executed", "1"))
            headers.append(("Retry-After", str(REFUSAL_DELAY_S)))
            self.platform.history.refusals.append(
                records.Refusal(
                    self.replica_id,
                    call_id,
                    time.monotonic(),
                    REFUSAL_DELAY_S,
                )
            )
            start_response("503 Busy", headers)
            return [b""]
        body = ""
        if self.mode != "early":
            try:
                body = records.digest(environ["wsgi.input"].read())
            except OSError:
                # Its gateway has ended.
                start_response("400 Bad Request", headers)
                return [b""]
        last_event_id = int(environ.get("HTTP_LAST_EVENT_ID") or 0)
        self.executions.record(
            call_id,
            self.replica_id,
            path,
            environ.get("HTTP_PAPAYALINK_TENANT_ID", ""),
            "HTTP_AUTHORIZATION" in environ,
            last_event_id,
            self.leaving,
            self.weights.version if self.weights and wanted else 0,
            body,
        )
        if self.mode == "mute":
            gevent.sleep(30)
        headers.append(
            ("Papayalink-Server-Stamp", f"{self.replica_id}.{call_id}")
        )
        kind = kind_of(path)
        given_s = float(environ.get("HTTP_PAPAYALINK_DEADLINE_MS", 0)) / 1000
        if kind == UNEVEN:
            status = self._run_for(call_id, given_s)
            start_response(status, headers)
            return [records.make_body(call_id, self.replica_id)]
        if kind not in STREAM_EVENTS:
            gevent.sleep(PLAIN_ANSWER_S)
            self.going.wait()
            fails = self.mode == "failing" and self._is_failing(call_id)
            start_response("500 Failed" if fails else "200 OK", headers)
            return [records.make_body(call_id, self.replica_id)]
        headers.append(("Content-Type", "text/event-stream"))
        start_response("200 OK", headers)
        cause = _crash_cause(environ, self.platform.history)
        if cause:
            self.platform.history.arrivals.append(
                records.Arrival(cause, call_id, time.monotonic())
            )
            return self._crash(cause)
        until = float("inf")
        if kind == UNEVEN_STREAM:
            until = time.monotonic() + given_s
        return self._write_events(call_id, last_event_id, kind, until)

    def _run_for(self, call_id: str, given_s: float) -> str:
        """Returns: the status once the run has ended, or was stopped."""
        is_long_run = is_long(call_id, self.platform.history.long_share)
        run_s = LONG_RUN_S if is_long_run else SHORT_RUN_S
        gevent.sleep(min(run_s, given_s))
        self.going.wait()
        if run_s <= given_s:
            return "200 OK"
        self.executions.note_stopped(call_id)
        return "504 Too Late"

    def _write_events(
        self, call_id: str, last_event_id: int, kind: str, until: float
    ):
        """Args: until: when the stream breaks off."""
        count = count_events(kind, call_id, self.platform.history.long_share)
        shortest_s = longest_s = STREAM_EVENTS[kind][1]
        if kind != UNEVEN_STREAM:
            longest_s = max(shortest_s, self.platform.max_event_interval_s)
        interval_s = _draw_interval_s(call_id, shortest_s, longest_s)
        try:
            for number in range(last_event_id + 1, count + 1):
                left_s = until - time.monotonic()
                gevent.sleep(max(0.0, min(interval_s, left_s)))
                if left_s < interval_s:
                    self.executions.note_stopped(call_id)
                    # The server closes the connection without a chunk.
                    raise BrokenPipeError(errno.EPIPE, "out of time")
                self.going.wait()
                yield records.make_event(call_id, number, self.software)
        finally:
            self.executions.finished[call_id] = time.monotonic()

    def _is_failing(self, call_id: str) -> bool:
        drawn = zlib.crc32(f"{call_id} {self.replica_id}".encode())
        return drawn < self.failing_share * 2**32

    def _crash(self, cause: str):
        """Begin an event, and end with all connections."""
        yield b"id: 1\nda"
        gevent.sleep(EVENT_INTERVAL_S)
        self.platform.crash(self, cause)


def _now_ms() -> int:
    return int(time.time() * 1000)


def _crash_cause(environ: dict, history: records.History) -> str:
    """Returns: the request or part that ends the replica, "" for none."""
    request = environ["PATH_INFO"].removeprefix(STREAM)
    if request == history.crashing_request:
        return request
    shared = environ.get("HTTP_PAPAYALINK_PREFIX_HASH", "").split(",")[:-1]
    part_ids = {field.partition(":")[0] for field in shared}
    return history.crashing_part if history.crashing_part in part_ids else ""


def _make_set() -> event.Event:
    made = event.Event()
    made.set()
    return made


def _draw_interval_s(call_id: str, min_s: float, max_s: float) -> float:
    """Returns: the time between the events of a stream, by its call."""
    drawn = zlib.crc32(call_id.encode()) / 2**32
    return min_s + drawn * (max_s - min_s)


class Platform:
    """Serves the list of replicas, and the replicas.

    Args:
        ip: address that serves the list.
        history: where the replicas record what they run.
        make_proxy: makes a proxy for the address of a replica; the list
            names the address of the proxy.
        max_event_interval_s: longest time between two events of a stream.
    """

    def __init__(
        self,
        ip: str,
        history: records.History,
        make_proxy,
        max_event_interval_s: float = EVENT_INTERVAL_S,
    ) -> None:
        self.history = history
        self.max_event_interval_s = max_event_interval_s
        self._make_proxy = make_proxy
        self._stopped = False
        self._releases = 0
        self._answers = 0
        self._servers = {}
        self.replicas: list[Replica] = []
        self.proxies = {}
        self._list = pywsgi.WSGIServer((ip, 0), self._answer_list, log=None)
        self._list.start()
        self._list_proxies = []
        self.odd_entries: list[bytes] = []
        self.address = f"{ip}:{self._list.server_port}"

    def add_list_proxy(self):
        """Returns: a proxy for the list of replicas."""
        target = (self._list.server_host, self._list.server_port)
        list_proxy = self._make_proxy(target)
        self._list_proxies.append(list_proxy)
        return list_proxy

    def add_replica(
        self,
        replica_id: str,
        zone: str,
        ip: str,
        software: str = "v1",
        weights: model_weights.ModelWeights | None = None,
    ) -> Replica:
        replica = Replica(
            replica_id,
            zone,
            self.history.executions,
            self,
            software,
            weights=weights,
        )
        server = pywsgi.WSGIServer((ip, 0), replica.answer, log=None)
        server.start()
        self._servers[replica_id] = server
        proxy = self._make_proxy((ip, server.server_port))
        self.proxies[replica_id] = proxy
        replica.address = proxy.address
        self.replicas.append(replica)
        self.history.serving_periods.append(
            records.ServingPeriod(replica_id, software, time.monotonic())
        )
        return replica

    def crash(self, replica: Replica, cause: str) -> None:
        """End a replica; every other time it returns under its id."""
        if replica.replica_id not in self._servers:
            return
        self.history.crashes.append((cause, time.monotonic()))
        self.end(replica, len(self.history.crashes) % 2 == 0)

    def end(self, replica: Replica, keeps_id: bool = False) -> None:
        """End a replica, which returns after a while."""
        if replica.replica_id not in self._servers:
            return
        next_id = replica.replica_id
        if not keeps_id:
            name, _, starts = next_id.partition("+")
            next_id = f"{name}+{int(starts or 0) + 1}"
        end = self.history.begin("crash", replica.replica_id)
        end.ended_at = end.began_at
        if replica.limit is not None:
            # Its next lifetime names none, also under the same id.
            replica.limit.until = time.monotonic()
            replica.limit = None
        # The address refuses connections from now on.
        self.proxies.pop(replica.replica_id).stop()
        self._end_serving(replica)
        server = self._servers.pop(replica.replica_id)
        gevent.spawn(server.stop, 0)
        if replica.weights is not None:
            replica.weights.restart()
        gevent.spawn_later(
            RETURN_S, self._return, replica, next_id, server.server_host
        )

    def _return(self, replica: Replica, next_id: str, ip: str) -> None:
        if self._stopped:
            return
        self.add_replica(
            next_id, replica.zone, ip, replica.software, replica.weights
        )
        self.replicas.remove(replica)

    def release(self, replica: Replica) -> None:
        """Start a replica of a newer version, and let another one leave."""
        server = self._servers.get(replica.replica_id)
        if server is None:
            return
        self._releases += 1
        name = replica.replica_id.partition("+")[0]
        self.add_replica(
            f"{name}-r{self._releases}",
            replica.zone,
            server.server_host,
            f"v{self._releases + 1}",
            self._newest_weights(),
        )
        self.leave(replica)

    def leave(self, replica: Replica) -> None:
        replica.leaving = True
        self._end_serving(replica)

    def _end_serving(self, replica: Replica) -> None:
        for each in self.history.serving_periods:
            if each.replica_id == replica.replica_id:
                each.until = min(each.until, time.monotonic())

    def _newest_weights(self) -> model_weights.ModelWeights | None:
        """Returns: what a new replica holds, None without a model."""
        if not self.history.model:
            return None
        named = [
            each.version for each in self.history.namings if each.accepted_at
        ]
        return model_weights.ModelWeights(max(named, default=1))

    def remove(self, replica: Replica) -> None:
        """End a replica that has left, with the streams that it writes.

        One that has crashed meanwhile may have returned under the same id.
        """
        if replica in self.replicas and replica.replica_id in self._servers:
            server = self._servers.pop(replica.replica_id)
            self.replicas.remove(replica)
            self.proxies.pop(replica.replica_id).stop()
            gevent.spawn(server.stop, 0)

    def stop(self) -> None:
        self._stopped = True
        for server in (
            self._list,
            *self._servers.values(),
            *self.proxies.values(),
            *self._list_proxies,
        ):
            server.stop()

    def _answer_list(self, environ, start_response):
        entries = [
            {
                "id": each.replica_id,
                "service": "desk",
                "address": each.address,
                "zone": each.zone,
                "version": each.software,
                "slots": 16,
                "state": "draining" if each.leaving else "ready",
                "coldRemainingMs": 0,
                "models": each.weights.listed if each.weights else [],
                "born": each.born_ms,
            }
            for each in self.replicas
        ]
        # An entry of another writer, which changes with each answer.
        odd = odd_entries.ALL[self._answers % len(odd_entries.ALL)]
        self._answers += 1
        items = [json.dumps(entry).encode() for entry in entries]
        items.insert(self._answers % (len(items) + 1), odd)
        items[len(items) // 2 : 0] = self.odd_entries
        start_response("200 OK", [("Content-Type", "application/json")])
        return [b'{"instances":[%s],"nextToken":null}' % b",".join(items)]


def make_headers(call_id: str, workspace: str, deadline_ms: int) -> dict:
    """Returns: request headers of a caller."""
    return {
        "Host": HOST,
        "Papayalink-Request-Id": call_id,
        "Papayalink-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {API_KEYS[workspace]}",
    }
