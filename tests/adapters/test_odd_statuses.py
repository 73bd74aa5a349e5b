"""Tests of replies whose status is none."""

import pytest

from papayalink.adapters import engine
from papayalink.adapters import errors
from papayalink.adapters import service
from tests import odd_statuses


@pytest.fixture
def start():
    started = []

    def make(answer):
        started.append(odd_statuses.OddServer(answer))
        return started[-1].address

    yield make
    for server in started:
        server.server.stop()


@pytest.mark.parametrize("interim", odd_statuses.INTERIM)
@pytest.mark.parametrize("framing", odd_statuses.FRAMINGS)
@pytest.mark.parametrize("status", odd_statuses.STATUSES)
def test_outcome_of_a_call_is_unknown(start, status, framing, interim):
    """Guards against a status that is passed on as it came."""
    address = start(odd_statuses.make_answer(status, framing, interim))
    outcome = service.make_service(address).call("POST", "/", [], b"hi")
    assert isinstance(outcome, service.OutcomeUnknown)


@pytest.mark.parametrize("status", [200, 299, 404, 503, 599])
def test_reply_with_a_valid_status_is_read(start, status):
    """Guards against failures that callers don't learn."""
    address = start(
        odd_statuses.make_answer(b"%d" % status, "length", "interim")
    )
    outcome = service.make_service(address).call("POST", "/", [], b"hi")
    assert (outcome.status, outcome.body) == (status, b"part")


@pytest.mark.parametrize("interim", odd_statuses.INTERIM)
@pytest.mark.parametrize("status", odd_statuses.STATUSES)
def test_stream_is_cut(start, status, interim):
    """Guards against events of an answer that is none."""
    address = start(odd_statuses.make_answer(status, "events", interim))
    with pytest.raises(errors.StreamCut):
        next(engine.make_engine(address).stream("/", b"{}", "r"))
