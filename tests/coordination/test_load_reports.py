"""Tests of the sums of all entries' work."""

from papayalink.coordination import load_reports
from papayalink.protocol import messages


def _work(replica_id, calls, *prefill):
    return messages.ReplicaWork(replica_id, ((0, calls),), prefill)


def test_sums_exclude_the_entry_itself():
    reports = load_reports.make_load_reports()
    reports.report("e1", (_work("r1", 1, (0, 10)),), 0.0)
    reports.report("e2", (_work("r1", 2, (0, 5), (2, 7)),), 0.0)
    reports.report("e3", (_work("r1", 1, (2, 1)), _work("r2", 4)), 0.0)
    assert reports.work_of_others("e1", 0.5) == (
        _work("r1", 3, (0, 5), (2, 8)),
        _work("r2", 4),
    )


def test_entry_that_stopped_reporting_is_ignored():
    reports = load_reports.make_load_reports()
    reports.report("e1", (_work("r1", 1),), 0.0)
    assert reports.work_of_others("e2", load_reports.MAX_REPORT_AGE_S) == ()


def test_newer_report_replaces_the_older():
    reports = load_reports.make_load_reports()
    reports.report("e1", (_work("r1", 1),), 0.0)
    reports.report("e1", (), 1.0)
    assert reports.work_of_others("e2", 1.1) == ()


def test_replicas_lost_to_other_entries_are_reported():
    # When one entry cannot reach a replica, the others learn of it at once,
    # and not each by a failed call of its own.
    reports = load_reports.make_load_reports()
    reports.report("e1", (), 0.0, ("r1",))
    reports.report("e2", (), 0.0, ("r1", "r2"))
    reports.report("e3", (), 0.0)
    assert reports.lost_to_others("e3", 0.1) == ("r1", "r2")
    assert reports.lost_to_others("e2", 0.1) == ("r1",)
    assert reports.lost_to_others("e3", load_reports.MAX_REPORT_AGE_S) == ()
