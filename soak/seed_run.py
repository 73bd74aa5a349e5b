"""Runs one seed: start, inject faults, let recover, check."""

import random
import tempfile
import time

import gevent
from gevent import event
import msgspec

from soak import checks
from soak import clients
from soak import document_storms
from soak import faults
from soak import figures
from soak import final_reads
from soak import hold_ups
from soak import nodes as node_module
from soak import operators
from soak import planned_work
from soak import proxy
from soak import records
from soak import rejection_logs
from soak import repeat_faults
from soak import rolls
from soak import uneven_runs
from soak.platform import model_weights
from soak.platform import standins

REPLICAS = 4
CALLERS = 8
# Callers of the scenario of planned work, their longest pause, and the
# connections that each keeps.
STOP_CALLERS = 96
STOP_PAUSE_S = 0.02
STOP_CONNECTIONS = 4
# Deadline that leaves room for silent replicas, and what is done beside these.
SILENCES_DEADLINE_S = 6.0
BESIDE_SILENCES = ("nothing", "documents", "stops")
RECOVERY_S = 8.0
FINAL_CALLS = 60
# Gateways give up replicas that are silent for 1.2 s or longer.
MIN_STALL_S = 1.0
STALL_PERIOD_S = 0.1
# Callers of the scenario of repeats, and their longest pause.
REPEAT_CALLERS = 24
REPEAT_PAUSE_S = 0.5
# Most of their calls may be repeated twice.
REPEAT_PATH_PREFIXES = (*clients.PATH_PREFIXES, *6 * (standins.OFTEN,))
# Processes and callers of the scenario of rolls, the longest pause of a caller
# and the connections that each keeps.
ROLL_GATEWAYS = 7
ROLL_REPLICAS = 6
ROLL_CALLERS = 80
ROLL_PAUSE_S = 0.3
ROLL_CONNECTIONS = 2
ROLL_PATH_PREFIXES = (
    standins.ONCE,
    standins.LOOKUP,
    standins.OPTIONAL,
    standins.SHORT,
    standins.LONG,
    standins.SINGLE,
)
# Callers of the scenario of unequal calls, and their longest pause.
UNEVEN_CALLERS = 60
UNEVEN_PAUSE_S = 0.4
# Longest time between two namings of weights.
NAMING_INTERVAL_S = 3.0


class Scenario(msgspec.Struct, frozen=True):
    """Number of processes, and the faults that they have to tolerate.

    Attributes:
        authorities: number of authorities with a disk.
        losses: maximum number of these that are disturbed at the same time.
        diskless: number of additional authorities without a disk.
        power: whether all processes lose power at the end, right after a
            document was accepted, and one disk is lost with it.
        limited: whether the first replica names a limit all the time.
        crashing: whether prompts with one part end replicas all the time.
        crashing_request: whether one repeated request does so.
        stops: whether there is planned work instead of faults: stops of all
            gateways in series that overlap, reloads and changed documents.
        odd: whether the list of replicas has an odd entry all the time.
        cut_offs: whether gateways miss releases while they are frozen, or
            while neither the list nor a member answers.
        weights: whether weights are named again before all replicas have the
            last, while these are late with them.
        links: whether the open connections between processes fall silent, and
            authorities without a disk stand still, again and again.
        silences: whether sound replicas fall silent and go on, beside nothing,
            changed documents or planned work, instead of faults. With `stops`
            it is one, half or all of them, beside planned work, and half of
            the callers don't look whether their connections are open.
        long_streams: with `silences` and `stops`, whether streams last for up
            to 4.3 s without a silence.
        breaks: whether streams break off again and again and a part of prompts
            ends replicas, while all nodes are sound.
        repeats: whether most calls fail at all replicas, while nodes are cut
            into groups, gateways and members restart, or replicas read calls
            late, instead of faults.
        bursts: with `repeats`, whether all gateways are killed right after
            calls have begun to fail, instead of what is drawn.
        pauses: with `repeats`, whether half of the replicas stand still at a
            time while nothing fails, instead of what is drawn.
        failing: with `pauses`, whether the others fail most calls meanwhile,
            and pauses are longer.
        storms: whether all processes lose power again and again, and one disk,
            right after the last of many large documents was accepted, instead
            of faults.
        rolls: whether VMs are stopped and started again in series, instead of
            faults, see `rolls.Rolls`. With `silences` half of the replicas
            stand still again and again.
        early_reloads: with `rolls`, whether SIGHUP comes while processes start
            as well.
        callers: number of callers of `rolls`.
        uneven: share of the calls of a route that run for long, while the
            others are short; 0 for no such calls. Nothing else happens, but
            for one replica after the other that stands still with `silences`,
            a third of them at a time for as long as callers wait with
            `pauses`, and a document after the other with `documents`.
    """

    authorities: int = 3
    gateways: int = 3
    losses: int = 1
    diskless: int = 0
    power: bool = False
    crashing: bool = False
    limited: bool = False
    crashing_request: bool = False
    stops: bool = False
    odd: bool = False
    cut_offs: bool = False
    weights: bool = False
    links: bool = False
    silences: bool = False
    repeats: bool = False
    breaks: bool = False
    bursts: bool = False
    pauses: bool = False
    failing: bool = False
    storms: bool = False
    rolls: bool = False
    early_reloads: bool = False
    callers: int = ROLL_CALLERS
    long_streams: bool = False
    uneven: float = 0.0
    documents: bool = False


