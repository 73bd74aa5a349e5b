"""Tests of the sums of all entries' work."""

from papayalink.coordination import load_board
from papayalink.protocol import messages


def _work(replica_id, calls, *prefill):
    return messages.ReplicaWork(replica_id, ((0, calls),), prefill)


def test_sums_exclude_the_entry_itself():
    board = load_board.make_load_board()
    board.report("e1", (_work("r1", 1, (0, 10)),), 0.0)
    board.report("e2", (_work("r1", 2, (0, 5), (2, 7)),), 0.0)
    board.report("e3", (_work("r1", 1, (2, 1)), _work("r2", 4)), 0.0)
    assert board.others("e1", 0.5) == (
        _work("r1", 3, (0, 5), (2, 8)),
        _work("r2", 4),
    )


def test_entry_that_stopped_reporting_is_ignored():
    board = load_board.make_load_board()
    board.report("e1", (_work("r1", 1),), 0.0)
    assert board.others("e2", load_board.MAX_REPORT_AGE_S) == ()


def test_newer_report_replaces_the_older():
    board = load_board.make_load_board()
    board.report("e1", (_work("r1", 1),), 0.0)
    board.report("e1", (), 1.0)
    assert board.others("e2", 1.1) == ()


def test_replicas_lost_to_other_entries_are_reported():
    # When one entry cannot reach a replica, the others learn of it at once,
    # and not each by a failed call of its own.
    board = load_board.make_load_board()
    board.report("e1", (), 0.0, ("r1",))
    board.report("e2", (), 0.0, ("r1", "r2"))
    board.report("e3", (), 0.0)
    assert board.lost_to_others("e3", 0.1) == ("r1", "r2")
    assert board.lost_to_others("e2", 0.1) == ("r1",)
    assert board.lost_to_others("e3", load_board.MAX_REPORT_AGE_S) == ()
