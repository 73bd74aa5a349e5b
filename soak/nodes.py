"""The real programs, each as a process with its own loopback address."""

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import time

import gevent
from gevent import socket
import geventhttpclient
from geventhttpclient import response as responses
import msgspec

from soak import proxy

PEER_PORT = 7580
OPERATOR_PORT = 8745
LISTEN_PORT = 8749
READY_PORT = 8741
INSPECT_PORT = 9464
RESERVATION_PORT = 7000
GRACE_S = 8.0
# Time in which replicas are to load named weights.
WEIGHTS_S = 5.0
START_TIMEOUT_S = 20.0
# Time in which a process listens after its start. It has to load its code, for
# which a machine with other work may give it little processor time. Nothing is
# promised for that, so that other times count from when it listens.
LISTEN_TIMEOUT_S = 60.0
# Time in which a member without a port for readiness has started.
MEMBER_START_S = 4.0
# The first compiled module that a process imports. Before, signals have their
# default action.
_FIRST_MODULE = b"/msgspec/"
_DEPLOYMENT_KEY = "5a" * 32
# Independent of the seed: concurrent runs need different networks.
_RANDOM = random.SystemRandom()


class Network:
    """Part of the loopback range that no other run uses.

    A socket that is bound to the first address reserves the part.
    """

    def __init__(self) -> None:
        while True:
            self.prefix = (
                f"127.{_RANDOM.randrange(16, 250)}.{_RANDOM.randrange(256)}"
            )
            self._reservation = socket.socket()
            try:
                self._reservation.bind((self.ip(1), RESERVATION_PORT))
            except OSError:
                self._reservation.close()
                continue
            return

    def ip(self, number: int) -> str:
        return f"{self.prefix}.{number}"

    def close(self) -> None:
        self._reservation.close()


class Node(msgspec.Struct, eq=False):
    """One process and its settings.

    Attributes:
        list_proxy: proxy before the list of replicas that a gateway reads.
        failures: starts and ends that were not as they should be.
    """

    name: str
    role: str
    ip: str
    folder: str
    settings: dict
    process: subprocess.Popen | None = None
    list_proxy: proxy.Proxy | None = None
    failures: list[str] = []

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        path = self._write_settings()
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "papayalink.platform.daemon",
                    self.role,
                ],
                env=os.environ | {"PAPAYALINK_CONFIG": path},
                stdout=log,
                stderr=log,
            )
        # Every later start is a restart.
        if "first_start" in self.settings:
            self.settings["first_start"] = False

    def _write_settings(self) -> str:
        path = os.path.join(self.folder, "settings.json")
        with open(f"{path}.new", "w") as file:
            json.dump(self.settings, file)
        os.replace(f"{path}.new", path)
        return path

    def reload(self, signals: bool) -> bool:
        """Change the settings of a running process, with SIGHUP or without.

        Returns: False if its interpreter may still be starting.
        """
        if not self._runs_program():
            return False
        seeds = self.settings["seeds"]
        self.settings["seeds"] = [*seeds[1:], seeds[0]]
        self._write_settings()
        if signals:
            self.process.send_signal(signal.SIGHUP)
        return True

    def has_started(self) -> bool:
        """Whether a planned stop would be a graceful one."""
        return self._handles(signal.SIGTERM)

    def _runs_program(self) -> bool:
        """Whether the process has begun to import its modules."""
        return _FIRST_MODULE in self._read_kernel("maps")

    def _handles(self, number: int) -> bool:
        """Whether the process has installed a handler of a signal."""
        for line in self._read_kernel("status").splitlines():
            name, _, value = line.partition(b":")
            if name == b"SigCgt":
                return bool(int(value, 16) >> (number - 1) & 1)
        return False

    def _read_kernel(self, name: str) -> bytes:
        """Returns: what the kernel tells of the process while it runs."""
        if not self.running:
            return b""
        with open(f"/proc/{self.process.pid}/{name}", "rb") as file:
            return file.read()

    def wait_listening(self) -> None:
        """Wait until the process listens, or has ended."""
        deadline = time.monotonic() + LISTEN_TIMEOUT_S
        while not self._listens():
            if not self.running:
                self._note_failure("ended at its start")
                return
            if time.monotonic() > deadline:
                self.failures.append(f"{self.name} does not listen")
                return
            gevent.sleep(0.1)

    def wait_ready(self) -> None:
        """Wait until a gateway reports that it is ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > deadline:
                self.failures.append(f"{self.name} is not ready after a start")
                return
            gevent.sleep(0.1)

    def is_ready(self) -> bool:
        client = geventhttpclient.HTTPClient(self.ip, READY_PORT)
        try:
            return client.get("/-/ready").status_code == 200
        except (
            OSError,
            responses.HTTPConnectionClosed,
            responses.HTTPParseError,
        ):
            return False
        finally:
            client.close()

    def _listens(self) -> bool:
        try:
            socket.create_connection((self.ip, INSPECT_PORT), 1.0).close()
        except OSError:
            return False
        return True

    def kill(self) -> None:
        self.note_own_end()
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Stop as the platform does: SIGTERM, then SIGKILL after GRACE_S."""
        self.note_own_end()
        statuses = [0]
        if not self.has_started():
            # The signal ends the process at once.
            statuses.append(-signal.SIGTERM)
        self.process.terminate()
        waited_s = 0.0
        while self.process.poll() is None and waited_s < GRACE_S:
            gevent.sleep(0.05)
            waited_s += 0.05
        if self.process.poll() is None:
            self.kill()
        elif self.process.returncode not in statuses:
            self._note_failure("stopped")

    def note_own_end(self) -> None:
        """Note if the process has ended although nobody ended it."""
        if not self.running:
            self._note_failure("ended by itself")

    def _note_failure(self, event: str) -> None:
        self.failures.append(
            f"{self.name} {event} with status {self.process.returncode}"
        )

    def pause(self, paused: bool) -> None:
        self.process.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)

    @property
    def durable(self) -> bool:
        """Whether the process has a disk."""
        return self.settings.get("data_folder") is not None

    def wipe(self) -> None:
        """Delete the data on the disk."""
        shutil.rmtree(self.settings["data_folder"], ignore_errors=True)


