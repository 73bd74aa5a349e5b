"""Tests of the list of known failures."""

from tests import conftest


def test_only_named_tests_may_fail():
    text = (
        "test: tests/a.py::test_b\nseen: test: x\n\ntest: tests/c.py::d[1]\n"
    )
    assert conftest.known_red(text) == {
        "tests/a.py::test_b",
        "tests/c.py::d[1]",
    }
