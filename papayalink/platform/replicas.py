"""The platform's list of replicas, and orders to them."""

import msgspec

from papayalink import logs
from papayalink.adapters import connection
from papayalink.adapters import errors as adapter_errors
from papayalink.platform import errors
from papayalink.state import replicas

# Above the list's ordinary answer of a few ms; a list that hangs is as good
# as none, and the next period asks again.
LIST_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 1.0
# A list of hundreds of replicas has a handful of pages.
MAX_PAGES = 100

_CONDITIONS = {
    "ready": replicas.Condition.READY,
    "draining": replicas.Condition.LEAVING,
}


class _Model(msgspec.Struct):
    name: str
    version: int


class _Instance(msgspec.Struct, rename="camel"):
    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_remaining_ms: float = 0.0
    models: list[_Model] = []


class _Report(msgspec.Struct):
    models: list[_Model] = []


class _Page(msgspec.Struct, rename="camel"):
    # Entries are decoded one by one: a bad one must not hide the others.
    instances: list[msgspec.Raw]
    # The page behind this one.
    next_token: str | None = None


class Platform:
    """One client for the list and for orders.

    Args:
        address: "IP:PORT" of the list.
    """

    __slots__ = ("_list", "_bad_entries", "_log")

    def __init__(self, address: str) -> None:
        self._list = connection.Connector(address, LIST_TIMEOUT_S)
        self._bad_entries: set[bytes] = set()
        self._log = logs.get_logger()

    def list_replicas(self) -> list[replicas.Replica]:
        """Read all pages.

        Raises: errors.CallFailed
        """
        found: list[replicas.Replica] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            path = "/instances"
            if token:
                path += f"?pageToken={token}"
            page = self._read_page(path)
            for entry in page.instances:
                replica = self._decode(bytes(entry))
                if replica is not None:
                    found.append(replica)
            token = page.next_token
            if not token:
                return found
        raise errors.CallFailed("list does not end")

    def order_weights(
        self,
        replica: replicas.Replica,
        model: str,
        version: int,
        holder: str,
        fence: int,
    ) -> bool:
        """Order weights at a replica; requests under way finish first.

        Returns: whether the replica took the order or already holds it.
        Raises: errors.CallFailed; the order may still be carried out.
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
            )
        except adapter_errors.AdapterError as error:
            raise errors.CallFailed(str(error)) from error
        return reply.status in (200, 202)

    def weights_of(self, replica: replicas.Replica) -> dict[str, int]:
        """Returns: weight version by model, as the replica tells.

        Raises: errors.CallFailed
        """
        connector = connection.Connector(replica.address, ORDER_TIMEOUT_S)
        try:
            reply = connector.call("GET", "/-/report", ORDER_TIMEOUT_S)
            report = msgspec.json.decode(reply.body, type=_Report)
        except (adapter_errors.AdapterError, msgspec.DecodeError) as error:
            raise errors.CallFailed(str(error)) from error
        return {each.name: each.version for each in report.models}

    def _read_page(self, path: str) -> _Page:
        try:
            reply = self._list.call_idempotent("GET", path, LIST_TIMEOUT_S)
        except adapter_errors.AdapterError as error:
            raise errors.CallFailed(f"list: {error}") from error
        if reply.status != 200:
            raise errors.CallFailed(f"list answered {reply.status}")
        try:
            return msgspec.json.decode(reply.body, type=_Page)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.CallFailed(f"list: {error}") from error

    def _decode(self, entry: bytes) -> replicas.Replica | None:
        """Returns: the replica, None for an entry of another writer."""
        try:
            instance = msgspec.json.decode(entry, type=_Instance)
            return replicas.Replica(
                replica_id=instance.id,
                service=instance.service,
                address=instance.address,
                zone=instance.zone,
                slots=instance.slots,
                condition=_CONDITIONS[instance.state],
                cold_s=instance.cold_remaining_ms / 1000,
                weights={each.name: each.version for each in instance.models},
            )
        except (msgspec.DecodeError, UnicodeDecodeError, KeyError) as error:
            if entry not in self._bad_entries:
                self._bad_entries.add(entry)
                self._log.warning("list_entry_ignored", reason=error)
            return None


def make_platform(address: str) -> Platform:
    return Platform(address)
