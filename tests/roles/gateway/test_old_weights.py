"""Tests of the time for which replicas with replaced weights get prompts."""

import random
import time
from types import SimpleNamespace

import msgspec
import pytest

from papayalink import metrics as metrics_module
from papayalink import node_settings
from papayalink.coordination import replica_choice
from papayalink.platform import dialect as dialects
from papayalink.protocol import calls
from papayalink.protocol import messages
from papayalink.roles.authority import numbered_state
from papayalink.roles.authority import service as services
from papayalink.roles.gateway import process
from papayalink.state import machine as machines
from papayalink.state import replicas
from papayalink.state import traffic
from papayalink.transport import errors
from tests.roles.gateway import sites

_PROMPT = replica_choice.SelectionRequest(
    service="models",
    model="m",
    parts=(calls.Part("p", 100),),
    prompt_tokens=100,
)
_LIMIT_S = node_settings.Bounds().weights_ms / 1000


class _Group:
    """A control group of one member, whose replica applies commands."""

    def __init__(self):
        self.machine = machines.make_machine()
        self._index = 0
        replica = SimpleNamespace(
            propose=self._propose,
            confirm_read=lambda timeout_s: self._index,
            is_leader=True,
            term=1,
            leader_id="a1",
            membership=SimpleNamespace(ids=()),
        )
        peers = SimpleNamespace(address_of=lambda name: "a1")
        self.state = numbered_state.make_numbered_state(
            self.machine, peers, None, metrics_module.make_metrics()
        )
        self.state.attach(replica)
        self.state.put(1, b"{}")
        self.restart()

    def _propose(self, command, timeout_s):
        self._index += 1
        return self.machine.apply(self._index, command)

    def restart(self):
        """Start the member again, which keeps what was committed only."""
        self.service = services.make_service(
            self.state,
            self.machine,
            SimpleNamespace(learn_members=lambda names: None),
            True,
            None,
            sites.EMPTY_STORES,
            sites.NO_LIST,
        )
        self.state.observe_before_naming(self.service.observe_weights)

    def observe(self):
        """Let the member look at its own state."""
        self.service.observe_weights()

    def name(self, version):
        self.state.name_weights("m", version)


class _Entry:
    """A gateway process whose tasks the test runs."""

    def __init__(self, group, versions):
        self.cut_off = False
        self.delay_request = lambda: None
        self._group = group
        settings = node_settings.Gateway(
            name="e1",
            ip="127.0.0.1",
            zone="z",
            region="r",
            seeds=("127.0.0.1:1",),
            peer_port=1,
            platform_address="127.0.0.1:2",
            inspect_listen="127.0.0.1:0",
            deployment_key="00",
            listen="127.0.0.1:0",
            ready_listen="127.0.0.1:0",
        )
        node = SimpleNamespace(
            settings=settings,
            metrics=metrics_module.make_metrics(),
            rpc_client=SimpleNamespace(call=self._ask),
        )
        self._process = process.make_process(
            node,
            "settings.json",
            dialects.make_dialect(),
            lambda content: traffic.TrafficDocument(
                number=1, routes=(), services=(), workspaces=()
            ),
            None,
        )
        self._process._fleet.update(
            replicas.Replica(
                replica_id=f"v{version}",
                service="models",
                address="127.0.0.1:3",
                zone="z",
                slots=8,
                condition=replicas.Condition.READY,
                weights={"m": version},
            )
            for version in versions
        )

    def _ask(self, address, method, message, timeout_s):
        if self.cut_off:
            raise errors.NotConnected(address)
        if method == "Watch":
            message = msgspec.structs.replace(message, wait_ms=0)
        message = messages.decode(messages.encode(message))
        self.delay_request()
        reply = self._group.service.handlers()[method](message)
        return messages.decode(messages.encode(reply))

    def exchange(self):
        """Ask the member for weights and for what other entries know."""
        self._process._watcher._watch("a1")
        self._process._parts._exchange("a1")

    def may_use(self, now):
        """Returns: ids of the replicas that a prompt may be sent to."""
        fleet = self._process._fleet
        return [
            member.replica.replica_id
            for member in fleet.members("models")
            if fleet.is_current(member, _PROMPT, now)
        ]


@pytest.fixture
def clock(skip_time):
    """Function that lets seconds pass for all processes.

    Returns: the time after them.
    """

    def skip(seconds=0.0):
        skip_time(seconds)
        return time.monotonic()

    return skip


def _wait(entries, clock, seconds):
    """Let seconds pass while the entries ask their member."""
    left_s = seconds
    while left_s > 0:
        clock(min(0.5, left_s))
        left_s -= 0.5
        for entry in entries:
            entry.exchange()


