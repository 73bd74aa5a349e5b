"""Tests of a control member's answers to polls."""

import pytest

from papayalink import clock as clocks
from papayalink import metrics
from papayalink.coordination import errors
from papayalink.protocol import messages
from papayalink.roles.control import demands
from papayalink.roles.control import loads
from papayalink.roles.control import service
from papayalink.state import configuration
from papayalink.state import document as documents
from papayalink.state import held_configuration
from papayalink.state import machine as machines
from papayalink.transport import errors as transport_errors


class Replica:
    """Confirms reads while `confirms` is set."""

    leader_id = None

    def __init__(self):
        self.confirms = True

    def confirm_read(self, timeout_s):
        if not self.confirms:
            raise errors.Unavailable("no quorum")
        return 1


class Peers:
    """No other members."""

    def address_of(self, member_id):
        return ""


@pytest.fixture
def replica():
    return Replica()


@pytest.fixture
def machine():
    return machines.make_machine()


@pytest.fixture
def control(replica, machine):
    clock = clocks.ManualClock(10.0)
    built = service.ControlService(
        None,
        machine,
        Peers(),
        loads.make_load_table(clock),
        demands.make_demand_table(clock),
        metrics.make_metrics(),
    )
    built.attach(replica, None)
    return built


def _apply(machine, base, **limits):
    document = documents.Document(limits=documents.Limits(**limits))
    command = configuration.ApplyDocument(
        f"r{base}", base, documents.encode(document), "x", 0
    )
    machine.apply(base + 1, machines.encode_command(command))


def _poll(holder):
    return messages.Poll(
        "entry-1", "entry", "i", holder.version, holder.digest
    )


def test_poll_is_refused_without_a_quorum(control, replica):
    """Guards against an isolated member that confirms stale versions."""
    replica.confirms = False
    with pytest.raises(transport_errors.RpcRefused) as refusal:
        control.poll(_poll(held_configuration.make_held_configuration()))
    assert refusal.value.code == "unavailable"


@pytest.mark.parametrize("behind", [0, 1, 2, 5])
def test_poller_is_brought_up_to_date(control, machine, behind):
    """Guards against deltas that lead to a different document."""
    holder = held_configuration.make_held_configuration()
    for base in range(6):
        _apply(machine, base, max_queue_per_upstream=base + 1)
        if base == 5 - behind:
            reply = control.poll(_poll(holder))
            holder.update(
                reply.version, reply.document_json, reply.delta, reply.digest
            )
    reply = control.poll(_poll(holder))
    assert bool(reply.delta) is (behind > 0)
    assert not reply.document
    holder.update(reply.version, reply.document, reply.delta, reply.digest)
    assert holder.digest == machine.configuration.digest


def test_damaged_poller_gets_the_whole_document(control, machine):
    """Guards against applying a delta to a document of unknown content."""
    _apply(machine, 0, max_queue_per_upstream=9)
    reply = control.poll(messages.Poll("entry-1", "entry", "i", 1, ""))
    assert reply.document_json == machine.configuration.document_bytes


def test_document_is_compressed_once_for_all_pollers(control, machine):
    """Guards against compressing once per poller after a zone comes back."""
    replies = []
    for base in range(2):
        _apply(machine, base, max_queue_per_upstream=base + 1)
        for number in range(2):
            poll = messages.Poll(f"entry-{number}", "entry", "i")
            replies.append(control.poll(poll))
            assert replies[-1].skips_compression
    assert replies[0].document is replies[1].document
    assert replies[2].document is replies[3].document
    assert replies[3].document_json == machine.configuration.document_bytes
