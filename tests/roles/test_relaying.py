"""Tests of the agent's admission of model requests."""

import pytest

from papayalink.protocol import relay
from papayalink.roles.agent import relaying
from papayalink.state import document as documents

DOCUMENT = documents.Document(
    workspaces=(documents.Workspace("w"),),
    models=(documents.Model("m", "v2", "v1"),),
)


class Engine:
    """What the agent knows of its engine."""

    def __init__(self, weight_version, up=True):
        self.weight_version = weight_version
        self.up = up


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
    """Guards against work on other weights or without a confirmation."""
    admission = relaying.Admission(
        lambda: DOCUMENT,
        lambda: confirmed,
        lambda: state,
        Engine(loaded, up),
    )
    reason = admission.refuse(_request(asked))
    assert (reason == "") is admitted


def test_workspaces_of_the_configuration_in_force():
    """Guards against work for a workspace that was removed or never was."""
    held = [DOCUMENT]
    admission = relaying.Admission(
        lambda: held[0], lambda: True, lambda: "", Engine("v2")
    )
    assert admission.knows("w") and not admission.knows("removed")
    held[0] = documents.Document()
    assert not admission.knows("w")
