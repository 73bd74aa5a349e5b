"""Tests of the choice of upstreams at an entry."""

import random

import pytest

from papayalink.coordination import selection
from papayalink.protocol import messages
from papayalink.state import document as documents

MODEL = "m"


def _document(count=3, **changes):
    upstreams = tuple(
        documents.Upstream(
            f"e{number}",
            f"127.0.0.1:{number + 1}",
            "korangi",
            MODEL,
            **changes,
        )
        for number in range(count)
    )
    return documents.Document(
        ranks=(documents.Rank("urgent", 1600),),
        models=(documents.Model(MODEL, "v2", "v1"),),
        upstreams=upstreams,
    )


def _report(name, version="v2", state="up", sequence=1, **fields):
    return messages.LoadReport(
        name,
        state=state,
        weight_version=version,
        waiting=(0,),
        waiting_tokens=(0,),
        free_slots=(4,),
        start_periods_ms=(0,),
        loads_permille=(0,),
        prefill_rate=8000,
        sequence=sequence,
        **fields,
    )


def _request():
    return selection.SelectionRequest("r", "w", MODEL, "", 0, 100, 1.6)


@pytest.fixture
def chooser():
    return selection.make_selection("entry-1", "korangi", random.Random(1))


def _chosen(chooser, tried=frozenset(), now=10.0, times=40):
    names = set()
    for _ in range(times):
        choice = chooser.choose(_request(), tried, now)
        if choice is not None:
            names.add((choice.upstream.name, choice.weight_version))
    return names


@pytest.mark.parametrize(
    "reports, leaving, expected",
    [
        # Each replica gets requests for the weights that it holds.
        (
            [_report("e0"), _report("e1", "v1"), _report("e2", "")],
            (),
            {("e0", "v2"), ("e1", "v1")},
        ),
        ([_report("e0", "v0")], (), {("e1", "v2"), ("e2", "v2")}),
        (
            [_report("e0", state="down"), _report("e1", state="leaving")],
            (),
            {("e2", "v2")},
        ),
        ([], ("e0", "e1"), {("e2", "v2")}),
    ],
)
def test_only_usable_replicas_are_chosen(chooser, reports, leaving, expected):
    """Guards against work sent to leaving replicas or wrong weights."""
    chooser.update(_document(), leaving, reports, 10.0)
    assert _chosen(chooser) <= expected
    assert _chosen(chooser, times=200) == expected


def test_adapter_runs_only_where_it_is_reported(chooser):
    """Guards against sending a request to a replica without its adapter."""
    reports = [_report("e0", adapters=("a",)), _report("e1", adapters=("b",))]
    chooser.update(_document(), (), reports, 10.0)
    request = selection.SelectionRequest("r", "w", MODEL, "", 0, 100, 1.6, "a")
    chosen = {
        chooser.choose(request, frozenset(), 10.0).upstream.name
        for _ in range(40)
    }
    assert chosen == {"e0"}
    assert chooser.choose(request, frozenset({"e0"}), 10.0) is None


def test_draining_replicas_get_no_requests(chooser):
    chooser.update(_document(draining=True), (), [], 10.0)
    assert _chosen(chooser) == set()


def test_blocked_replica_returns_with_its_next_report(chooser):
    """Guards against requests that all try the same refusing replica."""
    document = _document(1)
    chooser.update(document, (), [_report("e0")], 10.0)
    chooser.block("e0", 10.5)
    chooser.update(
        document, (), [_report("e0", sequence=2, age_ms=1000)], 11.0
    )
    assert _chosen(chooser) == set()
    chooser.update(document, (), [_report("e0", sequence=3)], 12.0)
    assert _chosen(chooser) == {("e0", "v2")}


@pytest.mark.parametrize("stream, ejected", [(True, ["e0"]), (False, [])])
def test_whole_answers_are_not_first_tokens(chooser, stream, ejected):
    """Guards against ejections due to long answers that are not streamed.

    Also guards against ejections due to single errors between such answers.
    """
    document = _document(4)
    chooser.update(document, (), [], 10.0)
    request = _request()
    request.stream = stream
    for name in ("e0", "e1", "e2", "e3"):
        for _ in range(10):
            chooser.answered(request, name, None, 10.0)
            chooser.answered(request, name, 9.0 if name == "e0" else 0.1, 10.0)
    chooser.update(document, (), [], 11.0)
    assert chooser.dump(11.0)["ejected"][MODEL] == ejected


def test_replica_is_full_until_an_answer_ends(chooser):
    """Guards against slots that count as occupied after their answers."""
    document = _document(2, max_running=1)
    chooser.update(document, (), [], 10.0)
    request = _request()
    first = chooser.choose(request, frozenset(), 10.0).upstream.name
    chooser.answered(request, first, 0.1, 10.0)
    assert first not in {name for name, _ in _chosen(chooser)}
    chooser.finished(request, first)
    assert first in {name for name, _ in _chosen(chooser)}


def test_entry_watches_a_bounded_subset(chooser):
    """Guards against sending reports of all replicas to every entry."""
    chooser.update(_document(640), (), [], 10.0)
    assert len(chooser.watched) == selection.SUBSET_SIZE


def test_replica_without_recent_reports_gets_no_requests(chooser):
    """Guards against sending work to an agent that has died."""
    document = _document(1)
    chooser.update(document, (), [_report("e0")], 10.0)
    chooser.update(document, (), [], 10.0 + selection.STALE_S + 0.1)
    assert _chosen(chooser, now=16.0) == set()
