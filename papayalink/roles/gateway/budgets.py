"""Retry budgets of one entry, by service."""

from collections.abc import Callable
import time

from papayalink import node_settings
from papayalink.coordination import retry

# Share of the deployment's allowance that the entries use together. The rest
# is a margin: the sliding windows of the entries are not aligned, and an entry
# that starts again does not know what it has spent.
ALLOWANCE_SHARE = 0.8


class Budgets:
    """This entry's share of the retries that all entries may make.

    Args:
        bounds: retry allowance of the deployment.
        share: returns this entry's share of the constant part.
        started_at: monotonic seconds. An earlier run of this entry may have
            used its part of the constant shortly before.
    """

    __slots__ = ("_bounds", "_share", "_constant_from", "_by_service")

    def __init__(
        self,
        bounds: node_settings.Bounds,
        share: Callable[[], float],
        started_at: float,
    ) -> None:
        self._bounds = bounds
        self._share = share
        self._constant_from = started_at + bounds.retry_window_s
        self._by_service: dict[str, retry.Budget] = {}

    def for_service(self, service: str, now: float) -> retry.Budget:
        """Returns: the retry budget for calls to a service."""
        budget = self._by_service.get(service)
        if budget is None:
            # A budget counts over two of its windows.
            budget = retry.Budget(
                self._bounds.retry_ratio * ALLOWANCE_SHARE,
                0,
                self._bounds.retry_window_s / 2,
            )
            self._by_service[service] = budget
        # Not rounded: with many entries each one's part is below 1, and adds
        # to what its calls allow.
        budget.constant = (
            self._bounds.retry_slack * ALLOWANCE_SHARE * self._share()
            if now >= self._constant_from
            else 0.0
        )
        return budget


def make_budgets(
    bounds: node_settings.Bounds,
    share: Callable[[], float],
    started_at: float | None = None,
) -> Budgets:
    """Args: started_at: now if None."""
    if started_at is None:
        started_at = time.monotonic()
    return Budgets(bounds, share, started_at)
