"""Polls of a group: processor time, joins, loss of the leader."""

import os
import time

import gevent

from bench import slopes
from bench import slopes_group
from papayalink import clock as clocks
from papayalink.coordination import lease as leases
from papayalink.protocol import messages
from papayalink.transport import auth
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc


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
    group = slopes_group.Group(folder, members)
    runs = []
    try:
        group.apply(slopes.DOCUMENT_SIZES[-1])
        gevent.sleep(slopes_group.SETTLE_S)
        runs.append(
            {"polls_per_s": 0, "cores": group.cpu_over(slopes_group.WINDOW_S)}
        )
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
            gevent.sleep(slopes_group.SETTLE_S)
            window_at = time.monotonic()
            started = [slopes.cpu_s(one.pid) for one in children]
            cores = group.cpu_over(slopes_group.WINDOW_S)
            window_end = time.monotonic()
            ended = [slopes.cpu_s(one.pid) for one in children]
            results = slopes_group.finish(children)
            runs.append(
                {
                    "polls_per_s": count // parts * parts,
                    "cores": cores,
                    "poller_ms": round(
                        (sum(ended) - sum(started))
                        / slopes_group.WINDOW_S
                        / (count // parts * parts)
                        * 1000,
                        3,
                    ),
                    "failed": slopes_group.add_up(
                        [one["failed"] for one in results]
                    ),
                    "failed_in_window": sum(
                        window_at <= at <= window_end
                        for one in results
                        for at in one["failed_at"]
                    ),
                    "load_average": os.getloadavg()[0],
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
    group = slopes_group.Group(folder, members)
    try:
        group.apply(slopes.DOCUMENT_SIZES[-1])
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
        gevent.sleep(2 * slopes_group.SETTLE_S)
        leader = group.leader()
        group.deployment.programs[leader].process.kill()
        killed_at = time.monotonic()
        gevent.sleep(10.0)
        results = slopes_group.finish(children)
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
        "failed": slopes_group.add_up(
            [result["failed"] for result in results]
        ),
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


def measure_joins(folder: str, counts: tuple[int, ...]) -> dict:
    """Time and processor time until restarted processes have a document.

    All of them poll at the same time without a configuration, as after the
    return of a rack or an availability zone.
    """
    group = slopes_group.Group(folder)
    clock = clocks.make_clock()
    controls = list(group.deployment.controls.values())
    runs = []
    try:
        group.apply(slopes.DOCUMENT_SIZES[-1])
        gevent.sleep(slopes_group.SETTLE_S)
        idle = group.cpu_over(slopes_group.WINDOW_S / 2)
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
