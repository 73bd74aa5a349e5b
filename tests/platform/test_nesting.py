"""Tests of replies and requests that no sound sender makes.

Whatever a replica, a store or an operator sends costs only its own call.
"""

import falcon.testing
from gevent import pywsgi
import pytest

from papayalink.platform import document
from papayalink.platform import errors
from papayalink.platform import operator_api
from papayalink.platform import replicas as platforms
from papayalink.platform import stores
from papayalink.state import replicas
from papayalink.state import traffic

_NESTED = b"[" * 3_000 + b"]" * 3_000

_BODIES = {
    "nested": b'{"more":' + _NESTED + b"}",
    "nested in a field": b'{"models":'
    + _NESTED
    + b',"held":'
    + _NESTED
    + b',"events":'
    + _NESTED
    + b"}",
    "deeper": b"[" * 100_000,
    "lone surrogate": b'{"more":"\\ud800"}',
    "no text": b'{"\xff":"\xff"}',
    "no JSON": b"\x00",
    "nothing": b"",
}


@pytest.fixture(params=_BODIES.values(), ids=_BODIES)
def server(request):
    def answer(environ, start_response):
        headers = [("Content-Type", "application/json")]
        start_response("200 OK", [*headers, ("Connection", "close")])
        return [request.param]

    started = pywsgi.WSGIServer(
        ("127.0.0.1", 0), answer, log=None, error_log=None
    )
    started.start()
    yield f"127.0.0.1:{started.server_port}"
    started.stop()


def test_report_that_cannot_be_read_fails_as_a_call(server):
    """Guards against tasks that end by a reply of one replica."""
    replica = replicas.Replica(
        replica_id="i-1",
        service="s",
        address=server,
        zone="z",
        slots=1,
        condition=replicas.Condition.READY,
    )
    platform = platforms.make_platform(server)
    try:
        assert platform.read_report(replica).weights == {}
    except errors.CallFailed:
        pass


def test_store_that_cannot_be_read_fails_as_a_call(server):
    """Guards against a store that is never read again after one reply."""
    store = traffic.CacheStore(
        name="s",
        address=server,
        zone="z",
        capacity_tokens=1,
        link_mbps=1.0,
        first_ms=1.0,
        max_calls=1,
    )
    reader = stores.make_store_reader(store)
    for _ in range(2):
        with pytest.raises(errors.CallFailed):
            reader.read()


@pytest.mark.parametrize(
    "address", ["", "store.example", "127.0.0.1:99999", "[", "127.0.0.1:x"]
)
def test_store_without_an_address_fails_as_a_call(address):
    """Guards against tasks that end by the address of a store."""
    store = traffic.CacheStore(
        name="s",
        address=address,
        zone="z",
        capacity_tokens=1,
        link_mbps=1.0,
        first_ms=1.0,
        max_calls=1,
    )
    with pytest.raises(errors.CallFailed):
        stores.make_store_reader(store).read()


class _State:
    """Takes documents, which are none of these."""

    def note_invalid(self, reason):
        self.reason = reason


@pytest.mark.parametrize("body", _BODIES.values(), ids=_BODIES)
@pytest.mark.parametrize(
    "method, path", [("PUT", "/-/config"), ("POST", "/-/version-put")]
)
def test_request_that_cannot_be_read_is_refused(method, path, body):
    """Guards against an operator's call that is repeated without end."""
    application = operator_api.make_application(_State())
    client = falcon.testing.TestClient(application)
    answer = client.simulate_request(method, path, body=body)
    assert answer.status_code == 400


@pytest.mark.parametrize("version", [2**63, 2**64, 10**30])
def test_number_that_cannot_be_passed_on_is_refused(version):
    """Guards against a document that keeps members from answering."""
    content = b'{"version":%d,"routes":[],"services":[]}' % version
    with pytest.raises(errors.DocumentInvalid):
        document.translate(content)
    application = operator_api.make_application(_State())
    answer = falcon.testing.TestClient(application).simulate_post(
        "/-/version-put", body=b'{"model":"m","version":%d}' % version
    )
    assert answer.status_code == 400
