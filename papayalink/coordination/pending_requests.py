"""Requests and reads whose greenlets wait for a replica."""

import itertools
import secrets

import gevent
from gevent import event

from papayalink.coordination import errors
from papayalink.coordination.raft import inputs
from papayalink.state import log_entries

# 200 ms at the default tick of 50 ms; well above a round trip between zones.
_READ_RETRY_TICKS = 4


class Waiter:
    """Result that one greenlet waits for."""

    __slots__ = ("appended", "_result", "_abandoned")

    def __init__(self) -> None:
        # Whether the log holds the request, which may then still be applied.
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
            Unknown: the timeout expired after the request was appended.
            Unavailable: the timeout expired before that.
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
    """Returns: increasing tokens from a random start.

    They are not reused after a restart.
    """
    return itertools.count(secrets.randbits(60))


class PendingRequests:
    """Proposals and membership changes of one replica.

    Args:
        tokens: source of tokens.
    """

    __slots__ = ("_tokens", "_unappended", "_appended")

    def __init__(self, tokens: itertools.count) -> None:
        self._tokens = tokens
        # By token until appended, then by index with the entry's term.
        self._unappended: dict[int, Waiter] = {}
        self._appended: dict[int, tuple[int, Waiter]] = {}

    def add(self, waiter: Waiter) -> int:
        """Returns: the token to pass to the node with the request."""
        token = next(self._tokens)
        self._unappended[token] = waiter
        return token

    def on_appended(self, appended: inputs.Appended) -> None:
        """Record that a request was appended to the log."""
        waiter = self._unappended.pop(appended.token)
        waiter.appended = True
        _, earlier = self._appended.pop(appended.index, (0, None))
        if earlier is not None:
            earlier.fail(
                errors.Unknown(
                    "the entry was replaced after leadership was lost"
                )
            )
        self._appended[appended.index] = (appended.term, waiter)

    def on_dropped(
        self, dropped: inputs.Dropped, leader_id: str | None
    ) -> None:
        """Fail a request that the node refused."""
        waiter = self._unappended.pop(dropped.token, None)
        if waiter is None:
            return
        match dropped.cause:
            case inputs.DropCause.NOT_LEADER:
                waiter.fail(errors.NotLeader(leader_id))
            case inputs.DropCause.CHANGE_REFUSED:
                waiter.fail(errors.ChangeRefused(dropped.reason))
            case inputs.DropCause.UNAVAILABLE:
                waiter.fail(errors.Unavailable(dropped.reason))

    def on_applied(
        self, entry: log_entries.Entry, outcome: bytes, leader_id: str | None
    ) -> None:
        """Finish the request whose index was applied."""
        term, waiter = self._appended.pop(entry.index, (0, None))
        if waiter is None:
            return
        if term == entry.term:
            waiter.resolve(outcome)
        else:
            # An entry of another leader replaced it, so it was never run.
            waiter.fail(errors.NotLeader(leader_id))

    def on_snapshot_installed(self, index: int) -> None:
        """Fail requests whose entries a received snapshot covers."""
        for each in [each for each in self._appended if each <= index]:
            _, waiter = self._appended.pop(each)
            waiter.fail(
                errors.Unknown("the entry is covered by a received snapshot")
            )

    def fail_all(self, reason: str) -> None:
        """Fail all requests when the replica stops."""
        for waiter in self._unappended.values():
            waiter.fail(errors.Unavailable(reason))
        for _, waiter in self._appended.values():
            waiter.fail(errors.Unknown(reason))
        self._unappended.clear()
        self._appended.clear()


class PendingReads:
    """Reads of one replica; many greenlets share one read of the node.

    A confirmed read answers the greenlets that were waiting when it started,
    and those of all earlier reads. Greenlets that arrive later wait for the
    next read, since the one in progress may have been confirmed before they
    asked. Reads do not wait for each other; otherwise a greenlet would wait
    for two slow replies.

    Args:
        tokens: source of increasing tokens.
    """

    __slots__ = (
        "_tokens",
        "_in_progress",
        "_next_waiters",
        "_unapplied",
        "_newest_read_age_ticks",
        "_paused",
    )

    def __init__(self, tokens: itertools.count) -> None:
        self._tokens = tokens
        # By token, oldest read first.
        self._in_progress: dict[int, list[Waiter]] = {}
        self._next_waiters: list[Waiter] = []
        self._unapplied: list[tuple[int, list[Waiter]]] = []
        # Ticks since the newest read started.
        self._newest_read_age_ticks = 0
        self._paused = False

    def add(self, waiter: Waiter) -> None:
        self._next_waiters.append(waiter)

    def start(self) -> inputs.ReadIndex | None:
        """Returns: the next read for the node, None when none is due."""
        if self._paused:
            return None
        self._next_waiters = _not_abandoned(self._next_waiters)
        if not self._next_waiters:
            return None
        token = next(self._tokens)
        self._in_progress[token] = self._next_waiters
        self._next_waiters = []
        self._newest_read_age_ticks = 0
        return inputs.ReadIndex(token)

    def tick(self) -> None:
        """Retry lost reads, and resume after a refused one."""
        self._paused = False
        self._newest_read_age_ticks += 1
        self._unapplied = [
            (needed_index, waiters)
            for needed_index, waiters in self._unapplied
            if _not_abandoned(waiters)
        ]
        self._in_progress = {
            token: waiters
            for token, waiters in self._in_progress.items()
            if _not_abandoned(waiters)
        }
        if (
            self._newest_read_age_ticks >= _READ_RETRY_TICKS
            and not self._next_waiters
        ):
            # The earlier reads stay, as a late reply still answers them.
            repeated = itertools.chain(*self._in_progress.values())
            self._next_waiters = list(dict.fromkeys(repeated))

    def on_dropped(self, token: int) -> None:
        """Retry a read that the node refused, after the next tick."""
        if token in self._in_progress:
            self._next_waiters = (
                self._in_progress.pop(token) + self._next_waiters
            )
            self._paused = True

    def on_confirmed(self, read: inputs.Read) -> None:
        """Record the index that must be applied before the reads finish."""
        if read.token not in self._in_progress:
            return
        for token in [
            each for each in self._in_progress if each <= read.token
        ]:
            waiters = self._in_progress.pop(token)
            self._unapplied.append((read.index, waiters))

    def on_applied(self, index: int) -> None:
        """Finish the reads whose index is applied."""
        unapplied = []
        for needed_index, waiters in self._unapplied:
            if needed_index > index:
                unapplied.append((needed_index, waiters))
                continue
            for waiter in waiters:
                waiter.resolve(needed_index)
        self._unapplied = unapplied

    def remove_all(self) -> list[Waiter]:
        """Remove all reads and return their waiters."""
        groups = [*self._in_progress.values(), self._next_waiters]
        groups.extend(waiters for _, waiters in self._unapplied)
        self._in_progress.clear()
        self._next_waiters = []
        self._unapplied = []
        return list(dict.fromkeys(itertools.chain(*groups)))


def _not_abandoned(waiters: list[Waiter]) -> list[Waiter]:
    return [each for each in waiters if not each.abandoned]
