"""Callers that hang up while their request waits."""

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
AGENT = "agent-engine-1"
END = b'"finish_reason":"length"'


def _connect(fleet, path, body, **headers):
    """Send a request and leave its answer unread."""
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


def _ask(fleet, stream):
    body = {"model": fleets.MODEL, "prompt": "a", "max_tokens": 2}
    body |= {"stream": stream, "service_tier": "deferrable"}
    return _connect(fleet, "/v1/completions", body)


def _counts(fleet):
    body = fleets.request(fleet.engines["engine-1"], "GET", "/load")
    load = json.loads(body)
    return load["finished"], load["cancelled"]


def _waiting(fleet):
    return fleet.deployment.dump(AGENT)["waiting"]


def _counted(fleet, name, metric):
    programs = fleet.deployment.programs
    address = programs[name].addresses["inspect_listen"]
    text = deployments.http_get(address, "/metrics").decode()
    return sum(
        float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith(f"papayalink_{metric}_total")
    )


@pytest.fixture
def busy(fleet, caller):
    """One answer that takes the only slot until it is closed."""
    hold = _connect(
        fleet,
        "/v1/completions",
        {"model": fleets.MODEL, "prompt": "x", "max_tokens": 100_000}
        | {"stream": True},
    )
    helpers.wait_until(lambda: fleet.deployment.dump(AGENT)["running"] == 1)
    yield hold
    hold.close()
    helpers.wait_until(lambda: fleet.deployment.dump(AGENT)["running"] == 0)


def test_hung_up_callers_leave_the_queue(fleet, caller, busy):
    """Guards against work for callers that have gone."""
    before = _counts(fleet)
    callers = [_ask(fleet, place % 2 == 0) for place in range(6)]
    helpers.wait_until(lambda: _waiting(fleet) == 6, "queue")
    for sock in callers[1:]:
        sock.close()
    helpers.wait_until(lambda: _waiting(fleet) == 1, "empty queue")
    busy.close()
    # The caller that stayed is answered as before.
    assert callers[0].recv(12) == b"HTTP/1.1 200"
    callers[0].close()
    answer = caller.complete(model=fleets.MODEL, prompt="a", max_tokens=2)
    assert answer.status == 200
    # The engine saw the busy one, the one that stayed and the last one.
    finished, cancelled = _counts(fleet)
    assert finished + cancelled == sum(before) + 3
    assert _counted(fleet, "entry-1", "callers_gone") == 5
    assert _counted(fleet, AGENT, "callers_gone") == 5
    log = open(fleet.deployment.programs["entry-1"].log_path).read()
    assert log.count("event=caller_gone") == 5


def test_hang_up_cancels_an_answer_that_is_not_streamed(fleet):
    """Guards against a whole answer generated for nobody."""
    _, before = _counts(fleet)
    body = {"model": fleets.MODEL, "prompt": "a", "max_tokens": 100_000}
    sock = _connect(fleet, "/v1/completions", body)
    helpers.wait_until(lambda: fleet.deployment.dump(AGENT)["running"] == 1)
    sock.close()
    helpers.wait_until(lambda: _counts(fleet)[1] == before + 1, "cancelled")
    helpers.wait_until(lambda: fleet.deployment.dump(AGENT)["running"] == 0)


def test_half_closed_and_pipelining_callers_are_answered(fleet, busy):
    """Guards against a live caller that is taken for one that hung up."""
    half, pipelining = _ask(fleet, False), _ask(fleet, False)
    helpers.wait_until(lambda: _waiting(fleet) == 2, "queue")
    half.shutdown(socket.SHUT_WR)
    pipelining.sendall(b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
    gevent.sleep(0.5)
    busy.close()
    for sock, answers in ((half, 1), (pipelining, 2)):
        sock.settimeout(helpers.WAIT_S)
        data = b""
        # The health check's answer ends with "ok".
        while data.count(END) < 1 or data.count(b"ok\n") < answers - 1:
            part = sock.recv(65536)
            assert part, data
            data += part
        assert data.count(b"HTTP/1.1 200") == answers
        assert data.count(END) == 1
        sock.close()


def test_protected_call_goes_on_without_its_caller(fleet):
    """Guards against a protected call that is given up half-way."""
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
