"""Client of the platform's list of live and leaving VMs."""

from typing import Literal

import msgspec

from papayalink.adapters import connection
from papayalink.adapters import replies

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 5.0


class VmState(msgspec.Struct, frozen=True):
    """A VM as listed by the platform."""

    name: str
    address: str
    zone: str
    state: Literal["live", "leaving"]


class _VmList(msgspec.Struct):
    vms: list[VmState]


class Platform:
    """The platform that runs the VMs."""

    __slots__ = ("_connector", "_read_timeout_s")

    def __init__(
        self, connector: connection.Connector, read_timeout_s: float
    ) -> None:
        self._connector = connector
        self._read_timeout_s = read_timeout_s

    def list_vms(self) -> list[VmState]:
        """List the VMs; the list lags behind their actual state.

        Raises: AdapterError when no valid list was received.
        """
        reply = self._connector.call_idempotent(
            "GET", "/vms", self._read_timeout_s
        )
        return replies.decode_ok(reply, _VmList).vms

    def close(self) -> None:
        """Close the idle connections."""
        self._connector.close()


def make_platform(
    address: str,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    read_timeout_s: float = READ_TIMEOUT_S,
) -> Platform:
    """Make the adapter of the platform.

    Args:
        address: HOST:PORT of the platform.
        connect_timeout_s: time allowed for connecting.
        read_timeout_s: time allowed without progress in a call.
    """
    return Platform(
        connection.Connector(address, connect_timeout_s), read_timeout_s
    )
