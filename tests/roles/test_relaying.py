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
    """State of the engine as the agent sees it."""

    def __init__(self, weight_version, up=True):
        self.weight_version = weight_version
        self.up = up
        self.adapters = {"a", "removed"}


def _request(version="v2"):
    return relay.RelayRequest(
        "a", "r", "w", "urgent", 1, "m", version, "/", b"", 1.0, 1
    )


@pytest.mark.parametrize(
    "loaded, up, asked, confirmed, state, admitted",
    [
        ("v2", True, "v2", True, "", True),
        ("v1", True, "v1", True, "", True),
        # The entry chose the replica for weights that it no longer has.
        ("v2", True, "v1", True, "", False),
        ("v1", True, "v2", True, "", False),
        # Weights are being swapped.
        ("", True, "v2", True, "", False),
        # Weights that the configuration no longer allows.
        ("v0", True, "v0", True, "", False),
        ("v2", False, "v2", True, "", False),
        ("v2", True, "v2", False, "", False),
        ("v2", True, "v2", True, "upstream is leaving", False),
    ],
)
def test_admission(loaded, up, asked, confirmed, state, admitted):
    """Guards against requests run on other weights or without a lease."""
    admission = relaying.Admission(
        lambda: DOCUMENT,
        lambda: confirmed,
        lambda: state,
        Engine(loaded, up),
        lambda version: None,
    )
    reason = admission.refuse(_request(asked))
    assert (reason == "") is admitted


@pytest.mark.parametrize(
    "adapter, admitted", [("", 1), ("a", 1), ("b", 0), ("removed", 0)]
)
def test_adapter_must_be_listed_and_loaded(adapter, admitted):
    """Guards against answering with the base model instead of the adapter."""
    admission = relaying.Admission(
        lambda: DOCUMENT,
        lambda: True,
        lambda: "",
        Engine("v2"),
        lambda version: None,
    )
    request = msgspec.structs.replace(_request(), adapter=adapter)
    assert (admission.refuse(request) == "") == bool(admitted)


@pytest.mark.parametrize(
    "workspace, newer, known",
    [
        ("w", [], True),
        ("added", [], False),
        # The agent has not yet polled the version of the entry.
        ("added", ["w", "added"], True),
        ("removed", ["w", "added"], False),
    ],
)
def test_workspaces_of_the_configuration(workspace, newer, known):
    """Guards against work for a workspace that is not configured.

    It also guards against refusing a new workspace until the agent's next
    regular poll.
    """
    held = [DOCUMENT]
    asked = []

    def catch_up(version):
        asked.append(version)
        if newer:
            workspaces = tuple(documents.Workspace(name) for name in newer)
            held[0] = documents.Document(workspaces=workspaces)

    admission = relaying.Admission(
        lambda: held[0], lambda: True, lambda: "", Engine("v2"), catch_up
    )
    request = msgspec.structs.replace(_request(), workspace=workspace)
    assert admission.has_workspace(request) is known
    assert asked == ([] if workspace == "w" else [1])
    held[0], newer = documents.Document(), []
    assert not admission.has_workspace(_request())
