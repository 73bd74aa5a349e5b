"""Tests of what repeats cost, from the decision to the arrival."""

from types import SimpleNamespace

import pytest

from papayalink.coordination import fleet_member
from papayalink.coordination import retry
from papayalink.roles.gateway import repeat_charges
from papayalink.state import replicas

WINDOW_S = 10.0


class _Clock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = _Clock()
    monkeypatch.setattr(repeat_charges, "time", clock)
    return clock


class _Fleet:
    """Replicas of a gateway, and the calls that it sends them."""

    def __init__(self):
        # A budget counts over two of its windows.
        self.budget = retry.Budget(0.0, 10, WINDOW_S / 2)
        self._members = {}
        for name in ("a", "b"):
            self.replace(name)

    def __getitem__(self, name):
        return self._members[name]

    def replace(self, name):
        """Let a replica of the name start again."""
        self._members[name] = fleet_member.make_member(
            replicas.Replica(
                replica_id=name,
                service="desk",
                address="10.0.0.1:80",
                zone="z",
                slots=1,
                condition=replicas.Condition.READY,
            )
        )

    def make_charges(self):
        return repeat_charges.make_repeat_charges(
            SimpleNamespace(find=self._members.get),
            SimpleNamespace(for_service=lambda service, now: self.budget),
            "desk",
        )

    def repeat(self, unread):
        """Send a call to both replicas, of which the first may not read."""
        charges = self.make_charges()
        charges.note_sending(self["a"])
        if not unread:
            charges.note_read()
        assert charges.reserve()
        charges.note_sending(self["b"])
        charges.note_read()
        charges.close()

    def answer(self, name, now):
        self[name].answered_at = now


# Guards against repeats of more than a window that arrive within one: calls
# that were given up lie at a replica that stands still and reads them later.
def test_charge_counts_for_a_window_after_a_late_arrival(clock):
    fleet = _Fleet()
    fleet.repeat(unread=True)
    clock.now += 15.0
    assert fleet.budget.used(clock.now) == 1
    fleet.answer("a", clock.now)
    clock.now += 0.1
    assert fleet.budget.used(clock.now) == 1
    clock.now += WINDOW_S - 1.0
    assert fleet.budget.used(clock.now) == 1
    clock.now += 2.0
    assert fleet.budget.used(clock.now) == 0


def _answer(fleet, clock):
    fleet.answer("a", clock.now)


def _restart(fleet, clock):
    fleet.replace("a")


def _stay_silent(fleet, clock):
    clock.now += repeat_charges.MAX_HELD_S


# Guards against a budget that is used up for good by calls that will never
# arrive.
@pytest.mark.parametrize("event", [_answer, _restart, _stay_silent])
def test_charge_ends(clock, event):
    fleet = _Fleet()
    fleet.repeat(unread=True)
    clock.now += 1.0
    event(fleet, clock)
    assert fleet.budget.used(clock.now + 0.1) == 1
    assert fleet.budget.used(clock.now + WINDOW_S + 1.0) == 0


def test_charge_of_a_repeat_that_was_read_lasts_for_a_window(clock):
    fleet = _Fleet()
    fleet.repeat(unread=False)
    assert fleet.budget.used(clock.now + WINDOW_S - 1.0) == 1
    assert fleet.budget.used(clock.now + WINDOW_S + 1.0) == 0


# Guards against repeats that are counted when they are decided, and arrive
# after waits for a replica or a connection.
def test_charge_counts_for_a_window_after_the_sending(clock):
    fleet = _Fleet()
    charges = fleet.make_charges()
    charges.note_sending(fleet["a"])
    charges.note_read()
    assert charges.reserve()
    clock.now += 3.0
    charges.note_sending(fleet["b"])
    charges.note_read()
    charges.close()
    assert fleet.budget.used(clock.now + WINDOW_S - 1.0) == 1


# Guards against charges that no end of a call gives back.
@pytest.mark.parametrize("sends_repeat", [False, True])
def test_charge_of_a_repeat_that_is_not_sent_is_given_back(
    clock, sends_repeat
):
    fleet = _Fleet()
    charges = fleet.make_charges()
    charges.note_sending(fleet["a"])
    charges.note_read()
    assert charges.reserve()
    if sends_repeat:
        charges.note_sending(fleet["b"])
    charges.close()
    assert fleet.budget.used(clock.now) == (1 if sends_repeat else 0)


def test_budget_is_charged_once_for_each_attempt(clock):
    fleet = _Fleet()
    charges = fleet.make_charges()
    charges.note_sending(fleet["a"])
    assert charges.reserve() and charges.reserve()
    assert fleet.budget.used(clock.now) == 1


# Guards against an attempt that is stopped so that another one follows, while
# other calls use up the budget: what is held is there when it is needed.
@pytest.mark.parametrize(
    ("is_needed", "used"),
    [(True, 1), (False, 0)],
    ids=["needed", "not needed"],
)
def test_secured_repeat(clock, is_needed, used):
    fleet = _Fleet()
    charges = fleet.make_charges()
    assert charges.secure()
    assert charges.secure()
    assert fleet.budget.used(clock.now) == 1
    charges.note_sending(fleet["a"])
    while fleet.budget.take(clock.now):
        pass
    assert charges.has_room()
    others = fleet.budget.used(clock.now) - 1
    if is_needed:
        assert charges.reserve()
        charges.note_sending(fleet["b"])
    charges.note_read()
    charges.close()
    assert fleet.budget.used(clock.now) == others + used


# Guards against room that stays held after the calls that it was held for.
def test_secured_repeats_are_given_back(clock):
    fleet = _Fleet()
    charges = [fleet.make_charges() for _ in range(10)]
    # The last place is for calls that have failed.
    assert [each.secure() for each in charges] == [True] * 9 + [False]
    assert charges[-1].reserve()
    assert not fleet.make_charges().reserve()
    for each in charges:
        each.close()
    assert fleet.budget.used(clock.now) == 0
    assert charges[-1].secure()
