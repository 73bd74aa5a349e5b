"""Fake engine and stores in memory, and prompts located in them."""

import time

import gevent
from gevent import event

from papayalink import clock as clocks
from papayalink import metrics as metrics_module
from papayalink.protocol import messages
from papayalink.protocol import pieces
from papayalink.roles.agent import locating
from papayalink.roles.agent import restoring
from papayalink.roles.agent import store_links
from papayalink.roles.agent import transfers
from papayalink.state import document as documents

PIECE_BYTES = 128 * 1024
WAIT_S = 30.0


class FakeState:
    def __init__(self, prefill_rate):
        self.prefill_rate = prefill_rate


class FakeEngine:
    """Imports and exports pieces; raises `error`, if set, on imports."""

    def __init__(self):
        self.imported = []
        self.exported = []
        self.error = None

    def tokenize(self, body):
        return list(range(len(body)))

    def import_piece(self, workspace, weight_version, digest, payload):
        if self.error is not None:
            raise self.error
        self.imported.append(digest)

    def export_piece(self, workspace, weight_version, digest):
        self.exported.append(digest)
        return bytes(PIECE_BYTES)


class FakeClient:
    """Client of stores, which are identified by their addresses.

    Attributes:
        read_s: durations of successive reads in seconds by address; the last
            one repeats, and None blocks the read for ever.
        missing: addresses of stores that have no pieces.
        copies: reply to a write by address; 0 refuses the piece.
        reading: number of reads in progress.
        reads: address of each read.
        writes: address, key and `is_copy` of each write.
    """

    def __init__(self):
        self.read_s = {}
        self.missing = set()
        self.copies = {}
        self.reading = 0
        self.reads = []
        self.writes = []

    def read(self, address, key):
        self.reads.append(address)
        self.reading += 1
        try:
            waits = self.read_s.get(address, [0.0])
            wait_s = waits.pop(0) if len(waits) > 1 else waits[0]
            if wait_s is None:
                event.Event().wait()
            gevent.sleep(wait_s)
        finally:
            self.reading -= 1
        return None if address in self.missing else bytes(PIECE_BYTES)

    def write(self, address, key, payload, facts):
        gevent.sleep(0)
        self.writes.append((address, key, facts.is_copy))
        return self.copies.get(address, 1)


class Parts:
    """One agent's view of its engine and of stores "a" and "b".

    Args:
        prefill_rate: tokens a second.
    """

    def __init__(self, prefill_rate=20_000.0):
        self.engine = FakeEngine()
        self.client = FakeClient()
        self.links = store_links.StoreLinks()
        self.links.piece_bytes = PIECE_BYTES
        self.state = FakeState(prefill_rate)
        self.clock = clocks.make_clock()
        self.metrics = metrics_module.make_metrics()
        piece_transfers = transfers.Transfers(
            self.engine, self.client, self.links, self.clock, self.metrics
        )
        self.restorer = restoring.Restorer(piece_transfers, self.state)

    def measure(self, store, piece_s, age_s=0.0):
        """Record a transfer of one piece in the estimate of a link."""
        estimate = self.links.link(store).estimate
        now = self.clock.now() - age_s
        estimate.record(PIECE_BYTES, piece_s, now)


def located(count, holders="a", copies=1, workspace="acme", stores="ab"):
    """Returns: a prompt of full pieces, all held by the stores `holders`."""
    tokens = list(range(count * pieces.PIECE_TOKENS))
    return locating.LocatedPrompt(
        pieces.piece_keys(workspace, "v1", tokens),
        [f"{workspace}-{position}" for position in range(count)],
        0,
        [documents.Store(name, f"at-{name}", f"z{name}") for name in stores],
        [
            messages.LookupReply(
                (name in holders,) * count,
                (copies if name in holders else 0,) * count,
            )
            for name in stores
        ],
    )


def wait_until(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        gevent.sleep(0.005)
