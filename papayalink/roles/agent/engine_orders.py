"""Carries out the control leader's orders at the engine."""

from collections.abc import Callable

import gevent

from papayalink import logs
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import dispatch
from papayalink.coordination import orders
from papayalink.protocol import messages
from papayalink.roles.agent import relaying
from papayalink.roles.agent import upstream as upstream_state

_PAUSE_S = 0.01
# What the engine's interface calls the argument of each action.
_ARGUMENTS = {
    "load_weights": "weight_version",
    "load_adapter": "adapter",
    "set_role": "role",
}


class EngineOrders:
    """Refuses old fencing numbers, also for engines that ignore them.

    Args:
        known_fence: newest fencing number that control told of, None until
            the configuration was confirmed. After a restart of the agent it
            is the only record of earlier orders.
    """

    __slots__ = (
        "_engine",
        "_state",
        "_dispatcher",
        "_relayer",
        "_known_fence",
        "_fence",
        "_log",
    )

    def __init__(
        self,
        engine: engines.Engine,
        engine_state: upstream_state.EngineState,
        dispatcher: dispatch.Dispatcher,
        relayer: relaying.Relayer,
        known_fence: Callable[[], int | None],
    ) -> None:
        self._engine = engine
        self._state = engine_state
        self._dispatcher = dispatcher
        self._relayer = relayer
        self._known_fence = known_fence
        self._fence = 0
        self._log = logs.get_logger()

    @property
    def fence(self) -> int:
        """Newest fencing number seen in an order."""
        return self._fence

    def carry_out(self, order: messages.Order) -> messages.OrderReply:
        """Carry out an order, or refuse it as old."""
        known = self._known_fence()
        if known is None:
            return messages.OrderReply(
                "failed", "configuration is not confirmed"
            )
        if order.fence < max(known, self._fence):
            self._log.warning("order_refused", order=repr(order), known=known)
            return messages.OrderReply("stale")
        self._fence = order.fence
        self._dispatcher.hold()
        try:
            return self._run(order)
        finally:
            self._dispatcher.release()

    def _run(self, order: messages.Order) -> messages.OrderReply:
        # The engine chooses a request's weights when it starts it, so those
        # on their way to it come first.
        while self._relayer.starting:
            gevent.sleep(_PAUSE_S)
        if order.fence != self._fence:
            return messages.OrderReply("stale")
        loads_weights = order.action == orders.LOAD_WEIGHTS
        if loads_weights and self._state.weight_version == order.argument:
            # The answer to an earlier leader's order was lost.
            return messages.OrderReply("done")
        if loads_weights:
            self._state.begin_swap()
        loaded = ""
        try:
            self._engine.order(
                order.fence,
                {
                    "action": order.action,
                    _ARGUMENTS[order.action]: order.argument,
                },
            )
            loaded = order.argument
            self._log.info("order_carried_out", order=repr(order))
            return messages.OrderReply("done")
        except adapter_errors.OrderRefused:
            return messages.OrderReply("stale")
        except (adapter_errors.AdapterError, KeyError) as error:
            return messages.OrderReply("failed", str(error))
        finally:
            if loads_weights:
                self._state.end_swap(loaded)
