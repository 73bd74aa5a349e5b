"""Tests of old weights that are known to be old with a delay."""

import random

import gevent
import pytest

from papayalink.protocol import messages
from papayalink.state import machine as machines
from papayalink.state import numbered
from tests.roles.gateway import test_old_weights as old_weights

clock = old_weights.clock
_LIMIT_S = old_weights._LIMIT_S


class _SlowEntry(old_weights._Entry):
    """An entry whose requests arrive late, and whose replies do not."""

    def __init__(self, group, versions, clock, delays):
        self._clock = clock
        self._delays = delays
        super().__init__(group, versions)

    def _ask(self, address, method, message, timeout_s):
        self._clock(next(self._delays))
        return super()._ask(address, method, message, timeout_s)


def _delays(seed, max_delay_s):
    rng = random.Random(seed)
    while True:
        yield rng.uniform(0.0, max_delay_s)


# Guards against prompts on weights that were replaced longer ago than allowed,
# because what entries told a member counted from when it read that.
@pytest.mark.parametrize(
    ("max_delay_s", "entries"),
    [(0.0, 3), (0.05, 3), (0.2, 3), (0.2, 6), (0.8, 2)],
)
def test_delays_of_reports_do_not_prolong_the_use_of_old_weights(
    clock, max_delay_s, entries
):
    group = old_weights._Group()
    delays = _delays(1, max_delay_s)
    watched = old_weights._Entry(group, (1, 2))
    others = [_SlowEntry(group, (1, 2), clock, delays) for _ in range(entries)]
    for entry in [watched, *others]:
        entry.exchange()
    group.name(2)
    named_at = clock()
    while clock() - named_at < 2 * _LIMIT_S:
        clock(0.05)
        for entry in [watched, *others]:
            entry.exchange()
        now = clock()
        if now - named_at >= _LIMIT_S:
            assert watched.may_use(now) == ["v2"], now - named_at


class _FrozenEntry(old_weights._Entry):
    """An entry that stands still before it reads the next reply."""

    def __init__(self, group, versions, clock):
        self._clock = clock
        self.frozen_s = 0.0
        self.meanwhile = lambda: None
        super().__init__(group, versions)

    def _ask(self, address, method, message, timeout_s):
        reply = super()._ask(address, method, message, timeout_s)
        if method == "Watch":
            self.meanwhile()
            self._clock(self.frozen_s)
        return reply


# Guards against the same at an entry that stood still before it read a reply.
@pytest.mark.parametrize(
    "naming", ["named-before-the-request", "named-after-the-reply"]
)
def test_frozen_entry_does_not_prolong_the_use_of_old_weights(clock, naming):
    group = old_weights._Group()
    other = old_weights._Entry(group, (1, 2))
    other.exchange()
    entry = _FrozenEntry(group, (1, 2), clock)
    entry.exchange()
    if naming == "named-before-the-request":
        group.name(2)
        other.exchange()
    else:
        entry.meanwhile = lambda: group.name(2)
    named_at = clock()
    entry.frozen_s = 6.0
    entry.exchange()
    entry.frozen_s = 0.0
    entry.meanwhile = lambda: None
    clock(_LIMIT_S - 6.0)
    entry.exchange()
    assert clock() - named_at >= _LIMIT_S
    assert entry.may_use(clock()) == ["v2"]


# Guards against the same through a member that stood still while it confirmed
# its state.
def test_frozen_confirmation_does_not_prolong_the_use_of_old_weights(clock):
    group = old_weights._Group()
    entry = old_weights._Entry(group, (1, 2))
    entry.exchange()
    confirm_read = group.state.replica.confirm_read
    group.state.replica.confirm_read = lambda timeout_s: clock(6.0)
    # Another member commits the version meanwhile; this one applies it later.
    named_at = clock()
    entry.exchange()
    group.state.replica.confirm_read = confirm_read
    group.state.commit(machines.encode_command(numbered.NameWeights("m", 2)))
    late = old_weights._Entry(group, (1, 2))
    late.exchange()
    clock(_LIMIT_S - 6.0)
    late.exchange()
    assert clock() - named_at >= _LIMIT_S
    assert late.may_use(clock()) == ["v2"]


# Guards against refused prompts, because only entries that have ended know
# when weights were replaced.
def test_member_knows_by_itself_when_weights_were_replaced(clock):
    group = old_weights._Group()
    entry = old_weights._Entry(group, (1,))
    entry._process._watcher._watch("a1")
    group.name(2)
    entry._process._watcher._watch("a1")
    clock(4.0)
    entry = old_weights._Entry(group, (1,))
    entry.exchange()
    assert entry.may_use(clock()) == ["v1"]


# Guards against prompts that are not woken when what they wait for has come.
def test_watcher_wakes_those_who_wait_for_a_change():
    group = old_weights._Group()
    process = old_weights._Entry(group, (1,))._process
    waiting = gevent.spawn(process._fleet.changed.wait, 60.0)
    gevent.sleep(0)
    process._watcher._watch("a1")
    assert waiting.get(timeout=10)


# Guards against the same through a member that stood still before it read a
# report.
@pytest.mark.parametrize("frozen_s", [0.0, 3.0, 6.0])
def test_frozen_member_does_not_prolong_the_use_of_old_weights(
    clock, frozen_s
):
    group = old_weights._Group()
    entry = old_weights._Entry(group, (1, 2))
    entry.exchange()
    group.name(2)
    named_at = clock()
    entry._process._watcher._watch("a1")
    report = entry._process._parts._table_exchange.report(clock())
    # The member is frozen before it reads the report.
    clock(frozen_s)
    group.service.share_tables(messages.ShareTables(report))
    clock(_LIMIT_S - frozen_s)
    entry.exchange()
    assert clock() - named_at >= _LIMIT_S
    assert entry.may_use(clock()) == ["v2"]
