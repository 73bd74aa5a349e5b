"""Runs one seed: start, inject faults, let recover, check."""

import random
import tempfile
import time

import gevent
import geventhttpclient
import msgspec

from soak import checks
from soak import clients
from soak import faults
from soak import nodes as node_module
from soak import proxy
from soak import records
from soak.platform import standins

REPLICAS = 4
CALLERS = 8
RECOVERY_S = 8.0
FINAL_CALLS = 60


class Scenario(msgspec.Struct, frozen=True):
    """Number of processes, and the faults that they have to tolerate.

    Attributes:
        authorities: number of authorities with a disk.
        losses: maximum number of these that are disturbed at the same time.
        diskless: number of additional authorities without a disk.
        power: whether all processes lose power at the end.
        limited: whether the first replica names a limit all the time.
        crashing: whether prompts with one part end replicas all the time.
        crashing_request: whether one repeated request does so.
    """

    authorities: int = 3
    gateways: int = 3
    losses: int = 1
    diskless: int = 0
    power: bool = False
    crashing: bool = False
    limited: bool = False
    crashing_request: bool = False


class Result(msgspec.Struct):
    """Violations and counts of one run."""

    seed: int
    findings: list[str]
    calls: int
    faults: dict[str, int]


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
    rng = random.Random(seed)
    history = records.History(records.Executions())
    network = node_module.Network()
    platform = standins.Platform(network.ip(2), history, proxy.make_proxy)
    nodes: list[node_module.Node] = []
    try:
        for index in range(REPLICAS):
            platform.add_replica(
                f"i-{seed}-{index}", f"z{index % 3}", network.ip(200 + index)
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
        return _run(seed, seconds, scenario, rng, history, platform, nodes)
    finally:
        for node in nodes:
            if node.running:
                node.kill()
        platform.stop()
        network.close()


def _run(seed, seconds, scenario, rng, history, platform, nodes) -> Result:
    members = [each for each in nodes if each.role == "authority"]
    gateways = [each for each in nodes if each.role == "gateway"]
    for node in nodes:
        node.start()
    operator = clients.Operator(history, rng)
    if not operator.put(members, node_module.START_TIMEOUT_S):
        return Result(seed, ["the first document was not accepted"], 0, {})
    _wait_ready(gateways)
    until = time.monotonic() + seconds
    injector = faults.Injector(nodes, platform, history, rng, scenario.losses)
    tasks = [
        gevent.spawn(
            clients.Caller(f"{seed}-{index}", history, rng).run,
            gateways,
            until,
        )
        for index in range(CALLERS)
    ]
    tasks.append(gevent.spawn(_operate, operator, members, until, rng))
    if scenario.crashing:
        injector.begin_crashing()
    if scenario.crashing_request:
        injector.begin_crashing_request()
    if scenario.limited:
        injector.begin_limit(platform.replicas[0])
    injector.run(until)
    injector.end_crashing()
    for replica in platform.replicas:
        injector.end_limit(replica)
    gevent.joinall(tasks, raise_error=True)
    if scenario.power:
        injector.lose_power()
    gevent.sleep(RECOVERY_S)
    final_caller = clients.Caller(f"{seed}-last", history, rng)
    final_calls = [
        final_caller.call(rng.choice(gateways)) for _ in range(FINAL_CALLS)
    ]
    always_routed = [
        each for each in final_calls if each.path_prefix != standins.OPTIONAL
    ]
    for _ in range(6):
        operator.read(members)
    findings = checks.check(history) + checks.check_recovered(always_routed)
    return Result(seed, findings, len(history.calls), injector.counts)


def _operate(operator, members, until, rng) -> None:
    while time.monotonic() < until:
        operator.put(members, 3.0)
        for _ in range(3):
            operator.read(members)
            gevent.sleep(rng.random() * 0.4)


def _wait_ready(gateways) -> None:
    """Wait until all gateways report that they are ready.

    Raises: TimeoutError
    """
    deadline = time.monotonic() + node_module.START_TIMEOUT_S
    for gateway in gateways:
        while not _is_ready(gateway):
            if time.monotonic() > deadline:
                raise TimeoutError(f"{gateway.name} is not ready")
            gevent.sleep(0.1)


def _is_ready(gateway) -> bool:
    client = geventhttpclient.HTTPClient(gateway.ip, node_module.READY_PORT)
    try:
        return client.get("/-/ready").status_code == 200
    except clients.CALL_ERRORS:
        return False
    finally:
        client.close()
