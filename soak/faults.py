"""Faults drawn from a seed and injected from outside the programs."""

import random
import time

import gevent

from soak import checks
from soak import nodes as node_module
from soak import proxy
from soak import records
from soak import silences
from soak.platform import model_weights
from soak.platform import odd_entries
from soak.platform import standins

# Most bytes of a head that is cut off, which is longer.
MAX_HEAD_BYTES = 90
REPLICA_MODES = ("busy", "failing", "mute", "early")
# Kinds of faults, and the weight with which each is drawn.
KINDS = {
    "stop": 3,
    "kill": 3,
    "pause": 2,
    "wipe": 1,
    "proxy": 4,
    "reset": 2,
    "replica": 3,
    "leaves": 1,
    "release": 2,
    "crashing": 1,
    "crashing_request": 1,
    "limited": 1,
    "odd_entry": 1,
    "reload": 2,
    "silent": 2,
}
# Kinds beside gateways that are cut off, which need all authorities.
KINDS_BESIDE_CUT_OFFS = {
    "proxy": 2,
    "reset": 2,
    "replica": 2,
    "release": 1,
    "odd_entry": 1,
}
# Kinds beside streams that break off and prompts that end replicas.
KINDS_BESIDE_BREAKS = {
    "replica": 2,
    "silent": 2,
    "release": 1,
    "limited": 1,
    "crashing": 1,
}
# Kinds beside weights that are named again and again.
KINDS_BESIDE_WEIGHTS = {
    "stop": 1,
    "kill": 3,
    "pause": 2,
    "proxy": 1,
    "release": 1,
    "restart": 3,
    "late_orders": 3,
    "refused_orders": 3,
    "reload": 1,
}
# Kinds beside connections that fall silent and members that stand still.
KINDS_BESIDE_LINKS = {
    "proxy": 2,
    "replica": 2,
    "restart": 3,
    "leaves": 1,
    "reload": 1,
}
# Longer than gateways may go on with an older document.
STANDING_STILL_S = 4.0
# Time after connections have fallen silent in which processes must agree.
SILENCE_INTERVAL_S = 6.0
# Resets of all replicas that use up the attempts of a stream.
RESETS = 3
RESET_INTERVAL_S = 0.06
# Longest time between two breaks of all streams.
BREAK_INTERVAL_S = 1.5
LIMIT_PER_S = 3.0
MAX_DURATION_S = 3.0
# Longer than the time in which weights are to be loaded.
REFUSED_ORDERS_S = 6.0
# Longest time for which one of many odd entries is listed. Lists are read
# each 0.6 s.
ODD_ENTRY_S = 1.5
# Time for which a replica that leaves still serves.
DRAIN_S = 5.0


