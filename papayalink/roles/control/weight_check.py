"""Looks up weight versions before replicas are ordered to load them."""

from papayalink import clock as clocks
from papayalink import logs
from papayalink.adapters import errors
from papayalink.adapters import weights

# A version stays missing until an operator uploads it or applies another one,
# so the store is not queried in each period of the upkeep, twice per second.
RECHECK_PERIOD_S = 5.0


class WeightCheck:
    """Caches which versions the weight store has.

    Args:
        store: adapter of the weight store, None if there is none.
        clock: source of the times of lookups.
    """

    __slots__ = ("_store", "_clock", "_found", "_missing_checked_at", "_log")

    def __init__(
        self, store: weights.WeightStore | None, clock: clocks.Clock
    ) -> None:
        self._store = store
        self._clock = clock
        self._found: set[str] = set()
        # Time of the last lookup of each missing version.
        self._missing_checked_at: dict[str, float] = {}
        self._log = logs.get_logger()

    def is_missing(self, weight_version: str) -> bool:
        """Returns: whether the store replied that it lacks the version.

        If the store does not answer, the version is not reported as missing,
        because engines may reach the store when the control member does not.
        """
        if self._store is None or weight_version in self._found:
            return False
        now = self._clock.now()
        if (
            now
            - self._missing_checked_at.get(weight_version, -RECHECK_PERIOD_S)
            < RECHECK_PERIOD_S
        ):
            return True
        try:
            found = self._store.has(weight_version)
        except errors.AdapterError as error:
            self._log.warning("weight_store_failed", reason=error)
            return False
        if found:
            self._found.add(weight_version)
            self._missing_checked_at.pop(weight_version, None)
        else:
            self._missing_checked_at[weight_version] = now
            self._log.warning("weights_missing", weight_version=weight_version)
        return not found


def make_weight_check(address: str, clock: clocks.Clock) -> WeightCheck:
    """Args: address: "IP:PORT" of the weight store, "" if there is none."""
    store = weights.make_weight_store(address) if address else None
    return WeightCheck(store, clock)