# Guards against prompts on weights that were replaced longer ago than allowed,
# because newer weights were named meanwhile.
@pytest.mark.parametrize(
    "namings, waited_s, usable",
    [
        ([(0.0, 2)], 5.0, ["v1", "v2", "v3"]),
        ([(0.0, 2)], 10.0, ["v2", "v3"]),
        ([(0.0, 2), (8.0, 3)], 4.0, ["v2", "v3"]),
        ([(0.0, 2), (5.0, 3), (5.0, 4), (5.0, 5)], 1.0, ["v3"]),
        ([(0.0, 2), (1.0, 3)], 5.0, ["v1", "v2", "v3"]),
        ([(0.0, 2), (1.0, 3)], 9.5, ["v3"]),
    ],
    ids=["young", "old", "renamed", "each-5-s", "both-young", "both-old"],
)
def test_newer_naming_does_not_prolong_the_use_of_older_weights(
    clock, namings, waited_s, usable
):
    group = _Group()
    entry = _Entry(group, (1, 2, 3))
    entry.exchange()
    for after_s, version in namings:
        _wait([entry], clock, after_s)
        group.name(version)
        entry.exchange()
    _wait([entry], clock, waited_s)
    assert entry.may_use(clock()) == usable


# Guards against prompts on weights that were replaced longer ago than allowed,
# because this entry learned late that they were.
@pytest.mark.parametrize("late", ["starts", "cut-off", "member-restarts"])
@pytest.mark.parametrize(
    "age_s, usable", [(4.0, ["v1", "v2"]), (_LIMIT_S, ["v2"])]
)
def test_time_of_old_weights_does_not_begin_when_an_entry_learns_late(
    clock, late, age_s, usable
):
    group = _Group()
    other = _Entry(group, (1, 2))
    entry = _Entry(group, (1, 2))
    entries = [other, entry]
    for each in entries:
        each.exchange()
    entry.cut_off = True
    group.name(2)
    _wait([other], clock, age_s / 2)
    if late == "member-restarts":
        group.restart()
    _wait([other], clock, age_s / 2)
    if late == "starts":
        entry = _Entry(group, (1, 2))
    entry.cut_off = False
    entry.exchange()
    assert entry.may_use(clock()) == usable


# Guards against prompts on weights that were replaced longer ago than allowed,
# because nobody knows when they were.
def test_weights_that_were_replaced_at_an_unknown_time_are_not_used(clock):
    group = _Group()
    group.name(2)
    group.restart()
    entry = _Entry(group, (1, 2))
    entry.exchange()
    assert entry.may_use(clock()) == ["v2"]


# Guards against the same because all members, or also the entries, start again
# once the time of the old weights is over.
@pytest.mark.parametrize("starts", [1, 3])
@pytest.mark.parametrize("entry_starts", [False, True])
def test_restart_of_the_group_allows_no_weights_whose_time_is_over(
    clock, starts, entry_starts
):
    group = _Group()
    entry = _Entry(group, (1, 2))
    entry.exchange()
    group.name(2)
    entry.exchange()
    _wait([entry], clock, _LIMIT_S + 0.5)
    assert entry.may_use(clock()) == ["v2"]
    for _ in range(starts):
        group.restart()
        if entry_starts:
            entry = _Entry(group, (1, 2))
        entry.exchange()
        assert entry.may_use(clock(0.5)) == ["v2"]


# Guards against any order of namings, restarts and cuts that has such an end.
@pytest.mark.parametrize("seed", range(6))
def test_no_order_of_events_prolongs_the_use_of_old_weights(clock, seed):
    rng = random.Random(seed)
    group = _Group()
    entries = [_Entry(group, range(1, 12)) for _ in range(3)]
    for entry in entries:
        entry.exchange()
    named_at = {1: clock()}
    newest = 1
    for _ in range(60):
        match rng.choice(["name", "restart", "start", "cut", "join", "wait"]):
            case "name" if newest < 11:
                newest += 1
                group.name(newest)
                named_at[newest] = clock()
            case "restart":
                group.restart()
            case "start":
                entries[rng.randrange(3)] = _Entry(group, range(1, 12))
            case "cut":
                entries[rng.randrange(3)].cut_off = True
            case "join":
                entries[rng.randrange(3)].cut_off = False
            case _:
                clock(rng.uniform(0.0, 4.0))
        for entry in entries:
            if not entry.cut_off:
                entry.exchange()
                now = clock()
                too_old = [
                    f"v{version}"
                    for version in range(1, newest)
                    if now - named_at[version + 1] >= _LIMIT_S
                ]
                assert not set(too_old) & set(entry.may_use(now))


# Guards against evidence that looks later than it is, because the request that
# tells it waited for a member that stood still.
@pytest.mark.parametrize(
    ("waited_s", "usable"), [(0.0, ["v1", "v2"]), (8.0, ["v2"])]
)
def test_report_that_waited_for_a_member_prolongs_no_use_of_old_weights(
    clock, waited_s, usable
):
    group = _Group()
    entry = _Entry(group, (1, 2))
    entry.exchange()
    group.name(2)
    entry._process._watcher._watch("a1")
    clock(1.0)
    entry.delay_request = lambda: clock(waited_s)
    entry._process._parts._exchange("a1")
    started = _Entry(group, (1, 2))
    started.exchange()
    assert started.may_use(clock()) == usable


# Guards against a leader that knows less than the members that entries watch.
def test_member_without_watches_knows_when_weights_were_replaced(clock):
    group = _Group()
    group.observe()
    clock(1.0)
    group.name(2)
    clock(1.0)
    group.observe()
    entry = _Entry(group, (1, 2))
    entry.exchange()
    assert entry.may_use(clock()) == ["v1", "v2"]
    clock(_LIMIT_S)
    assert entry.may_use(clock()) == ["v2"]
