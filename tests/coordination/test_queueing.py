"""Tests of the request queue of one agent."""

import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.coordination import errors
from papayalink.coordination import queueing
from papayalink.coordination import work_queue

RANKS = (
    work_queue.Rank("urgent", 1.6, weight=3.0, min_share=0.5),
    work_queue.Rank("deferrable", 30.0, weight=1.0, min_share=0.2),
)
OWED = 0.2 + 0.3 / 4


def _item(number, workspace="a", rank="urgent", tokens=100, deadline=None):
    return work_queue.Item(str(number), workspace, rank, tokens, deadline)


def _serve(queue, count, now=0.0):
    """Pop and finish up to `count` items.

    Returns: the items, in the order of service.
    """
    served = []
    for _ in range(count):
        item = queue.pop(now)
        if item is None:
            break
        queue.finish(item, item.tokens, now)
        served.append(item)
    return served


@pytest.mark.parametrize(
    "records, expected",
    [
        ([("a", 3.0, 0.5), ("b", 1.0, 0.3)], [0.65, 0.35]),
        ([("a", 0.0, 0.5), ("b", 0.0, 0.1)], [0.7, 0.3]),
        ([("a", 1.0, 1.0), ("b", 1.0, 0.0)], [1.0, 0.0]),
        ([("a", 1.0, 0.7), ("b", 1.0, 0.4)], None),
        ([("a", 1.0, 0.1), ("a", 1.0, 0.1)], None),
        ([("a", -1.0, 0.1)], None),
        ([], None),
    ],
)
def test_owed_shares(records, expected):
    # Guards against a document that guarantees more than the whole service.
    ranks = [work_queue.Rank(n, 1.0, w, m) for n, w, m in records]
    if expected is None:
        with pytest.raises(errors.InvalidRanks):
            queueing.make_queue(ranks)
    else:
        assert work_queue.owed_shares(ranks) == pytest.approx(expected)


def test_urgent_goes_first_after_other_rank_was_served_alone():
    # Guards against a rank that was just served alone delaying urgent work.
    queue = queueing.make_queue(RANKS)
    for number in range(40):
        queue.push(_item(number, rank="deferrable"), 0.0)
    _serve(queue, 20)
    for number in range(100, 105):
        queue.push(_item(number), 0.0)
    assert [item.rank for item in _serve(queue, 5)] == ["urgent"] * 5


@hypothesis.given(
    st.lists(st.integers(1, 400), min_size=30, max_size=80),
    st.lists(st.integers(1, 400), min_size=30, max_size=80),
    st.integers(0, 20),
)
def test_other_rank_keeps_its_share_under_urgent_overload(
    urgent, other, head_start
):
    # Guards against starvation of the other rank under urgent overload.
    queue = queueing.make_queue(RANKS)
    for number, tokens in enumerate(other):
        queue.push(_item(f"d{number}", "b", "deferrable", tokens), 0.0)
    lead = sum(item.tokens for item in _serve(queue, head_start))
    for number, tokens in enumerate(urgent):
        queue.push(_item(f"u{number}", "a", "urgent", tokens), 0.0)
    total, other_tokens = lead, 0
    # The rank may wait until it is owed all tokens of its next item, and one
    # urgent item may have been charged since.
    slack = 400 * (1 + OWED) + 1e-6
    while queue.depth("urgent") and queue.depth("deferrable"):
        item = _serve(queue, 1)[0]
        total += item.tokens
        other_tokens += item.tokens * (item.rank == "deferrable")
        # The lead is limited to the tokens of one window.
        assert other_tokens >= OWED * (total - lead) - OWED * lead - slack
    # The other rank gets no more than it is owed while urgent work waits.
    if not queue.depth("deferrable"):
        return
    assert other_tokens <= OWED * (total - lead) + slack


