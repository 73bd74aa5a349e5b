"""Reads what the platform's stores of cached prompt parts hold."""

import msgspec

from papayalink.adapters import connection
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import upstream_client
from papayalink.platform import errors
from papayalink.state import part_directory
from papayalink.state import traffic

# Each poll costs the store one call, so shorter polls mean more load on it. A
# store delays its answer by 1 s at most.
LONG_POLL_MS = 900
CALL_TIMEOUT_S = 2.0


class _Events(msgspec.Struct, rename="camel"):
    epoch: int
    # Number from which the next call reads events, not a page token.
    next_token: int
    lost: bool = False
    # [number, "+" or "-", salt, part id, tokens stored, model]
    events: list[tuple[int, str, str, str, int, str]] = []


class _Held(msgspec.Struct, rename="camel"):
    epoch: int
    next_token: int
    # [salt, part id, tokens, model]
    held: list[tuple[str, str, int, str]] = []


class StoreReader:
    """Follows the changes of one store."""

    __slots__ = ("_store", "_connector", "_epoch", "_next_event")

    def __init__(self, store: traffic.CacheStore) -> None:
        self._store = store
        self._connector = connection.Connector(store.address, CALL_TIMEOUT_S)
        self._epoch: int | None = None
        self._next_event = 0

    def read(self) -> list[part_directory.Change]:
        """Wait for changes, for about a second at most.

        Returns: changes; after a restart of the store or a gap in its
            events, the first change removes all parts known of the store.
        Raises: errors.CallFailed
        """
        if self._epoch is None:
            return self._read_all()
        path = f"/-/kv-events?since={self._next_event}"
        events = self._call(path, _Events, [("Wait-Ms", str(LONG_POLL_MS))])
        if events.epoch != self._epoch or events.lost:
            return self._read_all()
        self._next_event = events.next_token
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
        self._next_event = held.next_token
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

    def _call(self, path: str, reply_type: type, headers: list) -> object:
        try:
            reply = self._connector.call_idempotent(
                "GET", path, CALL_TIMEOUT_S, headers=headers
            )
            if reply.status != 200:
                raise errors.CallFailed(f"{path} answered {reply.status}")
            return msgspec.json.decode(reply.body, type=reply_type)
        except (
            adapter_errors.AdapterError,
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            # Events may have been missed: the next read fetches all parts.
            self._epoch = None
            raise errors.CallFailed(f"{path}: {error}") from error


def make_store_reader(
    store: traffic.CacheStore,
) -> upstream_client.StoreReader:
    return StoreReader(store)
