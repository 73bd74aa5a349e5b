"""Tests of times that an event starts, at all who hold them.

They count from the event itself: not from a later one of the same kind, not
from when a process learned of it, and neither a start nor a change of leader
begins them anew.
"""

import pytest

from papayalink import node_settings
from papayalink.coordination import crash_suspects
from papayalink.coordination import fleet_member
from papayalink.coordination import lease
from papayalink.coordination import leaving_replicas
from papayalink.coordination import limits
from papayalink.coordination import named_limits
from papayalink.coordination import outliers
from papayalink.coordination import queueing
from papayalink.coordination import software_history
from papayalink.coordination import stream_origins
from papayalink.coordination import suspects
from papayalink.coordination import table_exchange
from papayalink.coordination import weight_history
from papayalink.coordination import work_queue
from papayalink.roles.gateway import budgets
from papayalink.state import ledger
from papayalink.state import replicas

# When the event happens. Tests look for its end in steps of this size.
_AT = 1000.0
_STEP_S = 0.125


def _ends_after_s(holds, longest_s=1000.0):
    """Returns: seconds after the event for which it holds, to a step."""
    steps = int(longest_s / _STEP_S)
    return next(
        (
            step * _STEP_S
            for step in range(steps)
            if not holds(_AT + step * _STEP_S)
        ),
        None,
    )


def _suspects():
    table = crash_suspects.make_crash_suspects()
    for number in range(3):
        table.note_crash(f"r{number}", ["bad"], True, _AT - 2 + number)
    return table


def _is_trial_due(now, table):
    # A look must not use the trial up.
    return table.retry_after_s("bad", now) == 0.0


def _member():
    return fleet_member.make_member(
        replicas.Replica(
            replica_id="r",
            service="s",
            address="10.0.0.1:80",
            zone="z",
            slots=1,
            condition=replicas.Condition.READY,
        )
    )


def _lease(*sent_at):
    held = lease.make_lease()
    for each in sent_at:
        held.confirm(each)
    return held


def _share(*sent_at):
    limiter = limits.InFlightLimiter(1000, sent_at[0])
    for each in sent_at[1:]:
        limiter.confirm(1000, each)
    return limiter


def _permits(*asked_at):
    member = _member()
    for each in asked_at:
        member.add_permits(1, each)
    return member


def _weights(*observed):
    history = weight_history.make_weight_history()
    for newest, at in observed:
        history.observe({"m": newest}, at)
    return history


def _ejection(*error_at):
    found = outliers.Outliers(1.0)
    found.evaluate(["u"], _AT)
    for _ in range(outliers.CONSECUTIVE_ERRORS):
        found.record("u", None, _AT)
    found.evaluate(["u"], _AT)
    for each in error_at:
        found.record("u", None, each)
        found.evaluate(["u"], each)
    return found


def _queue(*pushed_at):
    queue = queueing.make_queue((work_queue.Rank("urgent", 1.6),))
    for number, each in enumerate((_AT, *pushed_at)):
        item = work_queue.Item(str(number), "w", "urgent", 1, each + 1.5)
        queue.push(item, each)
    return queue


def _claim(*proposed_at):
    table = ledger.make_ledger()
    for each in (_AT, *proposed_at):
        table.apply(ledger.Claim("w", "k", "digest", "c1", each))
    return table


def _is_kept(now, table, retention_s=60.0):
    copy = ledger.make_ledger()
    copy.restore(list(table.open_view().parts()))
    copy.apply(ledger.Expire(now - retention_s))
    return len(copy) == 1


def _refuse(table):
    """Refuse calls with the blocked part all the time until its trial."""
    for second in range(4):
        assert not table.grant_trials(["bad"], _AT + second)
    return table


