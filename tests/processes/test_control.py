"""Configuration and the control group under failure."""

import contextlib
import shutil
import signal

import gevent
import msgspec
import pytest

from bench import client
from bench import control
from bench import deployment as deployments
from bench import fleet as fleets
from papayalink.coordination import errors
from papayalink.state import configuration
from papayalink.state import document as documents
from tests.processes import helpers

FLEET = {"entries": 1, "engines": 1}
LEASE_S = 3.0


def _with_workspace(fleet, name):
    extra = documents.Workspace(
        name, (documents.token_digest(f"token-of-{name}"),), "urgent"
    )
    return msgspec.structs.replace(
        fleet.document, workspaces=(*fleet.document.workspaces, extra)
    )


def _status(fleet, name):
    caller = client.make_caller(fleet.entries[0], f"token-of-{name}")
    answer = caller.complete(model=fleets.MODEL, prompt="a", max_tokens=1)
    caller.close()
    return answer.status


def _apply_until_known(fleet, request_id):
    """Send a change again, as it was, until its outcome is known.

    A group that stands still gives no outcome.
    """
    outcomes = []

    def has_outcome():
        with contextlib.suppress(
            errors.OutcomeUnknown, errors.ControlUnavailable
        ):
            outcomes.append(
                control.apply(
                    fleet.proposer, fleet.document, fleet.version, request_id
                )
            )
        return outcomes

    helpers.wait_until(has_outcome, "an outcome")
    return outcomes[0]


def _restart(fleet, name):
    fleet.deployment.restart(name)
    fleet.deployment.wait_accepting([name])


def test_one_of_two_racing_operators_wins(fleet):
    """Guards against two documents accepted under one base version."""
    outcomes = [
        gevent.spawn(
            control.apply,
            control.make_proposer(fleet.deployment),
            _with_workspace(fleet, f"racer-{number}"),
            fleet.version,
        )
        for number in range(2)
    ]
    gevent.joinall(outcomes)
    results = [outcome.get() for outcome in outcomes]
    accepted = [
        one for one in results if isinstance(one, configuration.Accepted)
    ]
    conflicts = [
        one for one in results if isinstance(one, configuration.Conflict)
    ]
    assert len(accepted) == len(conflicts) == 1
    fleet.version = accepted[0].version
    winner = results.index(accepted[0])
    fleet.document = _with_workspace(fleet, f"racer-{winner}")
    helpers.wait_until(lambda: _status(fleet, f"racer-{winner}") == 200)
    assert _status(fleet, f"racer-{1 - winner}") == 401


def test_resent_document_gets_the_first_outcome(fleet):
    """Guards against a resent change that is applied over later changes."""
    first = _with_workspace(fleet, "resent")
    base = fleet.version
    outcome = control.apply(fleet.proposer, first, base, "request-1")
    assert isinstance(outcome, configuration.Accepted)
    fleet.document, fleet.version = first, outcome.version
    fleet.apply(limits=documents.Limits(max_queue_per_upstream=99))
    again = control.apply(fleet.proposer, first, base, "request-1")
    assert again == outcome
    fleet.apply(limits=documents.Limits(max_queue_per_upstream=100))
    assert fleet.version == outcome.version + 2


def test_frozen_member_serves_no_stale_configuration(fleet):
    """Guards against stale configuration from a member that was frozen."""
    frozen = [
        name
        for name in fleet.deployment.controls
        if name != helpers.leader_of(fleet.deployment)
    ][0]
    fleet.deployment.programs[frozen].send(signal.SIGSTOP)
    fleet.document = _with_workspace(fleet, "during-freeze")
    fleet.apply()
    helpers.wait_until(lambda: _status(fleet, "during-freeze") == 200)
    versions = [fleet.deployment.dump("entry-1")["version"]]
    fleet.deployment.programs[frozen].send(signal.SIGCONT)
    for _ in range(20):
        versions.append(fleet.deployment.dump("entry-1")["version"])
        gevent.sleep(0.1)
    assert versions == sorted(versions)
    helpers.wait_until(
        lambda: fleet.deployment.dump(frozen)["version"] == fleet.version
    )


