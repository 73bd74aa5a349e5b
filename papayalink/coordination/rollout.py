"""Plan of a weight rollout, derived only from observed replica states."""

import enum
from typing import Mapping
from typing import Sequence

import msgspec

# Replicas that load at the same time. The weight store is rate-limited, so a
# third one would slow down all of them.
MAX_LOADING_REPLICAS = 2

# Capacity kept in service for each unit of urgent demand. Demand is an average
# over seconds; without a margin its peaks would queue during a rollout.
URGENT_CAPACITY_RATIO = 1.2


class Phase(enum.Enum):
    """Phase of a replica in a rollout."""

    SERVING = "serving"
    DRAINING = "draining"
    LOADING = "loading"
    UNLOADED = "unloaded"
    DOWN = "down"


class Replica(msgspec.Struct, frozen=True):
    """Observed state of one replica of a model.

    Args:
        name: upstream name.
        phase: its phase.
        version: weight version that it serves or loads.
        running: number of requests running or queued there.
        capacity: tokens per second while it serves.
    """

    name: str
    phase: Phase
    version: str
    running: int
    capacity: float


class Drain(msgspec.Struct, frozen=True):
    """Stop giving the replica new work."""

    replica: str


class Load(msgspec.Struct, frozen=True):
    """Load the version on a replica without work."""

    replica: str
    version: str


class Resume(msgspec.Struct, frozen=True):
    """Give a draining replica new work again.

    Either it serves the version already or urgent demand needs its capacity.
    """

    replica: str


class Plan(msgspec.Struct, frozen=True):
    """Next steps of a rollout.

    Args:
        actions: steps to take now.
        remaining: number of replicas that do not serve the version yet,
            without those that are down.
        blocked_by: why no more steps are taken: `loading` while the maximum
            number of replicas is loading or draining, `demand` when urgent
            work needs the others, otherwise empty.
    """

    actions: list[Drain | Load | Resume]
    remaining: int
    blocked_by: str = ""


def plan(
    replicas: Sequence[Replica],
    version: str,
    demand: Mapping[str, float],
    urgent_rank: str,
    max_loading: int = MAX_LOADING_REPLICAS,
) -> Plan:
    """Plan the next steps towards a version, from any intermediate state.

    A replica that is draining for the rollout counts as loading, so that no
    replica is drained before it can load.

    Args:
        replicas: all replicas of the model.
        version: weight version to serve.
        demand: recent tokens per second by rank.
        urgent_rank: name of the rank whose capacity is kept.
        max_loading: maximum number of replicas that load at the same time.

    Returns:
        Steps that may be taken together. The caller plans again after each
        change of state, and passes a replica with an order whose effect is not
        observed yet as `LOADING` or `DRAINING`.
    """
    ordered = sorted(
        replicas, key=lambda replica: (replica.running, replica.name)
    )
    by_phase = {
        phase: [replica for replica in ordered if replica.phase is phase]
        for phase in Phase
    }
    live_count = len(ordered) - len(by_phase[Phase.DOWN])
    urgent_demand = demand.get(urgent_rank, 0.0)
    serving_capacity = sum(
        replica.capacity for replica in by_phase[Phase.SERVING]
    )
    serving_count = len(by_phase[Phase.SERVING])
    resumed = []
    draining = []
    # Replicas with the most work, which take longest to drain, resume first.
    for replica in reversed(by_phase[Phase.DRAINING]):
        if replica.version == version or serving_capacity < urgent_demand:
            resumed.append(replica)
            serving_capacity += replica.capacity
            serving_count += 1
        else:
            draining.append(replica)
    actions: list[Drain | Load | Resume] = [
        Resume(replica.name) for replica in resumed
    ]
    remaining = sum(
        replica.phase is not Phase.DOWN
        and (
            replica.version != version
            or replica.phase in (Phase.LOADING, Phase.UNLOADED)
        )
        for replica in ordered
    )
    loading_count = len(by_phase[Phase.LOADING])
    blocked_by = ""
    # Replicas without work load first: this costs no capacity.
    idle = [replica for replica in reversed(draining) if not replica.running]
    for replica in by_phase[Phase.UNLOADED] + idle:
        if loading_count >= max_loading:
            blocked_by = "loading"
            break
        actions.append(Load(replica.name, version))
        loading_count += 1
    loading_count += sum(replica.running > 0 for replica in draining)
    for replica in by_phase[Phase.SERVING]:
        if replica.version == version:
            continue
        if loading_count >= max_loading:
            blocked_by = "loading"
            break
        remaining_capacity = serving_capacity - replica.capacity
        # A model with several live replicas always keeps one in service.
        if remaining_capacity < URGENT_CAPACITY_RATIO * urgent_demand or (
            serving_count <= 1 and live_count > 1
        ):
            blocked_by = blocked_by or "demand"
            continue
        actions.append(Drain(replica.name))
        serving_capacity = remaining_capacity
        serving_count -= 1
        loading_count += 1
    return Plan(actions, remaining, blocked_by)


def plan_at_once(replicas: Sequence[Replica], version: str) -> Plan:
    """Baseline: drain all replicas and load each as soon as it is idle."""
    actions: list[Drain | Load | Resume] = []
    outdated = [replica for replica in replicas if replica.version != version]
    for replica in outdated:
        if replica.phase is Phase.SERVING:
            actions.append(Drain(replica.name))
        elif replica.phase is Phase.UNLOADED or (
            replica.phase is Phase.DRAINING and not replica.running
        ):
            actions.append(Load(replica.name, version))
    return Plan(actions, len(outdated))
