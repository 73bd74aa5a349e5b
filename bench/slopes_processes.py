"""Measures polls, changes and proposals with real processes on loopback.

The group has three control members unless the name of the part says seven.
Pollers and proposers run in separate processes, so that the processor time of
each process is known.
"""

import argparse
import json
import sys
import tempfile

from bench import slopes_changes
from bench import slopes_pollers
from bench import slopes_polls
from bench import slopes_proposals
from papayalink import logs

PARTS = {
    "processes": lambda folder: slopes_changes.measure_processes(folder),
    "polls": lambda folder: slopes_polls.measure_polls(
        folder, (30, 60, 120, 250)
    ),
    "polls_1000": lambda folder: slopes_polls.measure_polls(
        folder, (500, 1000)
    ),
    "polls_1000_7_members": lambda folder: slopes_polls.measure_polls(
        folder, (500, 1000), members=7
    ),
    "polls_after_overload": lambda folder: slopes_polls.measure_polls(
        folder, (700, 2000, 250)
    ),
    "polls_7_members": lambda folder: slopes_polls.measure_polls(
        folder, (250, 500, 1000), members=7
    ),
    "demand": lambda folder: slopes_polls.measure_polls(
        folder, (30, 60, 120, 240), 130
    ),
    "changes": lambda folder: slopes_changes.measure_changes(
        folder, (10, 32, 60)
    ),
    "changes_640": lambda folder: slopes_changes.measure_changes(
        folder, (320, 640)
    ),
    "changes_640_7_members": lambda folder: slopes_changes.measure_changes(
        folder, (320, 640), members=7
    ),
    "leader_loss": lambda folder: slopes_polls.measure_leader_loss(
        folder, 1000
    ),
    "leader_loss_7_members": lambda folder: slopes_polls.measure_leader_loss(
        folder, 1000, members=7
    ),
    "joins": lambda folder: slopes_polls.measure_joins(
        folder, (10, 40, 125, 400, 1000)
    ),
    "proposals": lambda folder: slopes_proposals.measure_proposals(
        folder, (30, 60, 120)
    ),
}
CHILDREN = {
    "light": slopes_pollers.child_light,
    "followers": slopes_pollers.child_configuration_pollers,
    "proposer": slopes_proposals.child_proposer,
}


def main() -> None:
    """Print a JSON object for each part that is named."""
    if sys.argv[1:2] == ["child"]:
        # Standard output carries only the result.
        logs.configure("slopes", "bench")
        options = json.loads(sys.argv[3])
        print(json.dumps(CHILDREN[sys.argv[2]](options)), flush=True)
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS], default=[*PARTS])
    for part in parser.parse_args().parts:
        with tempfile.TemporaryDirectory() as folder:
            report = PARTS[part](folder)
        print(json.dumps({part: report}, indent=1), flush=True)


if __name__ == "__main__":
    main()
