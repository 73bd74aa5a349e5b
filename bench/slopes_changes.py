"""Measures what changes of the document cost daemons and control members."""

import random
import time

import gevent

from bench import slopes
from bench import slopes_group
from papayalink.state import document as documents

CHANGE_COUNT = 6


def measure_processes(folder: str) -> dict:
    """Measure memory and processor time of idle daemons by document size."""
    group = slopes_group.Group(folder)
    deployment = group.deployment
    try:
        engine = deployment.start_fake(
            "fake-engine", "fakes.engine", model="model-0"
        )
        upstream = documents.Upstream(
            "engine-1",
            deployment.add_agent("engine-1", slopes_group.ZONES[0], engine),
            slopes_group.ZONES[0],
            "model-0",
        )
        deployment.add_store("store-1", slopes_group.ZONES[0])
        deployment.add_entry("entry-1", slopes_group.ZONES[1])
        gevent.sleep(slopes_group.SETTLE_S)
        empty_kb = group.memory()
        runs = []
        for size in slopes.DOCUMENT_SIZES:
            group.apply(size, upstream)
            gevent.sleep(slopes_group.SETTLE_S)
            idle_cores = group.cpu_over(slopes_group.WINDOW_S)
            memory_kb = group.memory()
            cpu_before_s = group.cpu()
            start = time.monotonic()
            for _ in range(CHANGE_COUNT):
                group.apply(size, upstream)
                gevent.sleep(1.2)
            elapsed_s = time.monotonic() - start
            cpu_after_s = group.cpu()
            runs.append(
                {
                    "workspaces": size[0],
                    "upstreams": size[1],
                    "memory_kb": memory_kb,
                    "memory_kb_after_changes": group.memory(),
                    "idle_cores": idle_cores,
                    "change_ms": {
                        name: round(
                            (
                                cpu_after_s[name]
                                - cpu_before_s[name]
                                - idle_cores[name] * elapsed_s
                            )
                            / CHANGE_COUNT
                            * 1000,
                            2,
                        )
                        for name in cpu_after_s
                    },
                }
            )
    finally:
        deployment.stop_all()
    return {"empty_kb": empty_kb, "runs": runs}


def measure_changes(
    folder: str, counts: tuple[int, ...], members: int = 3
) -> dict:
    """Measure the time until all pollers hold an accepted document."""
    group = slopes_group.Group(folder, members)
    runs = []
    size = slopes.DOCUMENT_SIZES[-1]
    try:
        group.apply(size)
        for count in counts:
            child_count = max(4 if count >= 12 else 2, count // 80)
            children = [
                group.spawn(
                    "followers",
                    first=index * (count // child_count),
                    count=count // child_count,
                )
                for index in range(child_count)
            ]
            gevent.sleep(slopes_group.SETTLE_S + 2)
            idle_cores = group.cpu_over(slopes_group.WINDOW_S / 2)
            cpu_before_s = group.cpu()
            start = time.monotonic()
            accepted_at = {}
            for _ in range(CHANGE_COUNT):
                gevent.sleep(2.0 + random.random())
                applied_at = group.apply(size)
                accepted_at[group.version] = applied_at
            gevent.sleep(2.0)
            elapsed_s = time.monotonic() - start
            cpu_after_s = group.cpu()
            seen = [
                one
                for result in slopes_group.finish(children)
                for one in result["seen"]
            ]
            count = count // child_count * child_count
            held_by_and_delay_s = []
            for version, applied_at in accepted_at.items():
                delays_s = [
                    seen_at - applied_at
                    for seen_version, seen_at in seen
                    if seen_version == version
                ]
                held_by_and_delay_s.append(
                    (len(delays_s), round(max(delays_s), 3))
                )
            runs.append(
                {
                    "followers": count,
                    "held_by_and_last_s": held_by_and_delay_s,
                    "worst_s": max(delay for _, delay in held_by_and_delay_s),
                    "idle_cores": idle_cores,
                    "change_ms": {
                        name: round(
                            (
                                cpu_after_s[name]
                                - cpu_before_s[name]
                                - idle_cores[name] * elapsed_s
                            )
                            / CHANGE_COUNT
                            * 1000,
                            2,
                        )
                        for name in cpu_after_s
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