def test_no_new_work_without_a_quorum(fleet):
    """Guards against requests served under an outdated configuration."""
    assert _status(fleet, "during-freeze") == 200
    for name in fleet.deployment.controls:
        fleet.deployment.programs[name].send(signal.SIGSTOP)
    gevent.sleep(LEASE_S + 0.5)
    caller = client.make_caller(fleet.entries[0])
    refused = caller.complete(model=fleets.MODEL, prompt="a", max_tokens=1)
    for name in fleet.deployment.controls:
        fleet.deployment.programs[name].send(signal.SIGCONT)
    assert refused.status == 503
    assert refused.json()["error"]["run"] == "not run"
    helpers.wait_until(lambda: _status(fleet, "during-freeze") == 200)


def test_restart_after_hundreds_of_changes(fleet):
    """Guards against a configuration that reverts when members restart."""
    for number in range(300):
        fleet.apply(
            limits=documents.Limits(max_queue_per_upstream=100 + number)
        )
    for name in fleet.deployment.controls:
        fleet.deployment.programs[name].kill()
    for name in fleet.deployment.controls:
        fleet.deployment.restart(name)
    fleet.deployment.wait_accepting(list(fleet.deployment.controls))
    helpers.wait_until(
        lambda: all(
            fleet.deployment.dump(name)["version"] == fleet.version
            for name in fleet.deployment.controls
        )
    )
    assert isinstance(fleet.apply(), configuration.Accepted)


def test_second_member_lost_right_after_a_repair(fleet):
    """Guards against lost commits when a wiped member votes too early."""
    deployment = fleet.deployment
    wiped, second, third = deployment.controls
    deployment.programs[wiped].kill()
    shutil.rmtree(f"{deployment.folder}/{wiped}")
    fleet.apply(limits=documents.Limits(max_queue_per_upstream=7))
    _restart(fleet, wiped)
    helpers.wait_until(
        lambda: any(
            voter.startswith(f"{wiped}.")
            for voter in helpers.voters_of(deployment, third)
        )
        and wiped not in helpers.voters_of(deployment, third),
        "membership change",
    )
    deployment.programs[second].kill()
    fleet.proposer = control.make_proposer(deployment)
    outcome = fleet.apply(limits=documents.Limits(max_queue_per_upstream=8))
    assert isinstance(outcome, configuration.Accepted)
    _restart(fleet, second)
    helpers.wait_until(
        lambda: deployment.dump(second)["version"] == fleet.version
    )


@pytest.mark.parametrize("size", [3, 5])
def test_group_survives_the_loss_of_a_minority(tmp_path, size):
    """Guards against a group that needs all of its members."""
    fleet = fleets.start(str(tmp_path), entries=0, engines=0, controls=size)
    try:
        lost = list(fleet.deployment.controls)[: size // 2]
        for name in lost:
            fleet.deployment.programs[name].kill()
        outcome = fleet.apply(limits=documents.Limits(max_body_bytes=10_000))
        assert isinstance(outcome, configuration.Accepted)
    finally:
        fleet.deployment.stop_all()


def test_foreign_process_is_refused(fleet):
    """Guards against changes by processes without the deployment key."""
    stranger = deployments.make_deployment(fleet.deployment.folder)
    stranger.controls = fleet.deployment.controls
    proposer = control.make_proposer(stranger)
    with pytest.raises(Exception, match="outcome|leader"):
        proposer.propose(
            configuration.ApplyDocument(
                "x", fleet.version, documents.encode(fleet.document), "x", 0
            ),
            1.0,
        )
    outcome = _apply_until_known(fleet, "behind-the-stranger")
    assert isinstance(outcome, configuration.Accepted)
    fleet.version = outcome.version
