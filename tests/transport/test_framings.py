"""Tests of upstreams' answers in all framings, cut after any byte."""

from gevent import pool
import pytest

from papayalink.transport import errors
from papayalink.transport import upstream_channels
from tests import cut_answers
from tests import framings

_CALLS = 60
_OTHER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"


def _remaining_s():
    return 5.0


def _read_answer(channel, method, target):
    headers = [(b"Host", b"x"), (b"Content-Length", b"0")]
    channel.send(method.encode(), target, headers, b"", _remaining_s)
    status = channel.read_head(_remaining_s).status_code
    body = b""
    while data := channel.read_data(_remaining_s):
        body += data
    return status, body


@pytest.mark.parametrize("before", [[], [_OTHER]], ids=["new", "reused"])
@pytest.mark.parametrize("end", cut_answers.ENDS)
@pytest.mark.parametrize("name", framings.CASES)
def test_body_is_the_whole_one_or_none(monkeypatch, name, end, before):
    """Guards against a part of an answer, or more, that looks whole.

    A connection with bytes behind an answer, or whose answer closes it, is
    not used again.
    """
    case = framings.CASES[name]
    monkeypatch.setitem(cut_answers.FRAMINGS, name, (case.head, case.body))
    server = cut_answers.CutServer(name, end, before)

    def read_cut(cut):
        channel = upstream_channels.make_channels().take(
            server.address, _remaining_s
        )
        try:
            for _ in before:
                answer = _read_answer(channel, "POST", b"/-")
                assert answer == (200, b"other")
                assert channel.finish(None)
            status, body = _read_answer(channel, case.method, b"/%d" % cut)
            assert status == case.status
            if channel.finish(None) and channel.usable:
                assert not case.ends_with_connection
                # Without a body, what follows comes in a later piece.
                assert cut <= case.whole_bytes or not case.results[0]
            return body
        except errors.ConnectionLost:
            return framings.LOST
        finally:
            channel.close()

    cuts = list(range(len(case.sent) + 1))
    try:
        results = pool.Pool(_CALLS).map(read_cut, cuts)
    finally:
        server.server.stop()
    assert [
        (cut, result)
        for cut, result in zip(cuts, results)
        if not case.may_read(cut, end, result)
    ] == []
