"""Deployments shared by the tests of a module."""

import pytest

from bench import client
from bench import fleet as fleets


@pytest.fixture(scope="module")
def fleet(tmp_path_factory, request):
    """A running deployment; a module's FLEET sets its options."""
    options = getattr(request.module, "FLEET", {})
    started = fleets.start(str(tmp_path_factory.mktemp("fleet")), **options)
    yield started
    started.proposer.close()
    started.deployment.stop_all()


@pytest.fixture
def caller(fleet):
    sender = client.make_caller(fleet.entries[0])
    yield sender
    sender.close()
