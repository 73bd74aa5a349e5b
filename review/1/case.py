"""The open channels between machines go silent; new ones work."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import fleet as fleets  # noqa: E402
import links  # noqa: E402
import standins  # noqa: E402

CONTACT_S = 3.0
# How long the operator sends the change, and then reads it back.
SEND_S = 30.0
READ_S = 10.0


def make_document(version, prefixes):
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{prefix}",
                "host": "desk.example",
                "pathPrefix": f"/{prefix}/",
                "routeType": "idempotent",
                "timeoutMs": 1500,
                "sloMs": 300,
                "service": "desk",
                "maxAttempts": 2,
            }
            for prefix in prefixes
        ],
        "services": [{"name": "desk", "healthPath": "/health"}],
        "tenants": [{"name": "t1", "apiKeys": ["key-a"]}],
    }


def case(fleet, record):
    machines = [
        fleet.add_machine(zone, ["authority", "gateway"], True)
        for zone in ("za", "zb", "zc")
    ]
    fleet.set_seeds(machines)
    all_links = links.connect(fleet)
    platform = standins.InstanceList(fleet.ip(2))
    fleet.servers.append(platform)
    for machine in machines:
        machine.start()
    fleets.put_until_accepted(machines, make_document(3, ["a"]), record)
    for machine in machines:
        fleets.wait_ready(machine)
    time.sleep(5.0)
    before = [fleets.read_document(machine) for machine in machines]
    record.write(f"read before: {before}")
    if before != [(200, 3)] * 3:
        raise fleets.CannotRun("the group does not work")
    if fleets.DISRUPTED:
        silent = sum(link.silence_open_channels() for link in all_links)
        record.write(f"{silent} open channels between machines go silent")
    # All machines are in touch again after this.
    time.sleep(CONTACT_S + 1.0)
    acked = False
    until = time.monotonic() + SEND_S
    while not acked and time.monotonic() < until:
        for machine in machines:
            status = fleets.put_document(machine, make_document(8, ["a", "b"]))
            record.write(f"change sent to {machine.name}: {status}")
            if status == 200:
                acked = True
                break
        time.sleep(0.5)
    newest = None
    until = time.monotonic() + READ_S
    while newest is None and time.monotonic() < until:
        for machine in machines:
            status, version = fleets.read_document(machine)
            record.write(f"read at {machine.name}: {status}, {version}")
            if version is not None:
                newest = max(newest or 0, version)
        time.sleep(0.5)
    record.write(
        f"change acknowledged: {acked}; read back at the end: {newest}"
    )
    return newest is None or newest < (8 if acked else 3)


fleets.run(HERE, case)
