"""Simulated restores over links whose rate changes part way."""

import msgspec

from papayalink.coordination import restore

# Steps of a simulation within the shorter of the two baselines.
_STEPS = 400


class LinkProfile(msgspec.Struct, frozen=True):
    """Rate of a link over time.

    Args:
        rate_bytes_per_s: rate at the start.
        slows_at_s: when the rate changes.
        factor: rate after the change, as a multiple of the first.
    """

    rate_bytes_per_s: float
    slows_at_s: float = float("inf")
    factor: float = 1.0

    def rate(self, now: float) -> float:
        """Returns: bytes per second at a time."""
        slowed = now >= self.slows_at_s
        return self.rate_bytes_per_s * (self.factor if slowed else 1.0)

    def transfer_s(self, size_bytes: float) -> float:
        """Returns: seconds to transfer bytes from time 0 on."""
        before = self.rate_bytes_per_s * self.slows_at_s
        if size_bytes <= before:
            return size_bytes / self.rate_bytes_per_s
        slow = self.rate_bytes_per_s * self.factor
        return self.slows_at_s + (size_bytes - before) / slow


class Outcome(msgspec.Struct, frozen=True):
    """Result of a simulated restore.

    Args:
        restore_s: time until the prompt is computed.
        import_s: the same when all kept pieces are imported.
        recompute_s: the same when nothing is imported.
        imported: pieces imported.
        abandoned: whether the import was abandoned.
    """

    restore_s: float
    import_s: float
    recompute_s: float
    imported: int
    abandoned: bool


def simulate(
    count: int,
    kept_count: int,
    size_bytes: int,
    engine: restore.Engine,
    profile: LinkProfile,
) -> Outcome:
    """Restore a prompt whose first pieces are kept on one store.

    Args:
        count: pieces of the prompt.
        kept_count: leading pieces that are kept.
        size_bytes: size of a piece.
        engine: the engine; it does not stop within a piece.
        profile: the link; its rate is known at the start and measured within
            a step of the simulation after that.
    Returns: the outcome.
    """
    kept = [
        restore.KeptPiece(position, size_bytes, "store")
        for position in range(kept_count)
    ]
    links = {"store": restore.Link(profile.rate(0.0))}
    plan = restore.plan(count, 0, kept, links, engine, 0.0)
    import_s = (
        max(engine.queue_s, profile.transfer_s(kept_count * size_bytes))
        + (count - kept_count) * plan.piece_s
    )
    step = min(import_s, plan.recompute_s) / _STEPS
    now = received = 0.0
    imported, computed = 0, 0
    free_at = engine.queue_s
    split, abandoned = plan.split, not plan.order
    while True:
        if not abandoned and imported < len(plan.order):
            observed = restore.Observed(
                imported, int(received), computed, free_at
            )
            links = {"store": restore.Link(profile.rate(now))}
            match restore.replan(plan, now, observed, links):
                case restore.Abandon():
                    abandoned = True
                case restore.Continue(split=split):
                    pass
        covered_from = (
            plan.run_end - imported if plan.computes_during_import else 0
        )
        done = abandoned or imported >= (
            len(plan.order)
            if plan.computes_during_import
            else min(split, len(plan.order))
        )
        if not plan.computes_during_import:
            if done:
                left = count - imported
                total = max(now, free_at) + left * plan.piece_s
                return Outcome(
                    total, import_s, plan.recompute_s, imported, abandoned
                )
        else:
            met = computed >= covered_from or not plan.order
            if done or met:
                before = max(0, covered_from - computed) if plan.order else 0
                after = count - (
                    max(plan.run_end, computed) if plan.order else computed
                )
                total = max(now, free_at) + (before + after) * plan.piece_s
                return Outcome(
                    total, import_s, plan.recompute_s, imported, abandoned
                )
            if now >= free_at and computed < min(split, covered_from):
                computed += 1
                # The engine went on within the last step when it was free.
                free_at = max(free_at, now - step) + plan.piece_s
                continue
        now += step
        received += step * profile.rate(now - step)
        while received >= size_bytes and imported < len(plan.order):
            received -= size_bytes
            imported += 1
            if (
                plan.computes_during_import
                and plan.run_end - imported <= computed
            ):
                break
