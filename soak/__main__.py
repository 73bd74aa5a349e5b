"""Command line: python -m soak --seeds 1,2,3 --seconds 12."""

import os
import random
import signal
import sys

import fire

from soak import play as plays

EXIT_STOPPED = 143


def main(
    seeds: tuple[int, ...] | int = (),
    fresh: int = 0,
    seconds: float = 12.0,
    authorities: int = 3,
    gateways: int = 3,
    losses: int = 1,
    diskless: int = 0,
    power: bool = False,
    folder: str = "",
) -> None:
    """Play seeds, and print what each of them found.

    Args:
        seeds: seeds to play.
        fresh: number of seeds to draw and play besides.
        seconds: length of the disturbed part.
        losses: authorities that are disturbed at once.
        diskless: authorities without a disk, besides the others.
        power: all lose power in the end, and have other seeds after it.
        folder: keeps logs and data of each seed there.
    """
    # Ends the run through its clean-up, so that no process is left behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_STOPPED))
    wanted = [seeds] if isinstance(seeds, int) else list(seeds)
    drawn = random.SystemRandom()
    wanted += [drawn.randrange(10**6) for _ in range(fresh)]
    shape = plays.Shape(authorities, gateways, losses, diskless, power)
    bad = 0
    for seed in wanted:
        kept = os.path.join(folder, str(seed)) if folder else ""
        if kept:
            os.makedirs(kept)
        result = plays.play(seed, seconds, shape, kept)
        bad += bool(result.findings)
        print(
            f"seed={seed} calls={result.calls} faults={result.faults}"
            f" findings={len(result.findings)}",
            flush=True,
        )
        for finding in result.findings:
            print(f"  {finding}", flush=True)
    print(f"{len(wanted)} seeds, {bad} with findings")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    fire.Fire(main)
