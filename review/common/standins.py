"""Stand-ins of the platform's list and of replicas, as the pages say."""

import http.server
import json
import socket
import socketserver
import struct
import threading
import time

LIST_PORT = 8744
REPLICA_PORT = 8080


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, handler):
        self.connections = set()
        super().__init__(address, handler)

    def handle_error(self, request, client_address):
        """A connection that breaks is not an error of the stand-in."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self.connection)

    def finish(self):
        self.server.connections.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def log_message(self, *_):
        pass

    def answer(self, status, headers, body=b""):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Replica:
    """One replica: runs requests, and records what it runs.

    Attributes:
        replica_id: id of its present lifetime.
        software: version of its software.
        leaving: whether it says that it leaves.
        listed: state that the list shows, None if it is not listed.
    """

    def __init__(self, ip, replica_id, zone, service, record, **options):
        self.ip = ip
        self.replica_id = replica_id
        self.zone = zone
        self.service = service
        self.record = record
        self.software = options.get("software", "v1")
        self.models = options.get("models", [])
        self.work_s = options.get("work_s", 0.02)
        self.events = options.get("events", 10)
        self.event_s = options.get("event_s", 0.05)
        self.deadly_part = options.get("deadly_part", "")
        self.on_crash = options.get("on_crash", None)
        self.limit_per_s = options.get("limit_per_s", None)
        self.leaving = False
        self.listed = "ready"
        self.runs = []
        self.rejected = 0
        self.born_ms = 0
        self._server = None
        self._lock = threading.Lock()

    @property
    def address(self):
        return f"{self.ip}:{REPLICA_PORT}"

    @property
    def serving(self):
        return self._server is not None

    def start(self):
        replica = self

        class Handler(_Handler):
            def do_GET(self):
                replica._answer(self)

            do_POST = do_GET

        self.born_ms = int(time.time() * 1000)
        self._server = _Server((self.ip, REPLICA_PORT), Handler)
        threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        ).start()

    def end(self):
        """The process ends: its connections break, its port refuses."""
        with self._lock:
            server, self._server = self._server, None
        if server is None:
            return False
        server.socket.close()
        for connection in list(server.connections):
            _reset(connection)
        threading.Thread(target=server.shutdown, daemon=True).start()
        return True

    def close(self):
        self.end()

    def _answer(self, handler):
        length = int(handler.headers.get("Content-Length") or 0)
        handler.rfile.read(length)
        path = handler.path
        if path == "/health":
            handler.answer(
                503 if self.leaving else 200,
                [("Papayalink-Instance-Id", self.replica_id)],
            )
            return
        if path == "/-/report":
            handler.answer(
                200,
                [("Content-Type", "application/json")],
                json.dumps(
                    {
                        "stage": "unified",
                        "models": self.models,
                        "busy": False,
                        "sequence": 0,
                        "born": self.born_ms,
                    }
                ).encode(),
            )
            return
        call_id = handler.headers.get("Papayalink-Request-Id", "")
        headers = [
            ("Papayalink-Request-Id", call_id),
            ("Papayalink-Instance-Id", self.replica_id),
        ]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        if self.limit_per_s is not None:
            headers.append(("Server-Limit", str(self.limit_per_s)))
        expected = handler.headers.get("Papayalink-Expect-Instance")
        if expected and expected != self.replica_id:
            self.rejected += 1
            handler.answer(421, headers)
            return
        run = {
            "call": call_id,
            "at": time.monotonic(),
            "replica": self.replica_id,
            "software": self.software,
            "tenant": handler.headers.get("Papayalink-Tenant-Id", ""),
            "after": int(handler.headers.get("Last-Event-Id") or 0),
            "prefix": handler.headers.get("Papayalink-Prefix-Hash", ""),
        }
        self.runs.append(run)
        self.record.write(
            f"replica {self.replica_id} ({self.software}) runs {call_id}"
            f" {path}"
        )
        headers.append(
            ("Papayalink-Server-Stamp", f"{self.replica_id}.{call_id}")
        )
        for model in self.models:
            headers.append(
                ("Papayalink-Model-Versions", str(model["version"]))
            )
        if path.startswith("/stream/"):
            self._stream(handler, headers, run)
            return
        time.sleep(self.work_s)
        handler.answer(200, headers, f"{call_id}\n".encode())

    def _stream(self, handler, headers, run):
        handler.send_response_only(200)
        for name, value in headers:
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        shared = run["prefix"].split(",")[:-1]
        parts = {field.partition(":")[0].strip() for field in shared}
        if self.deadly_part and self.deadly_part in parts:
            time.sleep(self.event_s)
            if self.end():
                self.record.write(
                    f"replica {self.replica_id} crashes on {run['call']}"
                )
                self.on_crash(self, run)
            raise ConnectionError("crashed")
        for number in range(run["after"] + 1, self.events + 1):
            time.sleep(self.event_s)
            event = f"id: {number}\ndata: {self.software} {number}\n\n"
            data = event.encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        handler.wfile.write(b"0\r\n\r\n")


class InstanceList:
    """The platform's list of replicas."""

    def __init__(self, ip):
        self.replicas = []
        listing = self

        class Handler(_Handler):
            def do_GET(self):
                body = json.dumps(listing.make_page()).encode()
                self.answer(200, [("Content-Type", "application/json")], body)

        self._server = _Server((ip, LIST_PORT), Handler)
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def make_page(self):
        return {
            "instances": [
                {
                    "id": each.replica_id,
                    "service": each.service,
                    "address": each.address,
                    "zone": each.zone,
                    "version": each.software,
                    "slots": 64,
                    "state": each.listed,
                    "coldRemainingMs": 0,
                    "stage": "unified",
                    "models": each.models,
                    "born": each.born_ms,
                }
                for each in self.replicas
                if each.listed
            ],
            "nextToken": None,
        }

    def close(self):
        self._server.socket.close()
        threading.Thread(target=self._server.shutdown, daemon=True).start()


def _reset(connection):
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        # Wakes the thread that uses it, which closes it.
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
