"""Commands to the control group of a bench deployment."""

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
    """Returns: a proposer that holds the deployment's key."""
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
    """Submit a document."""
    command = configuration.ApplyDocument(
        request_id or uuid.uuid4().hex,
        base_version,
        documents.encode(document),
        "bench",
        0,
    )
    return proposer.propose(command)
