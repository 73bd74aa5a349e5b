"""Tests of weights that are named before an entry watches a member."""

import pytest

from tests.roles.gateway import test_old_weights as old_weights

clock = old_weights.clock
_LIMIT_S = old_weights._LIMIT_S


# Guards against refused prompts, because weights that were named a moment ago
# count as replaced when a member last confirmed its state to an entry.
@pytest.mark.parametrize(
    "event", ["none", "members-restart", "no-confirmation-for-a-while"]
)
def test_weights_named_before_the_first_watch_count_as_named_then(
    clock, event
):
    group = old_weights._Group()
    entry = old_weights._Entry(group, (1,))
    entry.exchange()
    if event == "members-restart":
        group.restart()
        entry = old_weights._Entry(group, (1,))
    elif event == "no-confirmation-for-a-while":
        clock(_LIMIT_S)
    group.name(2)
    entry.exchange()
    assert entry.may_use(clock()) == ["v1"]
