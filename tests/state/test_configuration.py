"""Tests of the replicated configuration."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from papayalink.state import changes
from papayalink.state import configuration as configurations
from papayalink.state import document as documents
from tests.state import samples


def _document(limit=256, **fields):
    document = samples.valid()
    document["limits"] = {"max_queue_per_upstream": limit}
    return msgspec.json.encode(document | fields)


def _command(request, base, data=None, author="ann", at_ms=1):
    return configurations.ApplyDocument(
        request, base, _document() if data is None else data, author, at_ms
    )


def _large_document(limit):
    return _document(
        limit,
        workspaces=[
            {
                "name": f"w{number}",
                "token_digests": [documents.token_digest(str(number))],
                "rank": "urgent",
                "tokens_per_s": limit,
            }
            for number in range(500)
        ],
    )


def test_accepted_change_is_in_force():
    # Guards against an outcome that differs from the document in force.
    configuration = configurations.make_configuration()
    assert (configuration.version, configuration.document) == (
        0,
        documents.Document(),
    )
    outcome = configuration.apply(_command("r1", 0))
    assert outcome == configurations.Accepted(1, configuration.digest)
    assert configuration.document == documents.decode(_document())
    assert configuration.document_bytes == documents.encode(
        configuration.document
    )
    assert [entry.author for entry in configuration.history(5)] == ["ann"]


def test_conflict_lists_the_accepted_changes(snapshot):
    # Guards against a refusal that does not show the operator the reason.
    configuration = configurations.make_configuration()
    configuration.apply(_command("r1", 0))
    configuration.apply(_command("r2", 1, _document(9), author="bea"))
    configuration.apply(_command("r3", 2, _document(10), author="carl"))
    outcome = configuration.apply(_command("r4", 1, _document(7)))
    assert (outcome.version, outcome.author) == (3, "carl")
    assert outcome.changes == snapshot
    assert configuration.version == 3


@pytest.mark.parametrize("base", [-1, 2])
def test_base_version_that_does_not_exist_is_a_conflict(base):
    # Guards against acceptance of a base version that no operator has seen.
    configuration = configurations.make_configuration()
    configuration.apply(_command("r1", 0))
    assert isinstance(
        configuration.apply(_command("r2", base)), configurations.Conflict
    )


@pytest.mark.parametrize(
    "data, request_id, author, path",
    [
        (b"{", "r1", "ann", "$"),
        (b"{}", "", "ann", "request_id"),
        (b"{}", "r" * 129, "ann", "request_id"),
        (b"{}", "r1", "a\nb", "author"),
    ],
)
def test_invalid_changes_nothing(data, request_id, author, path):
    # Guards against acceptance of a document that no process can decode.
    configuration = configurations.make_configuration()
    outcome = configuration.apply(_command(request_id, 0, data, author))
    assert [problem.path for problem in outcome.problems] == [path]
    assert configuration.version == 0


def test_request_id_with_other_content_is_refused():
    # Guards against returning an operator the outcome of another's change.
    configuration = configurations.make_configuration()
    first = configuration.apply(_command("r1", 0, at_ms=1))
    for other in (
        _command("r1", 1),
        _command("r1", 0, b"{}"),
        _command("r1", 0, author="bea"),
    ):
        assert configuration.apply(other) == configurations.RequestIdReused(
            "r1"
        )
    assert configuration.apply(_command("r1", 0, at_ms=99)) == first


def test_forgotten_request_is_not_applied_again():
    # Guards against a very late resend that reverts newer changes, and
    # against an unbounded number of stored outcomes.
    configuration = configurations.make_configuration()
    configuration.apply(_command("r0", 0))
    configuration.apply(_command("r1", 1, _document(9)))
    for number in range(configurations.MAX_OUTCOMES):
        configuration.apply(_command(f"late{number}", 0, b"{}"))
    assert (
        len(configuration.snapshot().outcomes) == configurations.MAX_OUTCOMES
    )
    assert isinstance(
        configuration.apply(_command("r0", 0)), configurations.Conflict
    )
    assert configuration.document.limits.max_queue_per_upstream == 9


def test_old_or_large_steps_need_the_whole_document():
    # Guards against deltas that omit a change, and against large histories.
    configuration = configurations.make_configuration()
    configuration.apply(_command("r0", 0, _large_document(1)))
    configuration.apply(_command("r1", 1, _large_document(2)))
    configuration.apply(_command("r2", 2, b"{}"))
    assert configuration.delta_since(0) is None
    assert configuration.delta_since(1) is None
    assert configuration.delta_since(2) is not None
    assert (
        changes.apply_delta(documents.Document(), configuration.delta_since(3))
        == documents.Document()
    )
    assert configuration.delta_since(4) is None
    assert len(configuration.history(1)[0].summary) < 10_000
    for number in range(3, 3 + configurations.MAX_HISTORY):
        configuration.apply(_command(f"r{number}", number, b"{}"))
    assert configuration.delta_since(2) is None
    assert configuration.delta_since(3) is not None
    assert len(configuration.snapshot().history) == configurations.MAX_HISTORY


class _Step(msgspec.Struct):
    operator: int
    behind: int
    limit: int
    resend: int
    restart: bool


_STEPS = strategies.lists(
    strategies.builds(
        _Step,
        operator=strategies.integers(0, 2),
        behind=strategies.sampled_from([0, 0, 0, 1, 2]),
        limit=strategies.integers(-1, 3),
        resend=strategies.sampled_from([0, 0, 1, 3]),
        restart=strategies.booleans(),
    ),
    max_size=14,
)


@hypothesis.settings(max_examples=60)
@hypothesis.given(_STEPS)
def test_racing_operators(steps):
    """Concurrent changes, resends and restarts from a snapshot.

    Guards against two accepted changes with the same base version, a resend
    that is applied again or has another outcome, deltas that do not lead to
    the current document, and state lost in a restart.
    """
    configuration = configurations.make_configuration()
    sent = []
    winners = {}
    versions = [configuration.document]
    for number, step in enumerate(steps):
        if step.restart:
            before = configuration.snapshot()
            encoded = msgspec.msgpack.encode(before)
            configuration = configurations.make_configuration(
                msgspec.msgpack.decode(encoded)
            )
            assert configuration.snapshot() == before
        if step.resend and len(sent) >= step.resend:
            command, first = sent[-step.resend]
            before = configuration.snapshot()
            assert configuration.apply(command) == first
            assert configuration.snapshot() == before
            continue
        command = _command(
            f"r{number}",
            max(configuration.version - step.behind, 0),
            _document(step.limit),
            author=f"operator{step.operator}",
        )
        current = configuration.version
        outcome = configuration.apply(command)
        sent.append((command, outcome))
        if isinstance(outcome, configurations.Accepted):
            assert outcome.version == current + 1 == command.base_version + 1
            assert command.base_version not in winners
            winners[command.base_version] = command
            versions.append(documents.decode(command.document_bytes))
        else:
            assert configuration.version == current
            stale = command.base_version != current
            assert isinstance(outcome, configurations.Conflict) == stale
        assert configuration.version == len(versions) - 1
        assert configuration.document == versions[-1]
        for version, document in enumerate(versions):
            delta = configuration.delta_since(version)
            assert (
                changes.apply_delta(document, delta) == configuration.document
            )


@hypothesis.settings(max_examples=100)
@hypothesis.given(
    strategies.lists(samples.drawn_documents(), min_size=2, max_size=5)
)
def test_combined_delta_covers_all_steps(drawn):
    # Guards against a combined delta that omits or misplaces entries.
    names = {}
    limits_changed = False
    for old, new in zip(drawn, drawn[1:]):
        found, limits = changes.touched_by(changes.make_delta(old, new))
        limits_changed = limits_changed or limits
        for section, touched in found.items():
            names.setdefault(section, set()).update(touched)
    delta = changes.combine_delta(names, limits_changed, drawn[-1])
    assert changes.apply_delta(drawn[0], delta) == drawn[-1]
