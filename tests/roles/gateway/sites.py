"""Gateways that share a control member, in front of stub replicas."""

import time
from types import SimpleNamespace

import gevent
from gevent import server as servers
from gevent import socket

from papayalink import metrics as metrics_module
from papayalink.protocol import messages
from papayalink.roles.authority import service as services
from papayalink.roles.gateway import listing as listings
from papayalink.roles.gateway import parts
from papayalink.state import part_directory
from papayalink.state import replicas
from papayalink.state import traffic
from papayalink.transport import errors
from tests.roles.gateway import stubs

_STREAM_HEAD = b"HTTP/1.1 200 OK\r\n" + stubs.STAMP
HALF_EVENT = _STREAM_HEAD + b"\r\nid: 1\nda"
EVENTS = 4

ROUTES = (
    stubs.make_route("resumed", traffic.RepeatPolicy.RESUMABLE, stream=True),
    stubs.make_route("stream", traffic.RepeatPolicy.ONCE, stream=True),
)


# Body of requests that end the replicas that run them.
DEADLY = b"deadly"


class Replica:
    """Answers calls, and ends with a crashing part or a deadly body.

    Args:
        crashing: parts that end the replica unless they come last.
        last_words: what it sends of the answer before it ends.

    Attributes:
        limit_per_s: limit that its answers name, None for none.
        breaks_off: whether its answers break off within an event.
        headers: further header lines of its answers.
        refusal: answer to all calls, None to run them.
        breaks_after: number of the event after which they break off, None if
            they do not.
        arrived_at: when prompts arrived.
    """

    def __init__(self, site, name, crashing, last_words, software):
        self.name = name
        self.software = software
        self.headers = b""
        self.refusal = None
        self.breaks_after = None
        self.limit_per_s = None
        self.breaks_off = False
        self.arrived_at = []
        self._site = site
        self._crashing = crashing
        self._last_words = last_words
        self._sockets = []
        self._server = servers.StreamServer((stubs.HOST, 0), self._serve)
        self._server.start()
        self.address = f"{stubs.HOST}:{self._server.server_port}"

    def _serve(self, sock, address):
        self._sockets.append(sock)
        while request := _receive(sock):
            head, body = request
            lines = head.lower().split(b"\r\n")
            parts_line = next(
                (line for line in lines if b"prefix-hash" in line), b""
            ).decode()
            part_ids = [
                field.partition(":")[0]
                for field in parts_line.partition(": ")[2].split(",")
            ]
            self._site.arrivals.append(part_ids)
            self.arrived_at.append(time.monotonic())
            gevent.sleep(0.01)
            if self._crashing & set(part_ids[:-1]) or body == DEADLY:
                sock.sendall(self._last_words)
                gevent.sleep(0.01)
                self.crash()
                return
            if self.refusal is not None:
                sock.sendall(self.refusal)
                return
            sock.sendall(self._answer(lines))
            if self.breaks_off or self.breaks_after is not None:
                return

    def _answer(self, lines):
        """Returns: the answer, whose events tell the software version."""
        answer = stubs.STREAM
        if self.breaks_off:
            answer = HALF_EVENT
        else:
            last_event = b"0"
            for line in lines:
                if line.startswith(b"last-event-id:"):
                    last_event = line.partition(b":")[2]
            last = self.breaks_after or EVENTS
            for number in range(int(last_event) + 1, last + 1):
                answer += stubs.event(number, self.software)
            if self.breaks_after is None:
                answer += stubs.END
        if self.limit_per_s is not None:
            limit = b"Server-Limit: %.1f\r\n" % self.limit_per_s
            answer = answer.replace(stubs.STAMP, stubs.STAMP + limit)
        return answer.replace(stubs.STAMP, stubs.STAMP + self.headers)

    def crash(self):
        self._server.stop()
        for sock in self._sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self._site.crashed.append(self.name)

    def stop(self):
        self._server.stop()