@pytest.mark.parametrize(
    ("make", "holds", "expected_s"),
    [
        (lambda: _lease(_AT, _AT - 2), lambda now, it: it.valid(now), 3.0),
        (lambda: _share(_AT, _AT - 2), lambda now, it: it.acquire(now), 3.0),
        (
            lambda: _permits(_AT, _AT + 0.5),
            lambda now, it: it.permits(now) == 2 or now < _AT + 0.5,
            fleet_member.PERMIT_LIFETIME_S,
        ),
        (
            # Versions 3 and 4 are named before 2 is replaced everywhere.
            lambda: _weights((2, _AT), (3, _AT + 1), (4, _AT + 5)),
            lambda now, it: it.outdated_s("m", 2, now) < 10.0,
            10.0,
        ),
        (
            lambda: _ejection(_AT + 1, _AT + 4),
            lambda now, it: it.ejected(now) == ["u"],
            outliers.FIRST_EJECTION_S,
        ),
        (
            lambda: _queue(_AT + 1),
            lambda now, it: not it.take_expired(now),
            1.5,
        ),
        (lambda: _claim(_AT + 30), _is_kept, 60.0),
        (
            lambda: _refuse(_suspects()),
            lambda now, it: not _is_trial_due(now, it),
            suspects.FIRST_TRIAL_S,
        ),
    ],
    ids=[
        "lease",
        "share-of-a-limit",
        "permit",
        "replaced-weights",
        "ejection",
        "deadline-in-a-queue",
        "claim",
        "trial",
    ],
)
def test_time_does_not_start_anew_with_a_later_event(make, holds, expected_s):
    """Guards against limits that never end as events go on."""
    held = make()
    ended_s = _ends_after_s(lambda now: holds(now, held))
    assert ended_s == pytest.approx(expected_s, abs=2 * _STEP_S)


# Name of each table, what happens there, and what holds for how long.
_TABLES = {
    "limits": (
        lambda tables: tables.limits.note("r", 4.0, _AT, _AT),
        lambda now, tables: tables.limits.limit_per_s("r") is not None,
        named_limits.KEEP_S,
    ),
    "leaving": (
        lambda tables: tables.leaving.note("r", _AT),
        lambda now, tables: tables.leaving.is_leaving("r"),
        leaving_replicas.KEEP_S,
    ),
    "origins": (
        lambda tables: tables.origins.note("c", "s", "v1", _AT),
        lambda now, tables: tables.origins.find("c", now) is not None,
        stream_origins.STREAM_LIFETIME_S,
    ),
    "suspects": (
        lambda tables: [
            tables.suspects.note_crash(f"r{n}", ["bad"], True, _AT - n)
            for n in range(3)
        ],
        lambda now, tables: tables.suspects.retry_after_s("bad", now) > 0,
        suspects.FIRST_TRIAL_S,
    ),
    "software": (
        lambda tables: tables.software.note({"s": {"v1"}}, _AT),
        lambda now, tables: not tables.software.settled("s", now),
        software_history.SETTLED_S,
    ),
    "weights": (
        lambda tables: (
            tables.weights.observe({"m": 8}, _AT),
            tables.weights.observe({"m": 9}, _AT + 0.1),
        ),
        lambda now, tables: _outdated_s(tables, now) < 10.0,
        10.0,
    ),
}


def _outdated_s(tables, now):
    """Returns: age of version 8 for one who knows that 9 is the newest."""
    tables.weights.observe({"m": 9}, now)
    return tables.weights.outdated_s("m", 8, now)


def _learn_late(tables):
    """A process asks at once, and reads the reply four seconds later."""
    learned = table_exchange.make_table_set()
    exchange = table_exchange.make_table_exchange(learned)
    told = exchange.report(_AT + 0.2)
    reply = tables.answer(told, _AT + 0.2)
    exchange.merge(reply, _AT + 0.2, _AT + 4.2)
    return learned


def _start(tables):
    """A process starts a second later, and asks then."""
    learned = table_exchange.make_table_set()
    exchange = table_exchange.make_table_exchange(learned)
    reply = tables.answer(exchange.report(_AT + 1.2), _AT + 1.2)
    exchange.merge(reply, _AT + 1.2, _AT + 1.2)
    return learned


