"""Tests of the lookup of kept pieces."""

import types

from gevent import event
import pytest

from papayalink.protocol import messages
from papayalink.roles.agent import locating
from papayalink.state import document as documents
from tests.roles.agent import kept_fakes


class _Client:
    """Store "a" answers; store "b" calls the given function."""

    def __init__(self, other):
        self._other = other

    def lookup(self, address, keys):
        if address == "at-a":
            return messages.LookupReply((True, False), (2, 0))
        return self._other()


def _locate(other, tokens):
    stores = [documents.Store(name, f"at-{name}", name) for name in "ab"]
    document = types.SimpleNamespace(stores=stores)
    locator = locating.Locator(
        kept_fakes.FakeEngine(), _Client(other), lambda: document
    )
    request = types.SimpleNamespace(
        body=bytes(tokens),
        workspace="acme",
        weight_version="v1",
        adapter="",
        prompt_tokens=tokens // 2,
    )
    return locator.locate(request)


@pytest.mark.parametrize(
    "other", [lambda: None, event.Event().wait, lambda: 1 / 0]
)
def test_store_without_an_answer_keeps_nothing(other, capsys):
    """Guards against a request that fails or hangs when a lookup does."""
    found = _locate(other, 4500)
    assert [store.name for store in found.holders(0)] == ["a"]
    assert found.holders(1) == []
    assert (found.wanted_copies(0), found.wanted_copies(1)) == (2, 0)
    assert (found.tail_tokens, found.token_ratio) == (500, 2.0)


def test_short_prompt_is_not_looked_up():
    assert _locate(lambda: 1 / 0, 1999) is None
