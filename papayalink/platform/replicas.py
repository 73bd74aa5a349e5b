"""Reads the platform's list of replicas and sends orders to them."""

from collections.abc import Iterable
import ipaddress
import re
import time
from typing import Annotated
from urllib import parse

import msgspec

from papayalink import logs
from papayalink.adapters import connection
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import upstream_client
from papayalink.platform import errors
from papayalink.platform import list_pages
from papayalink.state import replicas

# The list normally answers within a few ms. A call that hangs counts as
# failed, and the caller asks again in its next period.
LIST_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 1.0
# Largest answer of a replica to an order, or report of its state, which has
# some dozens of bytes for each running call. Many replicas are asked at once.
MAX_REPORT_BYTES = 1024 * 1024
# A list of hundreds of replicas has only a few pages.
MAX_PAGES = 100
# Entries that name no replica stay in the list, and may differ each time.
LOG_PERIOD_S = 60.0
MAX_LOGGED_BYTES = 100

# Answer of a replica that is not the expected one.
_MISDIRECTED = 421

_PORT = re.compile(r"[1-9][0-9]{0,4}")
MAX_PORT = 65_535

_CONDITIONS = {
    "ready": replicas.Condition.READY,
    "draining": replicas.Condition.LEAVING,
}


class _EntryInvalid(Exception):
    """An entry of the list names no replica to use."""


# Names and ids are sent in headers and written to logs.
_Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=128, pattern="^[!-~]+\\Z")
]
_OptionalName = Annotated[
    str, msgspec.Meta(max_length=128, pattern="^[!-~]*\\Z")
]
# Processes exchange numbers of at most 64 bits.
_Version = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
_MAX_MODELS = 256


class _Model(msgspec.Struct):
    name: _Name
    version: _Version


class _Instance(msgspec.Struct, rename="camel"):
    id: _Name
    service: _Name
    address: str
    zone: _OptionalName
    version: _OptionalName
    slots: _Slots
    state: str
    cold_remaining_ms: _Milliseconds
    models: Annotated[list[_Model], msgspec.Meta(max_length=_MAX_MODELS)] = []
    born: Annotated[int, msgspec.Meta(ge=0, le=2**53)] = 0


class _Report(msgspec.Struct):
    models: list[_Model] = []
    sequence: int | None = None
    busy: bool = False


