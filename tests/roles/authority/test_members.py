"""Tests of the members that other tests use."""

import time

import gevent
import pytest

from papayalink.transport import errors
from tests.roles.authority import members
from tests.roles.authority import ports


class _Answers:
    """Gives answers in turn, of which the refusals come with a stall.

    Args:
        stalls: whether this process stands still before a refusal.
    """

    def __init__(self, stalls, *answers):
        self._stalls = stalls
        self._answers = list(answers)

    def next(self):
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            if self._stalls:
                time.sleep(0.4)
            raise answer
        return answer


@pytest.fixture
def stalls():
    watched = members.Stalls()
    gevent.sleep(0.05)
    yield watched
    watched.stop()


# Guards against a test that fails because its process stood still: a member
# that can't confirm what it holds refuses.
@pytest.mark.parametrize(
    "refusal",
    [members.Refused(b"late"), errors.RpcRefused("unavailable", "late")],
)
def test_member_is_asked_again_beside_a_stall(stalls, refusal):
    answers = _Answers(True, refusal, refusal, "answer", "another")
    assert stalls.ask(answers.next) == "answer"


# Guards against a refusal without a reason that nobody sees.
def test_refusal_without_a_stall_fails(stalls, monkeypatch):
    monkeypatch.setattr(members, "_MIN_STALL_S", float("inf"))
    answers = _Answers(True, members.Refused(b"no"), "answer")
    with pytest.raises(members.Refused):
        stalls.ask(answers.next)


# Guards against an answer that is taken for a refusal.
def test_wrong_answer_beside_a_stall_is_returned(stalls):
    time.sleep(0.4)
    answers = _Answers(True, "wrong", "right")
    assert stalls.ask(answers.next) == "wrong"


# Guards against tests that are disturbed by the tasks of earlier ones.
def test_tasks_of_a_member_end(tmp_path):
    port = ports.choose("127.0.9.1")
    operator_port = ports.choose("127.0.9.1")
    with members.ending_tasks() as spawned:
        member = members.Member(
            "127.0.9.1", port, operator_port, tmp_path, None, seeds=(1,)
        )
        members.wait_until(lambda: member.process.accepting)
        member.stop()
        assert not all(task.dead for task in spawned)
    assert all(task.dead for task in spawned)
