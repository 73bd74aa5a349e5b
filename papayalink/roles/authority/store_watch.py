"""Tasks that track what the stores hold, while entries ask for it."""

from collections.abc import Callable
import time

import gevent

from papayalink import logs
from papayalink.coordination import upstream_client
from papayalink.state import part_directory
from papayalink.state import traffic

# An unreachable store is asked again after this; until it answers, its parts
# count as gone.
RETRY_DELAY_S = 0.5
# Changes accumulate at the store for this long, so that a busy store is not
# asked once for each part.
READ_INTERVAL_S = 0.1
# Stores are no longer followed when no entry has asked for this long. Entries
# ask the leader five times a second, and all other members never.
DEMAND_TIMEOUT_S = 3.0
# The directory counts as complete after this, even if a store is silent.
COMPLETE_AFTER_S = 1.0

MakeReader = Callable[[traffic.CacheStore], upstream_client.StoreReader]


class StoreWatch:
    """Follows each store of the document in a task of its own.

    Following costs a call for each batch of changes of each store, which is
    much for a small VM with dozens of stores, so only members that entries
    ask do it.

    Args:
        make_reader: makes the reader of one store of the platform.
    """

    __slots__ = (
        "_make_reader",
        "_directory",
        "_stores",
        "_tasks",
        "_read_stores",
        "_demanded_at",
        "_followed_since",
        "_log",
    )

    def __init__(self, make_reader: MakeReader) -> None:
        self._make_reader = make_reader
        self._directory = part_directory.make_part_directory()
        self._stores: tuple[traffic.CacheStore, ...] = ()
        self._tasks: dict[traffic.CacheStore, gevent.Greenlet] = {}
        # Stores that answered or failed since they have been followed.
        self._read_stores: set[traffic.CacheStore] = set()
        self._demanded_at = float("-inf")
        self._followed_since = 0.0
        self._log = logs.get_logger()

    @property
    def directory(self) -> part_directory.PartDirectory:
        return self._directory

    @property
    def complete(self) -> bool:
        """Whether the directory is known for all stores that answer."""
        return (
            self._read_stores.issuperset(self._stores)
            or time.monotonic() - self._followed_since > COMPLETE_AFTER_S
        )

    def set_stores(self, stores: tuple[traffic.CacheStore, ...]) -> None:
        """Follow these stores and no others, while there is demand."""
        self._stores = stores
        for store in list(self._tasks):
            if store not in stores:
                # Other tasks run, and may end, while one is killed.
                task = self._tasks.pop(store, None)
                if task is not None:
                    task.kill()
                self._stop_following(store)
        if self._has_demand():
            self._start()

    def note_demand(self) -> None:
        """Record that an entry has asked for the directory."""
        if not self._has_demand():
            self._followed_since = time.monotonic()
        self._demanded_at = time.monotonic()
        if len(self._tasks) < len(self._stores):
            self._start()

    def _has_demand(self) -> bool:
        return time.monotonic() - self._demanded_at < DEMAND_TIMEOUT_S

    def _start(self) -> None:
        for store in self._stores:
            if store not in self._tasks:
                self._tasks[store] = gevent.spawn(self._follow, store)

    def _stop_following(self, store: traffic.CacheStore) -> None:
        """Forget a store, which is read from the start when needed again."""
        self._tasks.pop(store, None)
        self._read_stores.discard(store)
        self._directory.apply([part_directory.Change(store.name, "")])

    def _follow(self, store: traffic.CacheStore) -> None:
        reader = self._make_reader(store)
        reachable = True
        while self._has_demand():
            try:
                changes = reader.read()
            except upstream_client.UpstreamClientError as error:
                if reachable:
                    self._log.warning(
                        "store_lost", store=store.name, reason=error
                    )
                    self._directory.apply(
                        [part_directory.Change(store.name, "")]
                    )
                reachable = False
                self._read_stores.add(store)
                gevent.sleep(RETRY_DELAY_S)
                continue
            if not reachable:
                self._log.info("store_reached", store=store.name)
            reachable = True
            self._directory.apply(changes)
            self._read_stores.add(store)
            gevent.sleep(READ_INTERVAL_S)
        self._stop_following(store)


def make_store_watch(make_reader: MakeReader) -> StoreWatch:
    return StoreWatch(make_reader)
