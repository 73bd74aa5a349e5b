"""Sites that are stopped after each test."""

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
