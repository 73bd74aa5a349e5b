"""Runs scenarios on a whole deployment on loopback; used by `make bench`.

Writes bench/out/run.json and bench/out/run.png and prints a table. A scenario
that is not run again keeps the figures of its last run, with their seed and
commit.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time

import gevent

from bench import fleet as fleets
from bench import load
from bench import overhead
from bench import scenarios
from papayalink.coordination import work_queue
from papayalink.state import document as documents

OUTPUT_FOLDER = os.path.join(os.path.dirname(__file__), "out")

# A killed entry is restarted after this fraction of the scenario's duration.
RESTART_DELAY_FRACTION = 0.25
SWAP_TIMEOUT_S = 15.0

# Longest gap between two tokens of a request, 95th percentile over requests.
MAX_TOKEN_GAP_P95_MS = 54.0

# The load generator has fallen behind its plan when requests are sent later
# than this.
MAX_GENERATOR_LAG_P95_MS = 20.0


class Disturbance:
    """Disturbs the fleet during a scenario and records what it measured."""

    __slots__ = ("_fleet", "_seconds", "measured")

    def __init__(self, fleet: fleets.Fleet, seconds: float) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self.measured: dict[str, object] = {}

    def events(self, scenario: scenarios.Scenario) -> list:
        """Returns: actions, each with its time in seconds after the start."""
        events = []
        halfway_s = self._seconds / 2
        if scenario.returning:
            events.append((scenarios.EVICTED_AT * self._seconds, self._evict))
        match scenario.disturbance:
            case "store_killed":
                events.append((halfway_s, self._kill_store))
            case "entry_killed":
                events.append((halfway_s, self._kill_entry))
            case "weight_swap":
                events.append((halfway_s, self._swap_weights))
        return events

    def _evict(self) -> None:
        self._fleet.evict()

    def _kill_store(self) -> None:
        self._fleet.deployment.programs["store-1"].kill()

    def _kill_entry(self) -> None:
        deployment = self._fleet.deployment
        deployment.programs["entry-1"].kill()
        gevent.sleep(RESTART_DELAY_FRACTION * self._seconds)
        deployment.restart("entry-1")

    def _swap_weights(self) -> None:
        started_at = time.perf_counter()
        self._fleet.apply(models=(documents.Model(fleets.MODEL, "v2", "v1"),))
        while not self._all_serve("v2"):
            if time.perf_counter() - started_at > SWAP_TIMEOUT_S:
                self.measured["swap_s"] = None
                return
            gevent.sleep(0.1)
        self.measured["swap_s"] = round(time.perf_counter() - started_at, 2)

    def _all_serve(self, version: str) -> bool:
        return all(
            self._fleet.deployment.dump(f"agent-{name}")["engine"][
                "weight_version"
            ]
            == version
            for name in self._fleet.engines
        )


def run_scenario(
    scenario: scenarios.Scenario, seconds: float, seed: int
) -> dict:
    """Run one scenario in a new deployment. Returns: its figures."""
    requests = scenarios.Traffic(seed).make(scenario, seconds)
    with tempfile.TemporaryDirectory(prefix="papayalink-bench-") as folder:
        fleet = fleets.start(
            folder,
            entries=2,
            engines=scenarios.REPLICAS,
            stores=scenario.stores,
            engine_options=scenarios.ENGINE,
            upstream_options={"max_running": scenarios.ENGINE["slots"]},
            sections=_document_sections(),
        )
        try:
            sender = load.Sender(fleet.entries)
            disturbance = Disturbance(fleet, seconds)
            used_cpu_s = time.process_time()
            started_at = time.perf_counter()
            records = load.run(sender, requests, disturbance.events(scenario))
            elapsed_s = time.perf_counter() - started_at
            used_cpu_s = time.process_time() - used_cpu_s
            sender.close()
        finally:
            fleet.deployment.stop_all()
    return {
        "seconds": seconds,
        "seed": seed,
        "commit": _commit(),
        "load_average": round(os.getloadavg()[0], 1),
        "generator": {
            "core_share": round(used_cpu_s / elapsed_s, 3),
            "lag": load.milliseconds(
                [one.lag_s for one in records], 0.5, 0.95
            ),
        },
        **disturbance.measured,
        **summarize(records, scenario, seconds),
    }


def summarize(
    records: list[load.Record], scenario: scenarios.Scenario, seconds: float
) -> dict:
    """Returns: figures of the requests that are counted in a scenario."""
    counted_from_s = scenario.begins * seconds
    counted = [one for one in records if one.at >= counted_from_s]
    counted_period_s = seconds - counted_from_s
    figures: dict[str, object] = {
        "ranks": {
            rank: _summarize_rank(
                [one for one in counted if one.rank == rank],
                target_ms / 1000,
                counted_period_s,
            )
            for rank, target_ms in scenarios.TTFT_TARGETS_MS.items()
        },
        "callers": {
            rank: _summarize_callers(
                [one for one in counted if one.rank == rank]
            )
            for rank in scenarios.TTFT_TARGETS_MS
        },
        "redirects": sum(one.redirects for one in counted),
    }
    if scenario.returning:
        figures["returns"] = {
            kind: _summarize_returns(
                [one for one in counted if one.kind == kind]
            )
            for kind in ("first", "return")
        }
    return figures


def _summarize_rank(
    records: list[load.Record], target_s: float, counted_period_s: float
) -> dict:
    served = [one for one in records if one.complete]
    within_target = [one for one in served if one.ttft_s <= target_s]
    refusal_times_s = [one.end_s for one in records if one.refused]
    return {
        "offered": len(records),
        "ttft": load.milliseconds(
            [one.ttft_s for one in served], 0.5, 0.95, 0.99
        ),
        "gap": load.milliseconds(
            [gap for one in served for gap in one.gaps_s], 0.5, 0.95, 0.99
        ),
        # The gap by which a caller notices an uneven stream.
        "longest_gap": load.milliseconds(
            [max(one.gaps_s) for one in served if one.gaps_s], 0.5, 0.95
        ),
        "goodput_per_s": round(len(within_target) / counted_period_s, 2),
        "goodput_tokens_per_s": round(
            sum(one.prompt_tokens + one.tokens for one in within_target)
            / counted_period_s
        ),
        "refused": len(refusal_times_s),
        "refusal": load.milliseconds(refusal_times_s, 0.5, 0.95),
        "failed": sum(one.failed for one in records),
        "others": load.count_reasons(records),
    }


def _summarize_callers(records: list[load.Record]) -> dict:
    """Compare the large and the small callers of a rank."""
    served_shares = {}
    served_tokens = {}
    for name in scenarios.LARGE + scenarios.SMALL:
        own = [one for one in records if one.workspace == name]
        if not own:
            continue
        complete = [one for one in own if one.complete]
        served_shares[name] = len(complete) / len(own)
        served_tokens[name] = sum(
            one.prompt_tokens + one.tokens for one in complete
        )
    small_share = _mean(
        [served_shares[n] for n in scenarios.SMALL if n in served_shares]
    )
    large_share = _mean(
        [served_shares[n] for n in scenarios.LARGE if n in served_shares]
    )
    return {
        "small_served_share": small_share,
        "large_served_share": large_share,
        "small_to_large": (
            round(small_share / large_share, 3) if large_share else None
        ),
        "jain_small_served_share": jain(
            [served_shares[n] for n in scenarios.SMALL if n in served_shares]
        ),
        "jain_tokens_of_all": jain(list(served_tokens.values())),
    }


def _summarize_returns(records: list[load.Record]) -> dict:
    complete = [one for one in records if one.complete]
    prompt_tokens = sum(one.prompt_tokens for one in complete)
    cached_tokens = sum(one.cached_tokens for one in complete)
    return {
        "offered": len(records),
        "complete": len(complete),
        "prompt_tokens": prompt_tokens,
        "recomputed_share": (
            round(1 - cached_tokens / prompt_tokens, 4)
            if prompt_tokens
            else None
        ),
        "ttft": load.milliseconds([one.ttft_s for one in complete], 0.5, 0.95),
    }


def jain(values: list[float]) -> float | None:
    """Returns: Jain's index, 1 when all values are equal."""
    squares = sum(value * value for value in values)
    if not squares:
        return None
    return round(sum(values) ** 2 / (len(values) * squares), 4)


