"""Restore plans: which kept pieces to import and which to recompute."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from papayalink.protocol import pieces

# Fraction by which a restore may take longer than the better of importing all
# and recomputing all.
_TOLERANCE = 0.05
# An import whose predicted time exceeds this fraction of the recompute time
# gains too little to make up for the time lost when its link slows.
# Recomputing then takes at most 1 / 0.96 of the predicted time, which is
# within the tolerance.
_LITTLE_GAIN_RATIO = 0.96


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
        computes_during_import: whether it imports pieces from the end of the
            prompt while it computes from the start, until both meet.
    """

    prefill_tokens_per_s: float
    queue_s: float = 0.0
    computes_during_import: bool = False


class Plan(msgspec.Struct, frozen=True):
    """Plan to restore a prompt.

    Args:
        started_at: time at which the plan was made, in seconds.
        count: full pieces of the prompt.
        tail_s: prefill time of the tokens after the last full piece.
        piece_s: prefill time of one piece.
        order: pieces to import, in order; empty to recompute all.
        run_end: first position after the run of pieces to import.
        split: position up to which an engine that computes during the import
            computes meanwhile; any other engine starts to compute at this
            position after the import.
        computes_during_import: see Engine; the import then runs from the last
            piece to the first.
        predicted_s: predicted time until the whole prompt is computed.
        recompute_s: the same time without any import.
    """

    started_at: float
    count: int
    tail_s: float
    piece_s: float
    order: tuple[KeptPiece, ...]
    run_end: int
    split: int
    computes_during_import: bool
    predicted_s: float
    recompute_s: float


