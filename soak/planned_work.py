"""Planned work on running programs: stops, reloads, changed settings."""

import random
import time

import gevent

from soak import nodes as node_module
from soak import records

ROUNDS = 2
# Longest time between the stops of two gateways. Each takes longer.
STOP_INTERVAL_S = 1.2
RELOAD_INTERVAL_S = 0.4


class PlannedWork:
    """Stops all gateways one after the other, and reloads beside that.

    The stops overlap. Each round also stops one authority, or all of them.
    """

    def __init__(
        self,
        nodes: list[node_module.Node],
        history: records.History,
        rng: random.Random,
    ) -> None:
        self._nodes = nodes
        self._history = history
        self._rng = rng

    def run(self, until: float) -> None:
        """Work until a time, for ROUNDS rounds at least."""
        reloading = gevent.spawn(self._reload)
        rounds = 0
        try:
            while rounds < ROUNDS or time.monotonic() < until:
                self._stop_all()
                rounds += 1
        finally:
            reloading.kill()

    def _stop_all(self) -> None:
        gateways = [each for each in self._nodes if each.role == "gateway"]
        members = [each for each in self._nodes if each.role == "authority"]
        count = self._rng.choice((1, len(members)))
        stopping = gateways + self._rng.sample(members, count)
        self._rng.shuffle(stopping)
        stops = []
        for node in stopping:
            stops.append(gevent.spawn(self._stop, node))
            gevent.sleep(self._rng.random() * STOP_INTERVAL_S)
        gevent.joinall(stops, raise_error=True)

    def _stop(self, node: node_module.Node) -> None:
        stop = self._history.begin("stop", node.name)
        node.terminate()
        node.start()
        if node.role == "gateway":
            node.wait_ready()
        else:
            gevent.sleep(node_module.MEMBER_START_S)
        stop.ended_at = time.monotonic()

    def _reload(self) -> None:
        while True:
            gevent.sleep(self._rng.random() * RELOAD_INTERVAL_S)
            node = self._rng.choice(self._nodes)
            if node.reload(signals=self._rng.random() < 0.7):
                self._history.count("reload")


def make_planned_work(
    nodes: list[node_module.Node],
    history: records.History,
    rng: random.Random,
) -> PlannedWork:
    return PlannedWork(nodes, history, rng)