def _mean(values: list[float]) -> float:
    return round(statistics.mean(values), 4) if values else 0.0


def check(results: dict[str, dict]) -> list[dict]:
    """Returns: each target with the measured value and whether it is met."""
    rows = []

    def add_check(
        name: str, value: float | None, bound: float, is_minimum: bool
    ) -> None:
        met = value is not None and (
            value >= bound if is_minimum else value <= bound
        )
        rows.append(
            {
                "target": name,
                "measured": value,
                "bound": (">= " if is_minimum else "<= ") + f"{bound:g}",
                "met": met,
            }
        )

    for name, figures in results.items():
        add_check(
            f"{name}: generator lag p95 ms",
            figures["generator"]["lag"]["p95_ms"],
            MAX_GENERATOR_LAG_P95_MS,
            is_minimum=False,
        )
        for rank, target in scenarios.TTFT_TARGETS_MS.items():
            row = figures["ranks"][rank]
            add_check(
                f"{name}: {rank} TTFT p95 ms",
                row["ttft"]["p95_ms"],
                target,
                is_minimum=False,
            )
            if name == "steady" and "longest_gap" in row:
                # Stricter than a percentile over the gaps of all requests.
                add_check(
                    f"{name}: {rank} longest gap between tokens p95 ms",
                    row["longest_gap"]["p95_ms"],
                    MAX_TOKEN_GAP_P95_MS,
                    is_minimum=False,
                )
            if name != "entry_killed":
                # A killed entry cuts the streams that it relays, so failures
                # are reported there but have no bound.
                add_check(
                    f"{name}: {rank} failures",
                    row["failed"],
                    0,
                    is_minimum=False,
                )
    for name in ("returns", "store_killed"):
        baseline = results.get("returns_without_stores")
        if name in results and baseline:
            add_check(
                f"{name}: recomputed share against no stores",
                _ratio(
                    results[name]["returns"]["return"]["recomputed_share"],
                    baseline["returns"]["return"]["recomputed_share"],
                ),
                0.5,
                is_minimum=False,
            )
    for rank in scenarios.TTFT_TARGETS_MS:
        flood, steady = results.get(f"flood_{rank}"), results.get("steady")
        if flood and steady:
            _check_flood(add_check, rank, flood, steady)
    return rows


