"""Tasks that track what the stores hold, for all entries."""

from collections.abc import Callable

import gevent
from gevent import event

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

MakeReader = Callable[[traffic.CacheStore], upstream_client.StoreReader]


class StoreWatch:
    """Follows each store of the document in a task of its own.

    Args:
        make_reader: makes the reader of one store of the platform.
    """

    __slots__ = ("_make_reader", "_directory", "_tasks", "_changed", "_log")

    def __init__(self, make_reader: MakeReader) -> None:
        self._make_reader = make_reader
        self._directory = part_directory.make_part_directory()
        self._tasks: dict[traffic.CacheStore, gevent.Greenlet] = {}
        self._changed = event.Event()
        self._log = logs.get_logger()

    @property
    def directory(self) -> part_directory.PartDirectory:
        return self._directory

    def set_stores(self, stores: tuple[traffic.CacheStore, ...]) -> None:
        """Follow these stores and no others."""
        for store in list(self._tasks):
            if store not in stores:
                self._tasks.pop(store).kill()
                self._apply([part_directory.Change(store.name, "")])
        for store in stores:
            if store not in self._tasks:
                self._tasks[store] = gevent.spawn(self._follow, store)

    def wait(self, number: int, timeout_s: float) -> None:
        """Wait until the directory has changes after a number, or time out."""
        if self._directory.number <= number:
            self._changed.wait(timeout_s)

    def _follow(self, store: traffic.CacheStore) -> None:
        reader = self._make_reader(store)
        reachable = True
        while True:
            try:
                changes = reader.read()
            except upstream_client.UpstreamClientError as error:
                if reachable:
                    self._log.warning(
                        "store_lost", store=store.name, reason=error
                    )
                    self._apply([part_directory.Change(store.name, "")])
                reachable = False
                gevent.sleep(RETRY_DELAY_S)
                continue
            if not reachable:
                self._log.info("store_reached", store=store.name)
            reachable = True
            if changes:
                self._apply(changes)
            gevent.sleep(READ_INTERVAL_S)

    def _apply(self, changes: list[part_directory.Change]) -> None:
        self._directory.apply(changes)
        self._changed.set()
        self._changed.clear()


def make_store_watch(make_reader: MakeReader) -> StoreWatch:
    return StoreWatch(make_reader)
