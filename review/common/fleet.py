"""Starts the project's programs on loopback addresses, as deploy/ says.

Only the standard library is used. Each machine has an address of the loopback
range; the ports are the same on all machines.
"""

import http.client
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
PEER_PORT = 7580
OPERATOR_PORT = 8745
LISTEN_PORT = 8749
READY_PORT = 8741
INSPECT_PORTS = {"gateway": 9464, "authority": 9465}
# Value of the setting in deploy/*.json.
DEPLOYMENT_KEY = (
    "6f1d0c8be2a94573b86e17d2c05fa3916f1d0c8be2a94573b86e17d2c05fa391"
)
# Values of the bounds in the site files of the small deployments.
BOUNDS = {
    "authority": {"grace_s": 8.0, "lease_ms": 3000, "losses": 1},
    "gateway": {
        "grace_s": 8.0,
        "weights_ms": 10000,
        "retry_ratio": 0.2,
        "retry_slack": 62.0,
        "retry_window_s": 10,
    },
}
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes record.txt, with seconds since the start of the case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def write(self, text):
        with self._lock:
            passed_s = time.monotonic() - self.began_at
            self._file.write(f"{passed_s:8.3f} {text}\n")
            self._file.flush()


def commands():
    """Returns: the command of each role in the deploy file."""
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
    return {name: shlex.split(role["run"]) for name, role in roles.items()}


def find_network():
    """Returns: a part of the loopback range of which no port is in use."""
    for _ in range(50):
        prefix = f"127.{random.randrange(16, 250)}.{random.randrange(256)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{prefix}.1", PEER_PORT))
                return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Process:
    """One program on one machine."""

    def __init__(self, machine, role, settings, folder, log):
        self.machine = machine
        self.role = role
        self.settings = settings
        self.folder = folder
        self._log = log
        self.popen = None

    def start(self):
        path = self.folder / f"{self.role}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PAPAYALINK_CONFIG"] = str(path)
        self.popen = subprocess.Popen(
            commands()[self.role],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        if self.role == "authority":
            # Only the first start of the whole system is one.
            self.settings["first_start"] = False

    def signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    @property
    def running(self):
        return self.popen is not None and self.popen.poll() is None


class Machine:
    """One machine with its processes and its disk, if it has one."""

    def __init__(self, name, ip, zone, data_folder):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.data_folder = data_folder
        self.processes = []

    def freeze(self):
        for process in self.processes:
            process.signal(signal.SIGSTOP)

    def thaw(self):
        for process in self.processes:
            process.signal(signal.SIGCONT)

    def kill(self):
        for process in self.processes:
            process.kill()

    def start(self):
        for process in self.processes:
            process.start()

    def wipe(self):
        shutil.rmtree(self.data_folder, ignore_errors=True)
        os.makedirs(self.data_folder)


class Fleet:
    """The machines of a small deployment."""

    def __init__(self, record):
        self.record = record
        self.prefix = find_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.machines = []
        self.servers = []
        self._log = open(self.folder / "log", "ab")

    def ip(self, number):
        return f"{self.prefix}.{number}"

    def add_machine(self, zone, roles, has_disk=False):
        number = len(self.machines) + 10
        name = f"edge-{zone}-{number}"
        folder = self.folder / name
        folder.mkdir()
        data_folder = None
        if has_disk:
            data_folder = str(folder / "data")
            os.makedirs(data_folder)
        machine = Machine(name, self.ip(number), zone, data_folder)
        for role in roles:
            settings = self._make_settings(machine, role)
            machine.processes.append(
                Process(machine, role, settings, folder, self._log)
            )
        self.machines.append(machine)
        return machine

    def _make_settings(self, machine, role):
        settings = {
            "role": role,
            "name": machine.name,
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "r",
            "seeds": [],
            "peer_port": PEER_PORT,
            "platform_address": f"{self.ip(2)}:8744",
            "inspect_listen": f"{machine.ip}:{INSPECT_PORTS[role]}",
            "deployment_key": DEPLOYMENT_KEY,
            "bounds": BOUNDS[role],
        }
        if role == "authority":
            settings["operator_listen"] = f"{machine.ip}:{OPERATOR_PORT}"
            settings["data_folder"] = machine.data_folder
            settings["first_start"] = True
        else:
            settings["listen"] = f"{machine.ip}:{LISTEN_PORT}"
            settings["ready_listen"] = f"{machine.ip}:{READY_PORT}"
        return settings

    def set_seeds(self, machines):
        seeds = [f"{each.ip}:{OPERATOR_PORT}" for each in machines]
        for machine in self.machines:
            for process in machine.processes:
                process.settings["seeds"] = seeds

    def close(self):
        for machine in self.machines:
            machine.kill()
        for server in self.servers:
            server.close()
        self._log.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copy(self.folder / "log", kept)
        shutil.rmtree(self.folder, ignore_errors=True)


def call(ip, port, method, path, body=None, headers=None, timeout_s=1.0):
    """Returns: status, headers and body; status 0 without a whole answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def put_document(machine, document, timeout_s=1.0):
    """Send a desired state; returns the status, 0 without an answer."""
    return call(
        machine.ip,
        OPERATOR_PORT,
        "PUT",
        "/-/config",
        json.dumps(document),
        {"Content-Type": "application/json"},
        timeout_s,
    )[0]


def read_document(machine, timeout_s=1.5):
    """Returns: status, and the version that is read back, None without."""
    status, _, body = call(
        machine.ip, OPERATOR_PORT, "GET", "/-/config", timeout_s=timeout_s
    )
    if status != 200:
        return status, None
    return status, json.loads(body)["version"]


def put_until_accepted(machines, document, record, within_s=25.0):
    """Send a desired state to one machine after the other.

    Returns: the machine that acknowledged it, and when.
    """
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        for machine in machines:
            status = put_document(machine, document)
            if status == 200:
                at = time.monotonic()
                record.write(
                    f"{machine.name} acknowledged version"
                    f" {document['version']}"
                )
                return machine, at
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"document refused: {status}")
        time.sleep(0.1)
    raise CannotRun(f"version {document['version']} was not acknowledged")


def wait_ready(machine, within_s=25.0):
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        if call(machine.ip, READY_PORT, "GET", "/-/ready")[0] == 200:
            return
        time.sleep(0.1)
    raise CannotRun(f"{machine.name} is not ready")


def run(folder, case):
    """Run a case and exit with its result."""
    # SystemExit ends the processes that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    record.write(f"disruption: {'yes' if DISRUPTED else 'no'}")
    fleet = None
    code = 2
    try:
        fleet = Fleet(record)
        broken = case(fleet, record)
        code = 1 if broken else 0
        record.write("the rule was broken" if broken else "the rule held")
    except CannotRun as error:
        record.write(f"the case could not run: {error}")
    except Exception as error:
        # An uncaught error would exit with 1, as if the rule were broken.
        record.write(f"the case could not run: {error!r}")
        traceback.print_exc()
    finally:
        if fleet is not None:
            fleet.close()
    raise SystemExit(code)
