"""Tests of the keys by which calls are related to earlier ones."""

import msgspec
import pytest

from papayalink.coordination import call_keys
from papayalink.protocol import calls

_CALL = calls.Call(
    call_id="c1",
    method=b"POST",
    target=b"/a/b?x=1",
    host="a.example",
    path="/a/b",
    parts=(calls.Part("base", 10), calls.Part("own", 5)),
    body=b"text",
)


@pytest.mark.parametrize(
    ("caller", "changes", "same"),
    [
        ("w", {"call_id": "c2", "budget_ms": 5, "last_event_id": "3"}, True),
        ("v", {}, False),
        ("w", {"body": b"other"}, False),
        ("w", {"target": b"/a/b"}, False),
        ("w", {"method": b"PUT"}, False),
        ("w", {"host": "b.example"}, False),
        # The same bytes, divided in another way.
        ("w", {"target": b"/a/b?x=1t", "body": b"ext"}, False),
    ],
)
def test_repetitions_of_a_call_have_its_key(caller, changes, same):
    other = msgspec.structs.replace(_CALL, **changes)
    key = call_keys.request_key(other, caller)
    assert (key == call_keys.request_key(_CALL, "w")) is same
    assert call_keys.make_call_keys(other, caller).request == key


def test_keys_are_bounded_and_parts_are_never_taken_for_requests():
    """Guards against callers that name a part like another's request."""
    request = call_keys.request_key(_CALL, "w")
    assert call_keys.is_request_key(request)
    for part_id in (request, "y" * 5000):
        key = call_keys.part_key(part_id)
        assert not call_keys.is_request_key(key)
        assert len(key) <= call_keys.MAX_KEY_LENGTH
    assert len(request) <= call_keys.MAX_KEY_LENGTH
    assert call_keys.make_call_keys(_CALL, "w").parts == ("base",)
