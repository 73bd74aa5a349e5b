"""Command line: python -m soak --seeds 1,2,3 --seconds 12."""

import os
import random
import signal
import sys

import fire

from soak import seed_run

# Exit status that shells report for a process ended by SIGTERM: 128 + 15.
EXIT_SIGTERM = 143
MAX_PRINTED = 20


def main(
    seeds: tuple[int, ...] | int = (),
    fresh: int = 0,
    seconds: float = 12.0,
    authorities: int = 3,
    gateways: int = 0,
    losses: int = 1,
    diskless: int = 0,
    power: bool = False,
    crashing: bool = False,
    limited: bool = False,
    crashing_request: bool = False,
    stops: bool = False,
    odd: bool = False,
    cut_offs: bool = False,
    weights: bool = False,
    links: bool = False,
    silences: bool = False,
    repeats: bool = False,
    breaks: bool = False,
    bursts: bool = False,
    pauses: bool = False,
    failing: bool = False,
    storms: bool = False,
    rolls: bool = False,
    early_reloads: bool = False,
    callers: int = 0,
    long_streams: bool = False,
    uneven: float = 0.0,
    documents: bool = False,
    folder: str = "",
) -> None:
    """Run seeds, and print the violations that each of them found.

    Args:
        seeds: seeds to run.
        fresh: number of random seeds to run in addition.
        seconds: duration of the fault injection.
        authorities: number of authorities with a disk.
        gateways: number of gateways; 0 for 7 with `rolls` or `uneven` and 3
            without.
        losses: maximum number of authorities with a disk that are disturbed
            at the same time.
        diskless: number of additional authorities without a disk.
        power: whether all processes lose power at the end, right after a
            document was accepted, and restart without one of the disks and
            with other seed addresses.
        limited: whether the first replica names a limit all the time.
        crashing: whether prompts with one part end replicas all the time.
        crashing_request: whether one repeated request does so.
        stops: whether there is planned work instead of faults.
        odd: whether the list of replicas has an odd entry all the time.
        cut_offs: whether gateways miss releases.
        weights: whether weights are named again and again.
        links: whether connections between processes fall silent, and
            authorities without a disk stand still.
        silences: whether sound replicas fall silent and go on, instead of
            faults; with `stops` beside planned work.
        repeats: whether most calls fail at all replicas, beside cuts between
            nodes, restarts and replicas that read late, instead of faults.
        breaks: whether streams break off again and again and a part of prompts
            ends replicas, while all nodes are sound.
        bursts: with `repeats`, whether all gateways are killed right after
            calls have begun to fail.
        pauses: with `repeats`, whether half of the replicas stand still at a
            time, while nothing fails.
        failing: with `pauses`, whether the others fail most calls meanwhile,
            and pauses are longer.
        storms: whether all processes lose power and one disk again and again,
            right after many large documents.
        rolls: whether all VMs, some of which have two processes, are stopped
            and started again in series, instead of faults; with `silences`
            half of the replicas stand still again and again.
        early_reloads: with `rolls`, whether SIGHUP comes while processes
            start as well.
        callers: number of callers of `rolls`; 0 for 80.
        long_streams: with `silences` and `stops`, whether streams last for up
            to 4.3 s.
        uneven: share of the calls that run for long on routes of which the
            others are short, 0 for none; 7 gateways, nothing else happens.
        documents: with `uneven`, whether a document comes each half second.
        folder: where to keep logs and data of each seed.
    """
    # SystemExit runs the clean-up code, so that no process is left running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_SIGTERM))
    all_seeds = [seeds] if isinstance(seeds, int) else list(seeds)
    random_source = random.SystemRandom()
    all_seeds += [random_source.randrange(10**6) for _ in range(fresh)]
    scenario = seed_run.Scenario(
        authorities,
        gateways or (seed_run.ROLL_GATEWAYS if rolls or uneven else 3),
        losses,
        diskless,
        power,
        crashing,
        limited,
        crashing_request,
        stops,
        odd,
        cut_offs,
        weights,
        links,
        silences,
        repeats,
        breaks,
        bursts,
        pauses,
        failing,
        storms,
        rolls,
        early_reloads,
        callers or seed_run.ROLL_CALLERS,
        long_streams,
        uneven,
        documents,
    )
    failed_seeds = 0
    for seed in all_seeds:
        seed_folder = os.path.join(folder, str(seed)) if folder else ""
        if seed_folder:
            os.makedirs(seed_folder)
        result = seed_run.run_seed(seed, seconds, scenario, seed_folder)
        failed_seeds += bool(result.findings)
        figures = " ".join(
            f"{name}={value}" for name, value in result.figures.items()
        )
        print(
            f"seed={seed} calls={result.calls} faults={result.faults}"
            f" {figures} findings={len(result.findings)}",
            flush=True,
        )
        for finding in result.findings[:MAX_PRINTED]:
            print(f"  {finding}", flush=True)
        if len(result.findings) > MAX_PRINTED:
            print(f"  and {len(result.findings) - MAX_PRINTED} more")
    print(f"{len(all_seeds)} seeds, {failed_seeds} with findings")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    fire.Fire(main)
