"""A control member that is isolated by a silent network partition."""

import time

import gevent
from gevent import event
import msgspec
import pytest

from bench import client
from bench import control
from bench import deployment as deployments
from bench import fleet as fleets
from bench import network
from papayalink.state import configuration
from papayalink.state import document as documents
from tests.processes import helpers

LEASE_S = 3.0
# Half of the shortest time after which members elect another leader.
MAX_GAP_S = 0.25
WATCH_PERIOD_S = 0.05
MAX_ROUNDS = 6


class Partition:
    """Three control members; links that can be cut isolate the third one."""

    def __init__(self, folder):
        self.deployment = deployments.make_deployment(folder, fleets.ZONES)
        self.controls = {
            f"control-{number}": deployments.free_address()
            for number in (1, 2, 3)
        }
        self.deployment.controls = self.controls
        self.links = []
        link_to_third = self._make_link("control-3")
        for name in ("control-1", "control-2"):
            self._start(name, {**self.controls, "control-3": link_to_third})
        self._start(
            "control-3",
            {
                "control-1": self._make_link("control-1"),
                "control-2": self._make_link("control-2"),
                "control-3": self.controls["control-3"],
            },
        )

    def start_entry(self, name, controls):
        listen = deployments.free_address()
        self.deployment.start(
            name,
            role="entry",
            zone="korangi",
            listen=listen,
            controls={member: self.controls[member] for member in controls},
        )
        return client.make_caller(listen)

    def cut(self):
        for link in self.links:
            link.cut()

    def heal(self):
        for link in self.links:
            link.heal()

    def term(self, name):
        return self.deployment.dump(name)["replica"]["term"]

    def find_longest_gap_s(self, stopped):
        """Watch how long a member takes to answer, or this process does.

        Args:
            stopped: event that ends the watch.
        """

        def watch(name):
            longest_s = 0.0
            while not stopped.is_set():
                asked_at = time.monotonic()
                self.term(name)
                gevent.sleep(WATCH_PERIOD_S)
                longest_s = max(longest_s, time.monotonic() - asked_at)
            return longest_s

        tasks = [gevent.spawn(watch, name) for name in self.controls]
        gevent.joinall(tasks, raise_error=True)
        return max(task.value for task in tasks)

    def _make_link(self, name):
        link = network.make_link(self.controls[name])
        self.links.append(link)
        return link.address

    def _start(self, name, controls):
        self.deployment.start(
            name,
            role="control",
            zone="korangi",
            rpc_listen=self.controls[name],
            data_folder=self.deployment.folder + "/" + name,
            console_listen=deployments.free_address(),
            console_token=self.deployment.console_token,
            controls=controls,
        )


@pytest.fixture
def partition(tmp_path):
    for number in (1, 2, 3):
        (tmp_path / f"control-{number}").mkdir()
    made = Partition(str(tmp_path))
    yield made
    made.heal()
    made.deployment.stop_all()
    for link in made.links:
        link.close()


def test_isolated_member_grants_nothing(partition):
    """Guards against stale leases, and elections when it heals."""
    deployment = partition.deployment
    deployment.wait_accepting(list(partition.controls))
    engine = deployment.start_fake(
        "fake-engine", "fakes.engine", model=fleets.MODEL
    )
    agent = deployment.add_agent("engine-1", "korangi", engine)
    near = partition.start_entry("entry-near", ["control-1", "control-2"])
    far = partition.start_entry("entry-far", ["control-3"])
    document = deployments.make_document(
        deployment,
        models=[{"name": fleets.MODEL, "weight_version": "v1"}],
        upstreams=[
            {
                "name": "engine-1",
                "zone": "korangi",
                "serves": fleets.MODEL,
                "agent": agent,
            }
        ],
    )
    proposer = control.make_proposer(deployment)
    first = control.apply(proposer, document, 0)
    assert isinstance(first, configuration.Accepted)
    deployment.wait_accepting(["entry-near", "entry-far", "agent-engine-1"])

    def status(caller):
        return caller.complete(
            model=fleets.MODEL, prompt="a", max_tokens=1
        ).status

    helpers.wait_until(lambda: status(near) == status(far) == 200)
    partition.cut()
    changed = msgspec.structs.replace(
        document, limits=documents.Limits(max_body_bytes=5000)
    )
    second = control.apply(
        control.make_proposer(deployment), changed, first.version
    )
    assert isinstance(second, configuration.Accepted)
    gevent.sleep(LEASE_S + 1.0)
    dump = deployment.dump("entry-far")
    assert dump["version"] == first.version
    assert dump["lease_left_s"] == 0
    assert status(far) == 503
    helpers.wait_until(lambda: status(near) == 200)
    # An election is repeated only if a member has stood still, which ends
    # its lead whatever heals.
    for _ in range(MAX_ROUNDS):
        stopped = event.Event()
        gap = gevent.spawn(partition.find_longest_gap_s, stopped)
        # The partition lasts for several election timeouts.
        gevent.sleep(3.0)
        term = partition.term("control-1")
        assert partition.term("control-3") <= term
        partition.heal()
        helpers.wait_until(
            lambda: deployment.dump("entry-far")["version"] == second.version
            and status(far) == 200
        )
        term_after = partition.term("control-1")
        stopped.set()
        if term_after == term:
            return
        assert gap.get() >= MAX_GAP_S, "an election though nobody stood still"
        partition.cut()
        helpers.wait_until(
            lambda: deployment.dump("entry-far")["lease_left_s"] == 0
        )
    pytest.fail("an election each time")
