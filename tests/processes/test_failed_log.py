"""Tests of a control member whose log can't be written."""

import resource

import pytest

from bench import fleet as fleets
from papayalink import tasks
from papayalink.state import configuration
from papayalink.state import document as documents
from tests.processes import helpers


@pytest.mark.parametrize("leading", [False, True])
def test_failed_log_ends_the_process(tmp_path, leading):
    """Guards against a process that runs on without its replica."""
    fleet = fleets.start(str(tmp_path), entries=0, engines=0)
    deployment = fleet.deployment
    try:
        leader = helpers.leader_of(deployment)
        failing = next(
            name for name in deployment.controls if (name == leader) is leading
        )
        program = deployment.programs[failing].process
        # Writes beyond the first byte of a file fail with EFBIG.
        resource.prlimit(
            program.pid,
            resource.RLIMIT_FSIZE,
            (1, resource.getrlimit(resource.RLIMIT_FSIZE)[1]),
        )
        outcome = fleet.apply(limits=documents.Limits(max_body_bytes=10_000))
        assert isinstance(outcome, configuration.Accepted)
        helpers.wait_until(lambda: program.poll() is not None)
        assert program.poll() == tasks.EXIT_TASK_FAILED
        deployment.restart(failing)
        deployment.wait_accepting([failing])
        helpers.wait_until(
            lambda: deployment.dump(failing)["version"] == fleet.version
        )
    finally:
        deployment.stop_all()
