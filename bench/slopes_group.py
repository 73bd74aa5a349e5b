"""Starts control members and the child processes that load them."""

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
    """A group of control members and a proposer.

    Args:
        folder: where settings, logs and data are written.
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

    def apply(
        self, size: tuple[int, int], *more_upstreams: documents.Upstream
    ) -> float:
        """Apply a document.

        Args:
            size: number of workspaces and of upstreams.
            more_upstreams: further upstreams.
        Returns: monotonic time at which it was accepted.
        """
        self._step += 1
        document = documents_bench.make_document(*size, self._step)
        document = msgspec.structs.replace(
            document, upstreams=document.upstreams + more_upstreams
        )
        outcome = control.apply(self.proposer, document, self.version)
        self.version = outcome.version
        return time.monotonic()

    def cpu(self) -> dict[str, float]:
        """Returns: processor seconds of each process since its start."""
        return {
            name: slopes.cpu_s(program.process.pid)
            for name, program in self.deployment.programs.items()
        }

    def cpu_over(self, seconds: float) -> dict[str, float]:
        """Returns: cores that each process uses on average over a time."""
        cpu_before_s = self.cpu()
        start = time.monotonic()
        gevent.sleep(seconds)
        elapsed_s = time.monotonic() - start
        return {
            name: round((value - cpu_before_s[name]) / elapsed_s, 5)
            for name, value in self.cpu().items()
        }

    def memory(self) -> dict[str, dict[str, int]]:
        return {
            name: slopes.memory_kb(program.process.pid)
            for name, program in self.deployment.programs.items()
        }

    def leader(self) -> str:
        """Returns: the name of the leader."""
        for name in self.deployment.controls:
            if self.deployment.dump(name)["replica"]["role"] == "leader":
                return name
        raise RuntimeError("no member leads")

    def spawn(self, part: str, **options: object) -> subprocess.Popen:
        """Start a child part of bench.slopes_processes on the group."""
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


def sum_counts(counts: list[dict[str, int]]) -> dict[str, int]:
    totals = {}
    for counts_of_child in counts:
        for name, count in counts_of_child.items():
            totals[name] = totals.get(name, 0) + count
    return totals


def wait_input() -> None:
    """Wait until standard input ends; greenlets go on meanwhile."""
    gevent.get_hub().threadpool.apply(sys.stdin.read)
