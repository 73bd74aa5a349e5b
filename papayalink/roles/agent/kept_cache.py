"""Restores the cache of prompts from stores and saves it to them."""

from collections.abc import Callable

from papayalink import clock as clocks
from papayalink import metrics as metrics_module
from papayalink.adapters import engine as engines
from papayalink.coordination import links
from papayalink.protocol import relay
from papayalink.roles.agent import importing
from papayalink.roles.agent import locating
from papayalink.roles.agent import piece_saving
from papayalink.roles.agent import pieces_client
from papayalink.roles.agent import restoring
from papayalink.roles.agent import store_links
from papayalink.roles.agent import transfers
from papayalink.roles.agent import upstream as upstream_state
from papayalink.state import document as documents


class KeptCache:
    """Transfers pieces between one engine and the stores.

    Args:
        locator: finds the pieces of prompts.
        restorer: imports pieces.
        saver: copies pieces to the stores.
        agent_links: links to the stores.
    """

    __slots__ = ("_locator", "_restorer", "_saver", "_links")

    def __init__(
        self,
        locator: locating.Locator,
        restorer: restoring.Restorer,
        saver: piece_saving.PieceSaver,
        agent_links: store_links.StoreLinks,
    ) -> None:
        self._locator = locator
        self._restorer = restorer
        self._saver = saver
        self._links = agent_links

    def locate(
        self, request: relay.RelayRequest
    ) -> locating.LocatedPrompt | None:
        """Returns: the pieces of a prompt, None if it cannot be looked up."""
        return self._locator.locate(request)

    def restore(
        self,
        located: locating.LocatedPrompt,
        is_urgent: bool,
        queue_tokens: int,
    ) -> importing.Restore:
        """Start importing the kept pieces of a prompt into the engine.

        Args:
            located: pieces of the prompt.
            is_urgent: whether the request has the most urgent rank.
            queue_tokens: prompt tokens that the engine computes first.
        Returns: the import, which the caller must stop.
        """
        priority = links.Priority.OTHER_RESTORE
        if is_urgent:
            priority = links.Priority.URGENT_RESTORE
        return self._restorer.begin(located, priority, queue_tokens)

    def save(self, located: locating.LocatedPrompt) -> None:
        """Queue the pieces of a finished prompt for copying to its stores."""
        self._saver.save(located)

    def dump(self) -> dict[str, float]:
        """Returns: rate of each store's link in bytes per second."""
        return self._links.dump()


def make_kept_cache(
    engine: engines.Engine,
    client: pieces_client.PiecesClient,
    document: Callable[[], documents.Document],
    engine_state: upstream_state.EngineState,
    clock: clocks.Clock,
    metrics: metrics_module.Metrics,
) -> KeptCache:
    """Args: document: returns the configuration in force."""
    agent_links = store_links.StoreLinks()
    piece_transfers = transfers.Transfers(
        engine, client, agent_links, clock, metrics
    )
    return KeptCache(
        locating.Locator(engine, client, document),
        restoring.Restorer(piece_transfers, engine_state),
        piece_saving.PieceSaver(
            engine, client, agent_links, engine_state, metrics
        ),
        agent_links,
    )
