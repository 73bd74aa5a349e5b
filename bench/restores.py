"""Simulates restores over links whose rate changes during the transfer."""

import msgspec

from papayalink.coordination import restore

# Time steps of a simulation in the duration of the faster baseline.
_STEPS = 400


class LinkProfile(msgspec.Struct, frozen=True):
    """Rate of a link over time.

    Args:
        rate_bytes_per_s: rate at the start.
        slows_at_s: when the rate changes.
        factor: rate after the change, as a multiple of the rate at the start.
    """

    rate_bytes_per_s: float
    slows_at_s: float = float("inf")
    factor: float = 1.0

    def rate(self, now: float) -> float:
        """Returns: bytes per second at a time."""
        slowed = now >= self.slows_at_s
        return self.rate_bytes_per_s * (self.factor if slowed else 1.0)

    def transfer_s(self, size_bytes: float) -> float:
        """Returns: seconds of a transfer that starts at time 0."""
        bytes_before = self.rate_bytes_per_s * self.slows_at_s
        if size_bytes <= bytes_before:
            return size_bytes / self.rate_bytes_per_s
        slow_rate = self.rate_bytes_per_s * self.factor
        return self.slows_at_s + (size_bytes - bytes_before) / slow_rate


class Outcome(msgspec.Struct, frozen=True):
    """Result of a simulated restore.

    Args:
        restore_s: time until the prompt is computed.
        import_s: that time if all kept pieces are imported.
        recompute_s: that time if no piece is imported.
        imported: number of pieces imported.
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
    """Simulate restoring a prompt whose first pieces are kept on one store.

    Args:
        count: number of pieces of the prompt.
        kept_count: number of leading pieces that are kept.
        size_bytes: size of a piece.
        engine: the engine; it computes each piece without interruption.
        profile: the link; its rate is known at the start, and a change is
            seen within one step of the simulation.
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
    step_s = min(import_s, plan.recompute_s) / _STEPS
    now = received_bytes = 0.0
    imported, computed = 0, 0
    free_at = engine.queue_s
    split, abandoned = plan.split, not plan.order
    while True:
        if not abandoned and imported < len(plan.order):
            observed = restore.Observed(
                imported, int(received_bytes), computed, free_at
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
                total_s = max(now, free_at) + left * plan.piece_s
                return Outcome(
                    total_s, import_s, plan.recompute_s, imported, abandoned
                )
        else:
            # Computing from the front has reached the imported pieces.
            met = computed >= covered_from or not plan.order
            if done or met:
                before = max(0, covered_from - computed) if plan.order else 0
                after = count - (
                    max(plan.run_end, computed) if plan.order else computed
                )
                total_s = max(now, free_at) + (before + after) * plan.piece_s
                return Outcome(
                    total_s, import_s, plan.recompute_s, imported, abandoned
                )
            if now >= free_at and computed < min(split, covered_from):
                computed += 1
                # The engine became free during the last step and continued at
                # once.
                free_at = max(free_at, now - step_s) + plan.piece_s
                continue
        now += step_s
        received_bytes += step_s * profile.rate(now - step_s)
        while received_bytes >= size_bytes and imported < len(plan.order):
            received_bytes -= size_bytes
            imported += 1
            if (
                plan.computes_during_import
                and plan.run_end - imported <= computed
            ):
                break
