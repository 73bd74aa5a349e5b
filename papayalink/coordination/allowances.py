"""Enforces an entry's shares of workspace limits."""

from collections.abc import Iterable

import msgspec

from papayalink.coordination import limits
from papayalink.protocol import messages
from papayalink.state import document as documents


class Allowed(msgspec.Struct, frozen=True):
    """The request is within the workspace's limits."""


class Exceeded(msgspec.Struct, frozen=True):
    """The share of a limit is used up; the request was not run."""

    reason: str
    retry_after_s: float


class Allowances:
    """Token buckets and in-flight limiters of limited workspaces.

    Shares come with poll replies, so that no request needs a message of its
    own. A workspace without a share yet starts with limits.FLOOR_FRACTION of
    its limit.
    """

    __slots__ = ("_meter", "_tokens", "_in_flight", "_confirmed_at")

    def __init__(self) -> None:
        self._meter = limits.DemandMeter()
        self._tokens: dict[str, limits.TokenBucket] = {}
        self._in_flight: dict[str, limits.InFlightLimiter] = {}
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
        """Apply the shares of a poll reply.

        Args:
            sent_at: clock seconds at which the poll was sent.
        """
        self._confirmed_at = sent_at
        limited = {
            workspace.name: workspace for workspace in document.workspaces
        }
        for share in shares:
            workspace = limited.get(share.workspace)
            if workspace is None:
                continue
            if workspace.tokens_per_s:
                self._confirm_tokens(share, sent_at)
            if workspace.max_in_flight:
                self._confirm_in_flight(share, sent_at)

    def acquire(
        self, workspace: documents.Workspace, tokens: int, now: float
    ) -> Allowed | Exceeded:
        """Charge a request; an allowed request must be released at its end."""
        if not (workspace.tokens_per_s or workspace.max_in_flight):
            return Allowed()
        self._meter.note(workspace.name, tokens, now)
        if workspace.max_in_flight:
            limiter = self._in_flight.get(workspace.name)
            if limiter is None:
                limiter = limits.InFlightLimiter(
                    _initial_share(workspace.max_in_flight), self._confirmed_at
                )
                self._in_flight[workspace.name] = limiter
            if not limiter.acquire(now):
                return Exceeded("requests in flight of the workspace", 1.0)
        if workspace.tokens_per_s:
            bucket = self._tokens.get(workspace.name)
            if bucket is None:
                bucket = limits.TokenBucket(
                    workspace.tokens_per_s * limits.FLOOR_FRACTION,
                    self._confirmed_at,
                )
                self._tokens[workspace.name] = bucket
            retry_after_s = bucket.take(tokens, now)
            if retry_after_s is not None:
                self.release(workspace)
                return Exceeded(
                    "tokens a second of the workspace", retry_after_s
                )
        return Allowed()

    def release(self, workspace: documents.Workspace) -> None:
        """Stop counting an allowed request that has ended."""
        limiter = self._in_flight.get(workspace.name)
        if limiter is not None and limiter.running:
            limiter.release()

    def _running(self, name: str) -> int:
        limiter = self._in_flight.get(name)
        return limiter.running if limiter is not None else 0

    def _confirm_tokens(self, share: messages.Demand, sent_at: float) -> None:
        bucket = self._tokens.get(share.workspace)
        if bucket is None:
            bucket = limits.TokenBucket(share.tokens_per_s, sent_at)
            self._tokens[share.workspace] = bucket
        bucket.confirm(share.tokens_per_s, sent_at)

    def _confirm_in_flight(
        self, share: messages.Demand, sent_at: float
    ) -> None:
        limiter = self._in_flight.get(share.workspace)
        if limiter is None:
            limiter = limits.InFlightLimiter(share.in_flight, sent_at)
            self._in_flight[share.workspace] = limiter
        limiter.confirm(share.in_flight, sent_at)


def _initial_share(limit: int) -> int:
    return max(1, int(limit * limits.FLOOR_FRACTION))


def make_allowances() -> Allowances:
    return Allowances()
