"""A consumer of event streams."""

import socket
import time

import fleet as fleets

HOST = "desk.example"
MODEL = "m1"


class Stream:
    """What one try of a consumer brought.

    Attributes:
        status: 0 without the head of an answer.
        last_event: number of the last whole event, over all tries.
        complete: whether the answer ended regularly.
    """

    def __init__(self, call_id, resumes="", last_event=0):
        self.call_id = call_id
        self.resumes = resumes
        self.first_event = last_event
        self.last_event = last_event
        self.status = 0
        self.versions = []
        self.complete = False
        self.sent_at = 0.0
        self.retry_after_s = 0.0
        self.sock = None

    @property
    def began(self):
        """Whether it brought an event."""
        return self.last_event > self.first_event

    def run(self, machine, path, prefix, budget_s, stop_at=None):
        """Send the request, and read the answer to its end.

        Args:
            stop_at: when the channel breaks, None for never.
        """
        self.sent_at = time.monotonic()
        deadline = self.sent_at + budget_s
        try:
            self._exchange(machine, path, prefix, deadline, stop_at)
        except (OSError, ValueError):
            pass
        finally:
            if self.sock is not None:
                self.sock.close()

    def _exchange(self, machine, path, prefix, deadline, stop_at):
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Papayalink-Request-Id: {self.call_id}",
            "Papayalink-Deadline-Ms:"
            f" {int((deadline - time.monotonic()) * 1000)}",
            f"Papayalink-Model: {MODEL}",
            "Papayalink-Token-Usage: 100,50",
            f"Papayalink-Prefix-Hash: {prefix}",
            "Authorization: Bearer key-a",
            "Content-Length: 0",
        ]
        if self.resumes:
            lines.append(f"Resumes: {self.resumes}")
            lines.append(f"Last-Event-Id: {self.last_event}")
        self.sock = socket.create_connection(
            (machine.ip, fleets.LISTEN_PORT), 1.0
        )
        self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        file = self.sock.makefile("rb")
        self._set_timeout(deadline, stop_at)
        self.status = int(file.readline().split()[1])
        chunked = False
        length = 0
        while line := file.readline().strip():
            name, _, value = line.decode().partition(":")
            match name.lower():
                case "transfer-encoding":
                    chunked = True
                case "content-length":
                    length = int(value)
                case "retry-after":
                    self.retry_after_s = float(value)
        if not chunked:
            file.read(length)
            self.complete = True
            return
        while True:
            self._set_timeout(deadline, stop_at)
            size = int(file.readline(), 16)
            data = file.read(size)
            file.readline()
            if not size:
                self.complete = True
                return
            for event in data.split(b"\n\n"):
                if event.startswith(b"id: "):
                    head, _, text = event.partition(b"\n")
                    self.last_event = int(head[4:])
                    self.versions.append(text.split()[1].decode())

    def _set_timeout(self, deadline, stop_at):
        now = time.monotonic()
        left_s = deadline - now
        if stop_at is not None:
            left_s = min(left_s, stop_at - now)
        if left_s <= 0:
            raise TimeoutError
        self.sock.settimeout(left_s)


def make_route(name, prefix, service, resumable, attempts, timeout_ms):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": "streaming",
        "timeoutMs": timeout_ms,
        "sloMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        "sticky": True,
        "resumable": resumable,
        "gapAimMs": 400,
    }


def make_document(version, route):
    return {
        "version": version,
        "routes": [route],
        "services": [
            {
                "name": route["service"],
                "healthPath": "/health",
                "maxConns": 390,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 46549,
                    "tokenKvBytes": 18432,
                    "bandwidthMbps": 280000.0,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "tenants": [{"name": "t1", "apiKeys": ["key-a"], "priority": 1}],
    }
