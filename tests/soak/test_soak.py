"""Short runs of the soak with the real programs.

Seeds that ever failed stay here, with a line on the cause.
"""

import pytest

from soak import play as plays

SECONDS = 5.0


@pytest.mark.parametrize(
    ("seed", "shape"),
    [
        (1, plays.Shape()),
        # Six authorities, two of which are disturbed at once.
        (2, plays.Shape(authorities=6, gateways=2, losses=2)),
        # All lose power, and only seeds without a disk are named after it:
        # nobody found the group, which found itself.
        (3, plays.Shape(gateways=2, diskless=3, power=True)),
    ],
)
def test_promises_are_kept(seed, shape):
    result = plays.play(seed, SECONDS, shape)
    assert result.findings == []
    assert result.calls > 50
