"""All members of the control group are stopped in turn, as processes."""

import json

import gevent
import geventhttpclient
import pytest

from soak import nodes as node_module

_GRACE_S = 20.0
# Bounds the wait of a failing test; a passing test never waits that long.
_FAILURE_S = 30.0
_DOCUMENT = json.dumps({"version": 3, "routes": [], "services": []}).encode()


class _Deployment:
    """Three members, and gateways that are started by the test."""

    def __init__(self, folder):
        self.network = node_module.Network()
        nodes = node_module.make_nodes(
            self.network, str(folder), self.network.ip(2) + ":1", 3, 2, 1
        )
        for node in nodes:
            node.settings["bounds"]["grace_s"] = _GRACE_S
        self.members = nodes[:3]
        self.gateways = nodes[3:]

    def close(self):
        for node in self.members + self.gateways:
            if node.running:
                node.kill()
        self.network.close()


@pytest.fixture
def deployment(tmp_path):
    made = _Deployment(tmp_path)
    for member in made.members:
        member.start()
    _wait_for(lambda: _put(made.members[0]) == 200)
    yield made
    made.close()


def _wait_for(condition):
    with gevent.Timeout(_FAILURE_S):
        while not condition():
            gevent.sleep(0.05)


def _request(node, port, method, path, body=b""):
    """Returns: status and body, 0 without an answer."""
    client = geventhttpclient.HTTPClient(
        node.ip, port, connection_timeout=2.0, network_timeout=2.0
    )
    try:
        answer = client.request(method, path, body)
        return answer.status_code, bytes(answer.read())
    except OSError:
        return 0, b""
    finally:
        client.close()


def _put(member):
    return _request(
        member, node_module.OPERATOR_PORT, "PUT", "/-/config", _DOCUMENT
    )[0]


def _reads(member):
    """Returns: whether a member confirms the document."""
    return _request(member, node_module.OPERATOR_PORT, "GET", "/-/config") == (
        200,
        _DOCUMENT,
    )


def _document(gateway):
    """Returns: number of the document of a gateway, 0 for none."""
    status, body = _request(
        gateway, node_module.INSPECT_PORT, "GET", "/debug/state"
    )
    return json.loads(body)["document"] if status == 200 else 0


def _has_ended(node):
    return not node.running


def test_a_member_confirms_the_document_while_all_stop_in_turn(deployment):
    """Guards against entries that start without a document in a roll."""
    first, second, third = deployment.members
    first.process.terminate()
    _wait_for(lambda: _has_ended(first))
    _wait_for(lambda: _reads(third))
    second.process.terminate()
    gevent.sleep(0.5)
    third.process.terminate()
    gevent.sleep(0.5)
    assert second.running and third.running
    gateway = deployment.gateways[0]
    gateway.start()
    _wait_for(lambda: _document(gateway) == 3)
    assert second.running and third.running
    first.start()
    _wait_for(lambda: _has_ended(second))
    # The later one stays until the earlier one is back.
    assert third.running
    _wait_for(lambda: _reads(first))
    second.start()
    _wait_for(lambda: _has_ended(third))
    assert third.process.returncode == 0
    _wait_for(lambda: _reads(second))


def test_last_member_stays_until_others_are_back(deployment):
    """Guards against members that leave because the others have left."""
    first, second, third = deployment.members
    first.kill()
    second.kill()
    third.process.terminate()
    first.start()
    _wait_for(lambda: _reads(first))
    assert third.running
    second.start()
    _wait_for(lambda: _has_ended(third))
    assert third.process.returncode == 0
    _wait_for(lambda: _reads(second))


def test_gateway_begins_while_no_member_confirms_a_document(deployment):
    """Guards against refusals for as long as no member leads."""
    # It knows that the document is committed.
    _wait_for(lambda: _reads(deployment.members[2]))
    for member in deployment.members[:2]:
        member.kill()
    assert not _reads(deployment.members[2])
    gateway = deployment.gateways[1]
    gateway.start()
    _wait_for(lambda: _document(gateway) == 3)
    deployment.members[0].start()
    _wait_for(lambda: _reads(deployment.members[0]))
    assert _document(gateway) == 3
