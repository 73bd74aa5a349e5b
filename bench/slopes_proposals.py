"""Measures proposals: processor time, and the highest rate of a group."""

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
    """Propose claim, start and finish of protected calls.

    If options["rate"] is not 0, calls start at that rate; otherwise
    options["concurrency"] calls run at a time.
    """
    clock = clocks.make_clock()
    signer = auth.make_signer(bytes.fromhex(options["key"]), clock)
    proposer = proposers.make_proposer(
        options["controls"], rpc.make_client(signer), clock
    )
    prefix = f"{os.getpid()}-{options['name']}"
    latencies_s: list[float] = []
    failed = [0]
    stop_at = time.monotonic() + options["seconds"]

    def call(number: int) -> None:
        key = f"{prefix}-{number:012x}"
        claim_id = f"claim-{key}"
        at_s = time.time()
        workspace_and_key = (f"workspace-{number % 3300}", key)
        for command in (
            ledger.Claim(*workspace_and_key, "d" * 64, claim_id, at_s),
            ledger.Start(*workspace_and_key, claim_id, "agent/" + key, at_s),
            ledger.Finish(*workspace_and_key, claim_id, 200, b"x" * 300, at_s),
        ):
            start = time.monotonic()
            try:
                proposer.propose(command)
            except coordination_errors.CoordinationError:
                failed[0] += 1
                return
            latencies_s.append(time.monotonic() - start)

    if options["rate"]:
        period = 1 / options["rate"]
        calls = []
        for number in range(int(options["rate"] * options["seconds"])):
            calls.append(gevent.spawn(call, number))
            next_at = stop_at - options["seconds"] + (number + 1) * period
            gevent.sleep(max(0.0, next_at - time.monotonic()))
        gevent.joinall(calls)
    else:

        def call_until_end(index: int) -> None:
            number = index
            while time.monotonic() < stop_at:
                call(number)
                number += options["concurrency"]

        gevent.joinall(
            [
                gevent.spawn(call_until_end, index)
                for index in range(options["concurrency"])
            ]
        )
    elapsed_s = time.monotonic() - stop_at + options["seconds"]
    latencies_s.sort()
    return {
        "proposals": len(latencies_s),
        "failed": failed[0],
        "seconds": round(elapsed_s, 2),
        "cpu_s": slopes.cpu_s(os.getpid()),
        "p50_ms": round(latencies_s[len(latencies_s) // 2] * 1000, 2),
        "p95_ms": round(latencies_s[len(latencies_s) * 19 // 20] * 1000, 2),
    }


def measure_proposals(folder: str, rates: tuple[int, ...]) -> dict:
    """Measure processor time of proposals and the highest rate of a group."""
    group = slopes_group.Group(folder)
    runs = []
    try:
        group.apply(slopes.DOCUMENT_SIZES[0])
        gevent.sleep(slopes_group.SETTLE_S)
        idle_cores = group.cpu_over(slopes_group.WINDOW_S / 2)
        leader = group.leader()
        rates_and_concurrencies = [(rate / 2, 0) for rate in rates] + [
            (0, 8),
            (0, 32),
            (0, 96),
        ]
        for rate, concurrency in rates_and_concurrencies:
            cpu_before_s = group.cpu()
            start = time.monotonic()
            children = [
                group.spawn(
                    "proposer",
                    name=f"{index}-{rate}-{concurrency}",
                    rate=rate,
                    concurrency=concurrency // 2,
                    seconds=6.0,
                )
                for index in range(2)
            ]
            # Children end by themselves; other greenlets run meanwhile.
            while any(child.poll() is None for child in children):
                gevent.sleep(0.05)
            elapsed_s = time.monotonic() - start
            cpu_after_s = group.cpu()
            results = slopes_group.finish(children)
            proposal_count = sum(one["proposals"] for one in results)
            cpu_ms = {
                name: round(
                    (
                        cpu_after_s[name]
                        - cpu_before_s[name]
                        - idle_cores[name] * elapsed_s
                    )
                    / proposal_count
                    * 1000,
                    4,
                )
                for name in cpu_after_s
            }
            runs.append(
                {
                    "calls_per_s_asked": rate * 2,
                    "concurrency": concurrency,
                    "proposals_per_s": round(
                        proposal_count
                        / max(one["seconds"] for one in results),
                        1,
                    ),
                    "failed": sum(one["failed"] for one in results),
                    "p50_ms": max(one["p50_ms"] for one in results),
                    "p95_ms": max(one["p95_ms"] for one in results),
                    "leader_ms": cpu_ms[leader],
                    "follower_ms": [
                        cpu_ms[name] for name in cpu_ms if name != leader
                    ],
                    "proposer_ms": round(
                        sum(one["cpu_s"] for one in results)
                        / proposal_count
                        * 1000,
                        4,
                    ),
                    "leader_kept": group.leader() == leader,
                }
            )
    finally:
        group.deployment.stop_all()
    return {
        "idle_cores": idle_cores,
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
