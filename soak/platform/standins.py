"""Stand-ins for the platform's list, replicas and documents."""

import json

import gevent
from gevent import pywsgi
import msgspec

from soak import records

EVENTS = 12
EVENT_S = 0.03
PLAIN_S = 0.05
HOST = "soak.example"
# Keys by workspace.
KEYS = {"counter": "key-counter", "office": "key-office"}
# Path prefix of each kind of call.
ONCE, LOOKUP, STREAM, CHANGING = "/once/", "/look/", "/stream/", "/extra/"
_KINDS = {
    ONCE: ("non_idempotent", 1, False),
    LOOKUP: ("idempotent", 2, False),
    STREAM: ("streaming", 2, True),
    CHANGING: ("idempotent", 2, False),
}


def make_document(number: int, with_changing: bool) -> bytes:
    """Returns: a document, with or without the route that comes and goes."""
    routes = [
        {
            "name": f"r{prefix.strip('/')}",
            "host": HOST,
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutMs": 4000,
            "sloMs": 400,
            "priority": 0,
            "service": "desk",
            "maxAttempts": attempts,
            "resumable": resumable,
            "sticky": False,
            "public": False,
        }
        for prefix, (kind, attempts, resumable) in _KINDS.items()
        if with_changing or prefix != CHANGING
    ]
    tenants = [
        {"name": name, "apiKeys": [key], "priority": 1}
        for name, key in KEYS.items()
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


class Replica(msgspec.Struct, eq=False):
    """One replica behind a proxy, and how it misbehaves.

    Attributes:
        mode: "well", "busy" refuses, "failing" answers 500, "mute" runs
            calls and does not answer.
    """

    replica_id: str
    zone: str
    runs: records.Runs
    mode: str = "well"
    leaving: bool = False
    address: str = ""

    def answer(self, environ: dict, start_response):
        path = environ["PATH_INFO"]
        call_id = environ.get("HTTP_PAPAYALINK_REQUEST_ID", "")
        head = [
            ("Papayalink-Request-Id", call_id),
            ("Papayalink-Instance-Id", self.replica_id),
        ]
        expected = environ.get("HTTP_PAPAYALINK_EXPECT_INSTANCE")
        if expected != self.replica_id:
            start_response("421 Misdirected", head)
            return [b""]
        if self.mode == "busy":
            head.append(("Papayalink-Not-Executed", "1"))
            start_response("503 Busy", head)
            return [b""]
        first = int(environ.get("HTTP_LAST_EVENT_ID") or 0)
        self.runs.begin(
            call_id,
            self.replica_id,
            path,
            environ.get("HTTP_PAPAYALINK_TENANT_ID", ""),
            "HTTP_AUTHORIZATION" in environ,
            first,
            self.leaving,
        )
        if self.mode == "mute":
            gevent.sleep(30)
        head.append(
            ("Papayalink-Server-Stamp", f"{self.replica_id}.{call_id}")
        )
        if not path.startswith(STREAM):
            gevent.sleep(PLAIN_S)
            status = "500 Failed" if self.mode == "failing" else "200 OK"
            start_response(status, head)
            return [records.body_of(call_id, self.replica_id)]
        head.append(("Content-Type", "text/event-stream"))
        start_response("200 OK", head)
        return _events(call_id, first)


def _events(call_id: str, first: int):
    for number in range(first + 1, EVENTS + 1):
        gevent.sleep(EVENT_S)
        yield records.event_of(call_id, number)


class Platform:
    """Serves the list and the replicas.

    Args:
        ip: address of the list.
        proxies: address that is listed for a server's own.
    """

    def __init__(self, ip: str, runs: records.Runs, make_proxy) -> None:
        self._runs = runs
        self._make_proxy = make_proxy
        self._servers = []
        self.replicas: list[Replica] = []
        self.proxies = {}
        self._list = pywsgi.WSGIServer((ip, 0), self._answer_list, log=None)
        self._list.start()
        self.address = f"{ip}:{self._list.server_port}"

    def add_replica(self, replica_id: str, zone: str, ip: str) -> Replica:
        replica = Replica(replica_id, zone, self._runs)
        server = pywsgi.WSGIServer((ip, 0), replica.answer, log=None)
        server.start()
        self._servers.append(server)
        proxy = self._make_proxy((ip, server.server_port))
        self.proxies[replica_id] = proxy
        replica.address = proxy.address
        self.replicas.append(replica)
        return replica

    def stop(self) -> None:
        for server in (self._list, *self._servers, *self.proxies.values()):
            server.stop()

    def _answer_list(self, environ, start_response):
        entries = [
            {
                "id": each.replica_id,
                "service": "desk",
                "address": each.address,
                "zone": each.zone,
                "version": "v1",
                "slots": 16,
                "state": "draining" if each.leaving else "ready",
                "coldRemainingMs": 0,
            }
            for each in self.replicas
        ]
        # An entry of another writer, which names no replica.
        entries.append({"id": 7, "state": "unheard of"})
        start_response("200 OK", [("Content-Type", "application/json")])
        listed = {"instances": entries, "nextToken": None}
        return [json.dumps(listed).encode()]


def make_headers(call_id: str, workspace: str, budget_ms: int) -> dict:
    """Returns: headers of a caller."""
    return {
        "Host": HOST,
        "Papayalink-Request-Id": call_id,
        "Papayalink-Deadline-Ms": str(budget_ms),
        "Authorization": f"Bearer {KEYS[workspace]}",
    }
