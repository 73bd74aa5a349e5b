"""Tests of routes and workspaces of a document."""

import itertools

import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.state import traffic


def _route(name, rank):
    return traffic.Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        targets=(traffic.Target("s", 1),),
        repeat=traffic.RepeatPolicy.ONCE,
        timeout_s=5.0,
        objective_s=1.0,
        rank=rank,
        max_attempts=1,
        prompts=True,
    )


def _workspace(rank):
    return traffic.Workspace(name=f"w{rank}", keys=(f"k{rank}",), rank=rank)


def _directory(route_ranks, workspace_ranks):
    return traffic.make_directory(
        traffic.TrafficDocument(
            number=1,
            routes=tuple(
                _route(f"r{index}", rank)
                for index, rank in enumerate(route_ranks)
            ),
            services=(traffic.Service(name="s", max_connections=1),),
            workspaces=tuple(map(_workspace, workspace_ranks)),
        )
    )


def _urgency(directory, route_rank, workspace_rank):
    workspace = None if workspace_rank is None else _workspace(workspace_rank)
    return directory.urgency(_route("r", route_rank), workspace)


@pytest.mark.parametrize(
    ("urgent", "other"),
    [
        # Many less urgent calls from a workspace that also sends urgent ones:
        # engines must run the urgent ones first.
        ((0, 1), (2, 1)),
        ((0, None), (2, None)),
        # The workspace's rank takes precedence over the route's.
        ((2, 0), (0, 1)),
        ((2, 0), (2, 1)),
    ],
)
def test_urgent_calls_go_first(urgent, other):
    directory = _directory((0, 2), (0, 1))
    assert _urgency(directory, *urgent) < _urgency(directory, *other)


@hypothesis.given(
    st.lists(st.integers(0, 12), min_size=1, max_size=5),
    st.lists(st.integers(0, 12), max_size=6),
)
def test_levels_keep_the_order_of_ranks(route_ranks, workspace_ranks):
    directory = _directory(route_ranks, workspace_ranks)
    pairs = [
        (
            rank if workspace_rank is None else workspace_rank,
            rank,
            workspace_rank,
        )
        for rank, workspace_rank in itertools.product(
            route_ranks, (None, *workspace_ranks)
        )
    ]
    for (first_rank, route_rank, workspace_rank), other in itertools.product(
        pairs, pairs
    ):
        level = _urgency(directory, route_rank, workspace_rank)
        assert 0 <= level < traffic.URGENCY_LEVELS
        if (first_rank, route_rank) < other[:2]:
            assert level <= _urgency(directory, other[1], other[2])
