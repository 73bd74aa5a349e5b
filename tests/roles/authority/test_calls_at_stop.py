"""Tests of calls between members that one of them has when it stops."""

from types import SimpleNamespace

from falcon import testing
import gevent
from gevent import event
import pytest

from papayalink import clock as clocks
from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.platform import operator_api
from papayalink.protocol import messages
from papayalink.roles.authority import numbered_state
from papayalink.state import machine as machines
from papayalink.state import numbered
from papayalink.transport import auth
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

_KEY = b"k" * 32
# Bounds the wait of a failing test; a passing test never waits that long.
_FAILURE_S = 20.0
_DOCUMENT = b'{"version":7,"routes":[],"services":[],"limits":{},"tenants":[]}'


class _Leader:
    """Commits what it is sent, and answers only when it may.

    Attributes:
        commits: whether it commits before it waits, else after it.
    """

    def __init__(self, commits):
        self.machine = machines.make_machine()
        self.called = event.Event()
        self.may_answer = event.Event()
        self._commits = commits
        signer = auth.make_signer(_KEY, clocks.make_clock())
        self.server = rpc.make_server(
            ("127.0.0.1", 0), {"Propose": self._propose}, signer
        )
        self.server.start()

    def _propose(self, message):
        if self._commits:
            outcome = self.machine.apply(1, message.command)
        self.called.set()
        self.may_answer.wait()
        if not self._commits:
            outcome = self.machine.apply(1, message.command)
        return messages.Outcome(outcome)


class _Follower:
    """Replica of a member that knows who leads."""

    is_leader = False
    leader_id = "leader"

    def propose(self, command, timeout_s):
        raise errors.NotLeader("of the test")


@pytest.fixture
def client():
    made = rpc.make_client(auth.make_signer(_KEY, clocks.make_clock()))
    yield made
    made.close()


@pytest.fixture(params=[True, False], ids=["committed", "to-be-committed"])
def leader(request):
    started = _Leader(request.param)
    yield started
    started.may_answer.set()


@pytest.fixture
def follower(leader, client):
    """State of a member that passes changes on to the leader."""
    address = "{}:{}".format(*leader.server.address)
    state = numbered_state.make_numbered_state(
        machines.make_machine(),
        SimpleNamespace(address_of=lambda member: address),
        client,
        metrics_module.make_metrics(),
    )
    state.attach(_Follower())
    return state


def test_call_that_a_stopping_member_has_ends_with_an_unknown_outcome(
    leader, client
):
    """Guards against a call that counts as not run and is run then."""
    address = "{}:{}".format(*leader.server.address)
    command = machines.encode_command(numbered.PutNumbered(7, _DOCUMENT))
    calling = gevent.spawn(
        client.call, address, "Propose", messages.Propose(command), 1.0
    )
    assert leader.called.wait(_FAILURE_S)
    leader.server.stop()
    calling.join(_FAILURE_S)
    # Both say that the call may have been carried out.
    assert isinstance(
        calling.exception,
        (transport_errors.ConnectionLost, transport_errors.Timeout),
    )
    leader.may_answer.set()
    gevent.sleep(0.05)
    assert leader.machine.numbered.number == 7


def test_put_that_a_stopping_leader_has_is_not_refused(leader, follower):
    """Guards against a document that is refused and then in force."""
    putting = gevent.spawn(
        testing.TestClient(
            operator_api.make_application(follower)
        ).simulate_put,
        "/-/config",
        body=_DOCUMENT,
    )
    assert leader.called.wait(_FAILURE_S)
    leader.server.stop()
    # The outcome is unknown, and operators ask another member.
    assert putting.get(timeout=_FAILURE_S).status_code == 503
    leader.may_answer.set()
    gevent.sleep(0.05)
    assert leader.machine.numbered.number == 7
    # The same again does no harm, and tells what is in force.
    follower._machine.restore(leader.machine.snapshot())
    assert follower.put(7, _DOCUMENT) == 7
