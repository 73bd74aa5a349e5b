"""Which members make up a new group."""

import itertools

import pytest

from papayalink.coordination import founding

_DISK = founding.Seed(True)
_NONE = founding.Seed(False, "x")


@pytest.mark.parametrize(
    ("seeds", "founders"),
    [
        ({}, ()),
        ({"a": _DISK, "b": _DISK, "c": _DISK}, ("a", "b", "c")),
        ({"a": _DISK, "b": _NONE, "c": _DISK}, ("a", "c")),
        ({"a": _NONE, "b": _NONE, "c": _DISK}, ("c",)),
        # The first seed decides when none of them has a disk.
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
    """All processes come to the same result in whatever order they ask."""
    for order in itertools.permutations(seeds.items()):
        assert founding.choose_founders(dict(order)) == founders
