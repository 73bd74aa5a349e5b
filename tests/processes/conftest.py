"""Deployments shared by the tests of a module."""

import pytest

from bench import client
from bench import fleet as fleets


@pytest.fixture(scope="module")
def fleet(tmp_path_factory, request):
    """A running deployment; a module's FLEET sets its shape."""
    shape = getattr(request.module, "FLEET", {})
    running = fleets.start(str(tmp_path_factory.mktemp("fleet")), **shape)
    yield running
    running.proposer.close()
    running.deployment.stop_all()


@pytest.fixture
def caller(fleet):
    sender = client.make_caller(fleet.entries[0])
    yield sender
    sender.close()
