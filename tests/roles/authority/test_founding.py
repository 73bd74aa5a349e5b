"""Tests of finding the founders at a first start."""

import gevent
import pytest

from papayalink import logs
from papayalink.protocol import messages
from papayalink.roles.authority import founding
from papayalink.transport import errors

_SEEDS = {"a": "a:1", "b": "b:1", "c": "c:1"}


class _Client:
    """Seeds that answer from their nth request on."""

    def __init__(self, **answers):
        self._answers = answers
        self.asked = []

    def call(self, address, method, message, timeout_s):
        name = address.partition(":")[0]
        self.asked.append(name)
        first_answer, durable = self._answers[name]
        if self.asked.count(name) < first_answer:
            raise errors.NotConnected("not yet")
        return messages.Described(durable, "x")


@pytest.fixture
def logged(monkeypatch):
    lines = []

    class _Log:
        def info(self, event, **fields):
            lines.append((event, fields.get("seed")))

    monkeypatch.setattr(logs, "get_logger", _Log)
    return lines


def _find(client, own="a", durable=True):
    with gevent.Timeout(5.0):
        return founding.find_founders(
            messages.Describe(own, durable),
            _SEEDS,
            client,
            lambda message: messages.Described(durable, message.name),
        )


def test_find_founders_waits_for_a_late_seed(logged):
    """Guards against a second group, founded by a slow seed."""
    client = _Client(b=(1, True), c=(4, True))
    assert _find(client) == ("a", "b", "c")
    assert client.asked.count("c") == 4
    # A seed that has reported a disk is not asked again.
    assert client.asked.count("b") == 1


def test_unreachable_seed_is_logged_once(logged):
    _find(_Client(b=(1, True), c=(5, True)))
    assert logged.count(("seed_not_reached", "c")) == 1


def test_seed_without_a_disk_does_not_found(logged):
    assert _find(_Client(b=(1, False), c=(2, True))) == ("a", "c")
