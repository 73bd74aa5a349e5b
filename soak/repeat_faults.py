"""Faults beside which repeats of calls pile up."""

import random
import time

import gevent
from gevent import event

from soak import checks
from soak import nodes as node_module
from soak import records
from soak.platform import standins

# Gateways use their whole allowance once they have run for this long.
SETTLING_S = 12.0
# Time between the begin of some disturbances and that of the failures of
# replicas. A cut must outlast what the sides remember of each other, and
# before a burst gateways must have shares of the constant part.
LEAD_S = (8.0, 13.0)
DISTURBANCES_WITH_LEAD = frozenset(("cut", "burst"))
RESTART_PERIOD_S = (1.5, 8.0)
DOWN_S = 0.5
MEMBER_PERIOD_S = (2.0, 5.0)
# Time for which replicas stand still, and between two of these.
STANDING_STILL_S = (4.0, 9.0)
STANDING_STILL_PERIOD_S = 3.0
# The same while nothing else fails: half of the replicas, then the others.
PAUSE_S = 2.5
PAUSE_PERIOD_S = 4.0
# The same while the other replicas fail this share of their calls.
LONG_PAUSE_S = 6.0
LONG_PAUSE_PERIOD_S = 9.0
BESIDE_PAUSES_SHARE = 0.6
# Gateways that start in a group without a quorum take no calls, so that they
# don't restart beside a cut.
DISTURBANCES = (
    ("cut",),
    ("cut", "standing_still"),
    ("restarts",),
    ("restarts", "members"),
    ("restarts", "standing_still"),
    ("members",),
    ("members", "standing_still"),
    ("standing_still",),
)
# Time from the begin of the failures to the kill of all gateways, in which
# these use up their allowance.
BURST_S = (1.0, 4.0)
# Shares of the calls that fail. Gateways send less to replicas that answer
# nothing else.
FAILING_SHARES = (0.8, 1.0)


