"""Plan of a weight rollout, computed afresh from the observed states."""

import enum
from typing import Mapping
from typing import Sequence

import msgspec

# Replicas that load at once. The weight store is rate-limited, so that a third
# one makes all of them slower.
MAX_LOADING = 2

# Capacity kept for each unit of urgent demand. Demand is an average over
# seconds; without a margin its peaks would queue during a rollout.
URGENT_MARGIN = 1.2


class Phase(enum.Enum):
    """What a replica is doing."""

    SERVING = "serving"
    DRAINING = "draining"
    LOADING = "loading"
    UNLOADED = "unloaded"
    DOWN = "down"


class Replica(msgspec.Struct, frozen=True):
    """Observed state of one replica of a model.

    Args:
        name: upstream name.
        phase: what it is doing.
        version: weight version it serves, or is loading.
        running: requests running or queued there.
        capacity: tokens a second when it serves.
    """

    name: str
    phase: Phase
    version: str
    running: int
    capacity: float


class Drain(msgspec.Struct, frozen=True):
    """Give the replica no new work."""

    replica: str


class Load(msgspec.Struct, frozen=True):
    """Load the version; the replica has no work."""

    replica: str
    version: str


class Resume(msgspec.Struct, frozen=True):
    """Give the replica new work again: it has the version already."""

    replica: str


class Plan(msgspec.Struct, frozen=True):
    """Next steps of a rollout.

    Args:
        actions: steps to take now.
        remaining: replicas that do not serve the version yet; those that are
            down are not counted.
        held: why nothing more is started: `loading` while enough replicas are
            loading or draining, `demand` when urgent work needs the rest, or
            empty.
    """

    actions: list[Drain | Load | Resume]
    remaining: int
    held: str = ""


def plan(
    replicas: Sequence[Replica],
    version: str,
    demand: Mapping[str, float],
    urgent: str,
    max_loading: int = MAX_LOADING,
) -> Plan:
    """Next steps towards a version, from any intermediate state.

    A replica that is draining for the rollout counts as one that loads, so
    capacity is not taken away before it can be used.

    Args:
        replicas: all replicas of the model.
        version: weight version to serve.
        demand: recent tokens a second by rank.
        urgent: name of the rank that keeps its capacity.
        max_loading: replicas that load at once.

    Returns:
        Steps that may be taken at once; asked again after each change of
        state. An order that was given but does not show in the states yet is
        to be shown as `LOADING` or `DRAINING` by the caller.
    """
    ordered = sorted(replicas, key=lambda one: (one.running, one.name))
    by_phase = {
        phase: [one for one in ordered if one.phase is phase]
        for phase in Phase
    }
    live = len(ordered) - len(by_phase[Phase.DOWN])
    urgent_demand = demand.get(urgent, 0.0)
    serving = sum(one.capacity for one in by_phase[Phase.SERVING])
    in_service = len(by_phase[Phase.SERVING])
    resumed = []
    draining = []
    # Those with the most work left would take longest to drain.
    for one in reversed(by_phase[Phase.DRAINING]):
        if one.version == version or serving < urgent_demand:
            resumed.append(one)
            serving += one.capacity
            in_service += 1
        else:
            draining.append(one)
    actions: list[Drain | Load | Resume] = [
        Resume(one.name) for one in resumed
    ]
    remaining = sum(
        one.phase is not Phase.DOWN
        and (
            one.version != version
            or one.phase in (Phase.LOADING, Phase.UNLOADED)
        )
        for one in ordered
    )
    busy = len(by_phase[Phase.LOADING])
    held = ""
    # Replicas without work first: loading them costs no capacity.
    idle = [one for one in reversed(draining) if not one.running]
    for one in by_phase[Phase.UNLOADED] + idle:
        if busy >= max_loading:
            held = "loading"
            break
        actions.append(Load(one.name, version))
        busy += 1
    busy += sum(one.running > 0 for one in draining)
    for one in by_phase[Phase.SERVING]:
        if one.version == version:
            continue
        if busy >= max_loading:
            held = "loading"
            break
        left = serving - one.capacity
        # A model with several replicas keeps one in service in any case.
        if left < URGENT_MARGIN * urgent_demand or (
            in_service <= 1 and live > 1
        ):
            held = held or "demand"
            continue
        actions.append(Drain(one.name))
        serving = left
        in_service -= 1
        busy += 1
    return Plan(actions, remaining, held)


def plan_at_once(replicas: Sequence[Replica], version: str) -> Plan:
    """Baseline: every replica loads as soon as it has no work."""
    actions: list[Drain | Load | Resume] = []
    old = [one for one in replicas if one.version != version]
    for one in old:
        if one.phase is Phase.SERVING:
            actions.append(Drain(one.name))
        elif one.phase is Phase.UNLOADED or (
            one.phase is Phase.DRAINING and not one.running
        ):
            actions.append(Load(one.name, version))
    return Plan(actions, len(old))