def test_lead_is_forgotten_after_a_window():
    # Guards against starving the other rank, after a long time without urgent
    # work, for as long as it was served alone.
    queue = queueing.make_queue(RANKS, work_queue.Bounds(9999, 10**9, 9999))
    for number in range(3000):
        queue.push(_item(f"d{number}", "b", "deferrable"), 0.0)
    for step in range(1000):
        _serve(queue, 1, step * 0.1)
    for number in range(1000):
        queue.push(_item(f"u{number}"), 100.0)
    served = []
    for step in range(400):
        served += _serve(queue, 1, 100.0 + step * 0.1)
    other_tokens = sum(item.rank == "deferrable" for item in served)
    assert other_tokens >= OWED * (400 - 2 * 20) - 1


@hypothesis.given(
    st.dictionaries(
        st.sampled_from("abcdef"),
        st.lists(st.integers(1, 500), min_size=20, max_size=40),
        min_size=2,
    ),
    st.sampled_from([0.25, 1.0, 3.0]),
    st.integers(1, 6),
)
def test_backlogged_workspaces_share_by_tokens(work, factor, slots):
    # Guards against a caller that gets more service by large, many or wrongly
    # estimated requests: the difference never exceeds a few requests.
    queue = queueing.make_queue(RANKS)
    for workspace, sizes in sorted(work.items()):
        for number, tokens in enumerate(sizes):
            queue.push(_item(f"{workspace}{number}", workspace), 0.0)
    served = dict.fromkeys(work, 0)
    running = []
    while all(queue._ranks["urgent"].workspaces[name].items for name in work):
        item = queue.pop(0.0)
        running.append(item)
        if len(running) == slots:
            done = running.pop(0)
            name, number = done.workspace, int(done.request_id[1:])
            taken = int(work[name][number] * factor)
            served[name] += taken
            queue.finish(done, taken, 0.0)
            spread = max(served.values()) - min(served.values())
            assert spread <= (slots + 1) * (500 * max(1, factor) + 100)


def test_idle_workspace_accumulates_no_credit():
    # Guards against a returning caller that delays callers without a pause.
    queue = queueing.make_queue(RANKS)
    for number in range(30):
        queue.push(_item(f"a{number}", "a"), 0.0)
    queue.push(_item("b0", "b"), 0.0)
    _serve(queue, 20)
    for number in range(1, 11):
        queue.push(_item(f"b{number}", "b"), 0.0)
    order = "".join(item.workspace for item in _serve(queue, 10))
    assert order.count("b") <= 6


def test_rank_without_work_accumulates_no_credit():
    # Guards against a rank whose new work delays urgent work after a pause.
    queue = queueing.make_queue(RANKS)
    for number in range(150):
        queue.push(_item(f"u{number}"), 0.0)
    queue.push(_item("d", "b", "deferrable", 10_000), 0.0)
    _serve(queue, 50)
    queue.remove("d")
    for number in range(20):
        queue.push(_item(f"d{number}", "b", "deferrable"), 0.0)
    ranks = [item.rank for item in _serve(queue, 10)]
    assert ranks.count("deferrable") <= 3


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "pop", "finish", "remove", "expire"]),
        st.sampled_from("abc"),
        st.sampled_from(["urgent", "deferrable"]),
        st.integers(1, 60),
        st.sampled_from([None, 1.0, 3.0]),
    ),
    min_size=40,
    max_size=120,
)


