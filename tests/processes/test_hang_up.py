"""Callers that disconnect while their request waits."""

import json
import socket

import gevent
import msgspec
import pytest

from bench import client
from bench import deployment as deployments
from bench import fleet as fleets
from tests.processes import helpers

FLEET = {
    "orders": True,
    "engine_options": {"decode_interval_s": 0.02, "slots": 1},
    "upstream_options": {"max_running": 1},
}
AGENT_NAME = "agent-engine-1"
ANSWER_END = b'"finish_reason":"length"'


def _connect(fleet, path, body, **headers):
    """Send a request without reading its answer.

    Returns: the open socket.
    """
    host, _, port = fleet.entries[0].rpartition(":")
    data = msgspec.json.encode(body)
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {deployments.TOKEN}",
        f"Content-Length: {len(data)}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    sock = socket.create_connection((host, int(port)))
    sock.sendall("\r\n".join([*lines, "", ""]).encode() + data)
    return sock


def _request(fleet, stream):
    body = {"model": fleets.MODEL, "prompt": "a", "max_tokens": 2}
    body |= {"stream": stream, "service_tier": "deferrable"}
    return _connect(fleet, "/v1/completions", body)


def _counts(fleet):
    body = fleets.request(fleet.engines["engine-1"], "GET", "/load")
    load = json.loads(body)
    return load["finished"], load["cancelled"]


def _waiting(fleet):
    return fleet.deployment.dump(AGENT_NAME)["waiting"]


def _read_counter(fleet, name, metric):
    programs = fleet.deployment.programs
    address = programs[name].addresses["inspect_listen"]
    text = deployments.http_get(address, "/metrics").decode()
    return sum(
        float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith(f"papayalink_{metric}_total")
    )


@pytest.fixture
def slot_holder(fleet, caller):
    """A stream that occupies the only slot until its socket is closed."""
    sock = _connect(
        fleet,
        "/v1/completions",
        {"model": fleets.MODEL, "prompt": "x", "max_tokens": 100_000}
        | {"stream": True},
    )
    helpers.wait_until(
        lambda: fleet.deployment.dump(AGENT_NAME)["running"] == 1
    )
    yield sock
    sock.close()
    helpers.wait_until(
        lambda: fleet.deployment.dump(AGENT_NAME)["running"] == 0
    )


def test_hung_up_callers_leave_the_queue(fleet, caller, slot_holder):
    """Guards against work for callers that have disconnected."""
    before = _counts(fleet)
    callers = [_request(fleet, index % 2 == 0) for index in range(6)]
    helpers.wait_until(lambda: _waiting(fleet) == 6, "queue")
    for sock in callers[1:]:
        sock.close()
    helpers.wait_until(lambda: _waiting(fleet) == 1, "empty queue")
    slot_holder.close()
    # The caller that stayed connected is still answered.
    assert callers[0].recv(12) == b"HTTP/1.1 200"
    callers[0].close()
    answer = caller.complete(model=fleets.MODEL, prompt="a", max_tokens=2)
    assert answer.status == 200
    # The engine got the request that held the slot, the one whose caller
    # stayed connected, and the last one.
    finished, cancelled = _counts(fleet)
    assert finished + cancelled == sum(before) + 3
    assert _read_counter(fleet, "entry-1", "callers_gone") == 5
    assert _read_counter(fleet, AGENT_NAME, "callers_gone") == 5
    log = open(fleet.deployment.programs["entry-1"].log_path).read()
    assert log.count("event=caller_gone") == 5


def test_hang_up_cancels_an_answer_that_is_not_streamed(fleet):
    """Guards against an answer that is generated although nobody reads it."""
    _, before = _counts(fleet)
    body = {"model": fleets.MODEL, "prompt": "a", "max_tokens": 100_000}
    sock = _connect(fleet, "/v1/completions", body)
    helpers.wait_until(
        lambda: fleet.deployment.dump(AGENT_NAME)["running"] == 1
    )
    sock.close()
    helpers.wait_until(lambda: _counts(fleet)[1] == before + 1, "cancelled")
    helpers.wait_until(
        lambda: fleet.deployment.dump(AGENT_NAME)["running"] == 0
    )


def test_half_closed_and_pipelining_callers_are_answered(fleet, slot_holder):
    """Guards against a live caller that is taken for a disconnected one."""
    half, pipelining = _request(fleet, False), _request(fleet, False)
    helpers.wait_until(lambda: _waiting(fleet) == 2, "queue")
    half.shutdown(socket.SHUT_WR)
    pipelining.sendall(b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
    gevent.sleep(0.5)
    slot_holder.close()
    for sock, answers in ((half, 1), (pipelining, 2)):
        sock.settimeout(helpers.WAIT_TIMEOUT_S)
        data = b""
        # The answer of the pipelined health check ends with "ok".
        while data.count(ANSWER_END) < 1 or data.count(b"ok\n") < answers - 1:
            chunk = sock.recv(65536)
            assert chunk, data
            data += chunk
        assert data.count(b"HTTP/1.1 200") == answers
        assert data.count(ANSWER_END) == 1
        sock.close()


def test_protected_call_goes_on_without_its_caller(fleet):
    """Guards against a protected call that is abandoned while it runs."""
    key = {"Idempotency-Key": "gone-1"}
    body = {"item": "prawns", "delay_ms": 500}
    sock = _connect(fleet, "/services/orders/prices/confirm", body, **key)
    helpers.wait_until(lambda: len(fleet.executions()) == 1, "execution")
    sock.close()
    sender = client.make_caller(fleet.entries[0])

    def replayed():
        answer = sender.confirm("gone-1", **body)
        return answer.headers.get("idempotency-replayed") == "true"

    helpers.wait_until(replayed, "recorded answer")
    assert len(fleet.executions()) == 1
