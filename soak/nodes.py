"""The real programs, each as a process with its own loopback address."""

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
RESERVATION_PORT = 7000
GRACE_S = 8.0
START_TIMEOUT_S = 20.0
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
        # Every later start is a restart.
        if "first_start" in self.settings:
            self.settings["first_start"] = False

    def kill(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def terminate(self) -> float:
        """Stop as the platform does: SIGTERM, then SIGKILL after GRACE_S.

        Returns: seconds until the process ended.
        """
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
        """Delete the data on the disk."""
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
                "bounds": {"grace_s": GRACE_S, "losses": losses},
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
