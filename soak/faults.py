"""Faults that a seed draws, injected from outside of the programs."""

import random
import time

import gevent

from soak import nodes as node_module
from soak import records
from soak.platform import standins

PROXY_MODES = ("delay", "silent", "one_way", "refuse")
REPLICA_MODES = ("busy", "failing", "mute")
# Kinds of faults, and how often each is drawn.
KINDS = {
    "stop": 3,
    "kill": 3,
    "pause": 2,
    "wipe": 1,
    "proxy": 4,
    "reset": 2,
    "replica": 3,
    "leaves": 1,
}
LONGEST_S = 3.0


class Injector:
    """Draws faults that come in series and overlap.

    No more authorities than the group bears are disturbed at once, and one
    replica is left alone.
    """

    def __init__(
        self,
        nodes: list[node_module.Node],
        platform: standins.Platform,
        history: records.History,
        rng: random.Random,
        losses: int,
    ) -> None:
        self._nodes = nodes
        self._platform = platform
        self._history = history
        self._rng = rng
        self._losses = losses
        self._busy: set[str] = set()
        self._under_way: list[gevent.Greenlet] = []
        self.counts: dict[str, int] = {}

    def run(self, until: float) -> None:
        """Inject faults until a time, and wait until all have ended."""
        while time.monotonic() < until:
            kind = self._rng.choices(list(KINDS), list(KINDS.values()))[0]
            self._under_way.append(gevent.spawn(self._inject, kind))
            gevent.sleep(self._rng.random() * 1.2)
        gevent.joinall(self._under_way, raise_error=True)

    def lose_power(self) -> None:
        """Kill all processes; they are back with other seeds.

        Where some authorities have no disk the new seeds are these.
        """
        begin = self._begin("power", "authority-all")
        for node in self._nodes:
            node.kill()
        seeds = [
            f"{each.ip}:{node_module.OPERATOR_PORT}"
            for each in self._nodes
            if each.role == "authority" and not each.durable
        ]
        for node in self._nodes:
            if seeds:
                node.settings["seeds"] = seeds[:3]
            node.start()
        self._end("power", "authority-all", begin)

    def _inject(self, kind: str) -> None:
        if kind in ("stop", "kill", "pause", "wipe"):
            self._disturb_node(kind)
        else:
            self._disturb_replica(kind)

    def _disturb_node(self, kind: str) -> None:
        node = self._rng.choice(self._nodes)
        if kind == "wipe":
            node = self._rng.choice(
                [each for each in self._nodes if each.durable]
            )
        disturbed = [
            each
            for each in self._nodes
            if each.name in self._busy and each.durable
        ]
        full = len(disturbed) >= self._losses and node.durable
        if node.name in self._busy or full:
            return
        self._busy.add(node.name)
        for_s = self._rng.random() * LONGEST_S
        begin = self._begin(kind, node.name)
        match kind:
            case "stop":
                node.terminate()
                node.start()
            case "kill" | "wipe":
                node.kill()
                if kind == "wipe":
                    node.wipe()
                gevent.sleep(for_s / 2)
                node.start()
            case "pause":
                node.pause(True)
                gevent.sleep(for_s)
                node.pause(False)
        # It needs some time to start, join and catch up.
        gevent.sleep(4.0)
        self._end(kind, node.name, begin)
        self._busy.discard(node.name)

    def _disturb_replica(self, kind: str) -> None:
        replica = self._rng.choice(self._platform.replicas[1:])
        if replica.replica_id in self._busy or replica.leaving:
            return
        self._busy.add(replica.replica_id)
        proxy = self._platform.proxies[replica.replica_id]
        begin = self._begin(kind, replica.replica_id)
        for_s = self._rng.random() * LONGEST_S
        match kind:
            case "proxy":
                proxy.mode = self._rng.choice(PROXY_MODES)
                proxy.delay_s = self._rng.random() * 0.3
                gevent.sleep(for_s)
                proxy.mode = "pass"
            case "reset":
                proxy.reset_all()
            case "replica":
                replica.mode = self._rng.choice(REPLICA_MODES)
                gevent.sleep(for_s)
                replica.mode = "well"
            case "leaves":
                replica.leaving = True
        self._end(kind, replica.replica_id, begin)
        self._busy.discard(replica.replica_id)

    def _begin(self, kind: str, target: str) -> float:
        self.counts[kind] = self.counts.get(kind, 0) + 1
        now = time.monotonic()
        # Until it is over, it lasts.
        self._history.disturbances.append(
            records.Disturbance(kind, target, now, float("inf"))
        )
        return now

    def _end(self, kind: str, target: str, begin: float) -> None:
        known = records.Disturbance(kind, target, begin, float("inf"))
        place = self._history.disturbances.index(known)
        self._history.disturbances[place] = records.Disturbance(
            kind, target, begin, time.monotonic()
        )
