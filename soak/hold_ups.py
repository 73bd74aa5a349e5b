"""Times in which processes waited for a processor, or the soak stood still.

The kernel counts for each thread how long it was ready to run and did not run.
A process that waits for anything else, or that is busy, adds nothing to that.
What holds up the whole machine shows only in the soak, which is late then.
"""

from collections.abc import Callable
from collections.abc import Iterable
import os
import time

import gevent
import msgspec

from soak import nodes as node_module

PERIOD_S = 0.1
# Periods after which what the kernel counts is read.
SAMPLE_PERIODS = 5
# A process that waits for so long cannot answer as fast as members expect.
MIN_WAIT_S = 0.5
# Share of a longer time in which it waited.
MIN_WAIT_SHARE = 0.5
# Name of the process of the soak.
OWN_NAME = "soak"
_NS_PER_S = 1e9


class HoldUp(msgspec.Struct, frozen=True):
    """A process was held up.

    Attributes:
        ended_at: when that was seen, after the wait had ended.
    """

    process: str
    waited_s: float
    ended_at: float


class HoldUps:
    """Watches processes, whose ids change with each start.

    Args:
        pids: returns the ids of the running processes, by name.
        read_waits: returns how long each thread of a process has waited.
        now: monotonic seconds.
    """

    def __init__(
        self,
        pids: Callable[[], dict[str, int]],
        read_waits: Callable[[int], dict[int, float]],
        now: Callable[[], float],
    ) -> None:
        self._pids = pids
        self._read_waits = read_waits
        self._now = now
        self._waits: dict[int, float] = {}
        self._sampled_at = now()
        self._seen: list[HoldUp] = []

    @property
    def seen(self) -> list[HoldUp]:
        """All of them, the oldest first."""
        return self._seen

    def last_ended_at(self, names: Iterable[str]) -> float:
        """Find the last one of these processes, or of the soak.

        Returns: when it was seen, minus infinity for none.
        """
        counted = {OWN_NAME, *names}
        return max(
            (each.ended_at for each in self._seen if each.process in counted),
            default=float("-inf"),
        )

    def run(self) -> None:
        while True:
            for _ in range(SAMPLE_PERIODS):
                asleep_at = self._now()
                gevent.sleep(PERIOD_S)
                self.note_own_delay(self._now() - asleep_at - PERIOD_S)
            self.sample()

    def note_own_delay(self, late_s: float) -> None:
        """Note that this process went on late, for whatever reason.

        Args:
            late_s: seconds after the end of a sleep.
        """
        if late_s >= MIN_WAIT_S:
            self._seen.append(HoldUp(OWN_NAME, late_s, self._now()))

    def sample(self) -> None:
        """Note which processes were held up since the last sample."""
        now = self._now()
        least_s = max(MIN_WAIT_S, MIN_WAIT_SHARE * (now - self._sampled_at))
        self._sampled_at = now
        waits = {}
        for name, pid in self._pids().items():
            of_threads = self._read_waits(pid)
            waits |= of_threads
            longest_s = max(
                (
                    waited_s - self._waits[thread]
                    for thread, waited_s in of_threads.items()
                    if thread in self._waits
                ),
                default=0.0,
            )
            if longest_s >= least_s:
                self._seen.append(HoldUp(name, longest_s, now))
        self._waits = waits


def read_waits(pid: int) -> dict[int, float]:
    """Returns: seconds that each thread has waited; empty without a process.

    Threads are named by their ids.
    """
    waits = {}
    folder = f"/proc/{pid}/task"
    try:
        threads = os.listdir(folder)
    except OSError:
        return {}
    for thread in threads:
        try:
            with open(f"{folder}/{thread}/schedstat", "rb") as file:
                _, waited_ns, _ = file.read().split()
        except (OSError, ValueError):
            # The thread has ended.
            continue
        waits[int(thread)] = int(waited_ns) / _NS_PER_S
    return waits


def describe(seen: Iterable[HoldUp], since: float = float("-inf")) -> str:
    """Returns: how long each process was held up, "" for none."""
    waited_s: dict[str, float] = {}
    for each in seen:
        if each.ended_at >= since:
            waited_s[each.process] = (
                waited_s.get(each.process, 0.0) + each.waited_s
            )
    return ", ".join(
        f"{name} {total_s:.1f} s" for name, total_s in sorted(waited_s.items())
    )


def make_hold_ups(nodes: list[node_module.Node]) -> HoldUps:
    """Watch the processes of nodes, and the one of the soak."""

    def find_pids() -> dict[str, int]:
        pids = {node.name: node.process.pid for node in nodes if node.running}
        return {OWN_NAME: os.getpid()} | pids

    return HoldUps(find_pids, read_waits, time.monotonic)
