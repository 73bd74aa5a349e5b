"""Stops of VMs in series, of which some run two programs."""

import random
import time

import gevent
import msgspec

from soak import nodes as node_module
from soak import records

# Time between the stops of two VMs, and the range of its factor.
STOP_INTERVAL_S = 0.84
STOP_FACTORS = (0.6, 1.4)
# Time between the end of a VM and its next start.
OFF_S = 0.3
# Longest time between two rounds.
ROUND_PAUSE_S = 1.0
RELOAD_INTERVAL_S = 0.4
# Share of the starts beside which SIGHUP comes, and the time after them. The
# interpreter can't handle it before.
RELOADED_START_SHARE = 0.5
RELOADED_START_S = (0.1, 1.0)


class VirtualMachine(msgspec.Struct, eq=False):
    """Processes that stop and start together."""

    nodes: list[node_module.Node]

    def terminate(self) -> None:
        """Stop all processes, and wait until they have ended."""
        gevent.joinall(
            [gevent.spawn(node.terminate) for node in self.nodes],
            raise_error=True,
        )

    def wait_started(self) -> None:
        """Wait until all processes that run have started and are ready."""
        until = time.monotonic() + node_module.START_TIMEOUT_S
        waiting = list(self.nodes)
        while waiting:
            waiting = [each for each in waiting if _is_starting(each)]
            if time.monotonic() > until:
                for node in waiting:
                    node.failures.append(f"{node.name} has not started")
                return
            gevent.sleep(0.1)


class Rolls:
    """Stops all VMs one after the other, and reloads beside that.

    A VM starts again once all its processes have ended, so that the stops
    overlap. Each authority shares its VM with a gateway.

    Args:
        early_reloads: whether SIGHUP comes while processes start as well.
    """

    def __init__(
        self,
        nodes: list[node_module.Node],
        history: records.History,
        rng: random.Random,
        early_reloads: bool,
    ) -> None:
        self._nodes = nodes
        self._history = history
        self._rng = rng
        self._early_reloads = early_reloads
        self._machines = _place(nodes)

    def run(self, until: float) -> None:
        """Roll until a time, for one round at least."""
        reloading = gevent.spawn(self._reload)
        try:
            self._roll()
            while time.monotonic() < until:
                gevent.sleep(self._rng.random() * ROUND_PAUSE_S)
                self._roll()
        finally:
            reloading.kill()

    def _roll(self) -> None:
        machines = list(self._machines)
        # Those with an authority come in a row otherwise.
        if self._rng.random() < 0.5:
            self._rng.shuffle(machines)
        stops = []
        for machine in machines:
            stops.append(gevent.spawn(self._stop, machine))
            gevent.sleep(STOP_INTERVAL_S * self._rng.uniform(*STOP_FACTORS))
        gevent.joinall(stops, raise_error=True)

    def _stop(self, machine: VirtualMachine) -> None:
        stops = [
            self._history.begin("stop", node.name) for node in machine.nodes
        ]
        machine.terminate()
        gevent.sleep(OFF_S)
        started_at = time.monotonic()
        for node in machine.nodes:
            node.start()
            if self._early_reloads:
                self._reload_start(node)
        machine.wait_started()
        # Members have joined again after this time.
        joined_at = started_at + node_module.MEMBER_START_S
        for node, stop in zip(machine.nodes, stops):
            stop.ended_at = time.monotonic()
            if node.role == "authority":
                stop.ended_at = max(stop.ended_at, joined_at)

    def _reload_start(self, node: node_module.Node) -> None:
        if self._rng.random() < RELOADED_START_SHARE:
            delay_s = self._rng.uniform(*RELOADED_START_S)
            gevent.spawn_later(delay_s, self._signal, node)

    def _reload(self) -> None:
        while True:
            gevent.sleep(self._rng.random() * RELOAD_INTERVAL_S)
            node = self._rng.choice(self._nodes)
            if node.reload(signals=self._rng.random() < 0.7):
                self._history.count("reload")

    def _signal(self, node: node_module.Node) -> None:
        if node.reload(signals=True):
            self._history.count("early_reload")


def _is_starting(node: node_module.Node) -> bool:
    if not node.running:
        return False
    if not node.has_started():
        return True
    return node.role == "gateway" and not node.is_ready()


def _place(nodes: list[node_module.Node]) -> list[VirtualMachine]:
    """Returns: VMs, of which the first ones have an authority."""
    members = [each for each in nodes if each.role == "authority"]
    gateways = [each for each in nodes if each.role == "gateway"]
    count = max(len(members), len(gateways))
    return [
        VirtualMachine([*members[each : each + 1], *gateways[each : each + 1]])
        for each in range(count)
    ]


def make_rolls(
    nodes: list[node_module.Node],
    history: records.History,
    rng: random.Random,
    early_reloads: bool,
) -> Rolls:
    return Rolls(nodes, history, rng, early_reloads)
