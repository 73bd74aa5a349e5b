"""An entry's shares of the limits of workspaces."""

from collections.abc import Iterable

import msgspec

from papayalink.coordination import limits
from papayalink.protocol import messages
from papayalink.state import document as documents


class Allowed(msgspec.Struct, frozen=True):
    """The request is within the workspace's limits."""


class Exceeded(msgspec.Struct, frozen=True):
    """A limit is used up; the request was not run."""

    reason: str
    retry_after_s: float


class Allowances:
    """Token buckets and requests in flight of limited workspaces.

    Shares come with poll replies, so no request needs a message. A workspace
    without a share yet starts from the even share of a floor.
    """

    __slots__ = ("_meter", "_tokens", "_in_flight", "_confirmed_at")

    def __init__(self) -> None:
        self._meter = limits.DemandMeter()
        self._tokens: dict[str, limits.TokenBucket] = {}
        self._in_flight: dict[str, limits.InFlight] = {}
        self._confirmed_at = 0.0

    def demand(self, now: float) -> tuple[messages.Demand, ...]:
        """Returns: recent demand of limited workspaces, for the next poll."""
        return tuple(
            messages.Demand(name, rate, self._running(name))
            for name, rate in self._meter.report(now).items()
        )

    def confirm(
        self,
        document: documents.Document,
        shares: Iterable[messages.Demand],
        sent_at: float,
    ) -> None:
        """Take over the shares of a poll reply.

        Args:
            sent_at: clock seconds at which the poll was sent.
        """
        self._confirmed_at = sent_at
        limited = {space.name: space for space in document.workspaces}
        for share in shares:
            space = limited.get(share.workspace)
            if space is None:
                continue
            if space.tokens_per_s:
                self._confirm_tokens(share, sent_at)
            if space.max_in_flight:
                self._confirm_in_flight(share, sent_at)

    def acquire(
        self, space: documents.Workspace, tokens: int, now: float
    ) -> Allowed | Exceeded:
        """Charge a request; release() follows when it was allowed."""
        if not (space.tokens_per_s or space.max_in_flight):
            return Allowed()
        self._meter.note(space.name, tokens, now)
        if space.max_in_flight:
            running = self._in_flight.get(space.name)
            if running is None:
                running = limits.InFlight(
                    _first_share(space.max_in_flight), self._confirmed_at
                )
                self._in_flight[space.name] = running
            if not running.acquire(now):
                return Exceeded("requests in flight of the workspace", 1.0)
        if space.tokens_per_s:
            bucket = self._tokens.get(space.name)
            if bucket is None:
                bucket = limits.TokenBucket(
                    space.tokens_per_s * limits.FLOOR_SHARE,
                    self._confirmed_at,
                )
                self._tokens[space.name] = bucket
            after_s = bucket.take(tokens, now)
            if after_s is not None:
                self.release(space)
                return Exceeded("tokens a second of the workspace", after_s)
        return Allowed()

    def release(self, space: documents.Workspace) -> None:
        """A request that was allowed has ended."""
        running = self._in_flight.get(space.name)
        if running is not None and running.running:
            running.release()

    def _running(self, name: str) -> int:
        running = self._in_flight.get(name)
        return running.running if running is not None else 0

    def _confirm_tokens(self, share: messages.Demand, sent_at: float) -> None:
        bucket = self._tokens.get(share.workspace)
        if bucket is None:
            bucket = limits.TokenBucket(share.tokens_per_s, sent_at)
            self._tokens[share.workspace] = bucket
        bucket.confirm(share.tokens_per_s, sent_at)

    def _confirm_in_flight(
        self, share: messages.Demand, sent_at: float
    ) -> None:
        running = self._in_flight.get(share.workspace)
        if running is None:
            running = limits.InFlight(share.in_flight, sent_at)
            self._in_flight[share.workspace] = running
        running.confirm(share.in_flight, sent_at)


def _first_share(limit: int) -> int:
    return max(1, int(limit * limits.FLOOR_SHARE))


def make_allowances() -> Allowances:
    return Allowances()
