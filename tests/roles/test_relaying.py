"""Tests of the agent's admission of model requests."""

import msgspec
import pytest

from papayalink.protocol import relay
from papayalink.roles.agent import relaying
from papayalink.state import document as documents

DOCUMENT = documents.Document(
    workspaces=(documents.Workspace("w"),),
    models=(documents.Model("m", "v2", "v1", ("a", "b")),),
)


class Engine:
    """What the agent knows of its engine."""

    def __init__(self, weight_version, up=True):
        self.weight_version = weight_version
        self.up = up
        self.adapters = {"a", "removed"}


def _request(version="v2", workspace="w"):
    return relay.RelayRequest(
        "a", "r", workspace, "urgent", 1, "m", version, "/", b"", 1.0, 1
    )


@pytest.mark.parametrize(
    "loaded, up, asked, workspace, confirmed, state, admitted",
    [
        ("v2", True, "v2", "w", True, "", True),
        ("v1", True, "v1", "w", True, "", True),
        # The entry chose the replica for weights that it no longer has.
        ("v2", True, "v1", "w", True, "", False),
        ("v1", True, "v2", "w", True, "", False),
        # Weights are being swapped.
        ("", True, "v2", "w", True, "", False),
        # Weights that the configuration no longer allows.
        ("v0", True, "v0", "w", True, "", False),
        ("v2", False, "v2", "w", True, "", False),
        ("v2", True, "v2", "removed", True, "", False),
        ("v2", True, "v2", "w", False, "", False),
        ("v2", True, "v2", "w", True, "upstream is leaving", False),
    ],
)
def test_admission(loaded, up, asked, workspace, confirmed, state, admitted):
    """Guards against work on other weights or without a confirmation."""
    admission = relaying.Admission(
        lambda: DOCUMENT,
        lambda: confirmed,
        lambda: state,
        Engine(loaded, up),
    )
    reason = admission.refuse(_request(asked, workspace))
    assert (reason == "") is admitted


@pytest.mark.parametrize(
    "adapter, admitted", [("", 1), ("a", 1), ("b", 0), ("removed", 0)]
)
def test_adapter_must_be_listed_and_loaded(adapter, admitted):
    """Guards against an answer of the plain model for an adapter."""
    admission = relaying.Admission(
        lambda: DOCUMENT, lambda: True, lambda: "", Engine("v2")
    )
    request = msgspec.structs.replace(_request(), adapter=adapter)
    assert (admission.refuse(request) == "") == bool(admitted)
