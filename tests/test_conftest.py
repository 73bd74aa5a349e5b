"""Tests of the list of known failures."""

from tests import conftest


def test_only_named_tests_may_fail():
    # Guards against an entry that excuses a test which it does not name.
    text = (
        "test: tests/a.py::test_b\nseen: test: x\n\ntest: tests/c.py::d[1]\n"
    )
    assert conftest.read_known_failures(text) == {
        "tests/a.py::test_b",
        "tests/c.py::d[1]",
    }
