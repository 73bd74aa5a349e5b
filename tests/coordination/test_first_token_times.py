"""Tests of the predicted time to a first token."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.coordination import first_token_times


def _learn(samples):
    times = first_token_times.make_first_token_times()
    for tokens, first_s in samples:
        times.note(tokens, first_s)
    return times


@pytest.mark.parametrize(
    ("token_s", "base_s"),
    [(1 / 56_600, 0.02), (1 / 56_600, 0.25), (1 / 10_000, 0.05)],
)
def test_fixed_part_and_part_for_each_token_are_told_apart(token_s, base_s):
    """Guards against steps up to the first event that count as prefill.

    Engines send the first event after several steps. An engine that reads
    56,600 tokens a second looked like one of 20,000, and prompts were refused
    while replicas were free.
    """
    rng = random.Random(1)
    sizes = [rng.choice([400, 2_000, 7_000, 12_000]) for _ in range(400)]
    times = _learn((size, base_s + token_s * size) for size in sizes)
    assert times.token_s == pytest.approx(token_s, rel=0.05)
    assert times.base_s == pytest.approx(base_s, abs=0.02)


def test_prompts_of_one_size_give_their_time():
    # The two parts cannot be told apart, but their sum is right.
    times = _learn([(9_000, 0.4)] * 300)
    assert times.base_s + 9_000 * times.token_s == pytest.approx(0.4, rel=0.1)


def test_a_frozen_replica_hardly_changes_the_prediction():
    samples = [(size, 0.05 + size / 50_000) for size in (400, 9_000)] * 100
    before = _learn(samples)
    after = _learn([*samples, (10, 9.0)])
    for size in (400, 9_000):
        assert after.base_s + size * after.token_s == pytest.approx(
            before.base_s + size * before.token_s, abs=0.03
        )


@given(
    st.lists(
        st.tuples(st.integers(0, 100_000), st.floats(0.0, 60.0)), max_size=60
    )
)
def test_prediction_stays_within_its_bounds(samples):
    times = _learn(samples)
    assert (
        first_token_times.MIN_TOKEN_S
        <= times.token_s
        <= first_token_times.MAX_TOKEN_S
    )
    assert 0.0 <= times.base_s <= first_token_times.MAX_BASE_S
