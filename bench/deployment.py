"""Runs a whole deployment on loopback, each role in its own process."""

import contextlib
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import time

import gevent
import geventhttpclient
import msgspec

from papayalink.state import document as documents

HOST = "127.0.0.1"
TOKEN = "quote-counter-token"
START_TIMEOUT_S = 20.0
_PORT_RANGE = (10_000, 32_000)
# Ports of one run, more than its largest deployment uses. A run listens on the
# first port of its block, so that concurrent runs do not choose an address on
# which another one is about to listen.
_BLOCK_PORTS = 500
_used_ports: set[int] = set()
# Not the generator of the random module: a test library that seeds it would
# make two runs choose the same ports.
_RANDOM = random.SystemRandom()


class Program:
    """One process of a deployment.

    Attributes:
        addresses: addresses that it listens on, by key of its settings.
    """

    __slots__ = ("name", "process", "log_path", "addresses")

    def __init__(
        self,
        name: str,
        process: subprocess.Popen,
        log_path: str,
        addresses: dict[str, str],
    ) -> None:
        self.name = name
        self.process = process
        self.log_path = log_path
        self.addresses = addresses

    def send(self, signal_number: int) -> None:
        self.process.send_signal(signal_number)

    def stop(self) -> int:
        """Ask the process to stop and wait for it. Returns: exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        return self.process.wait()

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


class Deployment:
    """Processes, their settings and their addresses.

    Args:
        folder: where settings, logs and data are written.
        zones: availability zones over which the control members are spread.
    """

    def __init__(self, folder: str, zones: tuple[str, ...]) -> None:
        self.folder = folder
        self.zones = zones
        self.programs: dict[str, Program] = {}
        self.key = secrets.token_hex(32)
        self.console_token = secrets.token_urlsafe(16)
        self.controls: dict[str, str] = {}
        self._settings: dict[str, str] = {}

    def start_fake(self, name: str, module: str, **options: object) -> str:
        """Start a stand-in for an external service. Returns: its address."""
        address = free_address()
        command = [sys.executable, "-m", module]
        command += ["--port", address.partition(":")[2]]
        for key, value in options.items():
            command += [f"--{key}", str(value)]
        self._spawn(name, command, {"listen": address})
        return address

    def add_controls(self, count: int, **settings: object) -> None:
        """Choose addresses for the control members and start them."""
        names = [f"control-{number}" for number in range(1, count + 1)]
        self.controls = {name: free_address() for name in names}
        for index, name in enumerate(names):
            self.start(
                name,
                role="control",
                zone=self.zones[index % len(self.zones)],
                rpc_listen=self.controls[name],
                data_folder=self._data_folder(name),
                console_listen=free_address(),
                console_token=self.console_token,
                **settings,
            )

    def add_agent(
        self, upstream: str, zone: str, address: str, kind: str = "engine"
    ) -> str:
        """Start an agent. Returns: its address for the document."""
        listen = free_address()
        self.start(
            f"agent-{upstream}",
            role="agent",
            zone=zone,
            listen=listen,
            upstream=upstream,
            upstream_address=address,
            upstream_kind=kind,
        )
        return listen

    def add_store(self, name: str, zone: str, **settings: object) -> str:
        """Start a store. Returns: its address for the document."""
        listen = free_address()
        self.start(
            name,
            role="store",
            zone=zone,
            listen=listen,
            data_folder=self._data_folder(name),
            memory_bytes=settings.pop("memory_bytes", 64_000_000),
            disk_bytes=settings.pop("disk_bytes", 256_000_000),
            **settings,
        )
        return listen

    def add_entry(
        self, name: str, zone: str, drain_delay_s: float = 0.0
    ) -> str:
        """Start an entry.

        Args:
            drain_delay_s: see settings.Entry; 0 since no balancer watches the
                entry.
        Returns: the address that callers use.
        """
        listen = free_address()
        self.start(
            name,
            role="entry",
            zone=zone,
            listen=listen,
            drain_delay_s=drain_delay_s,
        )
        return listen

    def start(self, name: str, **settings: object) -> Program:
        """Write the settings of a process and start it."""
        settings.setdefault("inspect_listen", free_address())
        content = {
            "name": name,
            "region": "sindh",
            "controls": self.controls,
            "deployment_key": self.key,
            **settings,
        }
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            json.dump(content, file, indent=2)
        self._settings[name] = path
        addresses = {
            key: value
            for key, value in settings.items()
            if key.endswith("listen")
        }
        return self._spawn(name, _daemon_command(path), addresses)

    def restart(self, name: str) -> Program:
        """Restart a process that has ended, with the same settings.

        If its data folder was removed, an empty one is created.
        """
        os.makedirs(os.path.join(self.folder, name), exist_ok=True)
        addresses = self.programs[name].addresses
        return self._spawn(
            name, _daemon_command(self._settings[name]), addresses
        )

    def stop_all(self) -> dict[str, int]:
        """Stop every process. Returns: exit codes by name."""
        for program in reversed(self.programs.values()):
            if program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
                program.process.terminate()
        return {
            name: program.process.wait()
            for name, program in self.programs.items()
        }

    def dump(self, name: str) -> dict:
        """Returns: the state dump of a process."""
        address = self.programs[name].addresses["inspect_listen"]
        return json.loads(http_get(address, "/debug/state"))

    def wait_accepting(self, names: list[str]) -> None:
        """Wait until processes accept work.

        Raises:
            TimeoutError: one of them does not within START_TIMEOUT_S.
            RuntimeError: one of them has ended.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        for name in names:
            address = self.programs[name].addresses["inspect_listen"]
            while not _is_healthy(address):
                self._require_running(name)
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} does not take work")
                gevent.sleep(0.05)

    def _require_running(self, name: str) -> None:
        program = self.programs[name]
        if program.process.poll() is not None:
            with open(program.log_path) as file:
                raise RuntimeError(f"{name} ended: {file.read()[-2000:]}")

    def console_addresses(self) -> list[str]:
        return [
            self.programs[name].addresses["console_listen"]
            for name in self.controls
        ]

    def _data_folder(self, name: str) -> str:
        folder = os.path.join(self.folder, name)
        os.makedirs(folder, exist_ok=True)
        return folder

    def _spawn(
        self, name: str, command: list[str], addresses: dict[str, str]
    ) -> Program:
        log_path = os.path.join(self.folder, f"{name}.log")
        with open(log_path, "ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        program = Program(name, process, log_path, addresses)
        self.programs[name] = program
        return program


class _PortBlock:
    """Ports that no other run chooses while this object reserves them."""

    __slots__ = ("_reservation", "_ports")

    def __init__(self) -> None:
        self._reservation: socket.socket | None = None
        self._ports = range(0)

    def choose(self) -> int:
        """Returns: a port of the block, which the first call reserves."""
        while self._reservation is None:
            first_port = _RANDOM.randrange(*_PORT_RANGE, _BLOCK_PORTS)
            listener = socket.socket()
            try:
                listener.bind((HOST, first_port))
            except OSError:
                listener.close()
                continue
            listener.listen()
            self._reservation = listener
            self._ports = range(first_port + 1, first_port + _BLOCK_PORTS)
        return _RANDOM.choice(self._ports)

    def close(self) -> None:
        """Release the block to other runs."""
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None


def make_port_block() -> _PortBlock:
    return _PortBlock()


_block = make_port_block()


def free_address() -> str:
    """Choose an address for a process that is started later.

    Its port is below the ephemeral range: an outgoing connection could take a
    port of that range before the process listens on it.

    Returns: "IP:PORT" that is free now and was not returned before.
    """
    while True:
        port = _block.choose()
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return f"{HOST}:{port}"


def http_get(address: str, path: str) -> bytes:
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port))
    try:
        return client.get(path).read()
    finally:
        client.close()


def make_deployment(
    folder: str, zones: tuple[str, ...] = ("korangi", "west-wharf")
) -> Deployment:
    return Deployment(folder, zones)


def make_document(
    deployment: Deployment, **sections: object
) -> documents.Document:
    """Make a document with two ranks and one workspace.

    Args:
        sections: further sections, or replacements of these two.
    """
    content = {
        "ranks": [
            {"name": "urgent", "ttft_target_ms": 1600, "weight": 4},
            {
                "name": "deferrable",
                "ttft_target_ms": 30000,
                "min_share": 0.2,
            },
        ],
        "workspaces": [
            {
                "name": "quotes",
                "token_digests": [documents.token_digest(TOKEN)],
                "rank": "urgent",
            }
        ],
        **sections,
    }
    return msgspec.convert(content, documents.Document)


def _daemon_command(path: str) -> list[str]:
    return [sys.executable, "-m", "papayalink.daemon", path]


def _is_healthy(address: str) -> bool:
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port))
    try:
        return client.get("/healthz").status_code == 200
    except OSError:
        return False
    finally:
        client.close()
