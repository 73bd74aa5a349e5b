"""Slopes of polls, changes and proposals, from real processes on loopback.

Three control members run in every part but one, which has seven. Pollers and
proposers run in processes of their own, so that processor time is told apart
by process.
"""

import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
import time

import gevent
import msgspec

from bench import configuration as documents_bench
from bench import control
from bench import deployment as deployments
from bench import slopes
from papayalink import clock as clocks
from papayalink import logs
from papayalink import timers
from papayalink.coordination import errors as coordination_errors
from papayalink.coordination import follower as followers
from papayalink.coordination import lease as leases
from papayalink.coordination import proposer as proposers
from papayalink.coordination import selection as selections
from papayalink.protocol import messages
from papayalink.state import document as documents
from papayalink.state import ledger
from papayalink.transport import auth
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

ZONES = ("korangi", "west-wharf", "port-qasim")
SETTLE_S = 4.0
WINDOW_S = 8.0
CHANGES = 6
# Entries and agents of the design size, by which pollers are mixed.
ENTRY_SHARE = 360 / 1000


class Group:
    """Control members and a proposer.

    Args:
        folder: for settings, logs and data.
        members: number of control members.
    """

    __slots__ = ("deployment", "proposer", "version", "_step", "_size")

    def __init__(self, folder: str, members: int = 3) -> None:
        self.deployment = deployments.make_deployment(folder, ZONES)
        self.deployment.add_controls(members)
        self.deployment.wait_accepting(list(self.deployment.controls))
        self.proposer = control.make_proposer(self.deployment)
        self.version = 0
        self._step = 0
        self._size = (0, 0)

    def apply(self, size: tuple[int, int], *more: documents.Upstream) -> float:
        """Apply a document of a size. Returns: monotonic time after it."""
        self._step += 1
        made = documents_bench.make_document(*size, self._step)
        made = msgspec.structs.replace(made, upstreams=made.upstreams + more)
        outcome = control.apply(self.proposer, made, self.version)
        self.version = outcome.version
        return time.monotonic()

    def cpu(self) -> dict[str, float]:
        """Returns: processor seconds of each process so far."""
        return {
            name: slopes.cpu_s(program.process.pid)
            for name, program in self.deployment.programs.items()
        }

    def cpu_over(self, seconds: float) -> dict[str, float]:
        """Returns: processor seconds a second of each process."""
        before = self.cpu()
        start = time.monotonic()
        gevent.sleep(seconds)
        took = time.monotonic() - start
        return {
            name: round((value - before[name]) / took, 5)
            for name, value in self.cpu().items()
        }

    def memory(self) -> dict[str, dict[str, int]]:
        return {
            name: slopes.memory_kb(program.process.pid)
            for name, program in self.deployment.programs.items()
        }

    def leader(self) -> str:
        """Returns: name of the leading member."""
        for name in self.deployment.controls:
            if self.deployment.dump(name)["replica"]["role"] == "leader":
                return name
        raise RuntimeError("no member leads")

    def spawn(self, part: str, **options: object) -> subprocess.Popen:
        """Start a child of this module against the group."""
        options["controls"] = list(self.deployment.controls.values())
        options["key"] = self.deployment.key
        return subprocess.Popen(
            [sys.executable, "-m", "bench.slopes_processes", "child", part]
            + [json.dumps(options)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )


def _finish(children: list[subprocess.Popen]) -> list[dict]:
    """Ask children for their results by closing their input."""
    for process in children:
        process.stdin.close()
    results = [json.loads(process.stdout.read()) for process in children]
    for process in children:
        process.wait()
    return results


class _LightPoller:
    """Polls as a follower does, but holds the version only.

    A thousand processes cannot run here; their own work on a document would
    use up the processors that the control members are measured on.

    Args:
        retries: try the other members in the same period, as a follower does.
    """

    __slots__ = (
        "_poll",
        "_client",
        "_controls",
        "_retries",
        "_confirmed_at",
        "failed",
        "failed_at",
        "lapses",
        "done",
    )

    def __init__(self, poll, client, controls, retries) -> None:
        self._poll = poll
        self._client = client
        self._controls = random.sample(controls, len(controls))
        self._retries = retries
        self._confirmed_at: float | None = None
        self.failed: dict[str, int] = {}
        self.failed_at: list[float] = []
        # When a lease ended, and for how many seconds it was not valid.
        self.lapses: list[tuple[float, float]] = []
        self.done = 0

    def run(self) -> None:
        gevent.sleep(random.random() * leases.POLL_PERIOD_S)
        due = time.monotonic()
        while True:
            self._send_any()
            due = max(due + leases.POLL_PERIOD_S, time.monotonic())
            gevent.sleep(max(0.0, due - time.monotonic()))

    def close(self) -> None:
        """Count a lease that ended and was not renewed."""
        self._note_confirmed(time.monotonic())

    def _send_any(self) -> None:
        for _ in self._controls if self._retries else range(1):
            if self._send():
                return

    def _note_confirmed(self, sent_at: float) -> None:
        now = time.monotonic()
        if self._confirmed_at is not None:
            ended_at = self._confirmed_at + leases.LEASE_S
            if now > ended_at:
                self.lapses.append((ended_at, now - ended_at))
        self._confirmed_at = sent_at

    def _send(self) -> bool:
        poll = self._poll
        if poll.load is not None:
            report = msgspec.structs.replace(
                poll.load, sequence=poll.load.sequence + 1
            )
            poll = msgspec.structs.replace(poll, load=report)
        sent_at = time.monotonic()
        try:
            reply = self._client.call(
                self._controls[0], "Poll", poll, leases.POLL_TIMEOUT_S
            )
        except transport_errors.TransportError as error:
            kind = f"{type(error).__name__} {error}"[:60]
            self.failed[kind] = self.failed.get(kind, 0) + 1
            self.failed_at.append(time.monotonic())
            self._controls.append(self._controls.pop(0))
            return False
        self._note_confirmed(sent_at)
        self.done += 1
        self._poll = msgspec.structs.replace(
            poll, version=reply.version, digest=reply.digest
        )
        return True


def _first_poll(
    number: int, watch: tuple[str, ...], workspaces: int = 0
) -> messages.Poll:
    """Make the first poll of an entry or an agent.

    Args:
        workspaces: demand of an entry for so many; then all are entries.
    """
    if workspaces:
        draw = random.Random(number)
        return messages.Poll(
            f"entry-{number}",
            "entry",
            f"{number:012x}",
            watch=watch,
            demand=tuple(
                messages.Demand(f"workspace-{place}", 412.53, 3)
                for place in draw.sample(range(3300), workspaces)
            ),
        )
    if random.Random(number).random() < ENTRY_SHARE:
        return messages.Poll(
            f"entry-{number}", "entry", f"{number:012x}", watch=watch
        )
    return messages.Poll(
        f"agent-{number}",
        "agent",
        f"{number:012x}",
        load=slopes.make_report(f"upstream-{number % 640}"),
    )


def child_light(options: dict) -> dict:
    """Run light pollers until standard input ends."""
    clock = clocks.make_clock()
    watch = _watch()
    pollers = []
    for number in range(options["first"], options["first"] + options["count"]):
        client = rpc.make_client(
            auth.make_signer(bytes.fromhex(options["key"]), clock)
        )
        pollers.append(
            _LightPoller(
                _first_poll(number, watch, options["workspaces"]),
                client,
                options["controls"],
                options.get("retries", False),
            )
        )
        gevent.spawn(pollers[-1].run)
    _wait_input()
    for poller in pollers:
        poller.close()
    return {
        "failed_at": [at for poller in pollers for at in poller.failed_at],
        "lapses": [one for poller in pollers for one in poller.lapses],
        "cpu_s": slopes.cpu_s(os.getpid()),
        "polls": sum(poller.done for poller in pollers),
        "failed": _add_up([poller.failed for poller in pollers]),
    }


def _add_up(counts: list[dict[str, int]]) -> dict[str, int]:
    total = {}
    for one in counts:
        for name, count in one.items():
            total[name] = total.get(name, 0) + count
    return total


def _watch() -> tuple[str, ...]:
    selection = selections.make_selection("entry-1", "zone-1")
    selection.update(documents_bench.make_document(10, 640, 0), (), (), 0.0)
    return selection.watched


def child_followers(options: dict) -> dict:
    """Run followers until standard input ends; tell when they changed."""
    clock = clocks.make_clock()
    watch = _watch()
    seen: list[tuple[int, float]] = []
    for number in range(options["first"], options["first"] + options["count"]):
        signer = auth.make_signer(bytes.fromhex(options["key"]), clock)
        like = _first_poll(number, watch)

        def fill(poll, like=like):
            return msgspec.structs.replace(
                poll, load=like.load, watch=like.watch
            )

        follower = followers.make_follower(
            (like.process, like.role, like.incarnation),
            options["controls"],
            rpc.make_client(signer),
            clock,
            timers.make_timer_service(clock),
            fill,
        )
        last = [0]

        def note(follower=follower, last=last):
            if follower.version != last[0]:
                last[0] = follower.version
                seen.append((follower.version, time.monotonic()))

        follower.listen(note)
        gevent.spawn_later(random.random(), follower.start)
    _wait_input()
    return {"cpu_s": slopes.cpu_s(os.getpid()), "seen": seen}


def child_proposer(options: dict) -> dict:
    """Run protected calls: claim, start and finish of each.

    With a rate, calls start at that rate; without, as many run at once as
    "concurrency" tells.
    """
    clock = clocks.make_clock()
    signer = auth.make_signer(bytes.fromhex(options["key"]), clock)
    proposer = proposers.make_proposer(
        options["controls"], rpc.make_client(signer), clock
    )
    prefix = f"{os.getpid()}-{options['name']}"
    latencies: list[float] = []
    failed = [0]
    stop_at = time.monotonic() + options["seconds"]

    def call(number: int) -> None:
        key = f"{prefix}-{number:012x}"
        claim = f"claim-{key}"
        at_s = time.time()
        place = (f"workspace-{number % 3300}", key)
        for command in (
            ledger.Claim(*place, "d" * 64, claim, at_s),
            ledger.Start(*place, claim, "agent/" + key, at_s),
            ledger.Finish(*place, claim, 200, b"x" * 300, at_s),
        ):
            start = time.monotonic()
            try:
                proposer.propose(command)
            except coordination_errors.CoordinationError:
                failed[0] += 1
                return
            latencies.append(time.monotonic() - start)

    if options["rate"]:
        period = 1 / options["rate"]
        calls = []
        for number in range(int(options["rate"] * options["seconds"])):
            calls.append(gevent.spawn(call, number))
            due = stop_at - options["seconds"] + (number + 1) * period
            gevent.sleep(max(0.0, due - time.monotonic()))
        gevent.joinall(calls)
    else:

        def loop(place: int) -> None:
            number = place
            while time.monotonic() < stop_at:
                call(number)
                number += options["concurrency"]

        gevent.joinall(
            [
                gevent.spawn(loop, place)
                for place in range(options["concurrency"])
            ]
        )
    took = time.monotonic() - stop_at + options["seconds"]
    latencies.sort()
    return {
        "proposals": len(latencies),
        "failed": failed[0],
        "seconds": round(took, 2),
        "cpu_s": slopes.cpu_s(os.getpid()),
        "p50_ms": round(latencies[len(latencies) // 2] * 1000, 2),
        "p95_ms": round(latencies[len(latencies) * 19 // 20] * 1000, 2),
    }


def _wait_input() -> None:
    gevent.get_hub().threadpool.apply(sys.stdin.read)


def measure_processes(folder: str) -> dict:
    """Memory and processor time of idle daemons, by document size."""
    group = Group(folder)
    deployment = group.deployment
    try:
        engine = deployment.start_fake(
            "fake-engine", "fakes.engine", model="model-0"
        )
        agent = documents.Upstream(
            "engine-1",
            deployment.add_agent("engine-1", ZONES[0], engine),
            ZONES[0],
            "model-0",
        )
        deployment.add_store("store-1", ZONES[0])
        deployment.add_entry("entry-1", ZONES[1])
        gevent.sleep(SETTLE_S)
        empty = group.memory()
        runs = []
        for size in slopes.SIZES:
            group.apply(size, agent)
            gevent.sleep(SETTLE_S)
            idle = group.cpu_over(WINDOW_S)
            fresh = group.memory()
            before = group.cpu()
            start = time.monotonic()
            for _ in range(CHANGES):
                group.apply(size, agent)
                gevent.sleep(1.2)
            took = time.monotonic() - start
            after = group.cpu()
            runs.append(
                {
                    "workspaces": size[0],
                    "upstreams": size[1],
                    "memory_kb": fresh,
                    "memory_kb_after_changes": group.memory(),
                    "idle_cores": idle,
                    "change_ms": {
                        name: round(
                            (after[name] - before[name] - idle[name] * took)
                            / CHANGES
                            * 1000,
                            2,
                        )
                        for name in after
                    },
                }
            )
    finally:
        deployment.stop_all()
    return {"empty_kb": empty, "runs": runs}


def measure_polls(
    folder: str,
    counts: tuple[int, ...],
    workspaces: int = 0,
    members: int = 3,
) -> dict:
    """Processor time of control members and pollers against polls a second.

    Pollers hold the version only; the document has the design size.

    Args:
        workspaces: with 0, entries and agents poll, without demand; else
            only entries, each with demand for so many limited workspaces.
        members: number of control members.
    """
    group = Group(folder, members)
    runs = []
    try:
        group.apply(slopes.SIZES[-1])
        gevent.sleep(SETTLE_S)
        runs.append({"polls_per_s": 0, "cores": group.cpu_over(WINDOW_S)})
        for count in counts:
            parts = max(1, min(4, count // 100))
            children = [
                group.spawn(
                    "light",
                    first=place,
                    count=count // parts,
                    workspaces=workspaces,
                )
                for place in range(0, count, count // parts)
            ][:parts]
            gevent.sleep(SETTLE_S)
            started = [slopes.cpu_s(one.pid) for one in children]
            cores = group.cpu_over(WINDOW_S)
            ended = [slopes.cpu_s(one.pid) for one in children]
            results = _finish(children)
            runs.append(
                {
                    "polls_per_s": count // parts * parts,
                    "cores": cores,
                    "poller_ms": round(
                        (sum(ended) - sum(started))
                        / WINDOW_S
                        / (count // parts * parts)
                        * 1000,
                        3,
                    ),
                    "failed": _add_up([one["failed"] for one in results]),
                    "polls": sum(one["polls"] for one in results),
                    "leader": group.leader(),
                    "memory_kb": group.memory(),
                }
            )
    finally:
        group.deployment.stop_all()
    return {
        "runs": runs,
        "group_cores": slopes.fit(
            [(run["polls_per_s"], sum(run["cores"].values())) for run in runs]
        ),
    }


def measure_leader_loss(folder: str, count: int, members: int = 3) -> dict:
    """Failed polls and ended leases after the leader was killed."""
    group = Group(folder, members)
    try:
        group.apply(slopes.SIZES[-1])
        children = [
            group.spawn(
                "light",
                first=place * (count // 4),
                count=count // 4,
                workspaces=0,
                retries=True,
            )
            for place in range(4)
        ]
        gevent.sleep(2 * SETTLE_S)
        leader = group.leader()
        group.deployment.programs[leader].process.kill()
        killed_at = time.monotonic()
        gevent.sleep(10.0)
        results = _finish(children)
        del group.deployment.controls[leader]
        next_leader = group.leader()
    finally:
        group.deployment.stop_all()
    failed = [
        at - killed_at for result in results for at in result["failed_at"]
    ]
    lapses = [
        (at - killed_at, took)
        for result in results
        for at, took in result["lapses"]
    ]
    return {
        "members": members,
        "polls_per_s": count,
        "leader": leader,
        "next_leader": next_leader,
        "polls": sum(result["polls"] for result in results),
        "failed": _add_up([result["failed"] for result in results]),
        "failed_in_4_s_before": sum(-4 < at <= 0 for at in failed),
        "failed_by_s_after": [
            sum(second < at <= second + 1 for at in failed)
            for second in range(10)
        ],
        "last_failed_s": round(max(failed, default=0.0), 3),
        "leases_ended_before": sum(at <= 0 for at, _ in lapses),
        "leases_ended_after": sum(at > 0 for at, _ in lapses),
        "longest_without_lease_s": round(
            max((took for at, took in lapses if at > 0), default=0.0), 3
        ),
    }


def measure_changes(
    folder: str, counts: tuple[int, ...], members: int = 3
) -> dict:
    """Time from acceptance until all followers hold a document."""
    group = Group(folder, members)
    runs = []
    size = slopes.SIZES[-1]
    try:
        group.apply(size)
        for count in counts:
            parts = max(4 if count >= 12 else 2, count // 80)
            children = [
                group.spawn(
                    "followers",
                    first=place * (count // parts),
                    count=count // parts,
                )
                for place in range(parts)
            ]
            gevent.sleep(SETTLE_S + 2)
            idle = group.cpu_over(WINDOW_S / 2)
            before = group.cpu()
            start = time.monotonic()
            accepted = {}
            for _ in range(CHANGES):
                gevent.sleep(2.0 + random.random())
                at = group.apply(size)
                accepted[group.version] = at
            gevent.sleep(2.0)
            took = time.monotonic() - start
            after = group.cpu()
            seen = [
                one for result in _finish(children) for one in result["seen"]
            ]
            count = count // parts * parts
            delays = []
            for version, at in accepted.items():
                times = [when - at for held, when in seen if held == version]
                delays.append((len(times), round(max(times), 3)))
            runs.append(
                {
                    "followers": count,
                    "held_by_and_last_s": delays,
                    "worst_s": max(delay for _, delay in delays),
                    "idle_cores": idle,
                    "change_ms": {
                        name: round(
                            (after[name] - before[name] - idle[name] * took)
                            / CHANGES
                            * 1000,
                            2,
                        )
                        for name in after
                    },
                }
            )
    finally:
        group.deployment.stop_all()
    return {
        "runs": runs,
        "worst_s_by_followers": slopes.fit(
            [(run["followers"], run["worst_s"]) for run in runs]
        ),
        "group_change_ms_by_followers": slopes.fit(
            [
                (run["followers"], sum(run["change_ms"].values()))
                for run in runs
            ]
        ),
    }


def measure_joins(folder: str, counts: tuple[int, ...]) -> dict:
    """Time and processor time until restarted processes have a document.

    All of them poll at the same time without a configuration, as after the
    return of a rack or an availability zone.
    """
    group = Group(folder)
    clock = clocks.make_clock()
    controls = list(group.deployment.controls.values())
    runs = []
    try:
        group.apply(slopes.SIZES[-1])
        gevent.sleep(SETTLE_S)
        idle = group.cpu_over(WINDOW_S / 2)
        for count in counts:
            taken: list[float] = []
            failed: dict[str, int] = {}

            def join(number: int, taken=taken, failed=failed) -> None:
                signer = auth.make_signer(
                    bytes.fromhex(group.deployment.key), clock
                )
                client = rpc.make_client(signer)
                poll = messages.Poll(f"joins-{number}", "store", "1")
                start = time.monotonic()
                while True:
                    address = controls[number % len(controls)]
                    try:
                        client.call(
                            address, "Poll", poll, leases.POLL_TIMEOUT_S
                        )
                        break
                    except transport_errors.TransportError as error:
                        kind = type(error).__name__
                        failed[kind] = failed.get(kind, 0) + 1
                        number += 1
                        if time.monotonic() - start > 20:
                            return
                taken.append(time.monotonic() - start)
                client.close()

            before = group.cpu()
            start = time.monotonic()
            gevent.joinall([gevent.spawn(join, one) for one in range(count)])
            took = time.monotonic() - start
            gevent.sleep(1.0)
            after = group.cpu()
            runs.append(
                {
                    "processes": count,
                    "joined": len(taken),
                    "last_s": round(took, 3),
                    "failed": failed,
                    "group_cpu_s": round(
                        sum(after.values())
                        - sum(before.values())
                        - sum(idle.values()) * (took + 1.0),
                        3,
                    ),
                }
            )
    finally:
        group.deployment.stop_all()
    return {
        "runs": runs,
        "last_s_by_process": slopes.fit(
            [(run["processes"], run["last_s"]) for run in runs]
        ),
        "group_cpu_s_by_process": slopes.fit(
            [(run["processes"], run["group_cpu_s"]) for run in runs]
        ),
    }


def measure_proposals(folder: str, rates: tuple[int, ...]) -> dict:
    """Processor time of proposals, and the most that a group takes."""
    group = Group(folder)
    runs = []
    try:
        group.apply(slopes.SIZES[0])
        gevent.sleep(SETTLE_S)
        idle = group.cpu_over(WINDOW_S / 2)
        leader = group.leader()
        plans = [(rate / 2, 0) for rate in rates] + [(0, 8), (0, 32), (0, 96)]
        for rate, concurrency in plans:
            before = group.cpu()
            start = time.monotonic()
            children = [
                group.spawn(
                    "proposer",
                    name=f"{place}-{rate}-{concurrency}",
                    rate=rate,
                    concurrency=concurrency // 2,
                    seconds=6.0,
                )
                for place in range(2)
            ]
            # Children end by themselves; the greenlets of the hub go on.
            while any(child.poll() is None for child in children):
                gevent.sleep(0.05)
            took = time.monotonic() - start
            after = group.cpu()
            results = _finish(children)
            done = sum(one["proposals"] for one in results)
            used = {
                name: round(
                    (after[name] - before[name] - idle[name] * took)
                    / done
                    * 1000,
                    4,
                )
                for name in after
            }
            runs.append(
                {
                    "calls_per_s_asked": rate * 2,
                    "concurrency": concurrency,
                    "proposals_per_s": round(
                        done / max(one["seconds"] for one in results), 1
                    ),
                    "failed": sum(one["failed"] for one in results),
                    "p50_ms": max(one["p50_ms"] for one in results),
                    "p95_ms": max(one["p95_ms"] for one in results),
                    "leader_ms": used[leader],
                    "follower_ms": [
                        used[name] for name in used if name != leader
                    ],
                    "proposer_ms": round(
                        sum(one["cpu_s"] for one in results) / done * 1000, 4
                    ),
                    "leader_kept": group.leader() == leader,
                }
            )
    finally:
        group.deployment.stop_all()
    return {
        "idle_cores": idle,
        "runs": runs,
        "leader_cores_by_proposals_per_s": slopes.fit(
            [
                (
                    run["proposals_per_s"],
                    run["proposals_per_s"] * run["leader_ms"] / 1000,
                )
                for run in runs[: len(rates)]
            ]
        ),
    }


PARTS = {
    "processes": lambda folder: measure_processes(folder),
    "polls": lambda folder: measure_polls(folder, (30, 60, 120, 250)),
    "polls_1000": lambda folder: measure_polls(folder, (500, 1000)),
    "polls_after_overload": lambda folder: measure_polls(
        folder, (700, 2000, 250)
    ),
    "polls_7_members": lambda folder: measure_polls(
        folder, (250, 500, 1000), members=7
    ),
    "demand": lambda folder: measure_polls(folder, (30, 60, 120, 240), 130),
    "changes": lambda folder: measure_changes(folder, (10, 32, 60)),
    "changes_640": lambda folder: measure_changes(folder, (320, 640)),
    "changes_640_7_members": lambda folder: measure_changes(
        folder, (320, 640), members=7
    ),
    "leader_loss": lambda folder: measure_leader_loss(folder, 1000),
    "leader_loss_7_members": lambda folder: measure_leader_loss(
        folder, 1000, members=7
    ),
    "joins": lambda folder: measure_joins(folder, (10, 40, 125, 400, 1000)),
    "proposals": lambda folder: measure_proposals(folder, (30, 60, 120)),
}
CHILDREN = {
    "light": child_light,
    "followers": child_followers,
    "proposer": child_proposer,
}


def main() -> None:
    """Print a JSON object for each part that is named."""
    if sys.argv[1:2] == ["child"]:
        # Standard output carries the result only.
        logs.configure("slopes", "bench")
        options = json.loads(sys.argv[3])
        print(json.dumps(CHILDREN[sys.argv[2]](options)), flush=True)
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS], default=[*PARTS])
    for part in parser.parse_args().parts:
        with tempfile.TemporaryDirectory() as folder:
            report = PARTS[part](folder)
        print(json.dumps({part: report}, indent=1), flush=True)


if __name__ == "__main__":
    main()