Links = dict[tuple[str, str], proxy.Proxy]


def connect(nodes: list[Node]) -> Links:
    """Lay links between nodes, which have not been started.

    The processes of a node expect all others at a port of its own, where the
    links to them listen.

    Returns: the links, by the names of the near and the far node.
    """
    for number, node in enumerate(nodes):
        node.settings["peer_port"] = PEER_PORT + number
    return {
        (near.name, far.name): proxy.make_proxy(
            (far.ip, far.settings["peer_port"]),
            (far.ip, near.settings["peer_port"]),
        )
        for near in nodes
        for far in nodes
        if near is not far
    }


def make_nodes(
    network: Network,
    folder: str,
    platform_address: str,
    authorities: int,
    gateways: int,
    losses: int,
    diskless: int = 0,
) -> list[Node]:
    """Make the nodes without starting them.

    The first `authorities` authorities have disks, and `diskless` further
    ones have none.
    """
    seeds = [f"{network.ip(10 + each)}:{OPERATOR_PORT}" for each in range(3)]
    nodes = []
    counts = (("authority", authorities + diskless), ("gateway", gateways))
    for role, count in counts:
        for index in range(count):
            name = f"{role}-{index + 1}"
            ip = network.ip((10 if role == "authority" else 100) + index)
            node_folder = os.path.join(folder, name)
            os.makedirs(node_folder)
            settings = {
                "role": role,
                "name": name,
                "ip": ip,
                "zone": f"z{index % 3}",
                "region": "r",
                "seeds": seeds,
                "peer_port": PEER_PORT,
                "platform_address": platform_address,
                "inspect_listen": f"{ip}:{INSPECT_PORT}",
                "deployment_key": _DEPLOYMENT_KEY,
                "bounds": {
                    "grace_s": GRACE_S,
                    "losses": losses,
                    "weights_ms": WEIGHTS_S * 1000,
                },
            }
            if role == "authority":
                settings |= {
                    "operator_listen": f"{ip}:{OPERATOR_PORT}",
                    "data_folder": (
                        os.path.join(node_folder, "data")
                        if index < authorities
                        else None
                    ),
                    "first_start": True,
                }
            else:
                settings |= {
                    "listen": f"{ip}:{LISTEN_PORT}",
                    "ready_listen": f"{ip}:{READY_PORT}",
                }
            nodes.append(Node(name, role, ip, node_folder, settings))
    return nodes
