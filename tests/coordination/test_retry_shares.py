"""Tests of the shares of the constant part of the retry allowance."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.coordination import retry_shares

WINDOW_S = 10.0
ENTRIES = 4
MEMBERS = 3


class _Entry:
    """An entry, and the shares that it could use at some time."""

    def __init__(self):
        self.share = 0.0
        self.asked_at = float("-inf")
        # (share, from, until)
        self.usable = []

    def held(self, now):
        leased = now - self.asked_at < retry_shares.LEASE_S
        return self.share if leased else 0.0

    def apply(self, share, now):
        if self.usable:
            last, begin, until = self.usable[-1]
            self.usable[-1] = (last, begin, min(until, now))
        self.share, self.asked_at = share, now
        self.usable.append((share, now, now + retry_shares.LEASE_S))

    def most_in_window(self, now):
        return max(
            (
                share
                for share, begin, until in self.usable
                if until > now - WINDOW_S and begin <= now
            ),
            default=0.0,
        )


class _Group:
    """Members, of which one leads, and others may still believe that."""

    def __init__(self):
        self.now = 100.0
        self.term = 1
        self.leader = 0
        # By member: its term, and when it learns that it leads no more.
        self.terms = {0: (1, float("inf"))}
        self.shares = [
            retry_shares.make_retry_shares(WINDOW_S) for _ in range(MEMBERS)
        ]
        self.entries = [_Entry() for _ in range(ENTRIES)]

    def elect(self, member):
        deposed_until = self.now + retry_shares.MAX_DEPOSED_S
        self.terms = {
            each: (term, min(until, deposed_until))
            for each, (term, until) in self.terms.items()
            if each != member
        }
        self.term += 1
        self.leader = member
        self.terms[member] = (self.term, float("inf"))

    def ask(self, index, member):
        """Let an entry ask a member, as the service answers it."""
        term, until = self.terms.get(member, (0, float("-inf")))
        if self.now >= until:
            return
        entry, name = self.entries[index], f"e{index}"
        shares, held = self.shares[member], entry.held(self.now)
        share = shares.find_share(name, held, term, self.now)
        if share > held and member != self.leader:
            return
        shares.grant(name, share, self.now)
        entry.apply(share, self.now)

    def restart(self, index):
        """Let an entry forget its share, which it may have used."""
        entry = self.entries[index]
        entry.share, entry.asked_at = 0.0, float("-inf")

    def total(self):
        return sum(each.most_in_window(self.now) for each in self.entries)


_STEPS = st.one_of(
    st.tuples(
        st.just("ask"),
        st.integers(0, ENTRIES - 1),
        st.integers(0, MEMBERS - 1),
    ),
    st.tuples(st.just("ask_leader"), st.integers(0, ENTRIES - 1)),
    st.tuples(st.just("elect"), st.integers(0, MEMBERS - 1)),
    st.tuples(st.just("restart"), st.integers(0, ENTRIES - 1)),
    st.tuples(st.just("pass"), st.sampled_from([0.2, 1.0, 4.9, 10.0, 18.0])),
)


# Guards against entries that divide the allowance by numbers that different
# members heard, on the sides of a cut or around a change of leader.
@given(st.lists(_STEPS, max_size=60))
def test_shares_of_all_entries_add_up_to_one_at_most(steps):
    group = _Group()
    for kind, *arguments in steps:
        match kind:
            case "ask":
                group.ask(*arguments)
            case "ask_leader":
                group.ask(*arguments, group.leader)
            case "elect":
                group.elect(*arguments)
            case "restart":
                group.restart(*arguments)
            case "pass":
                group.now += arguments[0]
        assert group.total() <= 1 + 1e-9


def _ask_all(group, indexes, seconds):
    """Let entries ask the leader five times a second."""
    for _ in range(int(seconds * 5)):
        group.now += 0.2
        for index in indexes:
            group.ask(index, group.leader)


@pytest.mark.parametrize("entries", [1, 2, ENTRIES])
def test_entries_share_the_whole(entries):
    group = _Group()
    _ask_all(group, range(entries), 20.0)
    for index in range(entries):
        share = group.entries[index].held(group.now)
        assert share == pytest.approx(1 / entries)


def test_shares_last_over_a_change_of_leader():
    group = _Group()
    _ask_all(group, range(2), 20.0)
    group.elect(1)
    group.now += 1.0
    _ask_all(group, range(2), 0.2)
    for index in range(2):
        assert group.entries[index].held(group.now) == pytest.approx(0.5)


def test_share_of_an_entry_that_is_gone_is_used_again():
    group = _Group()
    _ask_all(group, range(2), 20.0)
    _ask_all(group, [0], 10.0)
    assert group.entries[0].held(group.now) == pytest.approx(0.5)
    _ask_all(group, [0], 10.0)
    assert group.entries[0].held(group.now) == pytest.approx(1.0)


def test_new_entry_gets_a_share():
    group = _Group()
    _ask_all(group, [0], 20.0)
    _ask_all(group, range(2), 20.0)
    for index in range(2):
        assert group.entries[index].held(group.now) == pytest.approx(0.5)


def test_entry_that_starts_again_gets_its_share_back():
    group = _Group()
    _ask_all(group, range(2), 20.0)
    group.restart(0)
    _ask_all(group, range(2), 0.2)
    assert group.entries[0].held(group.now) == pytest.approx(0.5)
