"""Tests of replies to uploads that only the end of a connection ends."""

import gevent
import pytest

from papayalink.adapters import connection
from papayalink.adapters import service
from papayalink.transport import request_delivery
from tests import early_answers


@pytest.fixture
def start():
    started = []

    def make(end, answer=early_answers.PART):
        started.append(early_answers.EarlyServer(end, answer))
        return started[-1].address

    yield make
    for server in started:
        server.server.stop()


@pytest.mark.parametrize(("size", "end"), early_answers.FAULTY_CASES)
def test_outcome_of_a_reply_that_breaks_off_is_unknown(start, size, end):
    """Guards against an end with a reset behind it that looks regular."""
    outcome = service.make_service(start(end)).call(
        "POST", "/", [], b"x" * size
    )
    assert isinstance(outcome, service.OutcomeUnknown)


@pytest.mark.parametrize(("size", "end"), early_answers.SOUND_CASES)
def test_reply_before_the_upload_is_read_is_whole(start, size, end):
    """Guards against sound services that are taken for lost."""
    outcome = service.make_service(start(end)).call(
        "POST", "/", [], b"x" * size
    )
    assert isinstance(outcome, service.Answered)
    assert outcome.body == b"part"


def _read(exchange, way):
    exchange.wait_for_head()
    body = b""
    while data := (
        exchange.readline(b"\n") if way == "lines" else exchange.read(3)
    ):
        body += data
    return body


@pytest.mark.parametrize("way", ["pieces", "lines"])
@pytest.mark.parametrize("end", ["end-reset", "end-reset-later", "end-read"])
def test_reply_that_is_read_in_parts(start, end, way):
    """Guards against a regular end of events or parts that broke off."""
    connector = connection.Connector(
        start(end, early_answers.HEAD + b"\r\na\nb\n"), 1.0
    )
    exchange = connector.open("POST", "/", 5.0, (), b"x" * 20_000)
    try:
        if end == "end-read":
            assert _read(exchange, way) == b"a\nb\n"
        else:
            with pytest.raises(connection.FAILURES):
                _read(exchange, way)
    finally:
        exchange.close()


@pytest.mark.parametrize("limit", ["stall", "time-out"])
def test_service_that_reads_no_more_counts_as_lost(start, monkeypatch, limit):
    """Guards against a call that waits without end."""
    if limit == "stall":
        monkeypatch.setattr(request_delivery, "STALL_TIMEOUT_S", 0.2)
    outcome = service.make_service(
        start(early_answers.STUCK),
        read_timeout_s=60.0 if limit == "stall" else 0.3,
    ).call("POST", "/", [], b"x" * early_answers.MEDIUM)
    assert isinstance(outcome, service.OutcomeUnknown)


def test_exchange_that_is_closed_while_it_waits_fails(start):
    """Guards against an error that the callers of an exchange don't expect."""
    connector = connection.Connector(start(early_answers.STUCK), 1.0)
    exchange = connector.open("POST", "/", 60.0, (), b"x" * 20_000)
    gevent.spawn_later(0.2, exchange.close)
    with pytest.raises(connection.FAILURES):
        exchange.read_reply()
