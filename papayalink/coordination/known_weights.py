"""Weights of replicas, by a list that lags and by their own reports."""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from papayalink.state import replicas as replica_states

# A list lags by less than this. After it, the list tells more than a report:
# a replica may have restarted under its id with older weights.
REPORT_PRECEDENCE_S = 2.0


class _Reported(msgspec.Struct, frozen=True):
    """Weight version by model, and the time of the report in seconds."""

    weights: Mapping[str, int]
    reported_at: float


class KnownWeights:
    """The listed replicas, with the newest weights that are known of each."""

    __slots__ = ("_replicas", "_reported", "_listed_at")

    def __init__(self) -> None:
        self._replicas: dict[str, replica_states.Replica] = {}
        self._reported: dict[str, _Reported] = {}
        self._listed_at = float("-inf")

    @property
    def replicas(self) -> tuple[replica_states.Replica, ...]:
        return tuple(self._replicas.values())

    @property
    def listed_at(self) -> float:
        """Time in seconds at which the newest list was read."""
        return self._listed_at

    def note_list(
        self, listed: Iterable[replica_states.Replica], listed_at: float
    ) -> None:
        """Take over a list; a recent report of newer weights holds."""
        self._listed_at = listed_at
        self._replicas = {each.replica_id: each for each in listed}
        self._reported = {
            name: reported
            for name, reported in self._reported.items()
            if name in self._replicas
            and listed_at - reported.reported_at < REPORT_PRECEDENCE_S
        }
        for name, reported in self._reported.items():
            self._replicas[name] = _with_newer(
                self._replicas[name], reported.weights
            )

    def note_report(
        self,
        replica: replica_states.Replica,
        weights: Mapping[str, int],
        now: float,
    ) -> None:
        """Take over what a replica reports of itself."""
        name = replica.replica_id
        self._reported[name] = _Reported(weights, now)
        if name in self._replicas:
            self._replicas[name] = _with_newer(self._replicas[name], weights)

    def is_behind(self, target_versions: Mapping[str, int]) -> bool:
        """Returns: whether a replica has older weights than its target."""
        return any(
            replica.weights[model] < version
            for replica in self._replicas.values()
            for model, version in target_versions.items()
            if model in replica.weights
        )


def _with_newer(
    replica: replica_states.Replica, weights: Mapping[str, int]
) -> replica_states.Replica:
    newer = {
        model: max(version, weights.get(model, 0))
        for model, version in replica.weights.items()
    }
    return msgspec.structs.replace(replica, weights=newer)


def make_known_weights() -> KnownWeights:
    return KnownWeights()
