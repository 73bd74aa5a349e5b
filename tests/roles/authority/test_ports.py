"""Tests of the choice of ports for authorities."""

import contextlib
import socket

from tests.roles.authority import ports

_IP = "127.0.9.1"


# Guards against a port that another run of the tests, or any process that lets
# the system choose, takes before the member listens on it.
def test_chosen_ports_are_not_given_to_others():
    chosen = [ports.choose(_IP) for _ in range(40)]
    used = [each for port in chosen for each in (port, port + 1)]
    assert len(set(used)) == len(used)
    with open("/proc/sys/net/ipv4/ip_local_port_range") as limits:
        first = int(limits.read().split()[0])
    assert max(used) < first


# Guards against a port whose neighbour, for the state dump, is taken.
def test_port_is_not_chosen_beside_one_that_is_taken():
    free = ports.choose(_IP)
    ports._recent.clear()
    others = range(ports._block._ports.start, free | 1)
    taken = set(others) - {free, free + 1}
    listeners = []
    try:
        for port in taken:
            listeners.append(socket.socket())
            # Closed connections of tests before this one hold ports too.
            with contextlib.suppress(OSError):
                listeners[-1].bind((_IP, port))
        chosen = ports.choose(_IP)
        assert not taken & {chosen, chosen + 1}
    finally:
        for each in listeners:
            each.close()
