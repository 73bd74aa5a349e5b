"""Tests of what a replica says while an attempt waits for it."""

import pytest

from papayalink.coordination import awaited


# Guards against a pause of a replica that counts as a run, and against a run
# beside which it answered others that counts as a pause.
@pytest.mark.parametrize(
    ("spoke_at", "gap_s", "silent_s"),
    [
        ([], 8.0, 8.0),
        ([3.0], 7.0, 7.0),
        ([9.0], 7.0, 1.0),
        ([4.0, 6.0, 9.0], 3.0, 1.0),
        ([4.0, 5.0, 6.0], 4.0, 4.0),
    ],
)
def test_gaps_of_an_attempt_sent_at_2(spoke_at, gap_s, silent_s):
    attempt = awaited.make_awaited(2.0, 1.0)
    for at in spoke_at:
        attempt.note_spoke(at)
    assert attempt.longest_gap_s(10.0) == gap_s
    assert attempt.silent_s(10.0) == silent_s
