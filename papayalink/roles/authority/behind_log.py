"""Log of replicas that have older weights than they are to load."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from papayalink import logs
from papayalink.coordination import weight_loads
from papayalink.state import replicas as replica_states

# Replicas that wait are logged once in this time.
WAITING_PERIOD_S = 1.0


class BehindLog:
    """Logs when a replica falls behind, and why it has no order yet."""

    __slots__ = ("_seen", "_logged_at", "_log")

    def __init__(self) -> None:
        # Replica, model, its version, and the version that it is to load.
        self._seen: set[tuple[str, str, int, int]] = set()
        self._logged_at = float("-inf")
        self._log = logs.get_logger()

    def note(
        self,
        replicas: Iterable[replica_states.Replica],
        target_versions: Mapping[str, int],
        loading: Collection[str],
        failures: Mapping[str, weight_loads.Failure],
        now: float,
    ) -> None:
        """Log what has changed since the last call.

        Args:
            loading: ids of the replicas that hold a place for loads.
            failures: replicas that did not take their last order, by id.
            now: time in seconds.
        """
        behind = {
            (replica.replica_id, model, replica.weights[model], version)
            for replica in replicas
            for model, version in target_versions.items()
            if model in replica.weights and replica.weights[model] < version
        }
        for name, model, version, target in sorted(behind - self._seen):
            self._log.info(
                "replica_behind",
                replica=name,
                model=model,
                version=version,
                target=target,
            )
        self._seen = behind
        waiting = {entry[0] for entry in behind}.difference(loading)
        if not waiting or now - self._logged_at < WAITING_PERIOD_S:
            return
        self._logged_at = now
        # Those that failed are ordered again after a delay, the others when a
        # place is free.
        self._log.info(
            "loads_waiting",
            replicas=",".join(sorted(waiting.difference(failures))),
            failed=",".join(sorted(waiting.intersection(failures))),
            loading=",".join(sorted(loading)),
        )


def make_behind_log() -> BehindLog:
    return BehindLog()
