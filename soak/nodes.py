"""The real programs, each at a loopback address of its own."""

import json
import os
import random
import shutil
import signal
import subprocess
import sys

import gevent
from gevent import socket
import msgspec

PEER_PORT = 7580
OPERATOR_PORT = 8745
LISTEN_PORT = 8749
READY_PORT = 8741
INSPECT_PORT = 9464
MARKER_PORT = 7000
GRACE_S = 8.0
START_S = 20.0
_KEY = "5a" * 32
# Not the seeded generator: runs beside each other need other networks.
_RANDOM = random.SystemRandom()


class Network:
    """A part of the loopback range that no other run uses."""

    def __init__(self) -> None:
        while True:
            self.prefix = (
                f"127.{_RANDOM.randrange(16, 250)}.{_RANDOM.randrange(256)}"
            )
            self._marker = socket.socket()
            try:
                self._marker.bind((self.ip(1), MARKER_PORT))
            except OSError:
                self._marker.close()
                continue
            return

    def ip(self, number: int) -> str:
        return f"{self.prefix}.{number}"

    def close(self) -> None:
        self._marker.close()


class Node(msgspec.Struct, eq=False):
    """One process and its settings."""

    name: str
    role: str
    ip: str
    folder: str
    settings: dict
    process: subprocess.Popen | None = None

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w") as file:
            json.dump(self.settings, file)
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
        # What comes after is no first start.
        if "first_start" in self.settings:
            self.settings["first_start"] = False

    def kill(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def terminate(self) -> float:
        """Stop as the platform does. Returns: seconds it took."""
        self.process.terminate()
        waited_s = 0.0
        while self.process.poll() is None and waited_s < GRACE_S:
            gevent.sleep(0.05)
            waited_s += 0.05
        if self.process.poll() is None:
            self.kill()
        return waited_s

    def pause(self, paused: bool) -> None:
        self.process.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)

    @property
    def durable(self) -> bool:
        """Whether the process has a disk."""
        return self.settings.get("data_folder") is not None

    def wipe(self) -> None:
        """Lose the disk."""
        shutil.rmtree(self.settings["data_folder"], ignore_errors=True)


def make_nodes(
    network: Network,
    folder: str,
    platform_address: str,
    authorities: int,
    gateways: int,
    losses: int,
    diskless: int = 0,
) -> list[Node]:
    """Make the nodes, not yet started; the first authorities have disks."""
    seeds = [f"{network.ip(10 + each)}:{OPERATOR_PORT}" for each in range(3)]
    nodes = []
    counts = (("authority", authorities + diskless), ("gateway", gateways))
    for role, count in counts:
        for place in range(count):
            name = f"{role}-{place + 1}"
            ip = network.ip((10 if role == "authority" else 100) + place)
            own = os.path.join(folder, name)
            os.makedirs(own)
            settings = {
                "role": role,
                "name": name,
                "ip": ip,
                "zone": f"z{place % 3}",
                "region": "r",
                "seeds": seeds,
                "peer_port": PEER_PORT,
                "platform_address": platform_address,
                "inspect_listen": f"{ip}:{INSPECT_PORT}",
                "deployment_key": _KEY,
                "bounds": {"grace_s": GRACE_S, "losses": losses},
            }
            if role == "authority":
                settings |= {
                    "operator_listen": f"{ip}:{OPERATOR_PORT}",
                    "data_folder": (
                        os.path.join(own, "data")
                        if place < authorities
                        else None
                    ),
                    "first_start": True,
                }
            else:
                settings |= {
                    "listen": f"{ip}:{LISTEN_PORT}",
                    "ready_listen": f"{ip}:{READY_PORT}",
                }
            nodes.append(Node(name, role, ip, own, settings))
    return nodes