def _check_flood(add_check, rank: str, flood: dict, steady: dict) -> None:
    def ratio(rank_name: str, *path: str) -> float | None:
        values = [flood["ranks"][rank_name], steady["ranks"][rank_name]]
        for key in path:
            values = [value[key] for value in values]
        return _ratio(*values)

    other = {"urgent": "deferrable", "deferrable": "urgent"}[rank]
    if other == "urgent":
        add_check(
            f"flood_{rank}: urgent TTFT p95 against steady",
            ratio("urgent", "ttft", "p95_ms"),
            1.25,
            is_minimum=False,
        )
    add_check(
        f"flood_{rank}: {other} keeps of its steady goodput",
        ratio(other, "goodput_tokens_per_s"),
        0.95,
        is_minimum=True,
    )
    served_tokens = {
        name: row["goodput_tokens_per_s"]
        for name, row in flood["ranks"].items()
    }
    # A rank is owed its share of all served tokens, at most what it asks for.
    owed_tokens = min(
        steady["ranks"][other]["goodput_tokens_per_s"],
        _owed_shares()[other] * sum(served_tokens.values()),
    )
    add_check(
        f"flood_{rank}: {other} keeps of what it is owed",
        _ratio(served_tokens[other], owed_tokens),
        0.95,
        is_minimum=True,
    )
    kept_share = _ratio(
        flood["callers"][rank]["small_served_share"],
        steady["callers"][rank]["small_served_share"],
    )
    add_check(
        f"flood_{rank}: small callers keep", kept_share, 0.95, is_minimum=True
    )


def _owed_shares() -> dict[str, float]:
    ranks = [
        work_queue.Rank(
            rank["name"],
            rank["ttft_target_ms"] / 1000,
            weight=rank.get("weight", 1),
            min_share=rank.get("min_share", 0.0),
        )
        for rank in _document_sections()["ranks"]
    ]
    shares = work_queue.owed_shares(ranks)
    return {rank.name: share for rank, share in zip(ranks, shares)}


def _ratio(value: float | None, base: float | None) -> float | None:
    return round(value / base, 3) if value is not None and base else None


def _document_sections() -> dict:
    return {
        "ranks": [
            {
                "name": "urgent",
                "ttft_target_ms": scenarios.TTFT_TARGETS_MS["urgent"],
                "weight": 4,
            },
            {
                "name": "deferrable",
                "ttft_target_ms": scenarios.TTFT_TARGETS_MS["deferrable"],
                "min_share": 0.2,
            },
        ],
        "workspaces": [
            {
                "name": name,
                "token_digests": [
                    documents.token_digest(scenarios.token_of(name))
                ],
                "rank": "urgent",
            }
            for name in scenarios.LARGE + scenarios.SMALL
        ],
    }


