"""Tests of commands that are proposed while the leader changes."""

import gevent
import pytest

from papayalink import clock as clocks
from papayalink.coordination import proposer as proposers
from papayalink.protocol import messages
from papayalink.transport import errors

_CONTROLS = ["a", "b", "c"]
_ATTEMPT_S = 0.2
_TIMEOUT_S = 2.0


class _Group:
    """Members of which one leads and one does not answer.

    Args:
        lost: raised for calls to the lost member.
        lost_after_s: time after which it is raised.
        hint: leader that the third member names.
    """

    def __init__(self, lost, lost_after_s, hint):
        self.lost_member = "a"
        self.leader = "c"
        self.calls = []
        self._lost = lost
        self._lost_after_s = lost_after_s
        self._hint = hint

    def call(self, address, method, message, timeout_s):
        self.calls.append(address)
        gevent.sleep(0.001)
        if address == self.lost_member:
            gevent.sleep(self._lost_after_s)
            raise self._lost
        if address != self.leader:
            raise errors.RpcRefused("not_leader", "", self._hint)
        return messages.Outcome(b"")


# Guards against calls that fail together and so go on to call the member that
# does not answer, until their time is over.
@pytest.mark.parametrize("hint", ["", "c"])
@pytest.mark.parametrize(
    ("lost", "lost_after_s"),
    [
        (errors.Timeout("silent"), _ATTEMPT_S),
        (errors.ConnectionLost("reset"), 0.0),
        (errors.NotConnected("refused"), 0.0),
    ],
    ids=["silent", "reset", "refused"],
)
@pytest.mark.parametrize("count", range(1, 8))
def test_concurrent_calls_leave_a_lost_member(count, lost, lost_after_s, hint):
    group = _Group(lost, lost_after_s, hint)
    proposer = proposers.make_proposer(_CONTROLS, group, clocks.make_clock())
    proposer._leader = group.lost_member
    query = messages.Query("", "")
    calls = [
        gevent.spawn(proposer._send, "Propose", query, _TIMEOUT_S)
        for _ in range(count)
    ]
    gevent.joinall(calls)
    assert [call.get() for call in calls] == [messages.Outcome(b"")] * count
    # Each was sent there once.
    assert group.calls.count(group.lost_member) == count