def _change_leader(tables):
    """A member follows the leader, leads, and tells it to an entry."""
    return _start(_learn_late(tables))


def _stand_still(tables):
    """A member reads what it was told after four seconds."""
    learned = table_exchange.make_table_set()
    # It knows the newest weights from the control group.
    learned.weights.observe({"m": 8}, _AT)
    learned.weights.observe({"m": 9}, _AT + 0.1)
    exchange = table_exchange.make_table_exchange(tables)
    learned.answer(exchange.report(_AT + 0.2), _AT + 4.2)
    return learned


@pytest.mark.parametrize("name", _TABLES)
@pytest.mark.parametrize(
    ("pass_on", "later_s"),
    [
        (lambda tables: tables, 0.0),
        (_learn_late, 0.0),
        (_start, 0.0),
        (_change_leader, 0.0),
        (_stand_still, 4.0),
    ],
    ids=["own", "learned-late", "started", "leader-changed", "stood-still"],
)
def test_time_does_not_start_anew_where_it_is_learned(name, pass_on, later_s):
    """Guards against limits that count from when a process learned of them.

    What waits at a member that stands still may count for as much longer, and
    what an entry learns late of software may settle as much later. Old weights
    must not be used for longer by anyone.
    """
    begin, holds, expected_s = _TABLES[name]
    tables = table_exchange.make_table_set()
    begin(tables)
    learned = pass_on(tables)

    def holds_still(now):
        learned.expire(now)
        # Those who learn do so within 4.2 s of the event.
        return holds(now, learned) or (
            learned is not tables and now < _AT + min(4.25, expected_s)
        )

    ended_s = _ends_after_s(holds_still)
    latest_s = expected_s
    if name == "software":
        latest_s += 4.0
    elif name != "weights":
        latest_s += later_s
    assert expected_s - 2 * _STEP_S <= ended_s <= latest_s + 2 * _STEP_S


@pytest.mark.parametrize(
    ("usable", "expected"),
    [
        (lambda: lease.make_lease().valid(_AT), False),
        (lambda: _permits().permits(_AT), 0),
        (
            lambda: _weights((9, _AT)).outdated_s("m", 8, _AT),
            float("inf"),
        ),
        (
            lambda: software_history.make_software_history().only_version(
                "s", _AT
            ),
            None,
        ),
        (
            lambda: named_limits.make_permit_source(_limited()).grant(
                [("r", 9)], _AT
            ),
            (),
        ),
    ],
    ids=["lease", "permit", "replaced-weights", "software", "permits-to-give"],
)
def test_nothing_is_allowed_by_a_start_alone(usable, expected):
    """Guards against limits that a restart or a new leader begins anew."""
    assert usable() == expected


def _limited():
    known = named_limits.make_named_limits()
    known.note("r", 4.0, _AT, _AT)
    return known


def test_new_leader_grants_no_trial_anew():
    table = _suspects()
    assert table.grant_trials(["bad"], _AT + 5) == ["bad"]
    successor = crash_suspects.make_crash_suspects()
    successor.merge(table.encode(_AT + 6), _AT + 6)
    delay_s = suspects.FIRST_TRIAL_S * suspects.TRIAL_FACTOR
    assert not successor.grant_trials(["bad"], _AT + 4 + delay_s)
    assert successor.grant_trials(["bad"], _AT + 6 + delay_s) == ["bad"]


def test_restart_gives_no_retries_anew():
    """Guards against a retry allowance that a start within its window renews.

    All entries together keep to the allowance in any window.
    """
    bounds = node_settings.Bounds(
        retry_ratio=0.0, retry_slack=10.0, retry_window_s=10.0
    )
    taken = 0
    for started_at in (_AT, _AT + 3):
        shares = budgets.make_budgets(bounds, lambda: 1.0, started_at)
        budget = shares.for_service("s", started_at)
        while budget.take(started_at):
            taken += 1
    assert taken <= 10
