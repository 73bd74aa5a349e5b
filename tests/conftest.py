"""Test set-up: hypothesis profile and known failures."""

import pathlib

import hypothesis
import pytest

_KNOWN_FAILURES_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_TEST_PREFIX = "test: "

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("ci")


def read_known_failures(text):
    """Returns: ids of the tests named in the text of KNOWN-RED.txt."""
    return {
        line.removeprefix(_TEST_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(_TEST_PREFIX)
    }


def pytest_collection_modifyitems(items):
    """Run the known failures too, but let the run pass if they fail."""
    if not _KNOWN_FAILURES_PATH.exists():
        return
    known_failures = read_known_failures(_KNOWN_FAILURES_PATH.read_text())
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(
                pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            )