@hypothesis.given(OPERATIONS, st.sampled_from([None, 2, 4]))
def test_each_item_leaves_once_and_bounds_hold(operations, slots):
    # Guards against lost or duplicated requests and unbounded memory.
    bounds = work_queue.Bounds(6, 150, 4, 100)
    queue = queueing.make_queue(RANKS, bounds, slots)
    pushed_ids, removed_items, running = set(), [], []
    for step, (action, workspace, rank, tokens, wait) in enumerate(operations):
        now = step * 0.5
        if action == "push":
            deadline = None if wait is None else now + wait
            pushed_ids.add(str(step))
            outcome = queue.push(
                _item(step, workspace, rank, tokens, deadline), now
            )
            removed_items += outcome.shed
        elif action == "pop":
            item = queue.pop(now)
            if item is not None:
                assert item.deadline is None or item.deadline > now
                removed_items.append(item)
                running.append(item)
        elif action == "finish" and running:
            queue.finish(running.pop(0), tokens, now)
        elif action == "remove" and pushed_ids:
            removed = queue.remove(sorted(pushed_ids)[step % len(pushed_ids)])
            removed_items += [removed] if removed else []
        elif action == "expire":
            removed_items += queue.take_expired(now)
        for name in ("urgent", "deferrable"):
            assert queue.depth(name) <= 6
            assert queue.queued_tokens(name) <= 150
    queue.set_slots(None)
    removed_items += queue.take_expired(1000.0)
    removed_items += _serve(queue, 100, 1000.0)
    removed_items += queue.update_ranks([work_queue.Rank("new", 1.0)])
    assert sorted(item.request_id for item in removed_items) == sorted(
        pushed_ids
    )


@pytest.mark.parametrize(
    "workspace, accepted, shed",
    [("small", True, ["6"]), ("large", False, ["new"])],
)
def test_sheds_from_the_largest_workspace(workspace, accepted, shed):
    # Guards against small callers that are shed because of a large one.
    queue = queueing.make_queue(RANKS, work_queue.Bounds(items_per_rank=8))
    for number in range(7):
        queue.push(_item(number, "large"), 0.0)
    queue.push(_item("s", "small"), 0.0)
    outcome = queue.push(_item("new", workspace), 0.0)
    assert outcome.accepted is accepted
    assert [item.request_id for item in outcome.shed] == shed
    assert queue.depth("urgent") == 8
    served = {item.request_id for item in _serve(queue, 20)}
    assert served.isdisjoint(shed) and len(served) == 8


@pytest.mark.parametrize(
    "tokens, accepted, shed",
    [(100, True, []), (150, True, ["3"]), (600, False, ["new"])],
)
def test_token_bound(tokens, accepted, shed):
    # Guards against a few large requests that exceed the bound on tokens.
    bounds = work_queue.Bounds(tokens_per_rank=600, tokens_per_workspace=500)
    queue = queueing.make_queue(RANKS, bounds)
    for number in range(4):
        queue.push(_item(number, "large"), 0.0)
    queue.push(_item("s", "small"), 0.0)
    outcome = queue.push(_item("new", "small", tokens=tokens), 0.0)
    assert outcome.accepted is accepted
    assert [item.request_id for item in outcome.shed] == shed
    assert queue.queued_tokens("urgent") <= 600


@pytest.mark.parametrize(
    "levels, busy_s, held",
    [
        # Constant concurrency needs hardly more than its mean.
        ((3,), 60, 4),
        # Mean 3 plus 1.5 deviations of 1.
        ((2, 4), 60, 5),
        # The same, measured over a short time only.
        ((2, 4), 2, 5),
        # Bursts need more slots than steady work with the same mean.
        ((0, 0, 3), 60, 4),
    ],
)
def test_slots_are_reserved_for_urgent_work(levels, busy_s, held):
    # Guards against long requests of the other rank in every slot, and
    # against reserved slots that are not needed.
    queue = queueing.make_queue(RANKS, slots=8)
    running = []
    for second in [*range(busy_s), busy_s]:
        level = levels[second % len(levels)] if second < busy_s else 0
        while len(running) > level:
            queue.finish(running.pop(), 100, float(second))
        while len(running) < level:
            queue.push(_item(f"u{second}-{len(running)}"), float(second))
            running.append(queue.pop(float(second)))
    assert queue.free_slots("urgent", busy_s + 0.1) == 8
    for number in range(20):
        queue.push(_item(f"d{number}", "b", "deferrable"), busy_s + 0.1)
    while queue.pop(busy_s + 0.1):
        pass
    assert queue.running == 8 - held
    assert queue.free_slots("deferrable", busy_s + 0.1) == 0
    queue.push(_item("u9"), busy_s + 0.2)
    urgent = queue.pop(busy_s + 0.2)
    assert urgent.rank == "urgent"
    queue.finish(urgent, 100, busy_s + 0.3)
    # The reservation decays to one slot without urgent work.
    while queue.pop(busy_s + 100.0):
        pass
    assert queue.running == 7


