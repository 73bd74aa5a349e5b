"""Tests of the service adapter against the fake order service."""

import gevent
import msgspec
import pytest

from fakes import orders as fake
from papayalink.adapters import errors
from papayalink.adapters import service as adapters
from tests.adapters import silent_server


@pytest.fixture
def server():
    with fake.make_server() as started:
        yield started


@pytest.fixture
def service(server):
    return adapters.make_service(server.endpoint)


def _charge(service, claim="c1", **body):
    headers = [("X-Claim-Id", claim)]
    body = msgspec.json.encode(body)
    return service.call("POST", "/charges", headers, body)


def test_each_call_is_executed_once(server, service):
    serials = []
    for claim in ("c1", "c1"):
        outcome = _charge(service, claim, amount=3)
        assert outcome.status == 200
        serials.append(msgspec.json.decode(outcome.body)["serial"])
    # The service itself does not detect repeated calls.
    assert serials == [1, 2]
    listed = msgspec.json.decode(
        service.call("GET", "/executions", [], b"").body
    )
    assert [e["claim_id"] for e in listed["executions"]] == ["c1", "c1"]
    assert listed["executions"] == server.state.executions


def test_refused_connection_sends_nothing(closed_address):
    service = adapters.make_service(closed_address)
    assert isinstance(_charge(service), adapters.NotSent)
    with pytest.raises(errors.Unreachable):
        service.load()


def test_invalid_header_sends_nothing(server, service):
    outcome = service.call("POST", "/charges", [("a", "b\r\nc: d")], b"")
    assert isinstance(outcome, adapters.NotSent)
    assert server.state.executions == []


def test_connection_lost_after_execution_leaves_outcome_unknown(
    server, service
):
    server.state.drops_left = 1
    assert isinstance(_charge(service), adapters.OutcomeUnknown)
    # A hidden retry would show up as a second execution.
    assert len(server.state.executions) == 1
    assert isinstance(_charge(service), adapters.Answered)


def test_late_answer_leaves_outcome_unknown(server):
    service = adapters.make_service(server.endpoint, read_timeout_s=0.05)
    outcome = _charge(service, delay_ms=60_000)
    assert isinstance(outcome, adapters.OutcomeUnknown)
    while not server.state.executions:
        gevent.sleep(0.005)
    assert len(server.state.executions) == 1


@pytest.mark.parametrize(
    "reply",
    [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"],
)
def test_truncated_answer_leaves_outcome_unknown_without_a_retry(
    raw_server, reply
):
    address, requests = raw_server(reply)
    outcome = _charge(adapters.make_service(address))
    assert isinstance(outcome, adapters.OutcomeUnknown)
    assert len(requests) == 1


def test_error_status_is_an_answer(service):
    outcome = service.call("POST", "/charges", [], b"[")
    assert outcome.status == 400


def test_repeated_price_lookups_agree(service):
    replies = {
        service.call("GET", "/prices/tea", [], b"").body for _ in range(2)
    }
    assert len(replies) == 1


def test_load_counts_running_calls(service):
    assert service.load() == adapters.ServiceLoad(0, 0)
    call = gevent.spawn(_charge, service, delay_ms=60_000)
    while not service.load().running:
        gevent.sleep(0.005)
    assert service.load() == adapters.ServiceLoad(1, 0)
    call.kill()
    _charge(service)
    assert service.load() == adapters.ServiceLoad(1, 0)


def test_outcome_is_decoded_as_it_was_encoded():
    outcome = adapters.OutcomeUnknown("cut")
    data = msgspec.msgpack.encode(outcome)
    assert msgspec.msgpack.decode(data, type=adapters.Outcome) == outcome


@pytest.fixture
def silent():
    """A service that takes no connections for more than a second."""
    started = silent_server.SilentServer(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    )
    started.go_on_after(1.3)
    yield started
    started.stop()


# Guards against protected calls that are refused, and whose keys are used up,
# because a sound service takes no connections for a second.
def test_silent_service_is_reached_once_it_goes_on(silent):
    assert adapters.make_service(silent.address).reachable()


def test_call_waits_for_a_silent_service(silent):
    """Guards against calls that end with 502 for a second of silence."""
    outcome = _charge(adapters.make_service(silent.address), amount=3)
    assert isinstance(outcome, adapters.Answered)
    assert len(silent.requests) == 1
