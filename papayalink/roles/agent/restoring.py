"""Plans which kept pieces of a prompt are imported."""

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
        moves: moves pieces and knows the rates.
        engine_state: measured prefill rate.
    """

    __slots__ = ("_transfers", "_state")

    def __init__(
        self,
        moves: transfers.Transfers,
        engine_state: upstream_state.EngineState,
    ) -> None:
        self._transfers = moves
        self._state = engine_state

    def begin(
        self,
        located: locating.Located,
        priority: links.Priority,
        queue_tokens: int = 0,
    ) -> importing.Restore:
        """Start to import what is faster imported than computed.

        Args:
            located: where the pieces of the prompt are kept.
            priority: class of the transfers.
            queue_tokens: prompt tokens that the engine computes before, as
                the entry estimated them.
        Returns: the import, to be stopped at the first token of the request
            or at its end.
        """
        kept = self._kept(located, priority)
        queue_s = queue_tokens / self._state.prefill_rate
        prefill_rate = self._state.prefill_rate * located.token_ratio
        plan = restores.plan(
            len(located.keys),
            located.tail_tokens,
            kept,
            self._transfers.rates({piece.store for piece in kept}, priority),
            restores.Engine(prefill_rate, queue_s, can_meet=True),
            self._transfers.clock.now(),
        )
        is_probe = False
        if kept and not plan.order and self._is_stale(kept[-1].store):
            # A link that was slow is only measured again by using it.
            is_probe = True
            plan = msgspec.structs.replace(plan, order=(kept[-1],))
        started = importing.Restore(
            self._transfers, located, plan, is_probe, priority, queue_s
        )
        started.start()
        return started

    def _kept(
        self, located: locating.Located, priority: links.Priority
    ) -> list[restores.KeptPiece]:
        kept = []
        for place in range(len(located.keys)):
            names = [store.name for store in located.holders(place)]
            store = self._transfers.agent_links.choose(names, priority)
            if store is not None:
                size_bytes = self._transfers.agent_links.piece_bytes
                kept.append(restores.KeptPiece(place, size_bytes, store))
        return kept

    def _is_stale(self, store: str) -> bool:
        estimate = self._transfers.agent_links.link(store).estimate
        return estimate.is_stale(self._transfers.clock.now())
