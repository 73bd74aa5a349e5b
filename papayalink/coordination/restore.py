"""Restore: which kept pieces to import and which to recompute."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from papayalink.protocol import pieces

# A restore may take this much longer than the better of import and recompute.
_TOLERANCE = 0.05
# Predicted time, as a part of the time to recompute, above which an import
# gains too little for the loss when its link slows: not importing then costs
# at most 1 / 0.96, which is within the tolerance.
_LITTLE_GAIN = 0.96


class KeptPiece(msgspec.Struct, frozen=True):
    """A piece that can be imported.

    Args:
        position: index of the piece in its prompt.
        size_bytes: length of the encoded piece.
        store: name of the store it is read from.
    """

    position: int
    size_bytes: int
    store: str


class Link(msgspec.Struct, frozen=True):
    """Link to a store.

    Args:
        rate_bytes_per_s: measured rate, above 0.
        queue_s: time until a transfer can start.
    """

    rate_bytes_per_s: float
    queue_s: float = 0.0


class Engine(msgspec.Struct, frozen=True):
    """Engine that will run the prompt.

    Args:
        prefill_tokens_per_s: measured rate, above 0.
        queue_s: time until it can start on the prompt.
        can_meet: whether it imports pieces while it computes earlier ones.
    """

    prefill_tokens_per_s: float
    queue_s: float = 0.0
    can_meet: bool = False


class Plan(msgspec.Struct, frozen=True):
    """How a prompt is restored.

    Args:
        started_at: time of the plan in seconds.
        count: full pieces of the prompt.
        tail_s: prefill time of the tokens after the last full piece.
        piece_s: prefill time of one piece.
        order: pieces to import, in this order; empty to recompute all.
        last: first position after the run of pieces to import.
        split: an engine that can meet computes the pieces below this position
            during the import; others start after the import.
        can_meet: whether the import runs from the end towards the engine.
        predicted_s: predicted time until the whole prompt is computed.
        recompute_s: the same without any import.
    """

    started_at: float
    count: int
    tail_s: float
    piece_s: float
    order: tuple[KeptPiece, ...]
    last: int
    split: int
    can_meet: bool
    predicted_s: float
    recompute_s: float


class Observed(msgspec.Struct, frozen=True):
    """How far a restore has come.

    Args:
        imported: pieces of the order that are imported.
        partial_bytes: bytes received of the next one.
        computed: leading pieces the engine has computed or is computing.
        engine_free_at: when the engine has computed them, or has time for the
            prompt at all.
    """

    imported: int
    partial_bytes: int
    computed: int
    engine_free_at: float


class Continue(msgspec.Struct, frozen=True):
    """Continue the import; the engine may compute up to the split."""

    split: int


class Abandon(msgspec.Struct, frozen=True):
    """Stop the import and recompute what is missing."""


def plan(
    count: int,
    tail_tokens: int,
    kept: Sequence[KeptPiece],
    links: Mapping[str, Link],
    engine: Engine,
    now: float,
) -> Plan:
    """Plan the restore of a prompt.

    Only one run of consecutive kept pieces is imported: the one that saves
    most, or for an engine that cannot meet the one at the start.

    Args:
        count: full pieces of the prompt.
        tail_tokens: tokens after the last full piece.
        kept: pieces that can be imported, by position.
        links: links by store.
        engine: the engine.
        now: time in seconds.
    Returns: the plan.
    """
    piece_s = pieces.PIECE_TOKENS / engine.prefill_tokens_per_s
    tail_s = tail_tokens / engine.prefill_tokens_per_s
    recompute_s = engine.queue_s + count * piece_s + tail_s
    drafted = best = Plan(
        now,
        count,
        tail_s,
        piece_s,
        (),
        0,
        0,
        engine.can_meet,
        recompute_s,
        recompute_s,
    )
    for run in _runs(kept):
        if run[0].position > 0 and not engine.can_meet:
            continue
        last = run[-1].position + 1
        order = tuple(reversed(run)) if engine.can_meet else tuple(run)
        draft = msgspec.structs.replace(best, order=order, last=last)
        start = Observed(0, 0, 0, now + engine.queue_s)
        amount, finish = _best_amount(draft, links, start, now)
        if finish - now < best.predicted_s:
            best = msgspec.structs.replace(
                draft,
                # An engine that can meet may find the link faster than
                # planned and import more.
                order=order if engine.can_meet and amount else order[:amount],
                split=last - amount if engine.can_meet else amount,
                predicted_s=finish - now,
            )
    return drafted if _risks_more(best, links, engine) else best


def plan_import(
    count: int,
    tail_tokens: int,
    kept: Sequence[KeptPiece],
    links: Mapping[str, Link],
    engine: Engine,
    now: float,
) -> Plan:
    """Baseline: import the first run of pieces whole; arguments as in plan."""
    drafted = plan_recompute(count, tail_tokens, kept, links, engine, now)
    for run in _runs(kept):
        if run[0].position == 0 or engine.can_meet:
            order = tuple(reversed(run)) if engine.can_meet else tuple(run)
            last = run[-1].position + 1
            drafted = msgspec.structs.replace(
                drafted,
                order=order,
                last=last,
                split=run[0].position if engine.can_meet else last,
            )
            start = Observed(0, 0, 0, now + engine.queue_s)
            finish = _finish(drafted, links, start, now, len(order))
            return msgspec.structs.replace(drafted, predicted_s=finish - now)
    return drafted


def plan_recompute(
    count: int,
    tail_tokens: int,
    kept: Sequence[KeptPiece],
    links: Mapping[str, Link],
    engine: Engine,
    now: float,
) -> Plan:
    """Baseline: import nothing; arguments as in plan."""
    return plan(count, tail_tokens, (), links, engine, now)


def progress(
    plan: Plan,
    now: float,
    observed: Observed,
    links: Mapping[str, Link],
) -> Continue | Abandon:
    """Decide whether to continue a restore.

    Args:
        plan: the plan.
        now: time in seconds.
        observed: how far the restore has come.
        links: links by store, with the rates measured by now, the received
            part of the running transfer included.
    Returns: Continue with the split, or Abandon when recompute is faster.
    """
    if observed.imported == len(plan.order):
        return Continue(plan.split)
    amount, _ = _best_amount(plan, links, observed, now)
    if amount == 0:
        return Abandon()
    if plan.can_meet:
        return Continue(plan.last - observed.imported - amount)
    return Continue(observed.imported + amount)


def _risks_more(best: Plan, links: Mapping[str, Link], engine: Engine) -> bool:
    """Returns: whether an import may lose more than it gains.

    When the link slows during the first transfer, the time spent on it is
    lost. For a prompt of less than 20 pieces this exceeds the tolerance. For
    a longer one even a small gain is taken, which spares the engine.
    """
    if not best.order or best.predicted_s <= _LITTLE_GAIN * best.recompute_s:
        return False
    first = best.order[0]
    link = links[first.store]
    transfer_s = link.queue_s + first.size_bytes / link.rate_bytes_per_s
    lost_s = min(best.piece_s, transfer_s - engine.queue_s)
    return lost_s > _TOLERANCE * best.recompute_s


def _runs(kept: Sequence[KeptPiece]) -> Iterator[list[KeptPiece]]:
    run: list[KeptPiece] = []
    for piece in sorted(kept, key=lambda piece: piece.position):
        if run and piece.position != run[-1].position + 1:
            yield run
            run = []
        run.append(piece)
    if run:
        yield run


def _best_amount(
    plan: Plan, links: Mapping[str, Link], observed: Observed, now: float
) -> tuple[int, float]:
    """Returns: how many more pieces to import, and when the prompt is done.

    Of equally fast amounts the largest is taken, which spares the engine.
    """
    most = len(plan.order) - observed.imported
    if plan.can_meet:
        most = min(
            most, max(0, plan.last - observed.imported - observed.computed)
        )
    best, best_finish = 0, _finish(plan, links, observed, now, 0)
    transfer_s = _queue_s(plan, links, observed)
    partial = observed.partial_bytes
    for amount in range(1, most + 1):
        piece = plan.order[observed.imported + amount - 1]
        rate = links[piece.store].rate_bytes_per_s
        transfer_s += max(0, piece.size_bytes - partial) / rate
        partial = 0
        finish = _finish_after(plan, observed, now, amount, transfer_s)
        if finish <= best_finish:
            best, best_finish = amount, finish
    return best, best_finish


def _finish(
    plan: Plan,
    links: Mapping[str, Link],
    observed: Observed,
    now: float,
    amount: int,
) -> float:
    following = plan.order[observed.imported : observed.imported + amount]
    transfer_s = 0.0
    if following:
        transfer_s = _queue_s(plan, links, observed)
        transfer_s += sum(
            piece.size_bytes / links[piece.store].rate_bytes_per_s
            for piece in following
        )
        rate = links[following[0].store].rate_bytes_per_s
        transfer_s -= observed.partial_bytes / rate
    return _finish_after(plan, observed, now, amount, transfer_s)


def _queue_s(
    plan: Plan, links: Mapping[str, Link], observed: Observed
) -> float:
    if observed.imported or observed.partial_bytes or not plan.order:
        return 0.0
    return links[plan.order[0].store].queue_s


def _finish_after(
    plan: Plan,
    observed: Observed,
    now: float,
    amount: int,
    transfer_s: float,
) -> float:
    """Returns: when the prompt is done after more transfers."""
    engine_at = max(now, observed.engine_free_at)
    link_at = now + transfer_s if amount else now
    if not plan.can_meet:
        left = plan.count - observed.imported - amount
        return max(engine_at, link_at) + left * plan.piece_s + plan.tail_s
    split = plan.last - observed.imported - amount
    before = max(0, split - observed.computed)
    after = plan.count - max(plan.last, observed.computed)
    return (
        max(engine_at + before * plan.piece_s, link_at)
        + after * plan.piece_s
        + plan.tail_s
    )
