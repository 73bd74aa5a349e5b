"""Ledger of calls that may run at most once."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools

import msgspec

# Claim ids that a record remembers as withdrawn. A claim proposed again that
# late has been given up by its entry, whose own deadline is far shorter.
MAX_WITHDRAWN = 8
# Bounds of a part of a snapshot: encoding 1,000 records takes about 1 ms,
# and an answer may have 65,536 bytes.
PART_RECORDS = 1000
PART_ANSWER_BYTES = 256 * 1024
# Records taken into the table by one move after a view is closed: enough to
# get done, and below 0.1 ms.
_SETTLED_BY_A_MOVE = 100


class Claimed(msgspec.Struct, frozen=True, tag=True):
    """An entry intends to dispatch the call.

    Attributes:
        withdrawn: earlier claim ids, which stay refused.
    """

    body_digest: str
    claim_id: str
    at_s: float
    withdrawn: tuple[str, ...] = ()


class Started(msgspec.Struct, frozen=True, tag=True):
    """An agent was allowed to dispatch the call, once."""

    body_digest: str
    claim_id: str
    agent: str
    at_s: float


class Finished(msgspec.Struct, frozen=True, tag=True):
    """The call ran and its answer is known.

    Attributes:
        answer: encoded answer; empty when it was too large to keep.
    """

    body_digest: str
    status: int
    answer: bytes
    at_s: float


class Void(msgspec.Struct, frozen=True, tag=True):
    """The claim was withdrawn before any start; the call did not run."""

    body_digest: str
    withdrawn: tuple[str, ...]
    at_s: float


Record = Claimed | Started | Finished | Void


class Claim(msgspec.Struct, frozen=True, tag=True):
    """Claim a call before it leaves the entry.

    Attributes:
        at_s: wall-clock seconds, set by the proposer.
    """

    workspace: str
    key: str
    body_digest: str
    claim_id: str
    at_s: float


class Start(msgspec.Struct, frozen=True, tag=True):
    """Allow an agent to dispatch a claimed call."""

    workspace: str
    key: str
    claim_id: str
    agent: str
    at_s: float


class Finish(msgspec.Struct, frozen=True, tag=True):
    """Record the answer of a started call."""

    workspace: str
    key: str
    claim_id: str
    status: int
    answer: bytes
    at_s: float


class Withdraw(msgspec.Struct, frozen=True, tag=True):
    """Void a claim that was not started."""

    workspace: str
    key: str
    claim_id: str
    at_s: float


class Expire(msgspec.Struct, frozen=True, tag=True):
    """Forget records older than a time.

    Attributes:
        before_s: wall-clock seconds.
        limit: most records to forget, oldest first; 0 for all, as in a log
            from before there was a limit.
    """

    before_s: float
    limit: int = 0


Command = Claim | Start | Finish | Withdraw | Expire


class Granted(msgspec.Struct, frozen=True, tag=True):
    """The ledger moved as the command asked."""


class Mismatch(msgspec.Struct, frozen=True, tag=True):
    """The key was used with another body."""


class Standing(msgspec.Struct, frozen=True, tag=True):
    """The ledger did not move; this is the record as it stands."""

    record: Record


class Missing(msgspec.Struct, frozen=True, tag=True):
    """There is no record of the call."""


class Unfinished(msgspec.Struct, frozen=True, tag=True):
    """The limit was reached and older records remain."""


Outcome = Granted | Mismatch | Standing | Missing | Unfinished

_Key = tuple[str, str]
Part = list[tuple[str, str, Record]]


class Ledger:
    """Records by workspace and idempotency key.

    A record moves claimed -> started -> finished, or claimed -> void ->
    claimed under a new claim id. No other move exists, so a call under one
    key is started at most once in the retention period.
    """

    __slots__ = ("_records", "_moved", "_view", "_count")

    def __init__(self) -> None:
        # In the order of their last move. While a view is open the table
        # is not changed, and what moves is kept beside it: a copy of a
        # table of 600,000 records takes up to 100 ms.
        self._records: dict[_Key, Record] = {}
        self._moved: collections.OrderedDict[_Key, Record | None] = (
            collections.OrderedDict()
        )
        self._view: View | None = None
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def find(self, workspace: str, key: str) -> Record | None:
        """Returns: the record of a call, None when there is none."""
        return self._find((workspace, key))

    def apply(self, command: Command) -> Outcome:
        """Carry out one committed command.

        Returns: Granted when the ledger moved, else what stands against it.
        """
        match command:
            case Claim():
                return self._claim(command)
            case Start():
                return self._start(command)
            case Finish():
                return self._finish(command)
            case Withdraw():
                return self._withdraw(command)
            case Expire(before_s=before_s, limit=limit):
                return self._expire(before_s, limit)

    def open_view(self) -> "View":
        """Open a view of the records as they are now.

        Returns: the view, to be closed; opening another one ends it.
        """
        self._close(self._view)
        self._settle(len(self._moved))
        self._view = View(self._records, self._close)
        return self._view

    def restore(self, parts: Iterable[Part]) -> None:
        """Replace all records, once the last part has been taken."""
        records = {}
        for part in parts:
            for workspace, key, record in part:
                records[workspace, key] = record
        if self._view is not None:
            self._view.end()
        self._view = None
        self._records = records
        self._moved = collections.OrderedDict()
        self._count = len(records)

    def _claim(self, command: Claim) -> Outcome:
        place = (command.workspace, command.key)
        withdrawn: tuple[str, ...] = ()
        match self._find(place):
            case None:
                pass
            case record if record.body_digest != command.body_digest:
                return Mismatch()
            case Void(withdrawn=withdrawn) as record:
                # A delayed copy of a withdrawn claim must not revive it.
                if command.claim_id in withdrawn:
                    return Standing(record)
            case Claimed(claim_id=command.claim_id):
                # Proposed again after a lost answer.
                return Granted()
            case record:
                return Standing(record)
        self._put(
            place,
            Claimed(
                command.body_digest, command.claim_id, command.at_s, withdrawn
            ),
        )
        return Granted()

    def _start(self, command: Start) -> Outcome:
        return self._move(
            command,
            Claimed,
            lambda record: Started(
                record.body_digest,
                record.claim_id,
                command.agent,
                command.at_s,
            ),
        )

    def _finish(self, command: Finish) -> Outcome:
        return self._move(
            command,
            Started,
            lambda record: Finished(
                record.body_digest,
                command.status,
                command.answer,
                command.at_s,
            ),
        )

    def _withdraw(self, command: Withdraw) -> Outcome:
        match self.find(command.workspace, command.key):
            case Void(withdrawn=withdrawn) if command.claim_id in withdrawn:
                # Proposed again after a lost answer.
                return Granted()
        return self._move(
            command,
            Claimed,
            lambda record: Void(
                record.body_digest,
                (*record.withdrawn, record.claim_id)[-MAX_WITHDRAWN:],
                command.at_s,
            ),
        )

    def _move(
        self,
        command: Start | Finish | Withdraw,
        source: type[Claimed] | type[Started],
        make: Callable[[Record], Record],
    ) -> Outcome:
        """Move a record on, if its claim is the command's."""
        place = (command.workspace, command.key)
        record = self._find(place)
        if record is None:
            return Missing()
        if not isinstance(record, source):
            return Standing(record)
        if record.claim_id != command.claim_id:
            return Standing(record)
        self._put(place, make(record))
        return Granted()

    def _expire(self, before_s: float, limit: int) -> Outcome:
        stop = limit + 1 if limit else None
        expired = list(itertools.islice(self._expired(before_s), stop))
        for place in expired[: limit or None]:
            self._put(place, None)
        return Unfinished() if limit and len(expired) > limit else Granted()

    def _expired(self, before_s: float) -> Iterator[_Key]:
        for place, record in self._in_order():
            if record.at_s >= before_s:
                return
            yield place

    def _in_order(self) -> Iterator[tuple[_Key, Record]]:
        """Yields: keys and records in the order of their last move."""
        for place, record in self._records.items():
            if place not in self._moved:
                yield place, record
        for place, record in self._moved.items():
            if record is not None:
                yield place, record

    def _find(self, place: _Key) -> Record | None:
        if place in self._moved:
            return self._moved[place]
        return self._records.get(place)

    def _put(self, place: _Key, record: Record | None) -> None:
        """Move a record to the end, or remove it when it is None."""
        known = self._find(place) is not None
        self._count += (record is not None) - known
        self._moved.pop(place, None)
        self._moved[place] = record
        if self._view is None:
            self._settle(_SETTLED_BY_A_MOVE)

    def _settle(self, count: int) -> None:
        """Take what moved first into the table."""
        for _ in range(min(count, len(self._moved))):
            place, record = self._moved.popitem(last=False)
            self._records.pop(place, None)
            if record is not None:
                self._records[place] = record

    def _close(self, view: "View | None") -> None:
        """Let the table change again, if the view is the open one.

        What moved is taken into it by the next moves, a few at a time.
        """
        if view is not None and view is self._view:
            view.end()
            self._view = None


class View:
    """Records as of one moment, while the ledger moves on.

    Args:
        records: not changed while the view is open.
        close: tells the ledger that the view is no longer read.
    """

    __slots__ = ("_rest", "_close")

    def __init__(
        self,
        records: dict[_Key, Record],
        close: Callable[["View"], None],
    ) -> None:
        self._rest: Iterator[tuple[_Key, Record]] | None = iter(
            records.items()
        )
        self._close = close

    def parts(self) -> Iterator[Part]:
        """Yields: all records in parts, oldest first.

        Raises:
            RuntimeError: the view was ended before the last part.
        """
        while part := self._next_part():
            yield part

    def close(self) -> None:
        self._close(self)

    def end(self) -> None:
        """Refuse further parts."""
        self._rest = None

    def _next_part(self) -> Part:
        if self._rest is None:
            raise RuntimeError("the view was ended")
        part = []
        size = 0
        for (workspace, key), record in itertools.islice(
            self._rest, PART_RECORDS
        ):
            part.append((workspace, key, record))
            if isinstance(record, Finished):
                size += len(record.answer)
                if size >= PART_ANSWER_BYTES:
                    break
        return part


def make_ledger() -> Ledger:
    return Ledger()
