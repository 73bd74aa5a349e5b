"""Measures polls of a group: processor time, joins, loss of the leader."""

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
    """Measure processor time of control members and pollers by poll rate.

    The document has the design size; pollers hold only its version.

    Args:
        counts: numbers of pollers, each of which polls once a second.
        workspaces: 0 for entries and agents that report no demand; otherwise
            all pollers are entries, and each reports demand for that number
            of limited workspaces.
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
            child_count = max(1, min(4, count // 100))
            children = [
                group.spawn(
                    "light",
                    first=first,
                    count=count // child_count,
                    workspaces=workspaces,
                )
                for first in range(0, count, count // child_count)
            ][:child_count]
            gevent.sleep(slopes_group.SETTLE_S)
            window_start = time.monotonic()
            cpu_before_s = [slopes.cpu_s(one.pid) for one in children]
            cores = group.cpu_over(slopes_group.WINDOW_S)
            window_end = time.monotonic()
            cpu_after_s = [slopes.cpu_s(one.pid) for one in children]
            results = slopes_group.finish(children)
            runs.append(
                {
                    "polls_per_s": count // child_count * child_count,
                    "cores": cores,
                    "poller_ms": round(
                        (sum(cpu_after_s) - sum(cpu_before_s))
                        / slopes_group.WINDOW_S
                        / (count // child_count * child_count)
                        * 1000,
                        3,
                    ),
                    "failed": slopes_group.sum_counts(
                        [one["failed"] for one in results]
                    ),
                    "failed_in_window": sum(
                        window_start <= at <= window_end
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
    """Count failed polls and ended leases after the leader is killed."""
    group = slopes_group.Group(folder, members)
    try:
        group.apply(slopes.DOCUMENT_SIZES[-1])
        children = [
            group.spawn(
                "light",
                first=index * (count // 4),
                count=count // 4,
                workspaces=0,
                retries=True,
            )
            for index in range(4)
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
    failed_after_s = [
        at - killed_at for result in results for at in result["failed_at"]
    ]
    lapses = [
        (at - killed_at, duration_s)
        for result in results
        for at, duration_s in result["lapses"]
    ]
    return {
        "members": members,
        "polls_per_s": count,
        "leader": leader,
        "next_leader": next_leader,
        "polls": sum(result["polls"] for result in results),
        "failed": slopes_group.sum_counts(
            [result["failed"] for result in results]
        ),
        "failed_in_4_s_before": sum(-4 < at <= 0 for at in failed_after_s),
        "failed_by_s_after": [
            sum(second < at <= second + 1 for at in failed_after_s)
            for second in range(10)
        ],
        "last_failed_s": round(max(failed_after_s, default=0.0), 3),
        "leases_ended_before": sum(at <= 0 for at, _ in lapses),
        "leases_ended_after": sum(at > 0 for at, _ in lapses),
        "longest_without_lease_s": round(
            max(
                (duration_s for at, duration_s in lapses if at > 0),
                default=0.0,
            ),
            3,
        ),
    }


def measure_joins(folder: str, counts: tuple[int, ...]) -> dict:
    """Measure time and processor time until processes hold a document.

    All poll at the same time without a configuration, as when a rack or an
    availability zone comes back.
    """
    group = slopes_group.Group(folder)
    clock = clocks.make_clock()
    controls = list(group.deployment.controls.values())
    runs = []
    try:
        group.apply(slopes.DOCUMENT_SIZES[-1])
        gevent.sleep(slopes_group.SETTLE_S)
        idle_cores = group.cpu_over(slopes_group.WINDOW_S / 2)
        for count in counts:
            join_times_s: list[float] = []
            failed: dict[str, int] = {}

            def join(
                number: int, join_times_s=join_times_s, failed=failed
            ) -> None:
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
                        error_name = type(error).__name__
                        failed[error_name] = failed.get(error_name, 0) + 1
                        number += 1
                        if time.monotonic() - start > 20:
                            return
                join_times_s.append(time.monotonic() - start)
                client.close()

            cpu_before_s = group.cpu()
            start = time.monotonic()
            gevent.joinall([gevent.spawn(join, one) for one in range(count)])
            elapsed_s = time.monotonic() - start
            gevent.sleep(1.0)
            cpu_after_s = group.cpu()
            runs.append(
                {
                    "processes": count,
                    "joined": len(join_times_s),
                    "last_s": round(elapsed_s, 3),
                    "failed": failed,
                    "group_cpu_s": round(
                        sum(cpu_after_s.values())
                        - sum(cpu_before_s.values())
                        - sum(idle_cores.values()) * (elapsed_s + 1.0),
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
