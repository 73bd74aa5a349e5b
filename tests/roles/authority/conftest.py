"""Set-up of the tests of authorities."""

import pytest

from tests.roles.authority import members


@pytest.fixture(autouse=True)
def end_tasks():
    """End the tasks of members, which would disturb the next tests."""
    with members.ending_tasks():
        yield