class RepeatFaults:
    """Lets most calls fail at all replicas, beside one or two disturbances.

    Callers, replicas and the list are reached all the while.

    Args:
        links: connections between nodes.
        bursts: whether all gateways are killed right after calls have begun
            to fail, instead of a disturbance that is drawn.
        pauses: whether half of the replicas stand still at a time, instead.
        failing: with `pauses`, whether the others fail most calls meanwhile,
            and pauses are longer. Without, no calls fail.
    """

    def __init__(
        self,
        nodes: list[node_module.Node],
        links: node_module.Links,
        platform: standins.Platform,
        history: records.History,
        rng: random.Random,
        bursts: bool,
        pauses: bool,
        failing: bool,
    ) -> None:
        self._nodes = nodes
        self._links = links
        self._platform = platform
        self._history = history
        self._rng = rng
        self._bursts = bursts
        self._pauses = pauses
        self._fails_beside_pauses = failing
        # Set when the replicas begin to fail.
        self._failing = event.Event()

    def run(self, until: float) -> None:
        kinds = ("burst",) if self._bursts else self._rng.choice(DISTURBANCES)
        gevent.sleep(max(0.0, min(SETTLING_S, until - time.monotonic())))
        if self._pauses:
            self._stop_replicas_in_turn(until)
            return
        running = []
        for kind in kinds:
            self._history.count(kind)
            running.append(gevent.spawn(self._disturb, kind, until))
        if DISTURBANCES_WITH_LEAD.intersection(kinds):
            gevent.sleep(self._rng.uniform(*LEAD_S))
        self._failing.set()
        failures = [
            self._history.begin("replica", each.replica_id)
            for each in self._platform.replicas
        ]
        failing_share = 1.0
        if self._bursts:
            failing_share = self._rng.choice(FAILING_SHARES)
        for each in self._platform.replicas:
            each.mode = "failing"
            each.failing_share = failing_share
        gevent.joinall(running, raise_error=True)
        for each in self._platform.replicas:
            each.mode = "well"
        for failure in failures:
            failure.ended_at = time.monotonic()

    def _disturb(self, kind: str, until: float) -> None:
        match kind:
            case "cut":
                self._cut(until)
            case "restarts":
                self._restart_gateways(until)
            case "members":
                self._restart_members(until)
            case "burst":
                self._restart_after_burst(until)
            case "standing_still":
                self._stop_replicas(until)

    def _cut(self, until: float) -> None:
        """Cut the nodes into groups, each with one member."""
        members = [each for each in self._nodes if each.role == "authority"]
        groups = {each.name: index for index, each in enumerate(members)}
        for node in self._nodes:
            groups.setdefault(node.name, self._rng.randrange(len(members)))
        cut = self._history.begin("cut", checks.ALL_MEMBERS)
        severed = [
            link
            for (near, far), link in self._links.items()
            if groups[near] != groups[far]
        ]
        for link in severed:
            link.mode = "silent"
        _sleep_until(until)
        for link in severed:
            link.mode = "pass"
        cut.ended_at = time.monotonic()

    def _restart_gateways(self, until: float) -> None:
        """Kill half of the gateways, or all, again and again."""
        gateways = [each for each in self._nodes if each.role == "gateway"]
        count = self._rng.choice(((len(gateways) + 1) // 2, len(gateways)))
        while time.monotonic() < until:
            gevent.sleep(self._rng.uniform(*RESTART_PERIOD_S))
            self._restart(self._rng.sample(gateways, count))

    def _restart_after_burst(self, until: float) -> None:
        """Kill all gateways once, right after calls have begun to fail."""
        gateways = [each for each in self._nodes if each.role == "gateway"]
        self._failing.wait()
        gevent.sleep(self._rng.uniform(*BURST_S))
        self._restart(gateways)
        _sleep_until(until)

    def _restart_members(self, until: float) -> None:
        """Kill members, sometimes all at once, so that leaders change."""
        members = [each for each in self._nodes if each.role == "authority"]
        while time.monotonic() < until:
            chosen = [self._rng.choice(members)]
            if self._rng.random() < 0.3:
                chosen = members
            self._restart(chosen)
            gevent.sleep(self._rng.uniform(*MEMBER_PERIOD_S))

    def _stop_replicas(self, until: float) -> None:
        """Let replicas take connections and calls, and read them later."""
        while time.monotonic() < until:
            replicas = self._rng.sample(
                self._platform.replicas, len(self._platform.replicas) - 1
            )
            self._stop(replicas, self._rng.uniform(*STANDING_STILL_S))
            gevent.sleep(STANDING_STILL_PERIOD_S)

    def _stop_replicas_in_turn(self, until: float) -> None:
        """The same for each half of the replicas in turn."""
        replicas = list(self._platform.replicas)
        self._rng.shuffle(replicas)
        half = len(replicas) // 2
        halves = (replicas[:half], replicas[half:])
        pause_s, period_s = PAUSE_S, PAUSE_PERIOD_S
        if self._fails_beside_pauses:
            pause_s, period_s = LONG_PAUSE_S, LONG_PAUSE_PERIOD_S
        while time.monotonic() < until:
            for stopped, others in (halves, halves[::-1]):
                if self._fails_beside_pauses:
                    self._set_failing(others, BESIDE_PAUSES_SHARE)
                self._stop(stopped, pause_s)
                self._set_failing(others, 0.0)
                gevent.sleep(period_s - pause_s)

    def _set_failing(
        self, replicas: list[standins.Replica], share: float
    ) -> None:
        for each in replicas:
            each.mode = "failing" if share else "well"
            each.failing_share = share

    def _stop(self, replicas: list[standins.Replica], seconds: float) -> None:
        links = [self._platform.proxies[each.replica_id] for each in replicas]
        silences = [
            self._history.begin("standing_still", each.replica_id)
            for each in replicas
        ]
        for link in links:
            link.pause(takes_connections=True)
        gevent.sleep(seconds)
        for link in links:
            link.go_on()
        for each in silences:
            each.ended_at = time.monotonic()

    def _restart(self, nodes: list[node_module.Node]) -> None:
        kills = [self._history.begin("kill", each.name) for each in nodes]
        for node in nodes:
            node.kill()
        gevent.sleep(DOWN_S)
        for node in nodes:
            node.start()
        for kill in kills:
            kill.ended_at = time.monotonic() + checks.LEAVE_S


def _sleep_until(until: float) -> None:
    gevent.sleep(max(0.0, until - time.monotonic()))


def make_repeat_faults(
    nodes: list[node_module.Node],
    links: node_module.Links,
    platform: standins.Platform,
    history: records.History,
    rng: random.Random,
    bursts: bool,
    pauses: bool,
    failing: bool,
) -> RepeatFaults:
    return RepeatFaults(
        nodes, links, platform, history, rng, bursts, pauses, failing
    )