class Result(msgspec.Struct):
    """Violations and counts of one run.

    Attributes:
        figures: see `figures.measure`.
    """

    seed: int
    findings: list[str]
    calls: int
    faults: dict[str, int]
    figures: dict[str, str] = {}


def run_seed(
    seed: int,
    seconds: float,
    scenario: Scenario = Scenario(),
    folder: str = "",
) -> Result:
    """Run one seed.

    Args:
        seed: seed of the random choices of callers, operator and faults.
        seconds: duration of the fault injection.
        folder: where to keep logs and data; a temporary folder when empty.
    """
    if not folder:
        with tempfile.TemporaryDirectory() as temporary:
            return run_seed(seed, seconds, scenario, temporary)
    history = records.History(records.Executions())
    if scenario.weights:
        history.model = model_weights.MODEL
    history.long_share = scenario.uneven
    network = node_module.Network()
    platform = standins.Platform(
        network.ip(2),
        history,
        proxy.make_proxy,
        (
            standins.LONG_EVENT_INTERVAL_S
            if scenario.long_streams
            else standins.EVENT_INTERVAL_S
        ),
    )
    nodes: list[node_module.Node] = []
    links: node_module.Links = {}
    watching = [gevent.spawn(_watch_stalls, history)]
    try:
        many = scenario.rolls or scenario.uneven
        for index in range(ROLL_REPLICAS if many else REPLICAS):
            platform.add_replica(
                f"i-{seed}-{index}",
                f"z{index % 3}",
                network.ip(200 + index),
                weights=(
                    model_weights.ModelWeights() if scenario.weights else None
                ),
            )
        nodes = node_module.make_nodes(
            network,
            folder,
            platform.address,
            scenario.authorities,
            scenario.gateways,
            scenario.losses,
            scenario.diskless,
        )
        for node in nodes:
            if node.role == "gateway":
                node.list_proxy = platform.add_list_proxy()
                node.settings["platform_address"] = node.list_proxy.address
        if scenario.links or scenario.repeats:
            links = node_module.connect(nodes)
        held_up = hold_ups.make_hold_ups(nodes)
        watching.append(gevent.spawn(held_up.run))
        return _run(
            seed, seconds, scenario, history, platform, nodes, links, held_up
        )
    finally:
        gevent.killall(watching)
        for node in nodes:
            if node.running:
                node.kill()
        for link in links.values():
            link.stop()
        platform.stop()
        network.close()


