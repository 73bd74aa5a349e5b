"""Leaving upstreams, and orders with fencing tokens to upstreams."""

import msgspec


class MarkLeaving(msgspec.Struct, frozen=True, tag=True):
    """Give an upstream no new work.

    Attributes:
        source: "platform", "agent" or "operator".
    """

    upstream: str
    source: str


class ClearLeaving(msgspec.Struct, frozen=True, tag=True):
    """Withdraw a source's request that an upstream get no new work."""

    upstream: str
    source: str


class OpenOrder(msgspec.Struct, frozen=True, tag=True):
    """Open an order, replacing one that an earlier leader left open.

    Attributes:
        action: "load_weights", "load_adapter" or "set_role".
        argument: weight version, adapter or role.
        leader: control member that will send the order.
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
    """An order with its fencing token."""

    upstream: str
    fence: int
    action: str
    argument: str
    leader: str


class Changed(msgspec.Struct, frozen=True, tag=True):
    """The command changed the state."""


class Unchanged(msgspec.Struct, frozen=True, tag=True):
    """Nothing had to change, or the fencing token is outdated."""


class Opened(msgspec.Struct, frozen=True, tag=True):
    """The opened order, with a fencing token above all earlier ones."""

    order: Order


Outcome = Changed | Unchanged | Opened


class Content(msgspec.Struct):
    """The whole state, for snapshots.

    Attributes:
        fences: newest fencing token by upstream.
        open_orders: open order by upstream.
        leaving: by upstream, the sources that want it to leave.
    """

    fences: dict[str, int]
    open_orders: dict[str, Order]
    leaving: dict[str, tuple[str, ...]]


class Upstreams:
    """Decisions of the control group about upstreams."""

    __slots__ = ("_content",)

    def __init__(self) -> None:
        self._content = Content({}, {}, {})

    @property
    def leaving(self) -> tuple[str, ...]:
        """Names of the upstreams that get no new work."""
        return tuple(sorted(self._content.leaving))

    @property
    def leaving_sources(self) -> dict[str, tuple[str, ...]]:
        """For each leaving upstream, the sources that want it to leave."""
        return self._content.leaving

    @property
    def open_orders(self) -> tuple[Order, ...]:
        return tuple(self._content.open_orders.values())

    def fence(self, upstream: str) -> int:
        """Returns: newest fencing token, 0 when none was issued."""
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
        # The upstream stays marked while another source wants it to leave.
        remaining = tuple(other for other in sources if other != source)
        if remaining:
            self._content.leaving[upstream] = remaining
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
