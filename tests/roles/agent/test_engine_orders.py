"""Tests of how an agent carries out orders."""

import types

import gevent
from gevent import event
import pytest

from papayalink.protocol import messages
from papayalink.roles.agent import engine_orders


class _Engine:
    """Records orders and blocks them until `release` is set."""

    def __init__(self):
        self.orders = []
        self.release = event.Event()

    def order(self, fence, order):
        self.orders.append((fence, order["action"]))
        self.release.wait()


class _State:
    def __init__(self):
        self.weight_version = "v1"
        self.adapters = set()
        self.add_adapter = self.adapters.add

    def begin_swap(self):
        self.weight_version = ""

    def end_swap(self, version):
        self.weight_version = version


def _orders(engine, confirmed, checks=False):
    return engine_orders.EngineOrders(
        engine,
        _State(),
        types.SimpleNamespace(pause=lambda: None, resume=lambda: None),
        types.SimpleNamespace(starting=0),
        lambda: 1,
        lambda: confirmed,
        lambda: checks,
    )


def _order(fence, action="load_adapter"):
    return messages.Order("e0", fence, action, "a")


@pytest.mark.parametrize("action", ["load_adapter", "load_weights"])
@pytest.mark.parametrize(
    "confirmed, checks, result",
    [
        (3, False, "done"),
        # Another order was opened after this one.
        (4, False, "stale"),
        # The quorum could not be reached.
        (None, False, "failed"),
        # The engine itself refuses old fencing tokens.
        (None, True, "done"),
    ],
)
def test_unchecking_engine_gets_only_confirmed_orders(
    action, confirmed, checks, result
):
    """Guards against a stale order at an engine that ignores fencing."""
    engine = _Engine()
    engine.release.set()
    orders = _orders(engine, confirmed, checks)
    assert orders.carry_out(_order(3, action)).result == result
    assert engine.orders == ([(3, action)] if result == "done" else [])


def test_taken_over_order_is_carried_out_once():
    """Guards against an adapter that is loaded once for each leader."""
    engine = _Engine()
    orders = _orders(engine, None, checks=True)
    first = gevent.spawn(orders.carry_out, _order(3))
    gevent.sleep(0)
    second = gevent.spawn(orders.carry_out, _order(4))
    gevent.sleep(0)
    engine.release.set()
    assert first.get().result == second.get().result == "done"
    assert engine.orders == [(3, "load_adapter")]
