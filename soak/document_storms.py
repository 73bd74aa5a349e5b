"""Losses of power beside documents in quick succession."""

import random
import time

import gevent

from soak import faults
from soak import nodes as node_module
from soak import operators

# Time for which documents are sent before each loss of power.
STORM_S = (0.5, 4.0)
# Routes beyond those that are called. Some twenty documents with so many fill
# the log, so that losses of power fall beside snapshots.
PADDING_ROUTES = 3000
PUT_TIMEOUT_S = 3.0
# Reads are checked from this long after a document was accepted, and a member
# that has lost its disk counts as lost for so long after it is back.
SETTLING_S = 4.2
# Time in which some member returns the document.
READ_TIMEOUT_S = 14.0
READS = 6


class DocumentStorms:
    """Lets all processes lose power right after a document was accepted.

    One disk is lost each time.
    """

    def __init__(
        self,
        operator: operators.Operator,
        members: list[node_module.Node],
        injector: faults.Injector,
        rng: random.Random,
    ) -> None:
        self._operator = operator
        self._members = members
        self._injector = injector
        self._rng = rng

    def run(self, until: float) -> list[str]:
        """Returns: one line for each round in which nothing could be read."""
        findings = []
        while time.monotonic() < until:
            storm_until = time.monotonic() + self._rng.uniform(*STORM_S)
            accepted = False
            while time.monotonic() < storm_until or not accepted:
                accepted = self._operator.put(
                    self._members, PUT_TIMEOUT_S, PADDING_ROUTES
                )
            self._injector.lose_power()
            gevent.sleep(SETTLING_S)
            if not self._read():
                findings.append("no member returns the document after a loss")
        return findings

    def _read(self) -> bool:
        """Returns: whether some member returns the document."""
        read_until = time.monotonic() + READ_TIMEOUT_S
        reads = 0
        while time.monotonic() < read_until and reads < READS:
            reads += self._operator.read(self._members)
        return reads > 0


def make_document_storms(
    operator: operators.Operator,
    members: list[node_module.Node],
    injector: faults.Injector,
    rng: random.Random,
) -> DocumentStorms:
    return DocumentStorms(operator, members, injector, rng)
