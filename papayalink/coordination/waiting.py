"""Requests of greenlets that wait for a replica."""

import itertools
import secrets

import gevent
from gevent import event

from papayalink.coordination import errors
from papayalink.coordination.raft import inputs
from papayalink.state import log_entries

# At the default tick 200 ms, well above a round trip between zones.
_READ_RETRY_TICKS = 4
# Replies later than this many repetitions come after the callers' time-outs.
_MAX_REPEATED = 8


class Waiter:
    """One waiting greenlet."""

    __slots__ = ("appended", "_result", "_abandoned")

    def __init__(self) -> None:
        # Whether the log holds the request, so that it may still take effect.
        self.appended = False
        self._result = event.AsyncResult()
        self._abandoned = False

    @property
    def abandoned(self) -> bool:
        return self._abandoned

    def resolve(self, value: object) -> None:
        self._result.set(value)

    def fail(self, error: errors.CoordinationError) -> None:
        self._result.set_exception(error)

    def wait(self, timeout_s: float) -> object:
        """Wait for the result.

        Raises:
            Unknown: time ran out after the request was appended.
            Unavailable: time ran out before that.
        """
        try:
            return self._result.get(timeout=timeout_s)
        except gevent.Timeout:
            if self.appended:
                raise errors.Unknown(f"no outcome within {timeout_s} s")
            raise errors.Unavailable(f"not handled within {timeout_s} s")
        finally:
            self._abandoned = True


def make_tokens() -> itertools.count:
    """Returns: tokens that do not repeat over restarts."""
    return itertools.count(secrets.randbits(60))


class Requests:
    """Proposals and membership changes of one replica.

    Args:
        tokens: source of tokens.
    """

    __slots__ = ("_tokens", "_handed", "_appended")

    def __init__(self, tokens: itertools.count) -> None:
        self._tokens = tokens
        # By token until appended, then by index with the entry's term.
        self._handed: dict[int, Waiter] = {}
        self._appended: dict[int, tuple[int, Waiter]] = {}

    def add(self, waiter: Waiter) -> int:
        """Returns: the token under which the node gets the request."""
        token = next(self._tokens)
        self._handed[token] = waiter
        return token

    def appended(self, appended: inputs.Appended) -> None:
        """Note that the log holds a request."""
        waiter = self._handed.pop(appended.token)
        waiter.appended = True
        _, earlier = self._appended.pop(appended.index, (0, None))
        if earlier is not None:
            earlier.fail(errors.Unknown("replaced after losing leadership"))
        self._appended[appended.index] = (appended.term, waiter)

    def refused(self, dropped: inputs.Dropped, leader_id: str | None) -> None:
        """Fail a request that the node refused."""
        waiter = self._handed.pop(dropped.token, None)
        if waiter is None:
            return
        match dropped.cause:
            case inputs.DropCause.NOT_LEADER:
                waiter.fail(errors.NotLeader(leader_id))
            case inputs.DropCause.CHANGE_REFUSED:
                waiter.fail(errors.ChangeRefused(dropped.reason))
            case inputs.DropCause.UNAVAILABLE:
                waiter.fail(errors.Unavailable(dropped.reason))

    def applied(
        self, entry: log_entries.Entry, outcome: bytes, leader_id: str | None
    ) -> None:
        """Finish the request whose index was applied."""
        term, waiter = self._appended.pop(entry.index, (0, None))
        if waiter is None:
            return
        if term == entry.term:
            waiter.resolve(outcome)
        else:
            # Another leader's entry took its place, so it was never run.
            waiter.fail(errors.NotLeader(leader_id))

    def covered(self, index: int) -> None:
        """Fail requests whose entries a received snapshot covers."""
        for each in [each for each in self._appended if each <= index]:
            _, waiter = self._appended.pop(each)
            waiter.fail(errors.Unknown("covered by a received snapshot"))

    def fail_all(self, reason: str) -> None:
        """Fail everything, when the replica stops."""
        for waiter in self._handed.values():
            waiter.fail(errors.Unavailable(reason))
        for _, waiter in self._appended.values():
            waiter.fail(errors.Unknown(reason))
        self._handed.clear()
        self._appended.clear()


class Reads:
    """Reads of one replica, of which many share one confirmation.

    One read of the node is under way at a time; greenlets that arrive
    meanwhile wait for the next one, since the one under way may have been
    confirmed before they asked. A read without a reply is repeated; a late
    reply to the first still answers those that waited for it, since otherwise
    no read ends once replies take longer than the repetition.

    Args:
        tokens: source of tokens.
    """

    __slots__ = (
        "_tokens",
        "_token",
        "_current",
        "_repeated",
        "_next",
        "_unapplied",
        "_age_ticks",
        "_paused",
    )

    def __init__(self, tokens: itertools.count) -> None:
        self._tokens = tokens
        self._token: int | None = None
        self._current: list[Waiter] = []
        # By token, oldest first; the waiters wait for the repetition as well.
        self._repeated: dict[int, list[Waiter]] = {}
        self._next: list[Waiter] = []
        self._unapplied: list[tuple[int, list[Waiter]]] = []
        self._age_ticks = 0
        self._paused = False

    def add(self, waiter: Waiter) -> None:
        self._next.append(waiter)

    def start(self) -> inputs.ReadIndex | None:
        """Returns: the next read of the node, None when none is due."""
        if self._token is not None or self._paused:
            return None
        self._next = [each for each in self._next if not each.abandoned]
        if not self._next:
            return None
        self._token = next(self._tokens)
        self._current = self._next
        self._next = []
        self._age_ticks = 0
        return inputs.ReadIndex(self._token)

    def tick(self) -> None:
        """Give up on a read that was lost, and allow refused ones again."""
        self._paused = False
        self._age_ticks += 1
        self._unapplied = [
            (needed, waiters)
            for needed, waiters in self._unapplied
            if not all(waiter.abandoned for waiter in waiters)
        ]
        if self._token is not None and self._age_ticks >= _READ_RETRY_TICKS:
            self._repeated[self._token] = self._current
            if len(self._repeated) > _MAX_REPEATED:
                del self._repeated[next(iter(self._repeated))]
            self._requeue()

    def refused(self, token: int) -> None:
        """Repeat a read the node refused, at the next tick."""
        if token == self._token:
            self._requeue()
            self._paused = True

    def confirmed(self, read: inputs.Read) -> None:
        """Note the index that the waiting reads need to be applied."""
        if read.token == self._token:
            self._unapplied.append((read.index, self._current))
            self._current = []
            self._token = None
            self._repeated.clear()
        elif read.token in self._repeated:
            waiters = self._repeated.pop(read.token)
            self._unapplied.append((read.index, waiters))

    def applied(self, index: int) -> None:
        """Answer the reads whose index is applied."""
        unapplied = []
        for needed, waiters in self._unapplied:
            if needed > index:
                unapplied.append((needed, waiters))
                continue
            for waiter in waiters:
                waiter.resolve(needed)
        self._unapplied = unapplied

    def take_all(self) -> list[Waiter]:
        """Returns: all that wait, which then wait no more."""
        waiters = self._current + self._next
        for _, group in self._unapplied:
            waiters.extend(group)
        self._current = []
        self._next = []
        self._unapplied = []
        self._repeated.clear()
        self._token = None
        return waiters

    def _requeue(self) -> None:
        waiters = self._current + self._next
        self._next = [each for each in waiters if not each.abandoned]
        self._current = []
        self._token = None
