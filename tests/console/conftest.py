"""Fixtures for the tests of the console."""

from falcon import testing
import msgspec
import pytest

from papayalink import clock as clocks
from papayalink.console import application
from papayalink.state import configuration
from tests.console import fake_backend
from tests.state import samples


@pytest.fixture
def backend():
    fake = fake_backend.FakeBackend()
    data = msgspec.json.encode(samples.valid())
    fake.configuration.apply(
        configuration.ApplyDocument("first", 0, data, "ann", 1_000)
    )
    return fake


@pytest.fixture
def client(backend):
    app = application.make_application(
        backend,
        fake_backend.TOKEN,
        clocks.ManualClock(1_700_000_000),
        lambda: "request-1",
    )
    return testing.TestClient(
        app, headers={"Authorization": f"Bearer {fake_backend.TOKEN}"}
    )
