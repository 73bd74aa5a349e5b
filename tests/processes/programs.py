"""Each program of a deployment alone, with settings of its own."""

import itertools
import json
import os
import pathlib
import subprocess
import sys
import time

from tests import own_host

_KEY = "5a" * 32
ROLES = ("gateway", "authority", "entry", "agent", "store", "control")
# The first compiled module that a program imports.
_FIRST_MODULE = b"/msgspec/"
_POLL_S = 0.001
_STORM_INTERVAL_S = 0.005
TIMEOUT_S = 60.0
# Below the ports that the system gives out. They come again long after their
# process has ended.
_ports = itertools.cycle(range(20_000, 30_000))


class Running:
    """A process, and what it has written."""

    def __init__(self, folder, role, reads_pipe=False):
        self.path = folder / "settings.json"
        self.settings = _make_settings(role, folder)
        if reads_pipe:
            # Whoever opens it waits for the other side.
            os.mkfifo(self.path)
        else:
            write_settings(self.path, self.settings)
        self._log_path = folder / "output"
        with open(self._log_path, "wb") as log:
            self.process = subprocess.Popen(
                _make_command(role, self.path),
                env=os.environ | {"PAPAYALINK_CONFIG": str(self.path)},
                stdout=log,
                stderr=log,
            )

    @property
    def log(self):
        return self._log_path.read_text(errors="replace")

    def wait_imports(self):
        """Wait until the start of the interpreter is over."""
        maps = pathlib.Path(f"/proc/{self.process.pid}/maps")
        self._wait(lambda: _FIRST_MODULE in maps.read_bytes())

    def wait_event(self, event):
        """Wait until the log has an event, or the process has ended."""
        self.wait_text(f"event={event} ")

    def wait_text(self, text):
        """Wait until the log has a text, or the process has ended."""
        self._wait(lambda: text in self.log)

    def send_until(self, event, number):
        """Send a signal all the time, until an event or the end (None)."""

        def has_come():
            self.process.send_signal(number)
            return event is not None and f"event={event} " in self.log

        self._wait(has_come, _STORM_INTERVAL_S)

    def wait_end(self):
        """Returns: exit status."""
        return self.process.wait(TIMEOUT_S)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def _wait(self, condition, interval_s=_POLL_S):
        deadline = time.monotonic() + TIMEOUT_S
        while self.process.poll() is None and not condition():
            assert time.monotonic() < deadline, self.log
            time.sleep(interval_s)


def write_settings(path, settings):
    """Replace a file of settings."""
    new_path = path.with_suffix(".new")
    new_path.write_text(json.dumps(settings))
    new_path.replace(path)


def _make_command(role, path):
    module, argument = (
        ("papayalink.platform.daemon", role)
        if role in ("gateway", "authority")
        else ("papayalink.daemon", str(path))
    )
    return [sys.executable, "-m", module, argument]


def _make_settings(role, folder):
    common = {
        "role": role,
        "name": f"{role}-1",
        "zone": "z1",
        "region": "r",
        "inspect_listen": _choose_address(),
        "deployment_key": _KEY,
    }
    # Nobody listens there: each process is alone.
    absent = _choose_address()
    platform = common | {
        "ip": own_host.HOST,
        "seeds": [absent],
        "peer_port": _choose_port(),
        "platform_address": absent,
    }
    deployed = common | {"controls": {"control-1": absent}}
    match role:
        case "gateway":
            return platform | {
                "listen": _choose_address(),
                "ready_listen": _choose_address(),
            }
        case "authority":
            return platform | {
                "operator_listen": _choose_address(),
                "data_folder": str(folder / "data"),
                "first_start": True,
            }
        case "entry":
            return deployed | {
                "listen": _choose_address(),
                "drain_delay_s": 0.0,
            }
        case "agent":
            return deployed | {
                "listen": _choose_address(),
                "upstream": "e1",
                "upstream_address": absent,
            }
        case "store":
            return deployed | {
                "listen": _choose_address(),
                "data_folder": str(folder),
                "memory_bytes": 1_000_000,
                "disk_bytes": 1_000_000,
            }
        case "control":
            return deployed | {
                "controls": {"control-1": absent},
                "rpc_listen": absent,
                "data_folder": str(folder),
                "console_listen": _choose_address(),
                "console_token": "0123456789abcdef",
            }


def _choose_address():
    """Returns: address at which nothing else of this machine listens."""
    return f"{own_host.HOST}:{_choose_port()}"


def _choose_port():
    return next(_ports)
