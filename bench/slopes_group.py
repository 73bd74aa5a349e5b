"""Control members and the child processes that load them."""

import json
import subprocess
import sys
import time

import gevent
import msgspec

from bench import configuration as documents_bench
from bench import control
from bench import deployment as deployments
from bench import slopes
from papayalink.state import document as documents

ZONES = ("korangi", "west-wharf", "port-qasim")
SETTLE_S = 4.0
WINDOW_S = 8.0


class Group:
    """Control members and a proposer.

    Args:
        folder: for settings, logs and data.
        members: number of control members.
    """

    __slots__ = ("deployment", "proposer", "version", "_step", "_size")

    def __init__(self, folder: str, members: int = 3) -> None:
        self.deployment = deployments.make_deployment(folder, ZONES)
        self.deployment.add_controls(members)
        self.deployment.wait_accepting(list(self.deployment.controls))
        self.proposer = control.make_proposer(self.deployment)
        self.version = 0
        self._step = 0
        self._size = (0, 0)

    def apply(self, size: tuple[int, int], *more: documents.Upstream) -> float:
        """Apply a document of a size. Returns: monotonic time after it."""
        self._step += 1
        made = documents_bench.make_document(*size, self._step)
        made = msgspec.structs.replace(made, upstreams=made.upstreams + more)
        outcome = control.apply(self.proposer, made, self.version)
        self.version = outcome.version
        return time.monotonic()

    def cpu(self) -> dict[str, float]:
        """Returns: processor seconds of each process so far."""
        return {
            name: slopes.cpu_s(program.process.pid)
            for name, program in self.deployment.programs.items()
        }

    def cpu_over(self, seconds: float) -> dict[str, float]:
        """Returns: processor seconds a second of each process."""
        before = self.cpu()
        start = time.monotonic()
        gevent.sleep(seconds)
        took = time.monotonic() - start
        return {
            name: round((value - before[name]) / took, 5)
            for name, value in self.cpu().items()
        }

    def memory(self) -> dict[str, dict[str, int]]:
        return {
            name: slopes.memory_kb(program.process.pid)
            for name, program in self.deployment.programs.items()
        }

    def leader(self) -> str:
        """Returns: name of the leading member."""
        for name in self.deployment.controls:
            if self.deployment.dump(name)["replica"]["role"] == "leader":
                return name
        raise RuntimeError("no member leads")

    def spawn(self, part: str, **options: object) -> subprocess.Popen:
        """Start a child of bench.slopes_processes against the group."""
        options["controls"] = list(self.deployment.controls.values())
        options["key"] = self.deployment.key
        return subprocess.Popen(
            [sys.executable, "-m", "bench.slopes_processes", "child", part]
            + [json.dumps(options)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )


def finish(children: list[subprocess.Popen]) -> list[dict]:
    """Ask children for their results by closing their input."""
    for process in children:
        process.stdin.close()
    results = [json.loads(process.stdout.read()) for process in children]
    for process in children:
        process.wait()
    return results


def add_up(counts: list[dict[str, int]]) -> dict[str, int]:
    total = {}
    for one in counts:
        for name, count in one.items():
            total[name] = total.get(name, 0) + count
    return total


def wait_input() -> None:
    gevent.get_hub().threadpool.apply(sys.stdin.read)
