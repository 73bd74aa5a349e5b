"""A part of prompts crashes replicas that return under their ids."""

import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import fleet as fleets  # noqa: E402
import standins  # noqa: E402
import streams  # noqa: E402

CONTACT_S = 3.0
# Later requests with the part that may reach replicas.
MAX_LATE = 3
KNOWN_CRASHES = 5
# One request in so many has the part, a share of 0.03.
INTERVAL = 33
RETURN_S = 2.0
TRAFFIC_S = 24.0
DEADLY_S = 20.0
PERIOD_S = 0.04
DEADLY = "dead0001"


def case(fleet, record):
    machines = [
        fleet.add_machine(zone, ["authority", "gateway"], True)
        for zone in ("za", "zb", "zc")
    ]
    fleet.set_seeds(machines)
    platform = standins.InstanceList(fleet.ip(2))
    fleet.servers.append(platform)
    crashes = []

    def crash(replica, run):
        crashes.append(time.monotonic())
        # It stays on the list, as a replica that has crashed does for some
        # seconds, and starts again under the id that it had.
        threading.Timer(RETURN_S, come_back, (replica,)).start()

    def come_back(replica):
        if not ended.is_set():
            replica.start()
            record.write(f"replica {replica.replica_id} is back")

    ended = threading.Event()
    for number in range(2):
        replica = standins.Replica(
            fleet.ip(200 + number),
            f"i-{number}",
            f"z{'ab'[number]}",
            "models",
            record,
            models=[{"name": streams.MODEL, "version": 1, "adapters": []}],
            events=8,
            event_s=0.03,
            deadly_part=DEADLY,
            on_crash=crash,
        )
        replica.start()
        platform.replicas.append(replica)
        fleet.servers.append(replica)
    for machine in machines:
        machine.start()
    route = streams.make_route("r-1", "/stream/", "models", False, 1, 4000)
    fleets.put_until_accepted(
        machines, streams.make_document(3, route), record
    )
    for machine in machines:
        fleets.wait_ready(machine)
    time.sleep(1.0)
    rng = random.Random(1)
    sent = []
    threads = []
    began_at = time.monotonic()
    until = began_at + TRAFFIC_S
    number = 0
    while time.monotonic() < until:
        number += 1
        deadly = (
            fleets.DISRUPTED
            and number % INTERVAL == 0
            and time.monotonic() < began_at + DEADLY_S
        )
        part = DEADLY if deadly else "50a2d000"
        prefix = f"ba5e0000:40,{part}:40,{number:08x}:20"
        stream = streams.Stream(f"{'deadly' if deadly else 'sound'}-{number}")
        thread = threading.Thread(
            target=stream.run,
            args=(rng.choice(machines), f"/stream/{number}", prefix, 4.0),
            daemon=True,
        )
        thread.start()
        threads.append(thread)
        sent.append(stream)
        time.sleep(PERIOD_S)
    for thread in threads:
        thread.join(5.0)
    ended.set()
    arrivals = sorted(
        (run["at"], run["call"])
        for replica in platform.replicas
        for run in replica.runs
        if run["call"].startswith("deadly")
    )
    sound = [each for each in sent if each.call_id.startswith("sound")]
    whole = sum(each.complete and each.status == 200 for each in sound)
    cut = sum(each.status == 200 and not each.complete for each in sound)
    record.write(
        f"{len(sound)} sound requests: {whole} answered, {cut} cut in the"
        f" answer; {len(crashes)} crashes"
    )
    if not fleets.DISRUPTED and whole < 0.95 * len(sound):
        raise fleets.CannotRun("sound requests were not served")
    if len(crashes) < KNOWN_CRASHES:
        return False
    known_at = crashes[KNOWN_CRASHES - 1] + CONTACT_S
    late = [call for at, call in arrivals if at > known_at]
    record.write(
        f"{len(late)} requests with the part reached replicas later than"
        f" {CONTACT_S} s after the fifth crash: {', '.join(late)}"
    )
    return len(late) > MAX_LATE


fleets.run(HERE, case)