def _run(
    seed, seconds, scenario, history, platform, nodes, links, held_up
) -> Result:
    members = [each for each in nodes if each.role == "authority"]
    gateways = [each for each in nodes if each.role == "gateway"]
    for node in nodes:
        node.start()
    listening = gevent.spawn(_wait_listening, nodes)
    operator = operators.Operator(history, _make_rng(seed, "operator"))
    accepted = operator.put(
        members,
        node_module.START_TIMEOUT_S,
        listening=listening,
        held_up=held_up,
    )
    listening.get()
    if not accepted:
        answers = operators.tell_answers(history.operator_calls)
        held = hold_ups.describe(held_up.seen)
        findings = [
            f"the first document was not accepted: {answers};"
            f" held up: {held or 'none'}"
        ]
        for node in nodes:
            findings += node.failures
        return Result(seed, findings, 0, {})
    for gateway in gateways:
        gateway.wait_ready()
    until = time.monotonic() + seconds
    rng = _make_rng(seed, "faults")
    injector = faults.Injector(nodes, platform, history, rng, scenario.losses)
    work = planned_work.make_planned_work(nodes, history, rng)
    ended = event.Event()
    callers = _make_callers(seed, scenario, gateways, history)
    calling = [
        gevent.spawn(caller.run, targets, ended) for caller, targets in callers
    ]
    beside = ""
    if scenario.uneven:
        beside = "nothing"
    elif scenario.silences and not scenario.rolls:
        beside = _make_rng(seed, "beside").choice(BESIDE_SILENCES)
        if scenario.stops:
            beside = "stops"
        history.count(f"beside_{beside}")
    operating = []
    if beside != "nothing" and not scenario.storms:
        operating.append(gevent.spawn(_operate, operator, members, ended))
    if scenario.stops or scenario.rolls:
        # Documents overlap as well.
        operating.append(gevent.spawn(_operate, operator, members, ended))
    if scenario.weights:
        injector.begin_weights()
        operating.append(gevent.spawn(_name_weights, operator, members, ended))
    if scenario.crashing:
        injector.begin_crashing()
    if scenario.crashing_request:
        injector.begin_crashing_request()
    if scenario.limited:
        injector.begin_limit(platform.replicas[0])
    if scenario.odd:
        injector.begin_odd_entries(until)
    if scenario.cut_offs:
        injector.begin_cut_offs(until)
    if scenario.breaks:
        injector.begin_breaks(until)
        injector.begin_crashing()
    if scenario.links:
        injector.begin_links(list(links.values()), until)
    storm_findings = []
    if scenario.storms:
        storm_findings = document_storms.make_document_storms(
            operator, members, injector, rng
        ).run(until)
    elif scenario.repeats:
        repeat_faults.make_repeat_faults(
            nodes,
            links,
            platform,
            history,
            rng,
            scenario.bursts,
            scenario.pauses,
            scenario.failing,
        ).run(until)
    elif scenario.uneven:
        uneven_runs.make_uneven_runs(
            platform,
            rng,
            injector.silences if scenario.silences else None,
            operator if scenario.documents else None,
            members,
            history if scenario.pauses else None,
        ).run(until)
    elif scenario.rolls:
        if scenario.silences:
            operating.append(gevent.spawn(injector.silences.run_halves, ended))
        rolls.make_rolls(nodes, history, rng, scenario.early_reloads).run(
            until
        )
    elif beside:
        silencing = gevent.spawn(injector.silences.run, until, scenario.stops)
        if beside == "stops":
            work.run(until)
        silencing.get()
    elif scenario.stops:
        work.run(until)
    else:
        injector.run(until)
    ended.set()
    injector.end_crashing()
    for replica in platform.replicas:
        injector.end_limit(replica)
    gevent.joinall([*calling, *operating], raise_error=True)
    if scenario.power:
        # What was acknowledged just before is there again.
        operator.put(members, node_module.START_TIMEOUT_S)
        injector.lose_power()
    gevent.sleep(RECOVERY_S)
    final_caller = clients.Caller(
        f"{seed}-last",
        history,
        _make_rng(seed, "last"),
        deadline_s=(
            SILENCES_DEADLINE_S
            if scenario.long_streams
            else clients.DEADLINE_S
        ),
    )
    final_calls = [
        final_caller.call(rng.choice(gateways)) for _ in range(FINAL_CALLS)
    ]
    always_routed = [
        each for each in final_calls if each.path_prefix != standins.OPTIONAL
    ]
    unread = final_reads.check(operator, members, history, held_up)
    if scenario.rolls:
        for gateway in gateways:
            history.rejections += rejection_logs.read(gateway)
    findings = [
        *storm_findings,
        *checks.check(history),
        *checks.check_recovered(always_routed),
        *unread,
    ]
    for node in nodes:
        node.note_own_end()
        findings += node.failures
    return Result(
        seed,
        findings,
        len(history.calls),
        history.counts,
        figures.measure(history)
        | {"held_up": hold_ups.describe(held_up.seen) or "none"},
    )


