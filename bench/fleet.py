"""Starts deployments with given numbers of entries, engines and stores."""

import time

import gevent
import geventhttpclient
import msgspec

from bench import control
from bench import deployment as deployments
from papayalink.state import document as documents

MODEL = "counter-1"
ZONES = ("korangi", "west-wharf", "port-qasim")


class Fleet(msgspec.Struct):
    """A running deployment, its addresses and its document.

    Attributes:
        entries: addresses that callers use.
        engines: addresses of the engines by upstream name.
        orders: address of the order service, "" for none.
        platform: address of the platform's VM list, "" for none.
        version: version of the document.
    """

    deployment: deployments.Deployment
    document: documents.Document
    entries: list[str]
    engines: dict[str, str]
    orders: str
    proposer: object
    platform: str = ""
    version: int = 1

    def apply(self, **sections: object) -> object:
        """Replace sections of the document. Returns: the outcome."""
        changed = msgspec.structs.replace(self.document, **sections)
        outcome = control.apply(self.proposer, changed, self.version)
        self.document = changed
        self.version = getattr(outcome, "version", self.version)
        return outcome

    def evict(self) -> None:
        """Empty the prefix caches of all engines."""
        for address in self.engines.values():
            request(address, "DELETE", "/kv")

    def served(self, upstream: str) -> int:
        """Returns: number of requests that an agent served or is serving."""
        address = self.deployment.programs[f"agent-{upstream}"].addresses[
            "inspect_listen"
        ]
        text = deployments.http_get(address, "/metrics").decode()
        return sum(
            int(line.split()[-1])
            for line in text.splitlines()
            if "requests_served_total" in line
        )

    def executions(self) -> list[dict]:
        """Returns: the calls that the order service executed."""
        body = request(self.orders, "GET", "/executions")
        return msgspec.json.decode(body)["executions"]


def request(address: str, method: str, path: str, body: bytes = b"") -> bytes:
    """Call a stand-in. Returns: the body of the answer."""
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port))
    headers = {"Content-Type": "application/json"} if body else {}
    try:
        return client.request(method, path, body, headers).read()
    finally:
        client.close()


def start(
    folder: str,
    entries: int = 1,
    engines: int = 1,
    stores: int = 0,
    controls: int = 3,
    orders: bool = False,
    platform: bool = False,
    weights: str = "",
    engine_options: dict[str, object] | None = None,
    sections: dict[str, object] | None = None,
    upstream_options: dict[str, object] | None = None,
) -> Fleet:
    """Start a deployment and wait until it accepts work.

    Args:
        folder: where settings, logs and data are written.
        entries, engines, stores, controls: number of each; each engine has
            an agent.
        orders: whether the order service and its agent are started.
        platform: whether the platform's VM list is started.
        weights: versions in the stand-in for the weight store, "" for none.
        engine_options: command-line options of the stand-ins for engines.
        sections: sections of the document, in place of the usual ones.
        upstream_options: further fields of each upstream of an engine.
    """
    deployment = deployments.make_deployment(folder, ZONES)
    try:
        return _start(
            deployment,
            entries,
            engines,
            stores,
            controls,
            orders,
            platform,
            weights,
            {"model": MODEL, **(engine_options or {})},
            sections or {},
            upstream_options or {},
        )
    except BaseException:
        deployment.stop_all()
        raise


def _start(
    deployment,
    entries,
    engines,
    stores,
    controls,
    orders,
    platform,
    weights,
    engine_options,
    sections,
    upstream_options,
):
    engine_addresses = {
        f"engine-{number}": deployment.start_fake(
            f"fake-engine-{number}", "fakes.engine", **engine_options
        )
        for number in range(1, engines + 1)
    }
    order_address = ""
    if orders:
        order_address = deployment.start_fake("fake-orders", "fakes.orders")
    control_options = {}
    platform_address = ""
    if platform:
        platform_address = deployment.start_fake(
            "fake-platform", "fakes.platform"
        )
        control_options["platform_address"] = platform_address
    if weights:
        control_options["weights_address"] = deployment.start_fake(
            "fake-weights", "fakes.weights", versions=weights
        )
    deployment.add_controls(controls, **control_options)
    upstreams = [
        {
            "name": name,
            "zone": ZONES[index % len(ZONES)],
            "serves": MODEL,
            "agent": deployment.add_agent(
                name, ZONES[index % len(ZONES)], address
            ),
            **upstream_options,
        }
        for index, (name, address) in enumerate(engine_addresses.items())
    ]
    if orders:
        agent = deployment.add_agent(
            "orders-1", ZONES[0], order_address, "service"
        )
        upstreams.append(
            {
                "name": "orders-1",
                "zone": ZONES[0],
                "serves": "orders",
                "kind": "service",
                "agent": agent,
            }
        )
    store_entries = [
        {
            "name": f"store-{number}",
            "zone": ZONES[number % len(ZONES)],
            "address": deployment.add_store(
                f"store-{number}", ZONES[number % len(ZONES)]
            ),
        }
        for number in range(1, stores + 1)
    ]
    entry_addresses = [
        deployment.add_entry(f"entry-{number}", ZONES[number % len(ZONES)])
        for number in range(1, entries + 1)
    ]
    document = deployments.make_document(
        deployment,
        **{
            "models": [{"name": MODEL, "weight_version": "v1"}],
            "services": [_order_service()] if orders else [],
            "upstreams": upstreams,
            "stores": store_entries,
            **sections,
        },
    )
    deployment.wait_accepting(list(deployment.controls))
    proposer = control.make_proposer(deployment)
    control.apply(proposer, document, 0)
    deployment.wait_accepting(
        [
            name
            for name in deployment.programs
            if not name.startswith(("fake-", "control-"))
        ]
    )
    for entry in range(1, entries + 1):
        _wait_reported(deployment, f"entry-{entry}", len(upstreams))
    return Fleet(
        deployment,
        document,
        entry_addresses,
        engine_addresses,
        order_address,
        proposer,
        platform_address,
    )


def _wait_reported(deployment, entry: str, count: int) -> None:
    """Wait until an entry has load reports of all upstreams, each up."""
    deadline = time.monotonic() + deployments.START_TIMEOUT_S
    while True:
        loads = deployment.dump(entry)["loads"]
        if sum(report[1] == "up" for report in loads) == count:
            return
        if time.monotonic() > deadline:
            raise TimeoutError(f"{entry} has reports {loads}")
        gevent.sleep(0.05)


def _order_service() -> dict:
    return {
        "name": "orders",
        "calls": [
            {"method": "POST", "path": "/prices/confirm", "protected": True},
            {"method": "POST", "path": "/shipments", "protected": True},
            {"method": "POST", "path": "/charges", "protected": True},
            {"method": "GET", "path": "/prices/*"},
        ],
    }
