"""Carries out the control leader's orders on the engine."""

from collections.abc import Callable

import gevent
from gevent import lock

from papayalink import logs
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import dispatch
from papayalink.coordination import orders
from papayalink.protocol import messages
from papayalink.roles.agent import relaying
from papayalink.roles.agent import upstream as upstream_state

NOT_CONFIRMED = "fencing number is not confirmed"
_START_POLL_PERIOD_S = 0.01
# Name of the argument of each action in the engine's interface.
_ARGUMENT_NAMES = {
    "load_weights": "weight_version",
    "load_adapter": "adapter",
    "set_role": "role",
}


class EngineOrders:
    """Sends orders to the engine and refuses those with old fencing tokens.

    Engines that do not check fencing tokens are protected as well.

    Args:
        engine: adapter of the engine.
        engine_state: weights and adapters that the engine has loaded.
        dispatcher: paused while weights are swapped.
        relayer: counts the requests that the engine may not have started.
        known_fence: returns the newest fencing token reported by control,
            None until the configuration is confirmed. After a restart of the
            agent it is the only record of earlier orders.
        confirm_fence: reads the newest fencing token from a quorum; returns
            None if that fails. Called directly before an order is sent.
        checks_fencing: returns whether the engine itself refuses old tokens,
            so that no quorum read is needed.
    """

    __slots__ = (
        "_engine",
        "_state",
        "_dispatcher",
        "_relayer",
        "_known_fence",
        "_confirm_fence",
        "_checks_fencing",
        "_fence",
        "_lock",
        "_log",
    )

    def __init__(
        self,
        engine: engines.Engine,
        engine_state: upstream_state.EngineState,
        dispatcher: dispatch.Dispatcher,
        relayer: relaying.Relayer,
        known_fence: Callable[[], int | None],
        confirm_fence: Callable[[], int | None],
        checks_fencing: Callable[[], bool],
    ) -> None:
        self._engine = engine
        self._state = engine_state
        self._dispatcher = dispatcher
        self._relayer = relayer
        self._known_fence = known_fence
        self._confirm_fence = confirm_fence
        self._checks_fencing = checks_fencing
        self._fence = 0
        # An order that a new leader takes over waits for its first copy, so
        # that the engine does not load the same weights or adapter twice.
        self._lock = lock.BoundedSemaphore()
        self._log = logs.get_logger()

    @property
    def fence(self) -> int:
        """Newest fencing token seen in an order."""
        return self._fence

    def carry_out(self, order: messages.Order) -> messages.OrderReply:
        """Carry out an order, or refuse it as stale."""
        known = self._known_fence()
        if known is None:
            return messages.OrderReply(
                "failed", "configuration is not confirmed"
            )
        if order.fence < max(known, self._fence):
            self._log.warning("order_refused", order=repr(order), known=known)
            return messages.OrderReply("stale")
        self._fence = order.fence
        with self._lock:
            if order.fence != self._fence:
                return messages.OrderReply("stale")
            if self._is_done(order):
                # The reply to an earlier leader's order was lost.
                return messages.OrderReply("done")
            if order.action != orders.LOAD_WEIGHTS:
                return self._send(order)
            return self._swap(order)

    def _is_done(self, order: messages.Order) -> bool:
        match order.action:
            case orders.LOAD_WEIGHTS:
                return self._state.weight_version == order.argument
            case orders.LOAD_ADAPTER:
                return order.argument in self._state.adapters
        return False

    def _swap(self, order: messages.Order) -> messages.OrderReply:
        self._dispatcher.pause()
        try:
            # The engine chooses a request's weights when it starts the
            # request, so requests already sent must start before the swap.
            while self._relayer.starting:
                gevent.sleep(_START_POLL_PERIOD_S)
            return self._send(order)
        finally:
            self._dispatcher.resume()

    def _send(self, order: messages.Order) -> messages.OrderReply:
        if not self._checks_fencing():
            newest = self._confirm_fence()
            if newest is None:
                return messages.OrderReply("failed", NOT_CONFIRMED)
            if newest != order.fence:
                return messages.OrderReply("stale")
        if order.fence != self._fence:
            return messages.OrderReply("stale")
        loads_weights = order.action == orders.LOAD_WEIGHTS
        if loads_weights:
            self._state.begin_swap()
        loaded = ""
        try:
            self._engine.order(
                order.fence,
                {
                    "action": order.action,
                    _ARGUMENT_NAMES[order.action]: order.argument,
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
            elif loaded and order.action == orders.LOAD_ADAPTER:
                self._state.add_adapter(loaded)
