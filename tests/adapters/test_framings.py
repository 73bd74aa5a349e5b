"""Tests of replies of outside systems in all framings, cut anywhere."""

from gevent import pool
import pytest

from papayalink.adapters import connection
from papayalink.adapters import errors
from papayalink.adapters import service
from tests import cut_answers
from tests import framings

_CALLS = 60
_OTHER = b"HTTP/1.1 201 OK\r\nContent-Length: 5\r\n\r\nother"


@pytest.fixture
def start(monkeypatch):
    started = []

    def make(name, end, *before):
        case = framings.CASES[name]
        monkeypatch.setitem(cut_answers.FRAMINGS, name, (case.head, case.body))
        started.append(cut_answers.CutServer(name, end, before))
        return started[-1].address

    yield make
    for server in started:
        server.server.stop()


def _find_wrong(case, end, read):
    """Returns: (cut, result) of each result that may not be."""
    cuts = list(range(len(case.sent) + 1))
    return [
        (cut, result)
        for cut, result in zip(cuts, pool.Pool(_CALLS).map(read, cuts))
        if not case.may_read(cut, end, result)
    ]


@pytest.mark.parametrize("end", cut_answers.ENDS)
@pytest.mark.parametrize("name", framings.CASES)
def test_service_answers_whole_or_its_outcome_is_unknown(start, name, end):
    """Guards against a part of a reply, or more, that looks whole."""
    case = framings.CASES[name]
    address = start(name, end)

    def call(cut):
        outcome = service.make_service(address).call(
            case.method, f"/{cut}", [], b""
        )
        if isinstance(outcome, service.OutcomeUnknown):
            return framings.LOST
        assert outcome.status == case.status
        return outcome.body

    assert _find_wrong(case, end, call) == []


@pytest.mark.parametrize("end", cut_answers.ENDS)
@pytest.mark.parametrize("name", framings.CASES)
def test_reply_on_a_used_connection(start, name, end):
    """Guards against a reply that a reused connection spoils."""
    case = framings.CASES[name]
    address = start(name, end, _OTHER)

    def call(cut):
        connector = connection.Connector(address, 1.0)
        method = "GET" if case.method == "POST" else case.method
        try:
            reply = connector.call_idempotent("GET", "/-", 5.0)
            assert reply.body == b"other"
            reply = connector.call_idempotent(method, f"/{cut}", 5.0)
        except errors.Interrupted:
            return framings.LOST
        finally:
            connector.close()
        # A new connection starts over.
        if reply.status == 201:
            return framings.LOST
        assert reply.status == case.status
        return reply.body

    assert _find_wrong(case, end, call) == []
