"""Chooses the replicas that load newly named weights next."""

from collections.abc import Iterable
from collections.abc import Mapping
import types

import msgspec

from papayalink.state import replicas as replica_states

# One in this many replicas of a model may load at a time: when more than a
# third load at once, each load takes longer.
REPLICAS_PER_LOAD = 3
MIN_CONCURRENT_LOADS = 2
# Time after which an order without effect is repeated. Orders without an
# answer are carried out up to 12 s later, and most answered ones within 3 s.
ORDER_REPEAT_S = 4.0
# A crashed replica stays on the list for some seconds, and one that restarts
# under its id never leaves it.
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 2.0
_MAX_DOUBLINGS = 16


class Load(msgspec.Struct, frozen=True):
    """An order to load weights."""

    replica: replica_states.Replica
    model: str
    version: int


class Failure(msgspec.Struct, frozen=True):
    """A replica's last orders, none of which it took.

    Attributes:
        count: number of these orders.
        retry_at: time in seconds before which it gets no further order.
    """

    count: int
    retry_at: float


_NO_FAILURES: Mapping[str, Failure] = types.MappingProxyType({})


def note_failure(previous: Failure | None, now: float) -> Failure:
    """Returns: the failure after an order that a replica did not take."""
    if previous is None:
        return Failure(1, now + FIRST_RETRY_S)
    delay_s = FIRST_RETRY_S * 2 ** min(previous.count, _MAX_DOUBLINGS)
    return Failure(previous.count + 1, now + min(MAX_RETRY_S, delay_s))


def max_concurrent_loads(replica_count: int) -> int:
    """Returns: number of a model's replicas that may load together."""
    return max(MIN_CONCURRENT_LOADS, replica_count // REPLICAS_PER_LOAD)


def choose_loads(
    replicas: Iterable[replica_states.Replica],
    target_versions: Mapping[str, int],
    ordered_at: Mapping[str, float],
    now: float,
    failures: Mapping[str, Failure] = _NO_FAILURES,
) -> list[Load]:
    """Choose the loads to order now.

    Args:
        replicas: last known state of all replicas.
        target_versions: latest named version by model.
        ordered_at: time of the last order to a replica, by its id. It may be
            under way for ORDER_REPEAT_S.
        now: time in seconds.
        failures: replicas that did not take their last order, by id.
    Returns: the loads, for each model the oldest weights first. Replicas whose
        last order had no effect, and then leaving ones, come behind the rest.
    """
    by_model: dict[str, list[replica_states.Replica]] = {}
    for replica in replicas:
        for model in replica.weights:
            by_model.setdefault(model, []).append(replica)
    loads = []
    for model, holders in sorted(by_model.items()):
        version = target_versions.get(model, 0)
        outdated = [each for each in holders if each.weights[model] < version]
        loading = [
            each
            for each in outdated
            if now - ordered_at.get(each.replica_id, -ORDER_REPEAT_S)
            < ORDER_REPEAT_S
        ]
        free_slots = max_concurrent_loads(len(holders)) - len(loading)
        candidates = [
            each
            for each in outdated
            if each not in loading and _may_retry(failures, each, now)
        ]
        candidates.sort(
            key=lambda each: (
                each.condition is replica_states.Condition.LEAVING,
                each.replica_id in ordered_at or each.replica_id in failures,
                each.weights[model],
                ordered_at.get(each.replica_id, 0.0),
                each.replica_id,
            )
        )
        for replica in candidates[: max(0, free_slots)]:
            loads.append(Load(replica, model, version))
    return loads


def _may_retry(
    failures: Mapping[str, Failure],
    replica: replica_states.Replica,
    now: float,
) -> bool:
    failure = failures.get(replica.replica_id)
    return failure is None or now >= failure.retry_at
