"""Tests of the load generator and of the computed figures."""

import time

from gevent import pywsgi
import pytest

from bench import deployment
from bench import load
from bench import run
from bench import scenarios


@pytest.mark.parametrize(
    "values, fraction, expected",
    [
        ([], 0.5, None),
        ([3.0], 0.95, 3.0),
        ([4.0, 1.0, 3.0, 2.0], 0.5, 2.0),
        ([float(number) for number in range(1, 101)], 0.95, 95.0),
        ([float(number) for number in range(1, 101)], 1.0, 100.0),
    ],
)
def test_percentile(values, fraction, expected):
    """Guards against off-by-one errors in percentiles."""
    assert load.percentile(values, fraction) == expected


def test_traffic_is_fixed_by_the_seed():
    """Guards against runs that cannot be reproduced."""
    for scenario in scenarios.SCENARIOS:
        first = scenarios.Traffic(3).make(scenario, 1.0)
        assert first == scenarios.Traffic(3).make(scenario, 1.0)
        assert first != scenarios.Traffic(4).make(scenario, 1.0)


def test_returning_prompts_are_the_same():
    """Guards against a returning prompt that cannot hit the cache."""
    scenario = scenarios.SCENARIOS[1]
    planned_requests = scenarios.Traffic(1).make(scenario, 4.0)
    bodies = {
        kind: [
            planned_request.body
            for planned_request in planned_requests
            if planned_request.kind == kind
        ]
        for kind in ("first", "return")
    }
    assert bodies["first"] == bodies["return"]
    assert len(bodies["first"]) == scenarios.RETURNING


def _record(**fields):
    return load.Record(
        **{
            "at": 1.0,
            "rank": "urgent",
            "workspace": "small-1",
            "kind": "base",
            **fields,
        }
    )


def test_outcomes_are_counted_separately():
    """Guards against failures counted as refusals or as answers."""
    records = [
        _record(
            status=200,
            complete=True,
            ttft_s=0.1,
            prompt_tokens=8,
            gaps_s=[0.01, 0.2, 0.01],
        ),
        _record(status=200, complete=True, ttft_s=9.0, prompt_tokens=8),
        _record(status=200, ttft_s=0.1, error="cut", gaps_s=[9.0]),
        _record(status=503, error="not_run", end_s=0.1),
        _record(status=502, error="upstream_failed"),
        _record(error="ConnectionResetError"),
    ]
    row = run.summarize(records, scenarios.SCENARIOS[0], 1.0)["ranks"][
        "urgent"
    ]
    assert row["offered"] == 6
    assert row["ttft"]["count"] == 2
    assert row["gap"]["count"] == 3
    assert row["longest_gap"]["p95_ms"] == 200.0
    assert row["goodput_per_s"] == pytest.approx(1 / 0.8)
    assert row["refused"] == 1
    assert row["failed"] == 3


def test_gaps_are_those_between_tokens():
    """Guards against gaps that include the first wait or the answer end."""
    details = (
        b'{"prompt_tokens":1,"prompt_tokens_details":{"cached_tokens":0}}'
    )

    def answer(environ, start_response):
        start_response("200 OK", [])
        yield from [b"data: {}\n\n"] * 3
        yield b'data: {"usage":' + details + b"}\n\n"
        yield b"data: [DONE]\n\n"

    host, _, port = deployment.free_address().rpartition(":")
    server = pywsgi.WSGIServer((host, int(port)), answer, log=None)
    server.start()
    sender = load.Sender([f"{host}:{port}"])
    planned_request = load.PlannedRequest(
        0.0, "urgent", "a", "base", "token", b"{}"
    )
    record = sender.send(planned_request, time.perf_counter())
    sender.close()
    server.stop()
    assert record.complete
    assert record.tokens == 3
    assert len(record.gaps_s) == 2


@pytest.mark.parametrize(
    "values, expected",
    [([], None), ([0.0], None), ([2.0, 2.0], 1.0), ([1.0, 0.0], 0.5)],
)
def test_jain(values, expected):
    """Guards against a fairness index that hides a caller without service."""
    assert run.jain(values) == expected
