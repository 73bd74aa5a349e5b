"""Retry budgets of one entry, by service."""

from collections.abc import Callable

from papayalink import node_settings
from papayalink.coordination import retry

# Part of the deployment's allowance that the entries use together: windows
# slide at the entries apart from each other, and their number is known late.
USED_SHARE = 0.8


class Budgets:
    """This entry's share of what all entries may repeat.

    Args:
        bounds: allowance of the deployment.
        entries: how many entries share it.
    """

    __slots__ = ("_bounds", "_entries", "_by_service")

    def __init__(
        self, bounds: node_settings.Bounds, entries: Callable[[], int]
    ) -> None:
        self._bounds = bounds
        self._entries = entries
        self._by_service: dict[str, retry.Budget] = {}

    def of(self, service: str) -> retry.Budget:
        """Returns: the budget for repeats at a service."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = retry.Budget(self._bounds.retry_ratio * USED_SHARE, 0)
            self._by_service[service] = budget
        slack = self._bounds.retry_slack * USED_SHARE
        budget.constant = int(slack / max(1, self._entries()))
        return budget


def make_budgets(
    bounds: node_settings.Bounds, entries: Callable[[], int]
) -> Budgets:
    return Budgets(bounds, entries)