class Platform:
    """Client for the list of replicas and for orders to replicas.

    Args:
        address: "IP:PORT" of the list of replicas.
    """

    __slots__ = ("_list", "_logged_at", "_log")

    def __init__(self, address: str) -> None:
        self._list = connection.Connector(address, LIST_TIMEOUT_S)
        self._logged_at = float("-inf")
        self._log = logs.get_logger()

    def list_replicas(self) -> list[replicas.Replica]:
        """Read all pages.

        Raises: errors.CallFailed
        """
        found: dict[str, replicas.Replica] = {}
        token: str | None = None
        used_tokens: set[str] = set()
        for _ in range(MAX_PAGES):
            path = "/instances"
            if token:
                path += f"?pageToken={parse.quote(token, safe='')}"
            page = self._read_page(path)
            for replica in self._decode(page.entries):
                _add(found, replica)
            token = page.next_token
            if token in used_tokens:
                raise errors.CallFailed("a page of the list returns")
            if not token:
                return list(found.values())
            used_tokens.add(token)
        raise errors.CallFailed("list of replicas has too many pages")

    def order_weights(
        self,
        replica: replicas.Replica,
        model: str,
        version: int,
        holder: str,
        fence: int,
    ) -> bool:
        """Order a replica to load weights after its running requests.

        Returns: whether the replica accepted the order, now or before.
        Raises: errors.ReplicaNotReached, or errors.CallFailed when the
            replica may still carry out the order.
        """
        order = {
            "operation": "version",
            "model": model,
            "version": version,
            "swapMode": "queue",
            "holder": holder,
            "fencingToken": fence,
        }
        connector = connection.Connector(replica.address, ORDER_TIMEOUT_S)
        headers = [
            ("Content-Type", "application/json"),
            ("Papayalink-Expect-Instance", replica.replica_id),
        ]
        try:
            reply = connector.call(
                "POST",
                "/-/order",
                ORDER_TIMEOUT_S,
                headers,
                msgspec.json.encode(order),
                MAX_REPORT_BYTES,
            )
        except adapter_errors.AdapterError as error:
            raise _make_error(error) from error
        if reply.status == _MISDIRECTED:
            raise errors.ReplicaEnded("another replica answers")
        return reply.status in (200, 202)

    def read_report(self, replica: replicas.Replica) -> upstream_client.Report:
        """Returns: what the replica reports of itself.

        Raises: errors.CallFailed, among them errors.ReplicaNotReached
        """
        connector = connection.Connector(replica.address, ORDER_TIMEOUT_S)
        try:
            reply = connector.call(
                "GET",
                "/-/report",
                ORDER_TIMEOUT_S,
                max_bytes=MAX_REPORT_BYTES,
            )
            report = msgspec.json.decode(reply.body, type=_Report)
        except adapter_errors.AdapterError as error:
            raise _make_error(error) from error
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            raise errors.CallFailed(str(error)) from error
        return upstream_client.Report(
            weights={model.name: model.version for model in report.models},
            orders=report.sequence,
            busy=report.busy,
        )

    def _read_page(self, path: str) -> list_pages.Page:
        try:
            reply = self._list.call_idempotent("GET", path, LIST_TIMEOUT_S)
        except adapter_errors.AdapterError as error:
            raise errors.CallFailed(f"list of replicas: {error}") from error
        if reply.status != 200:
            raise errors.CallFailed(
                f"list of replicas answered {reply.status}"
            )
        try:
            return list_pages.split(reply.body, _is_sound)
        except list_pages.PageUnreadable as error:
            raise errors.CallFailed(f"list of replicas: {error}") from error

    def _decode(self, items: Iterable[bytes]) -> list[replicas.Replica]:
        """Returns: the replicas that the items name."""
        found = []
        ignored = 0
        for item in items:
            try:
                found.append(_decode_entry(item))
            except _EntryInvalid as error:
                ignored += 1
                reason = f"{error}: {item[:MAX_LOGGED_BYTES]!r}"
        if ignored and time.monotonic() - self._logged_at > LOG_PERIOD_S:
            self._logged_at = time.monotonic()
            self._log.warning(
                "list_entries_ignored", entries=ignored, reason=reason
            )
        return found


def _make_error(error: adapter_errors.AdapterError) -> errors.CallFailed:
    match error:
        case adapter_errors.Refused():
            return errors.ReplicaEnded(str(error))
        case adapter_errors.Unreachable():
            return errors.ReplicaNotReached(str(error))
        case _:
            return errors.CallFailed(str(error))


def _add(
    found: dict[str, replicas.Replica], replica: replicas.Replica
) -> None:
    """Add a replica, which may leave if any of its entries says so.

    An entry comes twice if the list changes between two pages.
    """
    known = found.setdefault(replica.replica_id, replica)
    if replica.condition is replicas.Condition.LEAVING:
        found[replica.replica_id] = msgspec.structs.replace(
            known, condition=replica.condition
        )


def _is_sound(item: bytes) -> bool:
    try:
        _decode_entry(item)
    except _EntryInvalid:
        return False
    return True


def _decode_entry(item: bytes) -> replicas.Replica:
    """Raises: _EntryInvalid"""
    if len(item) > list_pages.MAX_ENTRY_BYTES:
        raise _EntryInvalid("too long")
    if list_pages.is_deep(item):
        raise _EntryInvalid("nested too deeply")
    try:
        instance = msgspec.json.decode(item, type=_Instance)
        _check_address(instance.address)
        return replicas.Replica(
            replica_id=instance.id,
            service=instance.service,
            address=instance.address,
            zone=instance.zone,
            software=instance.version,
            slots=instance.slots,
            condition=_CONDITIONS[instance.state],
            cold_s=instance.cold_remaining_ms / 1000,
            weights={model.name: model.version for model in instance.models},
            born_ms=instance.born,
        )
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
        KeyError,
    ) as error:
        raise _EntryInvalid(str(error)) from error


def _check_address(address: str) -> None:
    """Check that an address is "IP:PORT" with the IPv4 address of a machine.

    Raises: _EntryInvalid
    """
    host, _, port = address.rpartition(":")
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise _EntryInvalid("address has no valid port")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise _EntryInvalid("address has no IPv4 address") from error
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise _EntryInvalid("address belongs to no machine")


def make_platform(address: str) -> Platform:
    return Platform(address)
