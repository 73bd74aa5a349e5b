"""Tests of the sums of all entries' work."""

import collections

from hypothesis import given
from hypothesis import strategies as st

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


_AMOUNTS = st.dictionaries(st.integers(0, 3), st.integers(1, 9), max_size=3)
_WORK = st.dictionaries(
    st.sampled_from(["r1", "r2", "r3"]), st.tuples(*[_AMOUNTS] * 3), max_size=3
)
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["e1", "e2", "e3", "e4"]),
        _WORK,
        st.sets(st.sampled_from(["r1", "r2"])),
        st.sampled_from([0.0, 0.1, 0.9, 2.5]),
    ),
    max_size=25,
)


def _encode(work):
    return tuple(
        messages.ReplicaWork(
            name, *(tuple(sorted(each.items())) for each in amounts)
        )
        for name, amounts in work.items()
    )


def _sum_up(reports):
    """Returns: the sums of some reports, computed from nothing."""
    sums = {}
    for work in reports:
        for name, amounts in work.items():
            counters = sums.setdefault(
                name, [collections.Counter() for _ in range(3)]
            )
            for counter, each in zip(counters, amounts):
                counter.update(each)
    return _encode(dict(sorted(sums.items())))


@given(_STEPS)
def test_sums_equal_those_of_all_recent_reports(steps):
    """Guards against sums that drift as reports come, change and expire."""
    reports = load_reports.make_load_reports()
    newest = {}
    now = 0.0
    for entry, work, lost, pause_s in steps:
        now += pause_s
        reports.report(entry, _encode(work), now, tuple(lost))
        newest[entry] = (now, work, lost)
        recent = {
            name: each
            for name, each in newest.items()
            if now - each[0] < load_reports.MAX_REPORT_AGE_S
        }
        assert reports.entries(now) == len(recent)
        for asking in ("e1", "e5"):
            others = [each for name, each in recent.items() if name != asking]
            assert reports.work_of_others(asking, now) == tuple(
                each
                for each in _sum_up(work for _, work, _ in others)
                if each.calls or each.prefill or each.memory
            )
            assert reports.lost_to_others(asking, now) == tuple(
                sorted(set().union(*(lost for *_, lost in others)))
            )


class _CountedReport(tuple):
    """Work of an entry that counts how often it is read."""

    reads = 0

    def __iter__(self):
        type(self).reads += 1
        return super().__iter__()


def test_one_exchange_does_not_read_the_reports_of_all_entries():
    """Guards against a leader whose work grows with the entries' square."""
    reports = load_reports.make_load_reports()
    for number in range(300):
        work = _CountedReport([_work(f"r{number % 60}", 1)])
        reports.report(f"e{number}", work, 0.0)
    _CountedReport.reads = 0
    reports.report("e0", _CountedReport([_work("r0", 2)]), 0.1)
    assert len(reports.work_of_others("e0", 0.1)) == 60
    assert _CountedReport.reads <= 3
