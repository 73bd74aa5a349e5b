"""Machines outside the core freeze while a route is dropped."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import fleet as fleets  # noqa: E402
import standins  # noqa: E402

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
FREEZE_S = 6.0
CALL_PERIOD_S = 0.1


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


class Consumer(threading.Thread):
    """Sends calls on the route that is dropped to one gateway."""

    def __init__(self, machine, record, ended):
        super().__init__(daemon=True)
        self.machine = machine
        self.calls = []
        self._record = record
        self._ended = ended

    def run(self):
        number = 0
        while not self._ended.wait(CALL_PERIOD_S):
            number += 1
            call_id = f"{self.machine.name}-{number}"
            sent_at = time.monotonic()
            status, headers, _ = fleets.call(
                self.machine.ip,
                fleets.LISTEN_PORT,
                "GET",
                f"/lookup/{call_id}",
                headers={
                    "Host": "desk.example",
                    "Papayalink-Request-Id": call_id,
                    "Papayalink-Deadline-Ms": "1500",
                    "Authorization": "Bearer key-a",
                },
                timeout_s=1.5,
            )
            self.calls.append((sent_at, status, call_id))
            self._record.write(f"{call_id} answered {status}")


def case(fleet, record):
    core = []
    others = []
    for zone in ("za", "zb", "zc"):
        core.append(fleet.add_machine(zone, ["authority", "gateway"], True))
        others.append(fleet.add_machine(zone, ["authority", "gateway"]))
    # All start with the seeds of the core, as in the operator's list.
    fleet.set_seeds(core)
    platform = standins.InstanceList(fleet.ip(2))
    fleet.servers.append(platform)
    for number in range(3):
        replica = standins.Replica(
            fleet.ip(200 + number),
            f"i-{number}",
            f"z{'abc'[number]}",
            "desk",
            record,
        )
        replica.start()
        platform.replicas.append(replica)
        fleet.servers.append(replica)
    for machine in fleet.machines:
        machine.start()
    fleets.put_until_accepted(
        core, make_document(3, ["lookup", "stock"]), record
    )
    for machine in fleet.machines:
        fleets.wait_ready(machine)
    # The settings file names other seeds, and the gateways of the core's
    # machines start again, one after the other, as in a rolling update.
    fleet.set_seeds(others)
    for machine in core:
        gateway = machine.processes[1]
        gateway.signal(fleets.signal.SIGTERM)
        gateway.popen.wait(10)
        gateway.start()
        fleets.wait_ready(machine)
        record.write(f"the gateway of {machine.name} has started again")
    # All machines are in touch from here on.
    time.sleep(CONTACT_S + 2.0)
    ended = threading.Event()
    consumers = [Consumer(machine, record, ended) for machine in core]
    for consumer in consumers:
        consumer.start()
    time.sleep(1.0)
    if fleets.DISRUPTED:
        for machine in others:
            machine.freeze()
            record.write(f"{machine.name} freezes")
    _, acked_at = fleets.put_until_accepted(
        core, make_document(8, ["stock"]), record
    )
    time.sleep(FREEZE_S)
    for machine in others:
        machine.thaw()
    record.write("the machines wake again")
    ended.set()
    for consumer in consumers:
        consumer.join(3.0)
    runs = {run["call"] for each in platform.replicas for run in each.runs}
    late = [
        (consumer.machine.name, sent_at - acked_at, status)
        for consumer in consumers
        for sent_at, status, call_id in consumer.calls
        if sent_at - acked_at > CONFIG_APPLY_S and call_id in runs
    ]
    for name, after_s, status in late:
        record.write(
            f"run on the dropped route at {name}, sent {after_s:.3f} s after"
            f" the ack: {status}"
        )
    sent = sum(len(each.calls) for each in consumers)
    record.write(
        f"{sent} calls, {len(late)} run too late on the dropped route"
    )
    before = [
        status
        for consumer in consumers
        for sent_at, status, _ in consumer.calls
        if sent_at < acked_at - 0.2
    ]
    if not before or before.count(200) < 0.9 * len(before):
        raise fleets.CannotRun("calls were not served before the change")
    return bool(late)


fleets.run(HERE, case)
