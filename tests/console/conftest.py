"""Fixtures of the console's tests."""

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
    made = fake_backend.FakeBackend()
    data = msgspec.json.encode(samples.valid())
    made.configuration.apply(
        configuration.ApplyDocument("first", 0, data, "ann", 1_000)
    )
    return made


@pytest.fixture
def client(backend):
    made = application.make_application(
        backend,
        fake_backend.TOKEN,
        clocks.ManualClock(1_700_000_000),
        lambda: "request-1",
    )
    return testing.TestClient(
        made, headers={"Authorization": f"Bearer {fake_backend.TOKEN}"}
    )