def test_owed_items_are_marked():
    # Guards against owed requests that run at low engine priority and hold
    # slots without progress.
    queue = queueing.make_queue(RANKS)
    for number in range(20):
        queue.push(_item(f"d{number}", "b", "deferrable"), 0.0)
        queue.push(_item(f"u{number}"), 0.0)
    served = _serve(queue, 20)
    assert {item.rank for item in served if item.owed} == {"deferrable"}
    assert all(item.owed or item.rank == "urgent" for item in served)


@pytest.mark.parametrize(
    "workspace, tokens, expected",
    [("large", 100, 1.0), ("small", 100, 0.25), ("new", 150, 250 / 1200)],
)
def test_fraction_ahead(workspace, tokens, expected):
    # Guards against refusing a small caller because of a large one's queue.
    queue = queueing.make_queue(RANKS)
    assert queue.fraction_ahead("urgent", workspace, tokens) == 0.0
    for number in range(11):
        queue.push(_item(number, "large"), 0.0)
    queue.push(_item("s", "small"), 0.0)
    part = queue.fraction_ahead("urgent", workspace, tokens)
    assert part == pytest.approx(expected)


def test_start_period_is_measured_while_waiting():
    # Guards against idle time that is taken for slow service.
    queue = queueing.make_queue(RANKS)
    assert queue.start_period("urgent", 0.0) == 0.0
    for number in range(200):
        queue.push(_item(number), 0.0)
    for step in range(1, 101):
        queue.pop(0.5 * step)
    assert queue.start_period("urgent", 50.0) == pytest.approx(0.5, rel=0.01)
    # A stopped upstream is visible while it lasts; one slow start does not
    # look like one.
    assert queue.start_period("urgent", 51.0) == pytest.approx(0.55, rel=0.01)
    assert queue.start_period("urgent", 150.0) > 10.0


def test_starts_on_free_slots_do_not_shorten_the_start_period():
    # Guards against a predicted wait near 0 while all slots are occupied. It
    # keeps entries from choosing a replica with free slots in another zone.
    queue = queueing.make_queue(RANKS, slots=1)
    for number in range(51):
        queue.push(_item(f"waits{number}"), 0.0)
    running = queue.pop(0.0)
    for step in range(1, 51):
        queue.finish(running, 100, 0.5 * step)
        running = queue.pop(0.5 * step)
    queue.finish(running, 100, 26.0)
    measured = queue.start_period("urgent", 26.0)
    for number in range(50):
        queue.push(_item(f"starts{number}"), 26.0)
        queue.finish(queue.pop(26.0), 100, 26.0)
    assert queue.start_period("urgent", 26.0) == measured > 0.4


@pytest.mark.parametrize(
    "item, error",
    [
        (_item(1), errors.DuplicateRequest),
        (_item(2), errors.DuplicateRequest),
        (_item(3, rank="none"), errors.UnknownRank),
    ],
)
def test_push_refuses_wrong_items(item, error):
    # Guards against two answers for one request id.
    queue = queueing.make_queue(RANKS)
    queue.push(_item(1), 0.0)
    queue.pop(0.0)
    queue.push(_item(2), 0.0)
    with pytest.raises(error):
        queue.push(item, 0.0)


def test_fifo_baseline_ignores_rank():
    # Guards against a baseline that differs from plain FIFO.
    queue = work_queue.FifoQueue(max_items=3)
    queue.push(_item(1, rank="deferrable"), 0.0)
    queue.push(_item(2, deadline=1.0), 0.0)
    queue.push(_item(3), 0.0)
    assert not queue.push(_item(4), 0.0).accepted
    assert queue.pop(2.0).request_id == "1"
    assert queue.pop(2.0).request_id == "3"
    assert [item.request_id for item in queue.take_expired(2.0)] == ["2"]
