"""Plans which kept pieces of a prompt to import."""

import msgspec

from papayalink.coordination import links
from papayalink.coordination import restore as restores
from papayalink.roles.agent import importing
from papayalink.roles.agent import locating
from papayalink.roles.agent import transfers
from papayalink.roles.agent import upstream as upstream_state


class Restorer:
    """Plans imports and starts them.

    Args:
        piece_transfers: transfers pieces and measures rates.
        engine_state: provides the measured prefill rate.
    """

    __slots__ = ("_transfers", "_state")

    def __init__(
        self,
        piece_transfers: transfers.Transfers,
        engine_state: upstream_state.EngineState,
    ) -> None:
        self._transfers = piece_transfers
        self._state = engine_state

    def begin(
        self,
        located: locating.LocatedPrompt,
        priority: links.Priority,
        queue_tokens: int = 0,
    ) -> importing.Restore:
        """Start importing the pieces that are faster to import than compute.

        Args:
            located: where the pieces of the prompt are kept.
            priority: class of the transfers.
            queue_tokens: prompt tokens that the engine computes first, as
                estimated by the entry.
        Returns: the import, which the caller must stop at the first token or
            the end of the request.
        """
        kept = self._kept_pieces(located, priority)
        queue_s = queue_tokens / self._state.prefill_rate
        prefill_rate = self._state.prefill_rate * located.token_ratio
        plan = restores.plan(
            len(located.keys),
            located.tail_tokens,
            kept,
            self._transfers.rates({piece.store for piece in kept}, priority),
            restores.Engine(
                prefill_rate, queue_s, computes_during_import=True
            ),
            self._transfers.clock.now(),
        )
        is_probe = False
        if kept and not plan.order and self._is_stale(kept[-1].store):
            # A link that was too slow is not used by plans, so only a probe
            # can show that it has become faster.
            is_probe = True
            plan = msgspec.structs.replace(plan, order=(kept[-1],))
        started = importing.Restore(
            self._transfers, located, plan, is_probe, priority, queue_s
        )
        started.start()
        return started

    def _kept_pieces(
        self, located: locating.LocatedPrompt, priority: links.Priority
    ) -> list[restores.KeptPiece]:
        kept = []
        for position in range(len(located.keys)):
            names = [store.name for store in located.holders(position)]
            store = self._transfers.agent_links.choose(names, priority)
            if store is not None:
                size_bytes = self._transfers.agent_links.piece_bytes
                kept.append(restores.KeptPiece(position, size_bytes, store))
        return kept

    def _is_stale(self, store: str) -> bool:
        estimate = self._transfers.agent_links.link(store).estimate
        return estimate.is_stale(self._transfers.clock.now())
