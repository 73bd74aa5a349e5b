"""Decides which orders the control leader gives to engines."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from papayalink.coordination import rollout
from papayalink.protocol import messages
from papayalink.state import document as documents
from papayalink.state import upstreams

LOAD_WEIGHTS = "load_weights"
LOAD_ADAPTER = "load_adapter"


def choose_orders(
    document: documents.Document,
    reports: Mapping[str, messages.LoadReport],
    open_orders: Sequence[upstreams.Order],
    leader: str,
    recently_failed: Collection[tuple[str, str]] = (),
) -> list[upstreams.OpenOrder]:
    """Choose the orders to open.

    An order that an earlier leader opened is taken over under a new fencing
    token, since that leader may still send it under the earlier token.

    Args:
        reports: latest load report by upstream.
        open_orders: orders that are not carried out yet.
        leader: name of the control leader.
        recently_failed: upstreams and adapters whose order failed recently.
    """
    taken_over = [
        upstreams.OpenOrder(
            order.upstream, order.action, order.argument, leader
        )
        for order in open_orders
        if order.leader != leader
    ]
    open_by_upstream = {order.upstream: order for order in open_orders}
    urgent_rank = document.ranks[0].name if document.ranks else ""
    opened = [
        upstreams.OpenOrder(name, LOAD_WEIGHTS, model.weight_version, leader)
        for model in document.models
        for name in _upstreams_to_load(
            model, document, reports, open_by_upstream, urgent_rank
        )
    ]
    loading = {*open_by_upstream, *(order.upstream for order in opened)}
    opened += [
        upstreams.OpenOrder(name, LOAD_ADAPTER, adapter, leader)
        for model in document.models
        for name, adapter in _adapters_to_load(
            model, document, reports, loading, recently_failed
        )
    ]
    return taken_over + opened


def _adapters_to_load(
    model: documents.Model,
    document: documents.Document,
    reports: Mapping[str, messages.LoadReport],
    loading: Collection[str],
    recently_failed: Collection[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Returns: replicas to load, each with its next adapter."""
    replicas = [
        upstream.name
        for upstream in document.upstreams
        if upstream.serves == model.name
    ]
    next_adapters = {
        name: adapter
        for name in replicas
        if name not in loading
        and (report := reports.get(name)) is not None
        and report.state == "up"
        and report.weight_version == model.weight_version
        and (adapter := _next_adapter(model, report, recently_failed))
    }
    free_slots = document.limits.max_loading_replicas - sum(
        name in loading for name in replicas
    )
    # Replicas with the fewest adapters load first, so that each adapter is
    # soon available on a few replicas.
    fewest_first = sorted(
        next_adapters, key=lambda name: len(reports[name].adapters)
    )
    return [
        (name, next_adapters[name])
        for name in fewest_first[: max(0, free_slots)]
    ]


def _next_adapter(
    model: documents.Model,
    report: messages.LoadReport,
    recently_failed: Collection[tuple[str, str]],
) -> str:
    return next(
        (
            adapter
            for adapter in model.adapters
            if adapter not in report.adapters
            and (report.upstream, adapter) not in recently_failed
        ),
        "",
    )


def _upstreams_to_load(
    model: documents.Model,
    document: documents.Document,
    reports: Mapping[str, messages.LoadReport],
    open_by_upstream: Mapping[str, upstreams.Order],
    urgent_rank: str,
) -> Iterable[str]:
    replicas = [
        _observe_replica(
            upstream, reports.get(upstream.name), open_by_upstream
        )
        for upstream in document.upstreams
        if upstream.serves == model.name
    ]
    plan = rollout.plan(
        replicas,
        model.weight_version,
        {urgent_rank: _urgent_demand(model, document, reports)},
        urgent_rank,
        document.limits.max_loading_replicas,
    )
    for action in plan.actions:
        match action:
            # Running requests finish normally across a swap of weights, so a
            # replica need not be drained before it loads.
            case rollout.Drain(replica=name) | rollout.Load(replica=name):
                yield name


def _urgent_demand(
    model: documents.Model,
    document: documents.Document,
    reports: Mapping[str, messages.LoadReport],
) -> float:
    """Returns: recent prompt tokens per second of the most urgent rank."""
    return sum(
        report.loads_permille[0] / 1000 * report.prefill_rate
        for upstream in document.upstreams
        if upstream.serves == model.name
        and (report := reports.get(upstream.name)) is not None
        and report.loads_permille
    )


def _observe_replica(
    upstream: documents.Upstream,
    report: messages.LoadReport | None,
    open_by_upstream: Mapping[str, upstreams.Order],
) -> rollout.Replica:
    version = report.weight_version if report is not None else ""
    if upstream.name in open_by_upstream:
        phase = rollout.Phase.LOADING
        if open_by_upstream[upstream.name].action == LOAD_WEIGHTS:
            version = open_by_upstream[upstream.name].argument
    elif report is None or report.state == "down":
        phase = rollout.Phase.DOWN
    elif not version:
        phase = rollout.Phase.UNLOADED
    elif upstream.draining or report.state == "leaving":
        # It gets no new work, so its capacity does not count.
        phase = rollout.Phase.DRAINING
    else:
        phase = rollout.Phase.SERVING
    return rollout.Replica(
        name=upstream.name,
        phase=phase,
        version=version,
        running=0,
        capacity=report.prefill_rate if report is not None else 0.0,
    )


def choose_leaving_changes(
    document: documents.Document,
    vms: Mapping[str, bool],
    leaving: Mapping[str, Sequence[str]],
) -> list[upstreams.MarkLeaving | upstreams.ClearLeaving]:
    """Choose commands that align the leaving marks with the platform's list.

    Args:
        vms: whether a VM is leaving, by its name or IP address.
        leaving: sources of the marks, by marked upstream.
    """
    commands: list[upstreams.MarkLeaving | upstreams.ClearLeaving] = []
    for upstream in document.upstreams:
        ip = upstream.agent.rpartition(":")[0].strip("[]")
        is_leaving = vms.get(upstream.name, vms.get(ip))
        is_marked = "platform" in leaving.get(upstream.name, ())
        if is_leaving and not is_marked:
            commands.append(upstreams.MarkLeaving(upstream.name, "platform"))
        elif is_leaving is False and is_marked:
            commands.append(upstreams.ClearLeaving(upstream.name, "platform"))
    return commands
