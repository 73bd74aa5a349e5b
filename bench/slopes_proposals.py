"""Proposals: processor time, and the most that a group takes."""

import os
import time

import gevent

from bench import slopes
from bench import slopes_group
from papayalink import clock as clocks
from papayalink.coordination import errors as coordination_errors
from papayalink.coordination import proposer as proposers
from papayalink.state import ledger
from papayalink.transport import auth
from papayalink.transport import rpc


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


def measure_proposals(folder: str, rates: tuple[int, ...]) -> dict:
    """Processor time of proposals, and the most that a group takes."""
    group = slopes_group.Group(folder)
    runs = []
    try:
        group.apply(slopes.DOCUMENT_SIZES[0])
        gevent.sleep(slopes_group.SETTLE_S)
        idle = group.cpu_over(slopes_group.WINDOW_S / 2)
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
            results = slopes_group.finish(children)
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
