"""Tests of the replicated state machine's snapshots."""

from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.state import ledger
from papayalink.state import machine as machines
from papayalink.state import upstreams

_KEYS = st.sampled_from(["k1", "k2", "k3", "k4", "k5"])
_TIMES = st.floats(0, 9)
_COMMANDS = st.one_of(
    st.builds(ledger.Claim, st.just("w"), _KEYS, st.just("b"), _KEYS, _TIMES),
    st.builds(ledger.Start, st.just("w"), _KEYS, _KEYS, st.just("a"), _TIMES),
    st.builds(
        ledger.Finish,
        *(st.just("w"), _KEYS, _KEYS, st.just(200), st.binary(max_size=4)),
        _TIMES,
    ),
    st.builds(ledger.Withdraw, st.just("w"), _KEYS, _KEYS, _TIMES),
    st.builds(ledger.Expire, _TIMES, st.integers(0, 2)),
    st.builds(upstreams.MarkLeaving, _KEYS, st.just("operator")),
)
_LOG = st.lists(_COMMANDS.map(machines.encode_command), max_size=40)


def _machine(log=()):
    machine = machines.make_machine()
    for index, data in enumerate(log, 1):
        machine.apply(index, data)
    return machine


def _restored(parts):
    machine = machines.make_machine()
    machine.restore(parts)
    return machine


def _state(machine):
    """Returns: the whole state of a machine, with the order of records."""
    return list(machine.snapshot()), len(machine.ledger)


@given(
    _LOG,
    st.lists(st.tuples(_COMMANDS.map(machines.encode_command), st.booleans())),
    st.booleans(),
)
def test_snapshot_with_the_log_after_it_is_the_state(log, steps, abandoned):
    """Guards against a snapshot with later commands or without earlier ones.

    Commands are applied while the parts are read; the view may be closed
    before the last part.
    """
    with (
        mock.patch.object(ledger, "MAX_PART_RECORDS", 1),
        mock.patch.object(ledger, "_MERGED_PER_CHANGE", 1),
    ):
        machine = _machine(log)
        view = machine.snapshot()
        parts = []
        for index, (data, reads_part) in enumerate(steps):
            expected = _machine([*log, *(each for each, _ in steps[:index])])
            assert machine.apply(index, data) == expected.apply(index, data)
            if reads_part:
                parts.extend(part for part in [next(view, None)] if part)
        if abandoned:
            view.close()
        else:
            parts.extend(view)
            copy = _restored(parts)
            assert _state(copy) == _state(_machine(log))
            for index, (data, _) in enumerate(steps):
                copy.apply(index, data)
            assert _state(copy) == _state(machine)
        full_log = [*log, *(data for data, _ in steps)]
        assert _state(machine) == _state(_machine(full_log))


def _claims(*keys):
    return [
        machines.encode_command(ledger.Claim("w", key, "b", "c", 1.0))
        for key in keys
    ]


@pytest.mark.parametrize("event", ["restored", "second view"])
def test_parts_of_two_states_are_not_mixed(event):
    """Guards against a snapshot that continues after its view has ended."""
    machine = _machine(_claims("k1", "k2"))
    view = machine.snapshot()
    next(view)
    machine.apply(3, _claims("k3")[0])
    if event == "restored":
        machine.restore(list(_machine(_claims("k9")).snapshot()))
    else:
        assert len(list(machine.snapshot())) == 2
    with pytest.raises(RuntimeError):
        list(view)
    expected = ["k9"] if event == "restored" else ["k1", "k2", "k3"]
    assert _state(machine) == _state(_machine(_claims(*expected)))


def test_state_stays_whole_until_the_last_part_is_restored():
    """Guards against reads that see a partly restored snapshot."""
    machine = _machine(_claims("k1"))
    seen = []

    def parts():
        with mock.patch.object(ledger, "MAX_PART_RECORDS", 1):
            for part in _machine(_claims("k7", "k8")).snapshot():
                yield part
                seen.append(machine.ledger.find("w", "k1") is not None)

    machine.restore(parts())
    assert seen == [True, True, True]
    assert _state(machine) == _state(_machine(_claims("k7", "k8")))


def test_part_is_bounded_by_its_answers():
    """Guards against a part that is slow to encode due to large answers."""
    machine = _machine(_claims("k1", "k2", "k3"))
    for key in ("k1", "k2", "k3"):
        machine.ledger.apply(ledger.Start("w", key, "c", "a", 1.0))
        machine.ledger.apply(
            ledger.Finish(
                "w", key, "c", 200, b"x" * ledger.MAX_PART_ANSWER_BYTES, 1.0
            )
        )
    parts = list(machine.snapshot())[1:]
    assert max(map(len, parts)) < 1.5 * ledger.MAX_PART_ANSWER_BYTES
