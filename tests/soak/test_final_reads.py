"""Tests of the reads of the document at the end of a run."""

from types import SimpleNamespace

import gevent
import pytest

from soak import final_reads
from soak import hold_ups
from soak import operators
from soak import records


class _Run:
    """Reads that take no time, and processes that may be held up.

    Args:
        first_answered: number of the first read that is answered, 0 for none.
        held_until: time until which a member is held up.
    """

    def __init__(self, monkeypatch, first_answered, held_until):
        self.now = 100.0
        self.reads = 0
        self._first_answered = first_answered
        self._held_until = held_until
        self._held_at = float("-inf")
        self._history = records.History(records.Executions())
        self._held_up = SimpleNamespace(
            seen=[],
            last_ended_at=lambda names: self._held_at,
            sample=self._sample,
        )
        monkeypatch.setattr(
            final_reads, "time", SimpleNamespace(monotonic=lambda: self.now)
        )
        monkeypatch.setattr(gevent, "sleep", self._sleep)

    def check(self):
        return final_reads.check(self, [], self._history, self._held_up)

    def read(self, members):
        self.reads += 1
        answered = 0 < self._first_answered <= self.reads
        self._history.operator_calls.append(
            records.OperatorCall(
                member="a1",
                method="GET",
                sent_at=self.now,
                timeout_s=3.0,
                status=200 if answered else 503,
                ended_at=self.now,
            )
        )
        return answered

    def _sample(self):
        if self.now <= self._held_until:
            self._held_up.seen.append(hold_ups.HoldUp("a2", 0.6, self.now))
            self._held_at = self.now

    def _sleep(self, seconds):
        self.now += seconds


@pytest.mark.parametrize(
    ("first_answered", "held_until", "reads"),
    [
        (1, 0.0, final_reads.READS),
        (final_reads.READS, 0.0, final_reads.READS),
        # Members were held up, and confirm reads again.
        (10, 100.0, 10),
        (15, 103.0, 15),
    ],
)
def test_document_is_returned(monkeypatch, first_answered, held_until, reads):
    """Guards against findings while no member gets a processor."""
    run = _Run(monkeypatch, first_answered, held_until)
    assert run.check() == []
    assert run.reads == reads


@pytest.mark.parametrize(
    ("held_until", "least_s", "most_s", "held"),
    [
        # Without a hold-up, further reads don't count.
        (0.0, 0.0, 0.0, "none"),
        (100.0, final_reads.CONTACT_S, final_reads.CONTACT_S, "a2 0.6 s"),
        (101.5, 4.5, 4.5, "a2 "),
        # Hold-ups without an end.
        (1000.0, final_reads.MAX_READING_S, final_reads.MAX_READING_S, "a2 "),
    ],
)
def test_document_is_not_returned(
    monkeypatch, held_until, least_s, most_s, held
):
    """Guards against a member that never answers beside hold-ups."""
    run = _Run(monkeypatch, 0, held_until)
    (finding,) = run.check()
    assert finding.startswith(
        "no member returns the document at the end: a1 503 x"
    )
    assert f"held up: {held}" in finding
    took_s = run.now - 100.0
    period_s = operators.RETRY_INTERVAL_S
    assert least_s - period_s <= took_s <= most_s + 2 * period_s
    if held == "none":
        assert run.reads == final_reads.READS