def _wait_listening(nodes: list[node_module.Node]) -> None:
    for node in nodes:
        node.wait_listening()


def _make_rng(seed: int, name: str) -> random.Random:
    """Returns: choices of one task, which no other task draws from."""
    return random.Random(f"{seed} {name}")


def _make_callers(seed, scenario, gateways, history):
    """Returns: callers, each with the gateways that it calls."""
    callers = []
    keeps_open = scenario.stops or scenario.silences or scenario.rolls
    deadline_s = clients.DEADLINE_S
    if (
        scenario.silences
        or scenario.pauses
        or scenario.rolls
        or scenario.uneven
    ):
        deadline_s = SILENCES_DEADLINE_S
    count = STOP_CALLERS if keeps_open else CALLERS
    if scenario.repeats:
        count = REPEAT_CALLERS
    if scenario.rolls:
        count = scenario.callers
    if scenario.uneven:
        count = UNEVEN_CALLERS
    for index in range(count):
        name = f"{seed}-{index}"
        rng = _make_rng(seed, name)
        if scenario.uneven:
            caller = clients.Caller(
                name,
                history,
                rng,
                UNEVEN_PAUSE_S,
                1,
                deadline_s,
                uneven_runs.PATH_PREFIXES,
            )
            targets = [gateways[index % len(gateways)]]
        elif scenario.rolls:
            caller = clients.Caller(
                name,
                history,
                rng,
                ROLL_PAUSE_S,
                ROLL_CONNECTIONS,
                deadline_s,
                ROLL_PATH_PREFIXES,
                looks=not index % 2,
            )
            targets = [gateways[index % len(gateways)]]
        elif keeps_open:
            caller = clients.Caller(
                name,
                history,
                rng,
                STOP_PAUSE_S,
                STOP_CONNECTIONS,
                deadline_s,
                looks=not (scenario.silences and scenario.stops and index % 2),
            )
            targets = [gateways[index % len(gateways)]]
        elif scenario.repeats:
            caller = clients.Caller(
                name,
                history,
                rng,
                REPEAT_PAUSE_S,
                deadline_s=deadline_s,
                path_prefixes=REPEAT_PATH_PREFIXES,
            )
            targets = gateways
        else:
            caller, targets = clients.Caller(name, history, rng), gateways
        callers.append((caller, targets))
    return callers


def _watch_stalls(history) -> None:
    """Record when this process, and with it all replicas, stands still."""
    while True:
        asleep_at = time.monotonic()
        gevent.sleep(STALL_PERIOD_S)
        if time.monotonic() - asleep_at > MIN_STALL_S:
            stall = history.begin("stall", checks.STAND_INS)
            stall.began_at = asleep_at
            stall.ended_at = time.monotonic()


def _name_weights(operator, members, ended) -> None:
    while not ended.is_set():
        operator.name_weights(members, 3.0)
        operator.pause(NAMING_INTERVAL_S)


def _operate(operator, members, ended) -> None:
    while not ended.is_set():
        operator.put(members, 3.0)
        for _ in range(3):
            operator.read(members)
            operator.pause()
