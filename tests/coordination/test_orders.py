"""Tests of the orders that the control leader chooses."""

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


def _open_order(name, leader="c1", version="v2"):
    return upstreams.Order(name, 1, "load_weights", version, leader)


@pytest.mark.parametrize(
    "versions, open_orders, expected",
    [
        (("v2", "v2", "v2", "v2"), [], 0),
        # At most two replicas load at the same time.
        (("v1", "v1", "v1", "v1"), [], 2),
        (("v1", "v1", "v1", "v1"), [_open_order("e0")], 1),
        (("v1", "v1", "v1", "v1"), [_open_order("e0"), _open_order("e1")], 0),
        # Replicas without a report get no order.
        ((None, None, None, "v2"), [], 0),
    ],
)
def test_weights_are_loaded_a_few_at_a_time(versions, open_orders, expected):
    """Guards against a rollout that takes all replicas out of service."""
    opened = orders.choose_orders(
        DOCUMENT, _reports(*versions), open_orders, "c1"
    )
    assert len(opened) == expected
    assert not {order.upstream for order in open_orders} & {
        order.upstream for order in opened
    }


def test_order_of_another_leader_is_taken_over():
    """Guards against two leaders that send orders under one fencing token."""
    state = upstreams.make_upstreams()
    first = state.apply(
        upstreams.OpenOrder("e0", "load_weights", "v2", "c1")
    ).order
    command = orders.choose_orders(
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
        # The platform does not override an operator, and the mark of a VM
        # that is missing from its list, which may lag, does not change.
        ({"e0": False}, {"e0": ("operator",)}, []),
        ({}, {"e0": ("platform",)}, []),
        # The platform reports IP addresses, without the agents' ports.
        (
            {"127.0.0.1": True},
            {},
            [upstreams.MarkLeaving(name, "platform") for name in NAMES],
        ),
        ({"127.0.0.2": True, "": True, "::1": False}, {}, []),
    ],
)
def test_platform_list_changes_marks(vms, leaving, expected):
    """Guards against new work for a VM that is leaving."""
    assert orders.choose_leaving_changes(DOCUMENT, vms, leaving) == expected


def test_vm_is_found_by_an_ipv6_address():
    """Guards against a VM missed because of the brackets in the address."""
    upstream = documents.Upstream("e0", "[fd00::1]:80", "z", "m")
    document = documents.Document(upstreams=(upstream,))
    found = orders.choose_leaving_changes(document, {"fd00::1": True}, {})
    assert found == [upstreams.MarkLeaving("e0", "platform")]


@pytest.mark.parametrize("limit", [1, 2, 3])
def test_number_of_loading_replicas_follows_the_document(limit):
    """Guards against a limit in the document that has no effect."""
    document = msgspec.structs.replace(
        DOCUMENT, limits=documents.Limits(max_loading_replicas=limit)
    )
    opened = orders.choose_orders(
        document, _reports("v1", "v1", "v1", "v1"), [], "c1"
    )
    assert len(opened) == limit


def test_drained_replicas_load_first_and_are_no_capacity():
    """Guards against a rollout that loads the only replica in service."""
    drained = tuple(
        msgspec.structs.replace(upstream, draining=upstream.name != "e0")
        for upstream in DOCUMENT.upstreams
    )
    document = msgspec.structs.replace(DOCUMENT, upstreams=drained)
    reports = _reports("v1", "v1", "v1", "v1")
    opened = orders.choose_orders(document, reports, [], "c1")
    assert len(opened) == 2
    assert "e0" not in {order.upstream for order in opened}


@pytest.mark.parametrize("load, loading", [(0, 2), (550, 1), (800, 0)])
def test_rollout_keeps_capacity_for_urgent_work(load, loading):
    """Guards against a rollout that takes capacity from urgent work."""
    reports = {
        name: msgspec.structs.replace(report, loads_permille=(load,))
        for name, report in _reports("v1", "v1", "v1", "v1").items()
    }
    assert len(orders.choose_orders(DOCUMENT, reports, [], "c1")) == loading


def _with_adapters(versions, adapters_by_replica):
    models = (documents.Model("m", "v2", "v1", ("a", "b")),)
    reports = {
        name: msgspec.structs.replace(report, adapters=adapters)
        for (name, report), adapters in zip(
            _reports(*versions).items(), adapters_by_replica, strict=True
        )
    }
    return msgspec.structs.replace(DOCUMENT, models=models), reports


BOTH = ("a", "b")
ALL = ("v2",) * 4


@pytest.mark.parametrize(
    "versions, adapters, open_orders, recently_failed, expected",
    [
        (ALL, [BOTH] * 4, [], [], []),
        # A few replicas at a time, those with the fewest adapters first.
        (ALL, [("a",), (), (), ()], [], [], [("e1", "a"), ("e2", "a")]),
        (ALL, [("a",), BOTH, BOTH, BOTH], [], [], [("e0", "b")]),
        (ALL, [()] * 4, [_open_order("e1")], [], [("e0", "a")]),
        (ALL, [()] * 4, [_open_order("e0"), _open_order("e1")], [], []),
        # Weights load first, and count towards the limit.
        (("v1", "v2", "v2", "v2"), [()] * 4, [], [], [("e1", "a")]),
        (("v1", "v1", "v2", "v2"), [()] * 4, [], [], []),
        # An adapter that failed recently does not delay the others.
        (
            ALL,
            [(), BOTH, BOTH, BOTH],
            [],
            [("e0", "a")],
            [("e0", "b")],
        ),
    ],
)
def test_adapters_are_loaded_after_the_weights(
    versions, adapters, open_orders, recently_failed, expected
):
    """Guards against loads on replicas with other weights, or too many."""
    document, reports = _with_adapters(versions, adapters)
    opened = orders.choose_orders(
        document, reports, open_orders, "c1", recently_failed
    )
    loads = [
        (order.upstream, order.argument)
        for order in opened
        if order.action == orders.LOAD_ADAPTER
    ]
    assert loads == expected


def test_open_adapter_order_is_taken_over():
    """Guards against an adapter order lost with the leader that opened it."""
    document, reports = _with_adapters(ALL, [()] * 4)
    old = upstreams.Order("e0", 7, orders.LOAD_ADAPTER, "a", "c1")
    opened = orders.choose_orders(document, reports, [old], "c2")
    assert opened[0] == upstreams.OpenOrder("e0", "load_adapter", "a", "c2")
    assert "e0" not in {order.upstream for order in opened[1:]}
