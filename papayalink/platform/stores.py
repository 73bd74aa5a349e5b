"""The platform's stores of cached prompt parts."""

import msgspec

from papayalink.adapters import connection
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import upstream_client
from papayalink.platform import errors
from papayalink.state import part_directory
from papayalink.state import traffic

# Shorter waits are paid for, and 1 s is the longest.
WAIT_MS = 900
CALL_TIMEOUT_S = 2.0


class _Events(msgspec.Struct, rename="camel"):
    epoch: int
    # Number for the next question, not the next page.
    next_token: int
    lost: bool = False
    # [number, "+" or "-", salt, part id, tokens now, model]
    events: list[tuple[int, str, str, str, int, str]] = []


class _Held(msgspec.Struct, rename="camel"):
    epoch: int
    next_token: int
    # [salt, part id, tokens, model]
    held: list[tuple[str, str, int, str]] = []


class StoreReader:
    """Follows the events of one store."""

    __slots__ = ("_store", "_connector", "_epoch", "_next")

    def __init__(self, store: traffic.CacheStore) -> None:
        self._store = store
        self._connector = connection.Connector(store.address, CALL_TIMEOUT_S)
        self._epoch: int | None = None
        self._next = 0

    def read(self) -> list[part_directory.Change]:
        """Wait for changes, about a second.

        Returns: changes, beginning with an empty store after its restart or
            a gap.
        Raises: errors.CallFailed
        """
        if self._epoch is None:
            return self._read_all()
        path = f"/-/kv-events?since={self._next}"
        events = self._call(path, _Events, [("Wait-Ms", str(WAIT_MS))])
        if events.epoch != self._epoch or events.lost:
            return self._read_all()
        self._next = events.next_token
        return [
            part_directory.Change(
                self._store.name,
                part_directory.part_key(salt, part_id),
                tokens if sign == "+" else 0,
            )
            for _, sign, salt, part_id, tokens, _ in events.events
        ]

    def _read_all(self) -> list[part_directory.Change]:
        held = self._call("/-/kv-list", _Held, [])
        self._epoch = held.epoch
        self._next = held.next_token
        changes = [part_directory.Change(self._store.name, "")]
        changes.extend(
            part_directory.Change(
                self._store.name,
                part_directory.part_key(salt, part_id),
                tokens,
            )
            for salt, part_id, tokens, _ in held.held
        )
        return changes

    def _call(self, path: str, kind: type, headers: list) -> object:
        try:
            reply = self._connector.call_idempotent(
                "GET", path, CALL_TIMEOUT_S, headers=headers
            )
            if reply.status != 200:
                raise errors.CallFailed(f"{path} answered {reply.status}")
            return msgspec.json.decode(reply.body, type=kind)
        except (adapter_errors.AdapterError, msgspec.DecodeError) as error:
            # What is known of the store may be out of date from now on.
            self._epoch = None
            raise errors.CallFailed(f"{path}: {error}") from error


def make_store_reader(
    store: traffic.CacheStore,
) -> upstream_client.StoreReader:
    return StoreReader(store)