class Observed(msgspec.Struct, frozen=True):
    """Observed progress of a restore.

    Args:
        imported: number of pieces of the order that are imported.
        partial_bytes: bytes received of the next piece.
        computed: number of leading pieces that the engine has computed or is
            computing.
        engine_free_at: time when the engine has computed them, or when it can
            start on the prompt.
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
    most time if the engine computes during the import, otherwise the one at
    the start of the prompt.

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
    recompute_plan = best = Plan(
        now,
        count,
        tail_s,
        piece_s,
        (),
        0,
        0,
        engine.computes_during_import,
        recompute_s,
        recompute_s,
    )
    for run in _runs(kept):
        if run[0].position > 0 and not engine.computes_during_import:
            continue
        run_end = run[-1].position + 1
        order = (
            tuple(reversed(run))
            if engine.computes_during_import
            else tuple(run)
        )
        candidate = msgspec.structs.replace(best, order=order, run_end=run_end)
        start = Observed(0, 0, 0, now + engine.queue_s)
        import_count, finish_at = _best_import_count(
            candidate, links, start, now
        )
        if finish_at - now < best.predicted_s:
            best = msgspec.structs.replace(
                candidate,
                # If the engine computes during the import, more pieces than
                # planned may be imported when the link is faster.
                order=(
                    order
                    if engine.computes_during_import and import_count
                    else order[:import_count]
                ),
                split=(
                    run_end - import_count
                    if engine.computes_during_import
                    else import_count
                ),
                predicted_s=finish_at - now,
            )
    return (
        recompute_plan
        if _may_lose_more_than_gain(best, links, engine)
        else best
    )


def plan_import(
    count: int,
    tail_tokens: int,
    kept: Sequence[KeptPiece],
    links: Mapping[str, Link],
    engine: Engine,
    now: float,
) -> Plan:
    """Baseline: import the first usable run whole; arguments as in plan."""
    import_plan = plan_recompute(count, tail_tokens, kept, links, engine, now)
    for run in _runs(kept):
        if run[0].position == 0 or engine.computes_during_import:
            order = (
                tuple(reversed(run))
                if engine.computes_during_import
                else tuple(run)
            )
            run_end = run[-1].position + 1
            import_plan = msgspec.structs.replace(
                import_plan,
                order=order,
                run_end=run_end,
                split=(
                    run[0].position
                    if engine.computes_during_import
                    else run_end
                ),
            )
            start = Observed(0, 0, 0, now + engine.queue_s)
            finish_at = _predict_finish(
                import_plan, links, start, now, len(order)
            )
            return msgspec.structs.replace(
                import_plan, predicted_s=finish_at - now
            )
    return import_plan


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


def replan(
    plan: Plan,
    now: float,
    observed: Observed,
    links: Mapping[str, Link],
) -> Continue | Abandon:
    """Decide whether to continue a restore.

    Args:
        plan: the plan.
        now: time in seconds.
        observed: progress of the restore.
        links: links by store, with their latest measured rates, which include
            the received part of the running transfer.
    Returns: Continue with the split, or Abandon when recompute is faster.
    """
    if observed.imported == len(plan.order):
        return Continue(plan.split)
    import_count, _ = _best_import_count(plan, links, observed, now)
    if import_count == 0:
        return Abandon()
    if plan.computes_during_import:
        return Continue(plan.run_end - observed.imported - import_count)
    return Continue(observed.imported + import_count)


def _may_lose_more_than_gain(
    best: Plan, links: Mapping[str, Link], engine: Engine
) -> bool:
    """Returns: whether an import may lose more time than it gains.

    When the link slows during the first transfer, the time spent on it is
    lost. For a prompt of fewer than 20 pieces this exceeds the tolerance. For
    a longer prompt even a small gain is taken, to save compute on the engine.
    """
    if (
        not best.order
        or best.predicted_s <= _LITTLE_GAIN_RATIO * best.recompute_s
    ):
        return False
    first = best.order[0]
    link = links[first.store]
    transfer_s = link.queue_s + first.size_bytes / link.rate_bytes_per_s
    max_loss_s = min(best.piece_s, transfer_s - engine.queue_s)
    return max_loss_s > _TOLERANCE * best.recompute_s


def _runs(kept: Sequence[KeptPiece]) -> Iterator[list[KeptPiece]]:
    """Yield the runs of consecutive pieces, by position."""
    run: list[KeptPiece] = []
    for piece in sorted(kept, key=lambda piece: piece.position):
        if run and piece.position != run[-1].position + 1:
            yield run
            run = []
        run.append(piece)
    if run:
        yield run


def _best_import_count(
    plan: Plan, links: Mapping[str, Link], observed: Observed, now: float
) -> tuple[int, float]:
    """Returns: how many more pieces to import, and when the prompt is done.

    Of equally fast counts the largest is chosen, to save compute on the
    engine.
    """
    max_count = len(plan.order) - observed.imported
    if plan.computes_during_import:
        max_count = min(
            max_count,
            max(0, plan.run_end - observed.imported - observed.computed),
        )
    best_count, best_finish_at = 0, _predict_finish(
        plan, links, observed, now, 0
    )
    transfer_s = _link_queue_s(plan, links, observed)
    partial_bytes = observed.partial_bytes
    for import_count in range(1, max_count + 1):
        piece = plan.order[observed.imported + import_count - 1]
        rate = links[piece.store].rate_bytes_per_s
        transfer_s += max(0, piece.size_bytes - partial_bytes) / rate
        partial_bytes = 0
        finish_at = _predict_finish_after_transfers(
            plan, observed, now, import_count, transfer_s
        )
        if finish_at <= best_finish_at:
            best_count, best_finish_at = import_count, finish_at
    return best_count, best_finish_at


def _predict_finish(
    plan: Plan,
    links: Mapping[str, Link],
    observed: Observed,
    now: float,
    import_count: int,
) -> float:
    next_pieces = plan.order[
        observed.imported : observed.imported + import_count
    ]
    transfer_s = 0.0
    if next_pieces:
        transfer_s = _link_queue_s(plan, links, observed)
        transfer_s += sum(
            piece.size_bytes / links[piece.store].rate_bytes_per_s
            for piece in next_pieces
        )
        rate = links[next_pieces[0].store].rate_bytes_per_s
        transfer_s -= observed.partial_bytes / rate
    return _predict_finish_after_transfers(
        plan, observed, now, import_count, transfer_s
    )


def _link_queue_s(
    plan: Plan, links: Mapping[str, Link], observed: Observed
) -> float:
    if observed.imported or observed.partial_bytes or not plan.order:
        return 0.0
    return links[plan.order[0].store].queue_s


def _predict_finish_after_transfers(
    plan: Plan,
    observed: Observed,
    now: float,
    import_count: int,
    transfer_s: float,
) -> float:
    """Returns: when the prompt is done if this many more are imported.

    Args:
        import_count: pieces to import after those already imported.
        transfer_s: time that their transfers take.
    """
    engine_ready_at = max(now, observed.engine_free_at)
    import_done_at = now + transfer_s if import_count else now
    if not plan.computes_during_import:
        remaining = plan.count - observed.imported - import_count
        return (
            max(engine_ready_at, import_done_at)
            + remaining * plan.piece_s
            + plan.tail_s
        )
    split = plan.run_end - observed.imported - import_count
    remaining_before = max(0, split - observed.computed)
    remaining_after = plan.count - max(plan.run_end, observed.computed)
    return (
        max(engine_ready_at + remaining_before * plan.piece_s, import_done_at)
        + remaining_after * plan.piece_s
        + plan.tail_s
    )
