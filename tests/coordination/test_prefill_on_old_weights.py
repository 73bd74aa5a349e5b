"""Tests of prompts whose first token is due after the time of old weights."""

import pytest

from papayalink.coordination import fleet as fleets
from papayalink.coordination import replica_choice
from papayalink.coordination import weight_history
from papayalink.protocol import calls
from papayalink.state import replicas

_NOW = 100.0
_LIMIT_S = 10.0


# Guards against prompts that begin on old weights after their time limit,
# because their own prefill was not counted: a run begins with its first token.
@pytest.mark.parametrize(
    ("age_s", "queued_tokens", "own_tokens"),
    [
        (8.4, 0, 10_000),
        (8.4, 70_000, 10_000),
        (8.4, 70_000, 40_000),
        (8.0, 95_000, 10_000),
        (4.0, 290_000, 40_000),
    ],
)
def test_first_token_comes_within_the_time_limit_of_old_weights(
    age_s, queued_tokens, own_tokens
):
    history = weight_history.make_weight_history()
    history.observe({}, _NOW - age_s)
    history.observe({"m": 2}, _NOW - age_s)
    fleet = fleets.make_fleet("z1", _LIMIT_S, history=history)
    fleet.update(
        [
            replicas.Replica(
                replica_id="r1",
                service="models",
                address="r1:80",
                zone="z1",
                slots=64,
                condition=replicas.Condition.READY,
                weights={"m": 1},
            )
        ]
    )
    fleet.find("r1").begin_prefill(2, queued_tokens)
    request = replica_choice.SelectionRequest(
        service="models",
        model="m",
        parts=(calls.Part("a", own_tokens),),
        prompt_tokens=own_tokens,
        urgency=2,
    )
    choice = fleet.choose(request, (), _NOW)
    first_token_age_s = age_s + (choice.wait_s if choice else 0.0)
    assert first_token_age_s < _LIMIT_S
