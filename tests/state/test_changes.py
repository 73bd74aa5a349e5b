"""Tests of document differences and deltas."""

import hypothesis
import msgspec
import pytest

from papayalink.state import changes
from papayalink.state import document as documents
from papayalink.state import errors
from tests.state import samples


@hypothesis.given(samples.drawn_documents(), samples.drawn_documents())
def test_delta_leads_to_the_new_document(old, new):
    # Guards against a process whose document differs from the accepted one.
    delta = changes.make_delta(old, new)
    assert changes.apply_delta(old, delta) == new
    assert changes.apply_delta(new, changes.make_delta(new, new)) == new


@hypothesis.given(samples.drawn_documents(), samples.drawn_documents())
def test_diff_is_empty_only_for_equal_documents(old, new):
    # Guards against a change that is not shown to the operator who confirms
    # it.
    assert bool(changes.diff(old, new)) == (old != new)


def test_moving_one_entry_sends_one_entry():
    # Guards against deltas that grow with the size of the document.
    stores = tuple(
        documents.Store(f"k{number}", f"10.0.0.{number}:1", "z")
        for number in range(1, 200)
    )
    old = documents.Document(stores=stores)
    new = documents.Document(stores=stores[1:] + stores[:1])
    delta = changes.make_delta(old, new)
    assert changes.apply_delta(old, delta) == new
    assert len(delta) < 200


@pytest.mark.parametrize(
    "delta",
    [b"", b"[]", b'{"sections":{"racks":{}}}', b'{"sections":{"ranks":1}}'],
)
def test_unreadable_delta_is_an_error(delta):
    # Guards against a damaged delta being taken for an empty one.
    with pytest.raises(errors.DeltaInvalid):
        changes.apply_delta(documents.Document(), delta)


def test_rendered_diff(snapshot):
    old = samples.valid()
    new = samples.valid()
    new["ranks"].reverse()
    new["ranks"][0]["ttft_target_ms"] = 30000
    del new["workspaces"][0]
    new["workspaces"][0]["token_digests"].append("0" * 64)
    new["services"][0]["calls"][1]["protected"] = False
    new["models"].append({"name": "small", "weight_version": "v7"})
    new["upstreams"][0]["draining"] = True
    new["limits"]["max_queue_per_upstream"] = 9
    found = changes.diff(
        *(msgspec.convert(each, documents.Document) for each in (old, new))
    )
    assert changes.render(found) == snapshot
