"""Sites that are stopped after each test, and a clock that can be put on."""

import time

import pytest

from tests.roles.gateway import sites


@pytest.fixture
def start_site():
    """Function that starts a site, see `sites.Site`."""
    started = []

    def start(**fields):
        started.append(sites.Site(**fields))
        return started[-1]

    yield start
    for site in started:
        site.stop()


@pytest.fixture
def skip_time(monkeypatch):
    """Function that lets seconds pass at once for all processes."""
    monotonic = time.monotonic
    skipped = []
    monkeypatch.setattr(time, "monotonic", lambda: monotonic() + sum(skipped))
    return skipped.append


@pytest.fixture
def skip_stopped_time(monkeypatch):
    """The same, for clocks that stand still in between."""
    now = [time.monotonic()]
    monkeypatch.setattr(time, "monotonic", lambda: sum(now))
    return now.append
