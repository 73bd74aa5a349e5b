"""Changes of the document: idle daemons and followers."""

import random
import time

import gevent

from bench import slopes
from bench import slopes_group
from papayalink.state import document as documents

CHANGES = 6


def measure_processes(folder: str) -> dict:
    """Memory and processor time of idle daemons, by document size."""
    group = slopes_group.Group(folder)
    deployment = group.deployment
    try:
        engine = deployment.start_fake(
            "fake-engine", "fakes.engine", model="model-0"
        )
        agent = documents.Upstream(
            "engine-1",
            deployment.add_agent("engine-1", slopes_group.ZONES[0], engine),
            slopes_group.ZONES[0],
            "model-0",
        )
        deployment.add_store("store-1", slopes_group.ZONES[0])
        deployment.add_entry("entry-1", slopes_group.ZONES[1])
        gevent.sleep(slopes_group.SETTLE_S)
        empty = group.memory()
        runs = []
        for size in slopes.DOCUMENT_SIZES:
            group.apply(size, agent)
            gevent.sleep(slopes_group.SETTLE_S)
            idle = group.cpu_over(slopes_group.WINDOW_S)
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


def measure_changes(
    folder: str, counts: tuple[int, ...], members: int = 3
) -> dict:
    """Time from acceptance until all followers hold a document."""
    group = slopes_group.Group(folder, members)
    runs = []
    size = slopes.DOCUMENT_SIZES[-1]
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
            gevent.sleep(slopes_group.SETTLE_S + 2)
            idle = group.cpu_over(slopes_group.WINDOW_S / 2)
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
                one
                for result in slopes_group.finish(children)
                for one in result["seen"]
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
