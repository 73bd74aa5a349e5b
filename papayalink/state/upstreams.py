"""Leaving upstreams, and orders to upstreams with fencing numbers."""

import msgspec


class MarkLeaving(msgspec.Struct, frozen=True, tag=True):
    """An upstream is to get no new work.

    Attributes:
        source: "platform", "agent" or "operator".
    """

    upstream: str
    source: str


class ClearLeaving(msgspec.Struct, frozen=True, tag=True):
    """An upstream may get work again."""

    upstream: str
    source: str


class OpenOrder(msgspec.Struct, frozen=True, tag=True):
    """Open an order, or take over the open one of an earlier leader.

    Attributes:
        action: "load_weights", "load_adapter" or "set_role".
        argument: weight version, adapter or role.
        leader: control member that sends the order.
    """

    upstream: str
    action: str
    argument: str
    leader: str


class CloseOrder(msgspec.Struct, frozen=True, tag=True):
    """Record that an order was carried out or failed."""

    upstream: str
    fence: int
    result: str


Command = MarkLeaving | ClearLeaving | OpenOrder | CloseOrder


class Order(msgspec.Struct, frozen=True):
    """An order with its fencing number."""

    upstream: str
    fence: int
    action: str
    argument: str
    leader: str


class Changed(msgspec.Struct, frozen=True, tag=True):
    """The command changed the state."""


class Unchanged(msgspec.Struct, frozen=True, tag=True):
    """The state already was as the command asks, or the fence is old."""


class Opened(msgspec.Struct, frozen=True, tag=True):
    """The order to send, with a fencing number above all earlier ones."""

    order: Order


Outcome = Changed | Unchanged | Opened


class Content(msgspec.Struct):
    """All state of this module, for snapshots."""

    fences: dict[str, int]
    open_orders: dict[str, Order]
    leaving: dict[str, tuple[str, ...]]


class Upstreams:
    """What the control group decided about upstreams."""

    __slots__ = ("_content",)

    def __init__(self) -> None:
        self._content = Content({}, {}, {})

    @property
    def leaving(self) -> tuple[str, ...]:
        """Names of the upstreams that get no new work."""
        return tuple(sorted(self._content.leaving))

    @property
    def leaving_sources(self) -> dict[str, tuple[str, ...]]:
        """Who wants each leaving upstream to leave."""
        return self._content.leaving

    @property
    def open_orders(self) -> tuple[Order, ...]:
        return tuple(self._content.open_orders.values())

    def fence(self, upstream: str) -> int:
        """Returns: newest fencing number, 0 when none was given out."""
        return self._content.fences.get(upstream, 0)

    def apply(self, command: Command) -> Outcome:
        match command:
            case MarkLeaving(upstream=upstream, source=source):
                return self._mark(upstream, source)
            case ClearLeaving(upstream=upstream, source=source):
                return self._clear(upstream, source)
            case OpenOrder():
                return self._open(command)
            case CloseOrder(upstream=upstream, fence=fence):
                return self._close(upstream, fence)

    def snapshot(self) -> Content:
        return self._content

    def restore(self, content: Content) -> None:
        self._content = content

    def _mark(self, upstream: str, source: str) -> Outcome:
        sources = self._content.leaving.get(upstream, ())
        if source in sources:
            return Unchanged()
        self._content.leaving[upstream] = (*sources, source)
        return Changed()

    def _clear(self, upstream: str, source: str) -> Outcome:
        sources = self._content.leaving.get(upstream, ())
        if source not in sources:
            return Unchanged()
        # One source cannot overrule another that still wants it to leave.
        rest = tuple(known for known in sources if known != source)
        if rest:
            self._content.leaving[upstream] = rest
        else:
            del self._content.leaving[upstream]
        return Changed()

    def _open(self, command: OpenOrder) -> Outcome:
        fence = self.fence(command.upstream) + 1
        order = Order(
            command.upstream,
            fence,
            command.action,
            command.argument,
            command.leader,
        )
        self._content.fences[command.upstream] = fence
        self._content.open_orders[command.upstream] = order
        return Opened(order)

    def _close(self, upstream: str, fence: int) -> Outcome:
        order = self._content.open_orders.get(upstream)
        if order is None or order.fence != fence:
            return Unchanged()
        del self._content.open_orders[upstream]
        return Changed()


def make_upstreams() -> Upstreams:
    return Upstreams()
