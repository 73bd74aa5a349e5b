"""Tests of the choice of the first voters of a new group."""

import itertools

import pytest

from papayalink.coordination import founding

_DISK = founding.Seed(True)
_NO_DISK = founding.Seed(False, "x")


@pytest.mark.parametrize(
    ("seeds", "founders"),
    [
        ({}, ()),
        ({"a": _DISK, "b": _DISK, "c": _DISK}, ("a", "b", "c")),
        ({"a": _DISK, "b": _NO_DISK, "c": _DISK}, ("a", "c")),
        ({"a": _NO_DISK, "b": _NO_DISK, "c": _DISK}, ("c",)),
        # If no seed has a disk, the first one by name decides.
        (
            {
                "a": founding.Seed(False, "d"),
                "b": founding.Seed(False, "e"),
                "c": founding.Seed(False, ""),
            },
            ("d",),
        ),
        ({"a": founding.Seed(False), "b": founding.Seed(False, "e")}, ()),
    ],
)
def test_founders(seeds, founders):
    """The result does not depend on the order in which seeds answer."""
    for order in itertools.permutations(seeds.items()):
        assert founding.choose_founders(dict(order)) == founders
