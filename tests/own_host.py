"""Loopback address of the servers that a test process starts."""

import os


def host_of(pid):
    """Returns: loopback address of the servers of one process.

    Not the one from which connections on loopback come: those of all runs on a
    machine may take each port of it that the system gives out, and keep them
    for a minute after their end. Nor that of another run, whose gateways may
    send requests to ports of servers that have ended.
    """
    low, high = pid % 250 + 1, pid // 250 % 250 + 1
    return f"127.1.{high}.{low}"


HOST = host_of(os.getpid())
