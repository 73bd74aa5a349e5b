"""Retry budgets of one entry, by service."""

from collections.abc import Callable
import time

from papayalink import node_settings
from papayalink.coordination import retry

# Share of the deployment's allowance that the entries use together. The rest
# is a margin: the sliding windows of the entries are not aligned.
ALLOWANCE_SHARE = 0.8
# Share of the part for its requests that an entry uses in its first window. An
# earlier run of it, of which it knows nothing, may have used ALLOWANCE_SHARE
# shortly before; both add up to 1 at most.
FIRST_SHARE = 0.2


class Budgets:
    """This entry's share of the retries that all entries may make.

    Args:
        bounds: retry allowance of the deployment.
        share: returns this entry's share of the constant part.
        started_at: monotonic seconds. An earlier run of this entry may have
            used the whole of its share shortly before.
    """

    __slots__ = ("_bounds", "_share", "_first_until", "_by_service")

    def __init__(
        self,
        bounds: node_settings.Bounds,
        share: Callable[[], float],
        started_at: float,
    ) -> None:
        self._bounds = bounds
        self._share = share
        self._first_until = started_at + bounds.retry_window_s
        self._by_service: dict[str, retry.Budget] = {}

    def for_service(self, service: str, now: float) -> retry.Budget:
        """Returns: the retry budget for calls to a service."""
        budget = self._by_service.get(service)
        if budget is None:
            # A budget counts over two of its windows.
            budget = retry.Budget(window_s=self._bounds.retry_window_s / 2)
            self._by_service[service] = budget
        if now < self._first_until:
            budget.ratio = self._bounds.retry_ratio * FIRST_SHARE
            budget.constant = 0.0
        else:
            budget.ratio = self._bounds.retry_ratio * ALLOWANCE_SHARE
            # Not rounded: with many entries each one's part is below 1, and
            # adds to what its calls allow.
            budget.constant = (
                self._bounds.retry_slack * ALLOWANCE_SHARE * self._share()
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