def _receive(sock):
    """Returns: head and body of a request, None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return None
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    fields = head.lower().partition(b"content-length:")[2]
    while len(body) < int(fields.split(b"\r\n")[0] or 0):
        body += sock.recv(65536)
    return head, body


class _Stores:
    """Stores of a member that hold nothing."""

    complete = True

    def __init__(self):
        self.directory = part_directory.make_part_directory()

    def note_demand(self):
        pass


class _Relay:
    number = 0
    listed = ()

    def age_ms(self):
        return 0

    def note_demand(self):
        pass


EMPTY_STORES = _Stores()
NO_LIST = _Relay()


class Entry(stubs.Gateway):
    """A gateway that exchanges reports with the site's member.

    Attributes:
        cut_off: whether the member does not answer it.
        on_reply: called before a reply of the member is read.
    """

    def __init__(self, site, name):
        super().__init__(site.replicas, ROUTES)
        self._site = site
        self.cut_off = False
        self.on_reply = lambda: None
        self.listing = listings.make_listing(
            None,
            self.fleet,
            self.crashes.note_left,
            metrics_module.make_metrics(),
        )
        self._follower = parts.make_parts_follower(
            SimpleNamespace(
                settings=SimpleNamespace(name=name),
                rpc_client=SimpleNamespace(call=self.ask_member),
            ),
            lambda: [""],
            self.fleet,
            self.liveness,
            self.tables,
            self.crashes,
            self.limits,
            self.departures,
            self.listing,
            part_directory.make_part_directory(),
        )

    def ask_member(self, address, method, message, timeout_s):
        if self.cut_off:
            raise errors.NotConnected(address)
        message = messages.decode(messages.encode(message))
        reply = self._site.member.handlers()[method](message)
        self.on_reply()
        return messages.decode(messages.encode(reply))

    def exchange(self):
        assert self._follower._exchange("") is not self.cut_off

    def exchange_all(self):
        """Exchange reports until the task is killed."""
        self._follower._run()

    def read_list(self):
        """Apply the list as it is now."""
        self.listing.apply(self._site.listed, False)
        self.listing.note_age(0.0)

    def prompt(self, route, *part_ids, caller="k", body=None):
        """Send a prompt, or a plain call if there are no parts.

        Args:
            body: by default the text of the last part.

        Returns: status and body of the answer.
        """
        headers = [b"Authorization: Bearer " + caller.encode()]
        if part_ids:
            listed = ",".join(f"{part_id}:10" for part_id in part_ids)
            headers += [
                b"Papayalink-Model: m",
                b"Papayalink-Token-Usage: 100,10",
                b"Papayalink-Prefix-Hash: " + listed.encode(),
            ]
        if body is None:
            body = f"text of {part_ids[-1]}".encode()
        status, _, body = self.call(f"/{route}/".encode(), headers, body=body)
        return status, body

    def stream(self, call_id, last_event=0, resumes=""):
        """Send a prompt, or take up the stream of an earlier call.

        Returns: status, the software version that wrote each event, and
            whether the answer is whole.
        """
        headers = [
            b"Papayalink-Model: m",
            b"Papayalink-Token-Usage: 100,10",
            b"Papayalink-Prefix-Hash: own:10",
            b"Papayalink-Request-Id: " + call_id.encode(),
        ]
        if last_event:
            headers.append(b"Last-Event-Id: %d" % last_event)
        if resumes:
            headers.append(b"Resumes: " + resumes.encode())
        status, _, body = self.call(b"/resumed/", headers, partial=True)
        data, whole = body
        events = data.split(b"\n\n")[:-1]
        versions = [each.rpartition(b": ")[2].decode() for each in events]
        return status, versions, whole


class Site:
    """Two gateways, replicas that return after a crash, and one member.

    Args:
        software: software version of each replica; `size` times v1 if empty.
    """

    def __init__(
        self, crashing=(), last_words=HALF_EVENT, size=6, software=()
    ):
        self.arrivals = []
        self.crashed = []
        self.replicas = []
        self._crashing = set(crashing)
        self._last_words = last_words
        self._started = 0
        self.replace_member()
        for version in software or ["v1"] * size:
            self.start_replica(version)
        self.entries = [Entry(self, f"e{number}") for number in range(2)]
        self.settle()

    def replace_member(self):
        """Let a member without any state lead."""
        self.member = services.make_service(
            stubs.NOT_LEADING,
            None,
            None,
            True,
            None,
            _Stores(),
            _Relay(),
        )

    def replace_entry(self):
        """Start a gateway again, which forgets all it knew."""
        self.entries[0].stop_serving()
        self.entries[0] = Entry(self, "e0")

    def settle(self):
        """Start crashed replicas, and pass on lists and reports."""
        for replica in list(self.replicas):
            if replica.name in self.crashed:
                self.replicas.remove(replica)
                self.start_replica(replica.software)
        for entry in self.entries:
            entry.read_list()
        # The second round brings each entry what the others reported.
        for _ in range(2):
            for entry in self.entries:
                entry.exchange()

    @property
    def listed(self):
        """The platform's list."""
        return tuple(
            replicas.Replica(
                replica_id=replica.name,
                service="models",
                address=replica.address,
                zone="z",
                slots=8,
                condition=replicas.Condition.READY,
                weights={"m": 1},
                software=replica.software,
            )
            for replica in self.replicas
        )

    def observe_for_long(self):
        """Let the entries know the list for longer than a stream lasts."""
        for entry in self.entries:
            entry.tables.software.note_first_start(time.monotonic())

    def run(self, prompts_per_s, seconds):
        """Let each entry send prompts and exchange reports all the time.

        Returns: status of each answer.
        """
        until = time.monotonic() + seconds
        statuses = []

        def send(entry):
            statuses.append(entry.prompt("resumed", "base", "own")[0])

        def send_all(entry):
            tasks = []
            while time.monotonic() < until:
                tasks.append(gevent.spawn(send, entry))
                gevent.sleep(1 / prompts_per_s)
            gevent.joinall(tasks)

        def exchange_all(entry):
            while time.monotonic() < until:
                entry.exchange()
                gevent.sleep(0.2)

        gevent.joinall(
            [
                gevent.spawn(work, entry)
                for work in (send_all, exchange_all)
                for entry in self.entries
            ],
            raise_error=True,
        )
        return statuses

    def start_replica(self, software):
        """Returns: a replica that is listed from the next settling on."""
        name = f"models{self._started}"
        self._started += 1
        self.replicas.append(
            Replica(self, name, self._crashing, self._last_words, software)
        )
        return self.replicas[-1]

    def remove(self, replica):
        """Let a replica end after it has left the list."""
        self.replicas.remove(replica)
        self.settle()
        replica.stop()

    def stop(self):
        for entry in self.entries:
            entry.stop_serving()
        for replica in self.replicas:
            replica.stop()
