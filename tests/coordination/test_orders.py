"""Tests of the control leader's orders."""

import msgspec
import pytest

from papayalink.coordination import orders
from papayalink.protocol import messages
from papayalink.state import document as documents
from papayalink.state import upstreams

NAMES = ("e0", "e1", "e2", "e3")
DOCUMENT = documents.Document(
    ranks=(documents.Rank("urgent", 1600),),
    models=(documents.Model("m", "v2", "v1"),),
    upstreams=tuple(
        documents.Upstream(name, "127.0.0.1:1", "z", "m") for name in NAMES
    ),
)


def _reports(*versions):
    return {
        name: messages.LoadReport(
            name, weight_version=version, prefill_rate=1000
        )
        for name, version in zip(NAMES, versions)
        if version is not None
    }


def _open(name, leader="c1", version="v2"):
    return upstreams.Order(name, 1, "load_weights", version, leader)


@pytest.mark.parametrize(
    "versions, open_orders, expected",
    [
        (("v2", "v2", "v2", "v2"), [], 0),
        # At most two replicas load at once.
        (("v1", "v1", "v1", "v1"), [], 2),
        (("v1", "v1", "v1", "v1"), [_open("e0")], 1),
        (("v1", "v1", "v1", "v1"), [_open("e0"), _open("e1")], 0),
        # Replicas that are not heard of are left alone.
        ((None, None, None, "v2"), [], 0),
    ],
)
def test_weights_are_loaded_a_few_at_a_time(versions, open_orders, expected):
    """Guards against a rollout that takes all capacity away."""
    opened = orders.decide(DOCUMENT, _reports(*versions), open_orders, "c1")
    assert len(opened) == expected
    assert not {order.upstream for order in open_orders} & {
        order.upstream for order in opened
    }


def test_order_of_another_leader_is_taken_over():
    """Guards against an order that two leaders send under one number."""
    state = upstreams.make_upstreams()
    first = state.apply(
        upstreams.OpenOrder("e0", "load_weights", "v2", "c1")
    ).order
    command = orders.decide(
        DOCUMENT, _reports("v1", "v2", "v2", "v2"), state.open_orders, "c2"
    )[0]
    second = state.apply(command).order
    assert second.fence > first.fence
    closed = state.apply(upstreams.CloseOrder("e0", first.fence, "done"))
    assert closed == upstreams.Unchanged()
    assert state.open_orders == (second,)


@pytest.mark.parametrize(
    "vms, leaving, expected",
    [
        ({"e0": True}, {}, [upstreams.MarkLeaving("e0", "platform")]),
        ({"e0": True}, {"e0": ("platform",)}, []),
        (
            {"e0": False},
            {"e0": ("platform",)},
            [upstreams.ClearLeaving("e0", "platform")],
        ),
        # The platform does not overrule an operator, and a VM that is not
        # on its lagging list is left as it is.
        ({"e0": False}, {"e0": ("operator",)}, []),
        ({}, {"e0": ("platform",)}, []),
        # The platform knows VMs by IP address, and not the agents' ports.
        (
            {"127.0.0.1": True},
            {},
            [upstreams.MarkLeaving(name, "platform") for name in NAMES],
        ),
        ({"127.0.0.2": True, "": True, "::1": False}, {}, []),
    ],
)
def test_platform_list_changes_marks(vms, leaving, expected):
    """Guards against a leaving VM that keeps getting work."""
    assert orders.changes_of_leaving(DOCUMENT, vms, leaving) == expected


def test_vm_is_found_by_an_ipv6_address():
    """Guards against brackets of an address that hide its VM."""
    upstream = documents.Upstream("e0", "[fd00::1]:80", "z", "m")
    document = documents.Document(upstreams=(upstream,))
    found = orders.changes_of_leaving(document, {"fd00::1": True}, {})
    assert found == [upstreams.MarkLeaving("e0", "platform")]


@pytest.mark.parametrize("most", [1, 2, 3])
def test_number_of_loading_replicas_follows_the_document(most):
    """Guards against a limit in the document that has no effect."""
    document = msgspec.structs.replace(
        DOCUMENT, limits=documents.Limits(max_loading_replicas=most)
    )
    opened = orders.decide(
        document, _reports("v1", "v1", "v1", "v1"), [], "c1"
    )
    assert len(opened) == most


def test_drained_replicas_load_first_and_do_not_count():
    """Guards against a rollout that loads the only replica in service."""
    drained = tuple(
        msgspec.structs.replace(one, draining=one.name != "e0")
        for one in DOCUMENT.upstreams
    )
    document = msgspec.structs.replace(DOCUMENT, upstreams=drained)
    reports = _reports("v1", "v1", "v1", "v1")
    opened = orders.decide(document, reports, [], "c1")
    assert len(opened) == 2
    assert "e0" not in {order.upstream for order in opened}


@pytest.mark.parametrize("load, loading", [(0, 2), (550, 1), (800, 0)])
def test_rollout_keeps_capacity_for_urgent_work(load, loading):
    """Guards against a rollout that takes capacity urgent work needs."""
    reports = {
        name: msgspec.structs.replace(report, loads_permille=(load,))
        for name, report in _reports("v1", "v1", "v1", "v1").items()
    }
    assert len(orders.decide(DOCUMENT, reports, [], "c1")) == loading
