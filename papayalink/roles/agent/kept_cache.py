"""Restores kept cache of prompts, and keeps it afterwards."""

from collections.abc import Callable

from papayalink import clock as clocks
from papayalink import metrics as metrics_module
from papayalink.adapters import engine as engines
from papayalink.coordination import links
from papayalink.protocol import relay
from papayalink.roles.agent import importing
from papayalink.roles.agent import keeping
from papayalink.roles.agent import locating
from papayalink.roles.agent import pieces_client
from papayalink.roles.agent import restoring
from papayalink.roles.agent import store_links
from papayalink.roles.agent import transfers
from papayalink.roles.agent import upstream as upstream_state
from papayalink.state import document as documents


class KeptCache:
    """Moves pieces between one engine and the stores.

    Args:
        locator: finds the pieces of prompts.
        restorer: imports pieces.
        keeper: copies pieces to stores.
        agent_links: links to the stores.
    """

    __slots__ = ("_locator", "_restorer", "_keeper", "_links")

    def __init__(
        self,
        locator: locating.Locator,
        restorer: restoring.Restorer,
        keeper: keeping.Keeper,
        agent_links: store_links.StoreLinks,
    ) -> None:
        self._locator = locator
        self._restorer = restorer
        self._keeper = keeper
        self._links = agent_links

    def locate(self, request: relay.RelayRequest) -> locating.Located | None:
        """Returns: the pieces of a prompt, None without a full piece."""
        return self._locator.locate(request)

    def restore(
        self, located: locating.Located, is_urgent: bool, queue_tokens: int
    ) -> importing.Restore:
        """Start to bring the kept pieces of a prompt into the engine.

        Args:
            located: pieces of the prompt.
            is_urgent: whether its rank is the first.
            queue_tokens: prompt tokens that the engine computes before.
        Returns: the import, which the caller stops.
        """
        priority = links.Priority.OTHER_RESTORE
        if is_urgent:
            priority = links.Priority.URGENT_RESTORE
        return self._restorer.begin(located, priority, queue_tokens)

    def keep(self, located: locating.Located) -> None:
        """Copy the pieces of a prompt that ran to its stores, later."""
        self._keeper.keep(located)

    def dump(self) -> dict[str, float]:
        """Returns: rate of each store's link in bytes a second."""
        return self._links.dump()


def make_kept_cache(
    engine: engines.Engine,
    client: pieces_client.PiecesClient,
    document: Callable[[], documents.Document],
    engine_state: upstream_state.EngineState,
    clock: clocks.Clock,
    metrics: metrics_module.Metrics,
) -> KeptCache:
    """Args: document: configuration in force."""
    agent_links = store_links.StoreLinks()
    moves = transfers.Transfers(engine, client, agent_links, clock, metrics)
    return KeptCache(
        locating.Locator(engine, client, document),
        restoring.Restorer(moves, engine_state),
        keeping.Keeper(engine, client, agent_links, engine_state, metrics),
        agent_links,
    )
