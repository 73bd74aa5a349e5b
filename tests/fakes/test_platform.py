"""Tests of the delay of the list of VMs."""

from fakes import platform as fake
from papayalink import clock as clocks


def test_clients_see_the_list_with_a_delay():
    clock = clocks.ManualClock()
    platform = fake.Platform(2.0, clock)
    platform.change([fake.Vm("vm1", "a", "z", "live")])
    assert platform.view() == []
    clock.advance(2.0)
    assert len(platform.view()) == 1
