"""Protected calls under failure run at most once, and "not run" is true."""

import itertools
import signal

import gevent
import pytest

from bench import client
from bench import fleet as fleets
from tests.processes import helpers

FLEET = {"entries": 2, "engines": 0, "orders": True}


def _runs(fleet, item):
    return sum(
        execution["body"]["item"] == item for execution in fleet.executions()
    )


def _code(answer):
    return answer.json()["error"]["code"]


@pytest.fixture
def callers(fleet):
    senders = [client.make_caller(entry) for entry in fleet.entries]
    yield senders
    for sender in senders:
        sender.close()


def _confirm(caller, key, **body):
    """Send a call; its entry may end before it answers.

    Returns: the answer, None when the connection failed.
    """
    try:
        return caller.confirm(key, **body)
    except (OSError, ValueError):
        return None


def _wait_until_served(callers):
    """Wait until each entry has learnt that the agent takes calls.

    Entries learn it apart, and one that has not refuses calls as not run.
    """
    keys = (f"known-{number}" for number in itertools.count())

    def are_served():
        answers = [
            caller.confirm(next(keys), item="known") for caller in callers
        ]
        return all(answer.status == 200 for answer in answers)

    helpers.wait_until(are_served)


def test_answer_lost_after_the_run_is_unknown(fleet, callers):
    """Guards against a second run of a call whose answer was lost."""
    fleets.request(fleet.orders, "PUT", "/faults", b'{"drops": 1}')
    first = callers[0].confirm("lost", item="lost")
    again = callers[1].confirm("lost", item="lost")
    assert [first.status, again.status] == [504, 504]
    assert _code(again) == "outcome_unknown"
    assert _runs(fleet, "lost") == 1


def test_agent_killed_after_dispatch(fleet, callers):
    """Guards against a new agent that dispatches a started call again."""
    call = gevent.spawn(
        callers[0].confirm, "killed", item="killed", delay_ms=1500
    )
    helpers.wait_until(lambda: _runs(fleet, "killed") == 1)
    fleet.deployment.programs["agent-orders-1"].kill()
    assert call.get().status == 504
    fleet.deployment.restart("agent-orders-1")
    fleet.deployment.wait_accepting(["agent-orders-1"])
    again = callers[1].confirm("killed", item="killed", delay_ms=1500)
    assert again.status == 504
    assert _runs(fleet, "killed") == 1


def test_not_run_is_true_and_the_key_can_be_used_again(fleet, callers):
    """Guards against a "not run" answer for a call that runs later."""
    program = fleet.deployment.programs["agent-orders-1"]
    program.kill()
    refused = callers[0].confirm("void", item="void")
    assert refused.status == 503
    assert refused.json()["error"]["run"] == "not run"
    assert _runs(fleet, "void") == 0
    fleet.deployment.restart("agent-orders-1")
    fleet.deployment.wait_accepting(["agent-orders-1"])
    # The entry may not know yet that the agent is back. Until then each
    # refusal says "not run", which must be true as well.
    helpers.wait_until(
        lambda: callers[1].confirm("void", item="void").status == 200
    )
    assert _runs(fleet, "void") == 1


def test_same_key_through_two_entries_runs_once(fleet, callers):
    """Guards against one call dispatched by two entries."""
    _wait_until_served(callers)
    calls = [
        gevent.spawn(caller.confirm, "twice", item="twice")
        for caller in callers * 3
    ]
    gevent.joinall(calls)
    answers = [call.get() for call in calls]
    unexpected = [
        (answer.status, answer.body)
        for answer in answers
        if answer.status not in (200, 409, 504)
    ]
    assert not unexpected
    bodies = {answer.body for answer in answers if answer.status == 200}
    assert len(bodies) == 1
    assert _runs(fleet, "twice") == 1


def test_leader_killed_while_calls_are_committed(fleet, callers):
    """Guards against a claim that is lost or counted twice by an election."""
    leader = helpers.leader_of(fleet.deployment)
    calls = {}
    for number in range(12):
        key = f"election-{number}"
        calls[key] = gevent.spawn(callers[number % 2].confirm, key, item=key)
        gevent.sleep(0.01)
        if number == 4:
            fleet.deployment.programs[leader].kill()
    answers = {key: call.get() for key, call in calls.items()}
    fleet.deployment.restart(leader)
    fleet.deployment.wait_accepting([leader])
    for key, answer in answers.items():
        runs = _runs(fleet, key)
        match answer.status:
            case 200:
                assert runs == 1
            case 503:
                assert runs == 0
            case _:
                assert runs <= 1
    assert any(answer.status == 200 for answer in answers.values())


def test_frozen_entry_does_not_dispatch_late(fleet, callers):
    """Guards against a frozen entry that dispatches after a repeat ran."""
    program = fleet.deployment.programs["entry-1"]
    keys = [f"frozen-{number}" for number in range(8)]
    late = {}
    for index, key in enumerate(keys):
        late[key] = gevent.spawn(_confirm, callers[0], key, item=key)
        gevent.sleep(0.004)
        if index == len(keys) - 2:
            program.send(signal.SIGSTOP)
    # Claims of a lost entry are voided only after a grace period.
    gevent.sleep(11.0)
    repeats = {key: callers[1].confirm(key, item=key) for key in keys}
    program.send(signal.SIGCONT)
    gevent.joinall(list(late.values()))
    for key in keys:
        first, again = late[key].get(), repeats[key]
        assert _runs(fleet, key) <= 1
        for answer in (first, again):
            if answer is not None and answer.status == 200:
                assert _runs(fleet, key) == 1
    assert any(answer.status == 200 for answer in repeats.values())
