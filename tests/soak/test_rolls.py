"""VMs stop and start with all of their processes."""

import random
import sys

import gevent

from soak import nodes
from soak import records
from soak import rolls

# Ends a while after SIGTERM.
_PROGRAM = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: (time.sleep({lasts_s}), sys.exit(0)))
print("ready", flush=True)
for _ in range(600):
    time.sleep(0.05)
"""


class _Node(nodes.Node):
    """A process that handles signals from its start on."""

    starts: list = []

    def start(self):
        lasts_s = 0.6 if self.role == "gateway" else 0.0
        self.process = nodes.subprocess.Popen(
            [sys.executable, "-c", _PROGRAM.format(lasts_s=lasts_s)],
            stdout=nodes.subprocess.PIPE,
        )
        self.process.stdout.readline()
        self.starts.append([each.running for each in self.settings["all"]])

    def has_started(self):
        return True

    def is_ready(self):
        return True


def test_processes_of_a_vm_stop_at_once_and_start_after_all_have_ended(
    tmp_path, monkeypatch
):
    """Guards against rolls in which an authority is back too soon."""
    monkeypatch.setattr(rolls, "OFF_S", 0.0)
    made = []
    for name, role in (("a1", "authority"), ("g1", "gateway")):
        made.append(
            _Node(name, role, "127.0.0.1", str(tmp_path), {"all": made})
        )
    try:
        for node in made:
            node.start()
        history = records.History(records.Executions())
        rolls.make_rolls(made, history, random.Random(1), False).run(0.0)
        # Neither process ran when the first one was started again.
        assert made[0].starts[-1] == [True, False]
        assert [node.failures for node in made] == [[], []]
        assert [each.target for each in history.disturbances] == ["a1", "g1"]
        first, second = history.disturbances
        assert first.ended_at >= second.ended_at
    finally:
        for node in made:
            with gevent.Timeout(10):
                node.kill()
            node.process.stdout.close()
