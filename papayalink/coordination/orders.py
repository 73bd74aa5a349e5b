"""Orders that the control leader gives to engines, decided from state."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from papayalink.coordination import rollout
from papayalink.protocol import messages
from papayalink.state import document as documents
from papayalink.state import upstreams

LOAD_WEIGHTS = "load_weights"


def decide(
    document: documents.Document,
    reports: Mapping[str, messages.LoadReport],
    open_orders: Sequence[upstreams.Order],
    leader: str,
) -> list[upstreams.OpenOrder]:
    """Choose the orders to open now.

    An order that an earlier leader opened is taken over under a new fencing
    number, since that leader may still send its own.

    Args:
        reports: newest load report by upstream.
        open_orders: orders not yet carried out.
        leader: id of the deciding member.
    """
    taken_over = [
        upstreams.OpenOrder(
            order.upstream, order.action, order.argument, leader
        )
        for order in open_orders
        if order.leader != leader
    ]
    busy = {order.upstream: order for order in open_orders}
    urgent = document.ranks[0].name if document.ranks else ""
    opened = [
        upstreams.OpenOrder(name, LOAD_WEIGHTS, model.weight_version, leader)
        for model in document.models
        for name in _to_load(model, document, reports, busy, urgent)
    ]
    return taken_over + opened


def _to_load(
    model: documents.Model,
    document: documents.Document,
    reports: Mapping[str, messages.LoadReport],
    busy: Mapping[str, upstreams.Order],
    urgent: str,
) -> Iterable[str]:
    replicas = [
        _observe(upstream, reports.get(upstream.name), busy)
        for upstream in document.upstreams
        if upstream.serves == model.name
    ]
    plan = rollout.plan(
        replicas,
        model.weight_version,
        {urgent: _urgent_demand(model, document, reports)},
        urgent,
        document.limits.max_loading_replicas,
    )
    for action in plan.actions:
        match action:
            # Running replies finish on their own across a swap, so a replica
            # need not be empty before it loads.
            case rollout.Drain(replica=name) | rollout.Load(replica=name):
                yield name


def _urgent_demand(
    model: documents.Model,
    document: documents.Document,
    reports: Mapping[str, messages.LoadReport],
) -> float:
    """Returns: prompt tokens a second that the most urgent rank took."""
    return sum(
        report.loads_permille[0] / 1000 * report.prefill_rate
        for upstream in document.upstreams
        if upstream.serves == model.name
        and (report := reports.get(upstream.name)) is not None
        and report.loads_permille
    )


def _observe(
    upstream: documents.Upstream,
    report: messages.LoadReport | None,
    busy: Mapping[str, upstreams.Order],
) -> rollout.Replica:
    version = report.weight_version if report is not None else ""
    if upstream.name in busy:
        phase = rollout.Phase.LOADING
        version = busy[upstream.name].argument
    elif report is None or report.state == "down":
        phase = rollout.Phase.DOWN
    elif not version:
        phase = rollout.Phase.UNLOADED
    elif upstream.draining or report.state == "leaving":
        # It takes no work, so it does not count as capacity.
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


def changes_of_leaving(
    document: documents.Document,
    vms: Mapping[str, bool],
    leaving: Mapping[str, Sequence[str]],
) -> list[upstreams.MarkLeaving | upstreams.ClearLeaving]:
    """Compare the platform's list with the marks.

    Args:
        vms: by VM name or IP address, whether the VM is leaving.
        leaving: marked upstreams and the sources of their marks.
    """
    commands: list[upstreams.MarkLeaving | upstreams.ClearLeaving] = []
    for upstream in document.upstreams:
        ip = upstream.agent.rpartition(":")[0].strip("[]")
        is_leaving = vms.get(upstream.name, vms.get(ip))
        marked = "platform" in leaving.get(upstream.name, ())
        if is_leaving and not marked:
            commands.append(upstreams.MarkLeaving(upstream.name, "platform"))
        elif is_leaving is False and marked:
            commands.append(upstreams.ClearLeaving(upstream.name, "platform"))
    return commands