class Injector:
    """Injects random faults, which may overlap.

    At most `losses` authorities with a disk are disturbed at the same time,
    and the first replica is never disturbed.
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
        self._disturbed: set[str] = set()
        self._silences = silences.make_silences(
            platform, history, rng, self._disturbed
        )
        self._crash_causes = 0
        self._greenlets: list[gevent.Greenlet] = []
        self._kinds = KINDS

    @property
    def silences(self) -> silences.Silences:
        return self._silences

    def run(self, until: float) -> None:
        """Inject faults until a time, then wait until all have ended."""
        while time.monotonic() < until:
            kind = self._rng.choices(
                list(self._kinds), list(self._kinds.values())
            )[0]
            self._greenlets.append(gevent.spawn(self._inject, kind))
            gevent.sleep(self._rng.random() * 1.2)
        gevent.joinall(self._greenlets, raise_error=True)

    def begin_cut_offs(self, until: float) -> None:
        """Cut off one gateway after the other, beside other faults."""
        self._kinds = KINDS_BESIDE_CUT_OFFS
        self._greenlets.append(gevent.spawn(self._cut_off_all, until))

    def begin_links(self, links: list[proxy.Proxy], until: float) -> None:
        """Disturb what processes tell each other, beside other faults."""
        self._kinds = KINDS_BESIDE_LINKS
        self._greenlets.append(gevent.spawn(self._disturb_links, links, until))

    def begin_breaks(self, until: float) -> None:
        """Break off all streams again and again, beside sound nodes."""
        self._kinds = KINDS_BESIDE_BREAKS
        self._greenlets.append(gevent.spawn(self._break_all, until))

    def begin_weights(self) -> None:
        """Disturb the loading of weights."""
        self._kinds = KINDS_BESIDE_WEIGHTS

    def begin_odd_entries(self, until: float) -> None:
        """Let one odd entry after the other come, of which the last stays."""
        self._greenlets.append(gevent.spawn(self._replace_odd_entries, until))

    def begin_crashing(self) -> None:
        """Let a new part of prompts end the replicas that answer them."""
        self._history.crashing_part = self._name_cause("part")
        self._history.count("crashing")

    def begin_crashing_request(self) -> None:
        """Let a new request, which callers repeat, end the replicas."""
        self._history.crashing_request = self._name_cause("request")
        self._history.count("crashing_request")

    def end_crashing(self) -> None:
        self._history.crashing_part = ""
        self._history.crashing_request = ""

    def begin_limit(self, replica: standins.Replica) -> None:
        """Let a replica name a limit, until `end_limit`."""
        replica.limit = records.NamedLimit(
            replica.replica_id, LIMIT_PER_S, time.monotonic()
        )
        self._history.limits.append(replica.limit)
        self._history.count("limited")

    def end_limit(self, replica: standins.Replica) -> None:
        if replica.limit is not None:
            replica.limit.until = time.monotonic()
            replica.limit = None

    def lose_power(self) -> None:
        """Kill all processes and start them again, without one of the disks.

        All authorities have been sound for as long as a lost one takes to
        catch up. If there are authorities without a disk, their addresses
        become the seeds of all processes.
        """
        disturbance = self._history.begin("power", checks.ALL_MEMBERS)
        kills = [
            self._history.begin("kill", node.name)
            for node in self._nodes
            if node.role == "gateway"
        ]
        for node in self._nodes:
            node.kill()
        if self._losses:
            self._rng.choice(
                [each for each in self._nodes if each.durable]
            ).wipe()
        seeds = [
            f"{each.ip}:{node_module.OPERATOR_PORT}"
            for each in self._nodes
            if each.role == "authority" and not each.durable
        ]
        for node in self._nodes:
            if seeds:
                node.settings["seeds"] = seeds[:3]
            node.start()
        disturbance.ended_at = time.monotonic()
        for kill in kills:
            kill.ended_at = time.monotonic() + checks.LEAVE_S

    def _inject(self, kind: str) -> None:
        if kind == "crashing":
            if not self._history.crashing_part:
                self.begin_crashing()
        elif kind == "crashing_request":
            if not self._history.crashing_request:
                self.begin_crashing_request()
        elif kind == "reload":
            if self._rng.choice(self._nodes).reload(signals=True):
                self._history.count("reload")
        elif kind == "odd_entry":
            entry = self._add_odd_entry(self._rng.choice(odd_entries.ENTRIES))
            gevent.sleep(self._rng.random() * MAX_DURATION_S)
            self._platform.odd_entries.remove(entry)
        elif kind == "silent":
            self._silences.silence(self._platform.replicas[1:])
        elif kind in ("stop", "kill", "pause", "wipe"):
            self._disturb_node(kind)
        else:
            self._disturb_replica(kind)

    def _disturb_node(self, kind: str) -> None:
        node = self._rng.choice(self._nodes)
        if kind == "wipe":
            node = self._rng.choice(
                [each for each in self._nodes if each.durable]
            )
        disturbed_members = [
            each
            for each in self._nodes
            if each.name in self._disturbed and each.durable
        ]
        at_limit = len(disturbed_members) >= self._losses and node.durable
        if node.name in self._disturbed or at_limit:
            return
        self._disturbed.add(node.name)
        duration_s = self._rng.random() * MAX_DURATION_S
        disturbance = self._history.begin(kind, node.name)
        match kind:
            case "stop":
                node.terminate()
                node.start()
            case "kill" | "wipe":
                node.kill()
                if kind == "wipe":
                    node.wipe()
                gevent.sleep(duration_s / 2)
                node.start()
            case "pause":
                node.pause(True)
                gevent.sleep(duration_s)
                node.pause(False)
        # The process needs some time to start, join and catch up.
        gevent.sleep(4.0)
        disturbance.ended_at = time.monotonic()
        self._disturbed.discard(node.name)

    def _add_odd_entry(self, entry: bytes) -> bytes:
        self._platform.odd_entries.append(entry)
        self._history.count("odd_entry")
        return entry

    def _replace_odd_entries(self, until: float) -> None:
        entries = list(odd_entries.ENTRIES)
        self._rng.shuffle(entries)
        entry = self._add_odd_entry(entries[-1])
        while time.monotonic() < until:
            gevent.sleep(self._rng.random() * ODD_ENTRY_S)
            self._platform.odd_entries.remove(entry)
            entries.insert(0, entries.pop())
            entry = self._add_odd_entry(entries[-1])

    def _cut_off_all(self, until: float) -> None:
        gateways = [each for each in self._nodes if each.role == "gateway"]
        while time.monotonic() < until:
            self._cut_off(self._rng.choice(gateways))
            gevent.sleep(self._rng.random() * MAX_DURATION_S)

    def _cut_off(self, gateway: node_module.Node) -> None:
        """Let a gateway miss a release, and callers take up streams there.

        It misses the release because it is frozen, or because neither the
        list nor a member answers. Members are frozen for that, since links
        between processes can't be cut.
        """
        members = [each for each in self._nodes if each.role == "authority"]
        frozen = self._rng.random() < 0.5
        kind = "frozen" if frozen else "cut_off"
        disturbances = [self._history.begin(kind, gateway.name)]
        if frozen:
            gateway.pause(True)
        else:
            disturbances.append(
                self._history.begin("pause", checks.ALL_MEMBERS)
            )
            gateway.list_proxy.mode = "silent"
            for member in members:
                member.pause(True)
        gevent.sleep(self._rng.random())
        self._greenlets.append(gevent.spawn(self._inject, "release"))
        gevent.sleep(0.5 + self._rng.random() * 2.0)
        if frozen:
            gateway.pause(False)
        self._history.take_up_at = gateway.name
        self._break_streams()
        gevent.sleep(self._rng.random())
        self._history.take_up_at = ""
        if not frozen:
            gateway.list_proxy.mode = "pass"
            for member in members:
                member.pause(False)
        for each in disturbances:
            each.ended_at = time.monotonic()

    def _break_all(self, until: float) -> None:
        while time.monotonic() < until:
            gevent.sleep(self._rng.random() * BREAK_INTERVAL_S)
            self._break_streams()

    def _break_streams(self) -> None:
        """Reset all replicas, until streams have used up their attempts."""
        for _ in range(RESETS):
            for replica_id, each in list(self._platform.proxies.items()):
                reset = self._history.begin("reset", replica_id)
                each.reset_all()
                reset.ended_at = time.monotonic()
            gevent.sleep(RESET_INTERVAL_S)

    def _disturb_links(self, links: list[proxy.Proxy], until: float) -> None:
        """Let connections fall silent and members stand still in turn."""
        while time.monotonic() < until:
            for node in self._nodes:
                if node.role == "authority" and not node.durable:
                    node.pause(True)
            self._history.count("standing_still")
            gevent.sleep(STANDING_STILL_S * self._rng.uniform(0.5, 1.5))
            for node in self._nodes:
                node.pause(False)
            silence = self._history.begin("silence", checks.ALL_MEMBERS)
            for link in links:
                link.silence_open()
            silence.ended_at = time.monotonic()
            gevent.sleep(SILENCE_INTERVAL_S * self._rng.uniform(0.7, 1.3))

    def _disturb_replica(self, kind: str) -> None:
        replica = self._rng.choice(self._platform.replicas[1:])
        link = self._platform.proxies.get(replica.replica_id)
        if (
            replica.replica_id in self._disturbed
            or replica.leaving
            or link is None
        ):
            return
        self._disturbed.add(replica.replica_id)
        disturbance = self._history.begin(kind, replica.replica_id)
        duration_s = self._rng.random() * MAX_DURATION_S
        match kind:
            case "proxy":
                link.mode = self._rng.choice(proxy.FAULT_MODES)
                link.delay_s = self._rng.random() * 0.3
                link.head_bytes = self._rng.randrange(MAX_HEAD_BYTES)
                gevent.sleep(duration_s)
                link.mode = "pass"
            case "reset":
                link.reset_all()
            case "replica":
                replica.mode = self._rng.choice(REPLICA_MODES)
                gevent.sleep(duration_s)
                replica.mode = "well"
            case "leaves":
                self._platform.leave(replica)
            case "release":
                self._platform.release(replica)
                gevent.sleep(DRAIN_S)
                self._platform.remove(replica)
            case "restart":
                # Mostly under its old id, with the weights that it had.
                self._platform.end(replica, self._rng.random() < 0.7)
            case "late_orders":
                replica.weights.late_s = self._rng.uniform(
                    1.0, model_weights.MAX_LATE_S
                )
                gevent.sleep(duration_s)
                replica.weights.late_s = 0.0
            case "refused_orders":
                replica.weights.refusing = True
                gevent.sleep(REFUSED_ORDERS_S)
                replica.weights.refusing = False
            case "limited" if replica.limit is None:
                self.begin_limit(replica)
                gevent.sleep(duration_s)
                self.end_limit(replica)
        disturbance.ended_at = time.monotonic()
        self._disturbed.discard(replica.replica_id)

    def _name_cause(self, kind: str) -> str:
        self._crash_causes += 1
        return f"bad-{kind}-{self._crash_causes}"
