"""Scenarios over a whole deployment on loopback; used by `make bench`.

Writes bench/out/run.json and bench/out/run.png and prints a table. Scenarios
that are not run again keep their figures of the last run, each with its seed
and commit.
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

OUT = os.path.join(os.path.dirname(__file__), "out")

# An entry that was killed is started again after this part of the scenario.
RESTARTED_AFTER = 0.25
SWAP_TIMEOUT_S = 15.0

# Between two tokens, for 95 of 100 requests.
MAX_GAP_P95_MS = 54.0

# The generator falls behind its plan when it is this late.
MAX_LAG_P95_MS = 20.0


class Disturbance:
    """What happens during a scenario, and what was seen of it."""

    __slots__ = ("_fleet", "_seconds", "notes")

    def __init__(self, fleet: fleets.Fleet, seconds: float) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self.notes: dict[str, object] = {}

    def events(self, scenario: scenarios.Scenario) -> list:
        found = []
        half = self._seconds / 2
        if scenario.returning:
            found.append((scenarios.EVICTED_AT * self._seconds, self._evict))
        match scenario.disturbance:
            case "store_killed":
                found.append((half, self._kill_store))
            case "entry_killed":
                found.append((half, self._kill_entry))
            case "weight_swap":
                found.append((half, self._swap))
        return found

    def _evict(self) -> None:
        self._fleet.evict()

    def _kill_store(self) -> None:
        self._fleet.deployment.programs["store-1"].kill()

    def _kill_entry(self) -> None:
        deployment = self._fleet.deployment
        deployment.programs["entry-1"].kill()
        gevent.sleep(RESTARTED_AFTER * self._seconds)
        deployment.restart("entry-1")

    def _swap(self) -> None:
        began = time.perf_counter()
        self._fleet.apply(models=(documents.Model(fleets.MODEL, "v2", "v1"),))
        while not self._all_serve("v2"):
            if time.perf_counter() - began > SWAP_TIMEOUT_S:
                self.notes["swap_s"] = None
                return
            gevent.sleep(0.1)
        self.notes["swap_s"] = round(time.perf_counter() - began, 2)

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
    shots = scenarios.Traffic(seed).make(scenario, seconds)
    with tempfile.TemporaryDirectory(prefix="papayalink-bench-") as folder:
        fleet = fleets.start(
            folder,
            entries=2,
            engines=scenarios.REPLICAS,
            stores=scenario.stores,
            engine_options=scenarios.ENGINE,
            upstream_options={"max_running": scenarios.ENGINE["slots"]},
            sections=_sections(),
        )
        try:
            sender = load.Sender(fleet.entries)
            disturbance = Disturbance(fleet, seconds)
            used = time.process_time()
            began = time.perf_counter()
            records = load.run(sender, shots, disturbance.events(scenario))
            elapsed = time.perf_counter() - began
            used = time.process_time() - used
            sender.close()
        finally:
            fleet.deployment.stop_all()
    return {
        "seconds": seconds,
        "seed": seed,
        "commit": _commit(),
        "load_average": round(os.getloadavg()[0], 1),
        "generator": {
            "core_share": round(used / elapsed, 3),
            "lag": load.milliseconds(
                [one.lag_s for one in records], 0.5, 0.95
            ),
        },
        **disturbance.notes,
        **summarize(records, scenario, seconds),
    }


def summarize(
    records: list[load.Record], scenario: scenarios.Scenario, seconds: float
) -> dict:
    """Returns: figures of the requests after the warm-up."""
    begins = scenario.begins * seconds
    counted = [one for one in records if one.at >= begins]
    period = seconds - begins
    found: dict[str, object] = {
        "ranks": {
            rank: _rank(
                [one for one in counted if one.rank == rank],
                target / 1000,
                period,
            )
            for rank, target in scenarios.TTFT_TARGETS_MS.items()
        },
        "callers": {
            rank: _callers([one for one in counted if one.rank == rank])
            for rank in scenarios.TTFT_TARGETS_MS
        },
        "redirects": sum(one.redirects for one in counted),
    }
    if scenario.returning:
        found["returns"] = {
            kind: _returns([one for one in counted if one.kind == kind])
            for kind in ("first", "return")
        }
    return found


def _rank(records: list[load.Record], target_s: float, period: float) -> dict:
    served = [one for one in records if one.complete]
    good = [one for one in served if one.ttft_s <= target_s]
    refused = [one.end_s for one in records if one.refused]
    return {
        "offered": len(records),
        "ttft": load.milliseconds(
            [one.ttft_s for one in served], 0.5, 0.95, 0.99
        ),
        "gap": load.milliseconds(
            [gap for one in served for gap in one.gaps_s], 0.5, 0.95, 0.99
        ),
        # What a caller notices of an uneven stream.
        "longest_gap": load.milliseconds(
            [max(one.gaps_s) for one in served if one.gaps_s], 0.5, 0.95
        ),
        "goodput_per_s": round(len(good) / period, 2),
        "goodput_tokens_per_s": round(
            sum(one.prompt_tokens + one.tokens for one in good) / period
        ),
        "refused": len(refused),
        "refusal": load.milliseconds(refused, 0.5, 0.95),
        "failed": sum(one.failed for one in records),
        "others": load.count_reasons(records),
    }


def _callers(records: list[load.Record]) -> dict:
    """How the callers of a rank fare beside each other."""
    parts = {}
    served = {}
    for name in scenarios.LARGE + scenarios.SMALL:
        own = [one for one in records if one.workspace == name]
        if not own:
            continue
        complete = [one for one in own if one.complete]
        parts[name] = len(complete) / len(own)
        served[name] = sum(one.prompt_tokens + one.tokens for one in complete)
    small = _mean([parts[n] for n in scenarios.SMALL if n in parts])
    large = _mean([parts[n] for n in scenarios.LARGE if n in parts])
    return {
        "small_served_share": small,
        "large_served_share": large,
        "small_to_large": round(small / large, 3) if large else None,
        "jain_small_served_share": jain(
            [parts[n] for n in scenarios.SMALL if n in parts]
        ),
        "jain_tokens_of_all": jain(list(served.values())),
    }


def _returns(records: list[load.Record]) -> dict:
    complete = [one for one in records if one.complete]
    prompt = sum(one.prompt_tokens for one in complete)
    cached = sum(one.cached_tokens for one in complete)
    return {
        "offered": len(records),
        "complete": len(complete),
        "prompt_tokens": prompt,
        "recomputed_share": round(1 - cached / prompt, 4) if prompt else None,
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


def check(found: dict[str, dict]) -> list[dict]:
    """Returns: each target with the measured value and whether it is met."""
    rows = []

    def add(name: str, value: float | None, bound: float, least: bool) -> None:
        met = value is not None and (
            value >= bound if least else value <= bound
        )
        rows.append(
            {
                "target": name,
                "measured": value,
                "bound": (">= " if least else "<= ") + f"{bound:g}",
                "met": met,
            }
        )

    for name, figures in found.items():
        add(
            f"{name}: generator lag p95 ms",
            figures["generator"]["lag"]["p95_ms"],
            MAX_LAG_P95_MS,
            least=False,
        )
        for rank, target in scenarios.TTFT_TARGETS_MS.items():
            row = figures["ranks"][rank]
            add(
                f"{name}: {rank} TTFT p95 ms",
                row["ttft"]["p95_ms"],
                target,
                least=False,
            )
            if name == "steady" and "longest_gap" in row:
                # Stricter than the gaps of all requests together.
                add(
                    f"{name}: {rank} longest gap between tokens p95 ms",
                    row["longest_gap"]["p95_ms"],
                    MAX_GAP_P95_MS,
                    least=False,
                )
            if name != "entry_killed":
                # A killed entry cuts what it relays; that is reported only.
                add(f"{name}: {rank} failures", row["failed"], 0, least=False)
    for name in ("returns", "store_killed"):
        baseline = found.get("returns_without_stores")
        if name in found and baseline:
            add(
                f"{name}: recomputed share against no stores",
                _ratio(
                    found[name]["returns"]["return"]["recomputed_share"],
                    baseline["returns"]["return"]["recomputed_share"],
                ),
                0.5,
                least=False,
            )
    for rank in scenarios.TTFT_TARGETS_MS:
        flood, steady = found.get(f"flood_{rank}"), found.get("steady")
        if flood and steady:
            _check_flood(add, rank, flood, steady)
    return rows


def _check_flood(add, rank: str, flood: dict, steady: dict) -> None:
    def ratio(of: str, *path: str) -> float | None:
        values = [flood["ranks"][of], steady["ranks"][of]]
        for key in path:
            values = [value[key] for value in values]
        return _ratio(*values)

    other = {"urgent": "deferrable", "deferrable": "urgent"}[rank]
    if other == "urgent":
        add(
            f"flood_{rank}: urgent TTFT p95 against steady",
            ratio("urgent", "ttft", "p95_ms"),
            1.25,
            least=False,
        )
    add(
        f"flood_{rank}: {other} keeps of its steady goodput",
        ratio(other, "goodput_tokens_per_s"),
        0.95,
        least=True,
    )
    served = {
        name: row["goodput_tokens_per_s"]
        for name, row in flood["ranks"].items()
    }
    # What a rank is owed of what is served, but not more than it asks for.
    due = min(
        steady["ranks"][other]["goodput_tokens_per_s"],
        _owed_shares()[other] * sum(served.values()),
    )
    add(
        f"flood_{rank}: {other} keeps of what it is owed",
        _ratio(served[other], due),
        0.95,
        least=True,
    )
    kept = _ratio(
        flood["callers"][rank]["small_served_share"],
        steady["callers"][rank]["small_served_share"],
    )
    add(f"flood_{rank}: small callers keep", kept, 0.95, least=True)


def _owed_shares() -> dict[str, float]:
    ranks = [
        work_queue.Rank(
            rank["name"],
            rank["ttft_target_ms"] / 1000,
            weight=rank.get("weight", 1),
            min_share=rank.get("min_share", 0.0),
        )
        for rank in _sections()["ranks"]
    ]
    shares = work_queue.owed_shares(ranks)
    return {rank.name: share for rank, share in zip(ranks, shares)}


def _ratio(value: float | None, base: float | None) -> float | None:
    return round(value / base, 3) if value is not None and base else None


def _sections() -> dict:
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
    folder = os.path.dirname(__file__)
    head = subprocess.run(
        ["git", "-C", folder, "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
    ).stdout.strip()
    changed = subprocess.run(
        ["git", "-C", folder, "status", "--porcelain"],
        capture_output=True,
        text=True,
    ).stdout.strip()
    return head + ("+changes" if changed else "")


def plot(found: dict[str, dict], path: str) -> None:
    """Draw TTFT and goodput of each scenario and rank."""
    # Imported here since it takes a second and only this function needs it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (above, below) = pyplot.subplots(2, 1, figsize=(11, 8))
    names = list(found)
    for place, rank in enumerate(scenarios.TTFT_TARGETS_MS):
        rows = [found[name]["ranks"][rank] for name in names]
        at = [number + (place - 0.5) * 0.4 for number in range(len(names))]
        tops = [row["ttft"]["p95_ms"] or 0.0 for row in rows]
        bars = above.bar(at, tops, 0.38, label=f"{rank} p95")
        above.plot(at, [row["ttft"]["p50_ms"] for row in rows], "k_")
        above.axhline(
            scenarios.TTFT_TARGETS_MS[rank],
            color=bars[0].get_facecolor(),
            linestyle=":",
        )
        below.bar(
            at, [row["goodput_tokens_per_s"] for row in rows], 0.38, label=rank
        )
    above.set_yscale("log")
    above.set_ylabel("TTFT ms; dash: p50, dotted: target")
    below.set_ylabel("goodput, tokens/s")
    for axes in (above, below):
        axes.set_xticks(range(len(names)), names, rotation=15)
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def print_tables(found: dict[str, dict], rows: list[dict]) -> None:
    print(
        f"{'scenario':24}{'rank':12}{'offered':>8}{'p50 ms':>9}{'p95 ms':>9}"
        f"{'p99 ms':>9}{'good/s':>8}{'refused':>8}{'failed':>7}"
    )
    for name, figures in found.items():
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
    os.makedirs(OUT, exist_ok=True)
    path = os.path.join(OUT, "run.json")
    report = _read(path)
    if not options.no_overhead:
        print("measuring overhead", flush=True)
        report["overhead"] = {
            "commit": _commit(),
            **overhead.measure(overhead.REQUESTS),
        }
        print(json.dumps(report["overhead"]["met"]), flush=True)
    found = report.setdefault("scenarios", {})
    for scenario in scenarios.SCENARIOS:
        if scenario.name in options.scenarios:
            print(f"running {scenario.name}", flush=True)
            found[scenario.name] = run_scenario(
                scenario, options.seconds, options.seed
            )
            # Kept even if a later scenario does not start.
            _write(path, report)
    report["scenarios"] = {
        name: found[name] for name in names if name in found
    }
    report["checks"] = check(report["scenarios"])
    _write(path, report)
    if report["scenarios"]:
        plot(report["scenarios"], os.path.join(OUT, "run.png"))
        print_tables(report["scenarios"], report["checks"])
    return 0


if __name__ == "__main__":
    sys.exit(main())
