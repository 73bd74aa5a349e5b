"""Tests of limits divided between entries."""

from hypothesis import given
from hypothesis import strategies as st

from papayalink import clock as clocks
from papayalink.coordination import allowances
from papayalink.protocol import messages
from papayalink.roles.control import demands
from papayalink.state import document as documents

WORKSPACE = documents.Workspace("w", tokens_per_s=1000, max_in_flight=40)
DOCUMENT = documents.Document(workspaces=(WORKSPACE,))


@given(
    st.dictionaries(
        st.sampled_from([f"entry-{number}" for number in range(8)]),
        st.tuples(st.floats(0.5, 5000.0), st.integers(0, 60)),
        min_size=1,
    )
)
def test_shares_never_exceed_the_limit(wanted):
    """Guards against a limit that grows with the number of entries."""
    table = demands.make_demand_table(clocks.ManualClock(100.0))
    for name, (tokens, running) in wanted.items():
        table.receive(name, [messages.Demand("w", tokens, running)])
    shares = [table.shares(name, DOCUMENT) for name in wanted]
    all_shares = [share for of_entry in shares for share in of_entry]
    total = sum(share.tokens_per_s for share in all_shares)
    assert total <= WORKSPACE.tokens_per_s + 1e-6
    running = sum(share.in_flight for share in all_shares)
    assert running <= WORKSPACE.max_in_flight


def test_entry_that_has_gone_gives_its_share_back():
    """Guards against capacity reserved for entries that no longer poll."""
    clock = clocks.ManualClock(100.0)
    table = demands.make_demand_table(clock)
    for name in ("entry-1", "entry-2"):
        table.receive(name, [messages.Demand("w", 900.0, 0)])
    (half,) = table.shares("entry-1", DOCUMENT)
    clock.advance(demands.MAX_AGE_S + 1)
    table.receive("entry-1", [messages.Demand("w", 900.0, 0)])
    (whole,) = table.shares("entry-1", DOCUMENT)
    assert half.tokens_per_s < 600 < whole.tokens_per_s


def test_requests_beyond_the_share_are_refused():
    """Guards against a caller that exceeds its workspace's limits."""
    holder = allowances.make_allowances()
    share = messages.Demand("w", 100.0, 2)
    holder.confirm(DOCUMENT, [share], 10.0)
    outcomes = [holder.acquire(WORKSPACE, 10, 10.5) for _ in range(3)]
    kinds = [type(outcome).__name__ for outcome in outcomes]
    assert kinds == ["Allowed", "Allowed", "Exceeded"]
    holder.release(WORKSPACE)
    assert holder.acquire(WORKSPACE, 500, 10.6) == allowances.Allowed()
    holder.release(WORKSPACE)
    after = holder.acquire(WORKSPACE, 10, 10.7)
    assert isinstance(after, allowances.Exceeded)
    assert after.retry_after_s > 1
