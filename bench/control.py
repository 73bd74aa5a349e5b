"""Sends commands to the control group of a deployment of bench."""

import uuid

from bench import deployment as deployments
from papayalink import clock as clocks
from papayalink.coordination import proposer as proposers
from papayalink.state import configuration
from papayalink.state import document as documents
from papayalink.transport import auth
from papayalink.transport import rpc


def make_proposer(
    deployment: deployments.Deployment,
) -> proposers.Proposer:
    """Returns: a proposer that signs with the key of the deployment."""
    clock = clocks.make_clock()
    signer = auth.make_signer(bytes.fromhex(deployment.key), clock)
    return proposers.make_proposer(
        list(deployment.controls.values()), rpc.make_client(signer), clock
    )


def apply(
    proposer: proposers.Proposer,
    document: documents.Document,
    base_version: int,
    request_id: str = "",
) -> configuration.ApplyOutcome:
    """Propose a document. Returns: the outcome of applying it."""
    command = configuration.ApplyDocument(
        request_id or uuid.uuid4().hex,
        base_version,
        documents.encode(document),
        "bench",
        0,
    )
    return proposer.propose(command)
