"""Tests of the numbered document and the named weight versions."""

from hypothesis import given
from hypothesis import strategies as st

from papayalink.state import machine as machines
from papayalink.state import numbered

_PUTS = st.builds(
    numbered.PutNumbered, st.integers(1, 5), st.binary(max_size=3)
)
_NAMES = st.builds(
    numbered.NameWeights, st.sampled_from("ab"), st.integers(1, 4)
)
_COMMANDS = st.lists(st.one_of(_PUTS, _NAMES), max_size=20)


@given(_COMMANDS)
def test_highest_number_wins_and_the_first_content_stays(commands):
    """Commands with a number that is not above the current have no effect."""
    state = numbered.make_numbered_document()
    first = {}
    newest = 0
    for command in commands:
        outcome = state.apply(command)
        if isinstance(command, numbered.PutNumbered):
            if command.number > newest:
                newest = command.number
                first[newest] = command.content
            assert outcome.number == newest
    assert state.number == newest
    assert state.content == first.get(newest, b"")


@given(_COMMANDS, _COMMANDS)
def test_snapshot_holds_the_state(before, after):
    """Guards against a restored member that diverges from the others."""
    original = machines.make_machine()
    for index, command in enumerate(before):
        original.apply(index, machines.encode_command(command))
    restored = machines.make_machine()
    restored.restore(list(original.snapshot()))
    for machine in (original, restored):
        for index, command in enumerate(after):
            machine.apply(index, machines.encode_command(command))
    assert restored.numbered.snapshot() == original.numbered.snapshot()


def test_weight_version_never_decreases():
    state = numbered.make_numbered_document()
    state.apply(numbered.NameWeights("m", 3))
    outcome = state.apply(numbered.NameWeights("m", 2))
    assert outcome == numbered.Stored(3, False)
    assert state.weights == {"m": 3}
