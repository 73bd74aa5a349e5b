"""Tests of answers whose status is none, as clients read them."""

from types import SimpleNamespace

import pytest

from papayalink.transport import errors
from papayalink.transport import http_client
from papayalink.transport import upstream_channels
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
def test_answer_of_an_upstream_is_none(start, status, framing, interim):
    """Guards against a status that is passed on as it came."""
    answer = odd_statuses.make_answer(status, framing, interim)
    channels = upstream_channels.make_channels()
    channel = channels.take(start(answer), lambda: 5.0)
    headers = [(b"Host", b"x"), (b"Content-Length", b"2")]
    channel.send(b"POST", b"/", headers, b"hi", lambda: 5.0)
    with pytest.raises(errors.ConnectionLost):
        channel.read_head(lambda: 5.0)
    channel.close()


@pytest.mark.parametrize("status", [200, 299, 404, 503, 599])
def test_answer_with_a_valid_status_is_read(start, status):
    """Guards against failures that callers don't learn."""
    answer = odd_statuses.make_answer(b"%d" % status, "length", "interim")
    channels = upstream_channels.make_channels()
    channel = channels.take(start(answer), lambda: 5.0)
    headers = [(b"Host", b"x"), (b"Content-Length", b"2")]
    channel.send(b"POST", b"/", headers, b"hi", lambda: 5.0)
    assert channel.read_head(lambda: 5.0).status_code == status
    channel.close()


@pytest.mark.parametrize("interim", odd_statuses.INTERIM)
@pytest.mark.parametrize("framing", ["length", "connection"])
@pytest.mark.parametrize("status", odd_statuses.STATUSES)
def test_response_of_a_process_is_none(start, status, framing, interim):
    """Guards against a peer's status that counts as an outcome."""
    signer = SimpleNamespace(
        sign_request=lambda *_: (b"s", b"n"), verify_reply=lambda *_: None
    )
    client = http_client.make_client(signer, 5.0)
    address = start(odd_statuses.make_answer(status, framing, interim))
    try:
        with pytest.raises(errors.ConnectionLost):
            client.send(address, "POST", "/")
    finally:
        client.close()
