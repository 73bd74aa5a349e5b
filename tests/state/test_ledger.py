"""Tests of the ledger of protected calls."""

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from papayalink.state import ledger

KEYS = st.sampled_from(["k1", "k2"])
CLAIMS = st.sampled_from(["c1", "c2", "c3"])
BODIES = st.sampled_from(["b1", "b2"])


def _claim(claim="c1", body="b1", key="k1"):
    return ledger.Claim("w", key, body, claim, 1.0)


def _start(claim="c1", agent="a1", key="k1"):
    return ledger.Start("w", key, claim, agent, 2.0)


def _finish(claim="c1", key="k1"):
    return ledger.Finish("w", key, claim, 200, b"answer", 3.0)


def _withdraw(claim="c1", key="k1"):
    return ledger.Withdraw("w", key, claim, 2.5)


@pytest.mark.parametrize(
    "commands, outcomes",
    [
        ([_claim(), _start(), _finish()], ["Granted"] * 3),
        # A claim that is repeated after a lost reply is granted again.
        ([_claim(), _claim()], ["Granted", "Granted"]),
        ([_claim(), _claim("c2")], ["Granted", "Standing"]),
        ([_claim(), _claim("c2", "b2")], ["Granted", "Mismatch"]),
        ([_claim(), _start(), _start("c1", "a2")], ["Granted"] * 2 + [""]),
        ([_claim(), _withdraw(), _start()], ["Granted"] * 2 + [""]),
        ([_claim(), _start(), _withdraw()], ["Granted"] * 2 + [""]),
        # A delayed copy of a withdrawn claim must not restore it.
        ([_claim(), _withdraw(), _claim()], ["Granted"] * 2 + [""]),
        ([_claim(), _withdraw(), _claim("c2")], ["Granted"] * 3),
        ([_start()], ["Missing"]),
        # Only the current claim may be started.
        ([_claim(), _start("c2")], ["Granted", ""]),
        ([_claim(), _finish()], ["Granted", ""]),
    ],
)
def test_moves(commands, outcomes):
    """Guards against state transitions that are not allowed.

    The outcome "" stands for "Standing".
    """
    call_ledger = ledger.make_ledger()
    for command, expected in zip(commands, outcomes):
        outcome = call_ledger.apply(command)
        assert type(outcome).__name__ == (expected or "Standing")


def test_delayed_claim_stays_withdrawn_after_other_claims():
    """Guards against granting a claim that was reported as not run."""
    call_ledger = ledger.make_ledger()
    for claim in ("c1", "c2"):
        call_ledger.apply(_claim(claim))
        call_ledger.apply(_withdraw(claim))
    assert isinstance(call_ledger.apply(_claim("c1")), ledger.Standing)


def test_expiry_keeps_recently_changed_records():
    """Guards against expiry of a record that changed recently."""
    call_ledger = ledger.make_ledger()
    call_ledger.apply(_claim(key="old"))
    call_ledger.apply(_claim(key="moved"))
    call_ledger.apply(_start(key="moved"))
    call_ledger.apply(ledger.Expire(1.5))
    assert call_ledger.find("w", "old") is None
    assert isinstance(call_ledger.find("w", "moved"), ledger.Started)


@pytest.mark.parametrize("view_open", [False, True])
def test_expiry_removes_the_oldest_up_to_its_limit(view_open):
    """Guards against a command that blocks by removing too many records."""
    call_ledger = ledger.make_ledger()
    keys = [f"k{number}" for number in range(7)]
    for key in keys:
        call_ledger.apply(_claim(key=key))
    view = call_ledger.open_view() if view_open else None
    outcomes = []
    for remaining in (4, 1, 0, 0):
        outcomes.append(
            type(call_ledger.apply(ledger.Expire(1.5, 3))).__name__
        )
        assert len(call_ledger) == remaining
        found = [key for key in keys if call_ledger.find("w", key)]
        assert found == keys[7 - remaining :]
    assert outcomes == ["Unfinished"] * 2 + ["Granted"] * 2
    if view_open:
        assert [key for part in view.parts() for _, key, _ in part] == keys


COMMANDS = st.lists(
    st.one_of(
        st.builds(_claim, CLAIMS, BODIES, KEYS),
        st.builds(_start, CLAIMS, st.sampled_from(["a1", "a2"]), KEYS),
        st.builds(_finish, CLAIMS, KEYS),
        st.builds(_withdraw, CLAIMS, KEYS),
    ),
    max_size=30,
)


@given(COMMANDS)
def test_snapshot_holds_everything(commands):
    """Guards against a record that is lost in a restart."""
    call_ledger = ledger.make_ledger()
    for command in commands:
        call_ledger.apply(command)
    restored = ledger.make_ledger()
    restored.restore(list(call_ledger.open_view().parts()))
    parts = list(call_ledger.open_view().parts())
    assert list(restored.open_view().parts()) == parts


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Checks that no call starts twice, and that no withdrawn claim starts."""

    def __init__(self):
        super().__init__()
        self.ledger = ledger.make_ledger()
        self.starts = {}
        self.withdrawn = set()

    @stateful.rule(claim=CLAIMS, body=BODIES, key=KEYS)
    def claim(self, claim, body, key):
        self.ledger.apply(_claim(claim, body, key))

    @stateful.rule(claim=CLAIMS, key=KEYS, agent=st.integers(1, 9))
    def start(self, claim, key, agent):
        before = self.ledger.find("w", key)
        outcome = self.ledger.apply(_start(claim, f"a{agent}", key))
        if isinstance(outcome, ledger.Granted):
            assert before.claim_id == claim
            assert (key, claim) not in self.withdrawn
            self.starts[key] = self.starts.get(key, 0) + 1

    @stateful.rule(claim=CLAIMS, key=KEYS)
    def withdraw(self, claim, key):
        outcome = self.ledger.apply(_withdraw(claim, key))
        if isinstance(outcome, ledger.Granted):
            self.withdrawn.add((key, claim))

    @stateful.rule(claim=CLAIMS, key=KEYS)
    def finish(self, claim, key):
        before = self.ledger.find("w", key)
        outcome = self.ledger.apply(_finish(claim, key))
        if isinstance(outcome, ledger.Granted):
            assert isinstance(before, ledger.Started)

    @stateful.invariant()
    def each_call_starts_at_most_once(self):
        assert all(count == 1 for count in self.starts.values())


TestLedgerMachine = LedgerMachine.TestCase
