"""Tests of the lagging list of VMs."""

from fakes import platform as fake
from papayalink import clock as clocks


def test_list_lags():
    clock = clocks.ManualClock()
    platform = fake.Platform(2.0, clock)
    platform.change([fake.Vm("vm1", "a", "z", "live")])
    assert platform.view() == []
    clock.advance(2.0)
    assert len(platform.view()) == 1