def _commit() -> str:
    """Returns: short commit id, marked when the worktree has changes."""
    folder = os.path.dirname(__file__)
    commit = subprocess.run(
        ["git", "-C", folder, "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
    ).stdout.strip()
    changes = subprocess.run(
        ["git", "-C", folder, "status", "--porcelain"],
        capture_output=True,
        text=True,
    ).stdout.strip()
    return commit + ("+changes" if changes else "")


def plot(results: dict[str, dict], path: str) -> None:
    """Draw TTFT and goodput of each scenario and rank."""
    # Imported here since it takes a second and only this function needs it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (ttft_axes, goodput_axes) = pyplot.subplots(2, 1, figsize=(11, 8))
    names = list(results)
    for index, rank in enumerate(scenarios.TTFT_TARGETS_MS):
        rows = [results[name]["ranks"][rank] for name in names]
        positions = [
            position + (index - 0.5) * 0.4 for position in range(len(names))
        ]
        p95s_ms = [row["ttft"]["p95_ms"] or 0.0 for row in rows]
        bars = ttft_axes.bar(positions, p95s_ms, 0.38, label=f"{rank} p95")
        ttft_axes.plot(
            positions, [row["ttft"]["p50_ms"] for row in rows], "k_"
        )
        ttft_axes.axhline(
            scenarios.TTFT_TARGETS_MS[rank],
            color=bars[0].get_facecolor(),
            linestyle=":",
        )
        goodput_axes.bar(
            positions,
            [row["goodput_tokens_per_s"] for row in rows],
            0.38,
            label=rank,
        )
    ttft_axes.set_yscale("log")
    ttft_axes.set_ylabel("TTFT ms; dash: p50, dotted: target")
    goodput_axes.set_ylabel("goodput, tokens/s")
    for axes in (ttft_axes, goodput_axes):
        axes.set_xticks(range(len(names)), names, rotation=15)
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def print_tables(results: dict[str, dict], rows: list[dict]) -> None:
    print(
        f"{'scenario':24}{'rank':12}{'offered':>8}{'p50 ms':>9}{'p95 ms':>9}"
        f"{'p99 ms':>9}{'good/s':>8}{'refused':>8}{'failed':>7}"
    )
    for name, figures in results.items():
        for rank, row in figures["ranks"].items():
            ttft = [
                "-" if row["ttft"][key] is None else f"{row['ttft'][key]:.1f}"
                for key in ("p50_ms", "p95_ms", "p99_ms")
            ]
            print(
                f"{name:24}{rank:12}{row['offered']:>8}{ttft[0]:>9}"
                f"{ttft[1]:>9}{ttft[2]:>9}{row['goodput_per_s']:>8}"
                f"{row['refused']:>8}{row['failed']:>7}"
            )
    for row in rows:
        print(
            f"{'met   ' if row['met'] else 'MISSED'} {row['target']}:"
            f" {row['measured']} ({row['bound']})"
        )


def _read(path: str) -> dict:
    if not os.path.exists(path):
        return {}
    with open(path) as file:
        return json.load(file)


def _write(path: str, report: dict) -> None:
    with open(path, "w") as file:
        json.dump(report, file, indent=1)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    names = [scenario.name for scenario in scenarios.SCENARIOS]
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenarios", nargs="*", choices=names, default=names)
    parser.add_argument("--no-overhead", action="store_true")
    options = parser.parse_args()
    os.makedirs(OUTPUT_FOLDER, exist_ok=True)
    path = os.path.join(OUTPUT_FOLDER, "run.json")
    report = _read(path)
    if not options.no_overhead:
        print("measuring overhead", flush=True)
        report["overhead"] = {
            "commit": _commit(),
            **overhead.measure(overhead.REQUEST_COUNT),
        }
        print(json.dumps(report["overhead"]["met"]), flush=True)
    results = report.setdefault("scenarios", {})
    for scenario in scenarios.SCENARIOS:
        if scenario.name in options.scenarios:
            print(f"running {scenario.name}", flush=True)
            results[scenario.name] = run_scenario(
                scenario, options.seconds, options.seed
            )
            # Written at once, so that it is kept if a later scenario fails.
            _write(path, report)
    report["scenarios"] = {
        name: results[name] for name in names if name in results
    }
    report["checks"] = check(report["scenarios"])
    _write(path, report)
    if report["scenarios"]:
        plot(report["scenarios"], os.path.join(OUTPUT_FOLDER, "run.png"))
        print_tables(report["scenarios"], report["checks"])
    return 0


if __name__ == "__main__":
    sys.exit(main())
