"""Derives names of control members from their addresses, and back."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from papayalink.roles.control import peers


def name_of_ip(ip: str) -> str:
    """Returns: name of the member at an IP address, without dots."""
    return ip.replace(".", "-")


class AddressBook(Mapping[str, str]):
    """RPC address of each known member by its name.

    Members may join from addresses that are not in the settings, so the
    address of a member is derived from its name. Iteration gives the known
    names.

    Args:
        port: the port on which all members accept RPCs.
    """

    __slots__ = ("_port", "_names")

    def __init__(self, port: int) -> None:
        self._port = port
        self._names: dict[str, None] = {}

    def __getitem__(self, name: str) -> str:
        return f"{name.replace('-', '.')}:{self._port}"

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._names))

    def __len__(self) -> int:
        return len(self._names)

    def learn_addresses(self, addresses: Iterable[str]) -> None:
        """Add members by "IP:PORT"."""
        for address in addresses:
            self._names[name_of_ip(address.rpartition(":")[0])] = None

    def learn_members(self, member_ids: Iterable[str]) -> None:
        """Add members by their ids in the group."""
        for member_id in member_ids:
            self._names[peers.name_of(member_id)] = None


def make_address_book(port: int) -> AddressBook:
    return AddressBook(port)
