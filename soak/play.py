"""One run: start, disturb, settle, check."""

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
SETTLE_S = 8.0
LAST_CALLS = 60


class Shape(msgspec.Struct, frozen=True):
    """How many processes, and how many of them may be lost at once.

    Attributes:
        authorities: those with a disk.
        diskless: authorities besides these.
        power: whether all lose power in the end.
    """

    authorities: int = 3
    gateways: int = 3
    losses: int = 1
    diskless: int = 0
    power: bool = False


class Result(msgspec.Struct):
    """What one run found."""

    seed: int
    findings: list[str]
    calls: int
    faults: dict[str, int]


def play(
    seed: int, seconds: float, shape: Shape = Shape(), folder: str = ""
) -> Result:
    """Play one seed.

    Args:
        seconds: length of the disturbed part.
        folder: for logs and data, a temporary one when empty.
    """
    if not folder:
        with tempfile.TemporaryDirectory() as made:
            return play(seed, seconds, shape, made)
    rng = random.Random(seed)
    history = records.History(records.Runs())
    network = node_module.Network()
    platform = standins.Platform(network.ip(2), history.runs, proxy.make_proxy)
    nodes: list[node_module.Node] = []
    try:
        for place in range(REPLICAS):
            platform.add_replica(
                f"i-{seed}-{place}", f"z{place % 3}", network.ip(200 + place)
            )
        nodes = node_module.make_nodes(
            network,
            folder,
            platform.address,
            shape.authorities,
            shape.gateways,
            shape.losses,
            shape.diskless,
        )
        return _play(seed, seconds, shape, rng, history, platform, nodes)
    finally:
        for node in nodes:
            if node.running:
                node.kill()
        platform.stop()
        network.close()


def _play(seed, seconds, shape, rng, history, platform, nodes) -> Result:
    members = [each for each in nodes if each.role == "authority"]
    gateways = [each for each in nodes if each.role == "gateway"]
    for node in nodes:
        node.start()
    operator = clients.Operator(history, rng)
    if not operator.put(members, node_module.START_S):
        return Result(seed, ["the first document was not accepted"], 0, {})
    _wait_ready(gateways)
    until = time.monotonic() + seconds
    injector = faults.Injector(nodes, platform, history, rng, shape.losses)
    tasks = [
        gevent.spawn(
            clients.Caller(f"{seed}-{place}", history, rng).run,
            gateways,
            until,
        )
        for place in range(CALLERS)
    ]
    tasks.append(gevent.spawn(_operate, operator, members, until, rng))
    injector.run(until)
    gevent.joinall(tasks, raise_error=True)
    if shape.power:
        injector.lose_power()
    gevent.sleep(SETTLE_S)
    last = clients.Caller(f"{seed}-last", history, rng)
    calls = [last.call(rng.choice(gateways)) for _ in range(LAST_CALLS)]
    kept = [each for each in calls if each.prefix != standins.CHANGING]
    for _ in range(6):
        operator.read(members)
    findings = checks.check(history) + checks.check_recovered(kept)
    return Result(seed, findings, len(history.calls), injector.counts)


def _operate(operator, members, until, rng) -> None:
    while time.monotonic() < until:
        operator.put(members, 3.0)
        for _ in range(3):
            operator.read(members)
            gevent.sleep(rng.random() * 0.4)


def _wait_ready(gateways) -> None:
    """Wait until all gateways would get calls.

    Raises: TimeoutError
    """
    deadline = time.monotonic() + node_module.START_S
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
