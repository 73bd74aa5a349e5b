"""Which replicas are to load named weights next."""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from papayalink.state import replicas as replica_states

# Replicas that load at once take longer once there are more than a third.
LOADING_SHARE = 3
LEAST_LOADING = 2
# An order without effect is given again after this; orders without an answer
# are carried out up to 12 s later, and most answered ones within 3 s.
REPEAT_S = 4.0


class Load(msgspec.Struct, frozen=True):
    """An order to give."""

    replica: replica_states.Replica
    model: str
    version: int


def at_once(replicas: int) -> int:
    """Returns: how many of a model's replicas may load at the same time."""
    return max(LEAST_LOADING, replicas // LOADING_SHARE)


def choose(
    replicas: Iterable[replica_states.Replica],
    wanted: Mapping[str, int],
    ordered_at: Mapping[str, float],
    now: float,
) -> list[Load]:
    """Choose the next loads.

    Args:
        replicas: replicas as last known.
        wanted: newest named version by model.
        ordered_at: when the last order to a replica was given, by its id.
        now: seconds.
    Returns: loads to order now; leaving replicas come last.
    """
    by_model: dict[str, list[replica_states.Replica]] = {}
    for replica in replicas:
        for model in replica.weights:
            by_model.setdefault(model, []).append(replica)
    loads = []
    for model, holders in sorted(by_model.items()):
        version = wanted.get(model, 0)
        behind = [each for each in holders if each.weights[model] < version]
        loading = [
            each
            for each in behind
            if now - ordered_at.get(each.replica_id, -REPEAT_S) < REPEAT_S
        ]
        room = at_once(len(holders)) - len(loading)
        waiting = [each for each in behind if each not in loading]
        waiting.sort(
            key=lambda each: (
                each.condition is replica_states.Condition.LEAVING,
                each.replica_id in ordered_at,
                each.replica_id,
            )
        )
        for replica in waiting[: max(0, room)]:
            loads.append(Load(replica, model, version))
    return loads
