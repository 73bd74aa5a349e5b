"""Ledger of protected calls, which run at most once."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools

import msgspec

# Withdrawn claim ids that a record keeps. By the time this many later claims
# were withdrawn, the entry of an older claim has long passed its deadline and
# does not propose the claim again.
MAX_WITHDRAWN = 8
# Bounds of a part of a snapshot: encoding 1,000 records takes about 1 ms, and
# an answer may have 65,536 bytes. The last answer of a part may take their
# total beyond the bound.
MAX_PART_RECORDS = 1000
MAX_PART_ANSWER_BYTES = 256 * 1024
# Pending records merged into the table by each change while no view is open.
# More than one, so that the pending records run out; 100 take less than
# 0.1 ms.
_MERGED_PER_CHANGE = 100


class Claimed(msgspec.Struct, frozen=True, tag=True):
    """An entry intends to dispatch the call.

    Attributes:
        withdrawn: earlier claim ids, which are still refused.
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
    """The claim was withdrawn before a start; the call did not run."""

    body_digest: str
    withdrawn: tuple[str, ...]
    at_s: float


Record = Claimed | Started | Finished | Void


class Claim(msgspec.Struct, frozen=True, tag=True):
    """Claim a call before the entry sends it out.

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
    """Withdraw a claim whose call was not started."""

    workspace: str
    key: str
    claim_id: str
    at_s: float


class Expire(msgspec.Struct, frozen=True, tag=True):
    """Delete records older than a given time.

    Attributes:
        before_s: wall-clock seconds.
        limit: maximum number of records to delete, oldest first; 0 for all,
            as in log entries of earlier releases, which have no limit.
    """

    before_s: float
    limit: int = 0


Command = Claim | Start | Finish | Withdraw | Expire


class Granted(msgspec.Struct, frozen=True, tag=True):
    """The command was carried out."""


class Mismatch(msgspec.Struct, frozen=True, tag=True):
    """The key was already used with another body."""


class Standing(msgspec.Struct, frozen=True, tag=True):
    """The command does not apply to the record, which is unchanged."""

    record: Record


class Missing(msgspec.Struct, frozen=True, tag=True):
    """There is no record of the call."""


class Unfinished(msgspec.Struct, frozen=True, tag=True):
    """The limit was reached and expired records remain."""


Outcome = Granted | Mismatch | Standing | Missing | Unfinished

_Key = tuple[str, str]
# Workspace, idempotency key and record of some of the records.
SnapshotPart = list[tuple[str, str, Record]]


class Ledger:
    """Records by workspace and idempotency key.

    The transitions of a record are claimed -> started -> finished, and
    claimed -> void -> claimed under a new claim id. There are no others, so
    the call of a key is started at most once in the retention period.
    """

    __slots__ = ("_records", "_pending", "_view", "_count")

    def __init__(self) -> None:
        # Ordered by last change. While a view is open, this table stays
        # unchanged and changes go to _pending (None for a removed record):
        # copying a table of 600,000 records would take up to 100 ms.
        self._records: dict[_Key, Record] = {}
        self._pending: collections.OrderedDict[_Key, Record | None] = (
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
        """Apply one committed command.

        Returns: Granted when it was carried out, otherwise the reason why
            not; Unfinished when records are left to expire.
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
        """Open a view of the records in their current state.

        Returns: the view, which must be closed; opening another one ends it.
        """
        self._close(self._view)
        self._merge(len(self._pending))
        self._view = View(self._records, self._close)
        return self._view

    def restore(self, parts: Iterable[SnapshotPart]) -> None:
        """Replace all records, once every part has been read."""
        records = {}
        for part in parts:
            for workspace, key, record in part:
                records[workspace, key] = record
        if self._view is not None:
            self._view.end()
        self._view = None
        self._records = records
        self._pending = collections.OrderedDict()
        self._count = len(records)

    def _claim(self, command: Claim) -> Outcome:
        record_key = (command.workspace, command.key)
        withdrawn: tuple[str, ...] = ()
        match self._find(record_key):
            case None:
                pass
            case record if record.body_digest != command.body_digest:
                return Mismatch()
            case Void(withdrawn=withdrawn) as record:
                # A delayed copy of a withdrawn claim must not restore it.
                if command.claim_id in withdrawn:
                    return Standing(record)
            case Claimed(claim_id=command.claim_id):
                # Proposed again because the reply was lost.
                return Granted()
            case record:
                return Standing(record)
        self._put(
            record_key,
            Claimed(
                command.body_digest, command.claim_id, command.at_s, withdrawn
            ),
        )
        return Granted()

    def _start(self, command: Start) -> Outcome:
        return self._transition(
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
        return self._transition(
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
                # Proposed again because the reply was lost.
                return Granted()
        return self._transition(
            command,
            Claimed,
            lambda record: Void(
                record.body_digest,
                (*record.withdrawn, record.claim_id)[-MAX_WITHDRAWN:],
                command.at_s,
            ),
        )

    def _transition(
        self,
        command: Start | Finish | Withdraw,
        expected_type: type[Claimed] | type[Started],
        make: Callable[[Record], Record],
    ) -> Outcome:
        """Replace a record if it is in the expected state of the claim."""
        record_key = (command.workspace, command.key)
        record = self._find(record_key)
        if record is None:
            return Missing()
        if not isinstance(record, expected_type):
            return Standing(record)
        if record.claim_id != command.claim_id:
            return Standing(record)
        self._put(record_key, make(record))
        return Granted()

    def _expire(self, before_s: float, limit: int) -> Outcome:
        stop = limit + 1 if limit else None
        expired = list(itertools.islice(self._expired(before_s), stop))
        for record_key in expired[: limit or None]:
            self._put(record_key, None)
        return Unfinished() if limit and len(expired) > limit else Granted()

    def _expired(self, before_s: float) -> Iterator[_Key]:
        for record_key, record in self._in_order():
            if record.at_s >= before_s:
                return
            yield record_key

    def _in_order(self) -> Iterator[tuple[_Key, Record]]:
        """Yields: keys and records, ordered by last change."""
        for record_key, record in self._records.items():
            if record_key not in self._pending:
                yield record_key, record
        for record_key, record in self._pending.items():
            if record is not None:
                yield record_key, record

    def _find(self, record_key: _Key) -> Record | None:
        if record_key in self._pending:
            return self._pending[record_key]
        return self._records.get(record_key)

    def _put(self, record_key: _Key, record: Record | None) -> None:
        """Set a record as the last changed one; None removes it."""
        existed = self._find(record_key) is not None
        self._count += (record is not None) - existed
        self._pending.pop(record_key, None)
        self._pending[record_key] = record
        if self._view is None:
            self._merge(_MERGED_PER_CHANGE)

    def _merge(self, count: int) -> None:
        """Merge the oldest pending records into the table."""
        for _ in range(min(count, len(self._pending))):
            record_key, record = self._pending.popitem(last=False)
            self._records.pop(record_key, None)
            if record is not None:
                self._records[record_key] = record

    def _close(self, view: "View | None") -> None:
        """Allow the table to change again, if the view is the open one.

        The next changes merge the pending records, a few at a time.
        """
        if view is not None and view is self._view:
            view.end()
            self._view = None


class View:
    """Records at one point in time, while the ledger goes on changing.

    Args:
        records: must not change while the view is open.
        close: tells the ledger that the view is no longer read.
    """

    __slots__ = ("_remaining", "_close")

    def __init__(
        self,
        records: dict[_Key, Record],
        close: Callable[["View"], None],
    ) -> None:
        self._remaining: Iterator[tuple[_Key, Record]] | None = iter(
            records.items()
        )
        self._close = close

    def parts(self) -> Iterator[SnapshotPart]:
        """Yields: all records in parts, oldest first.

        Raises:
            RuntimeError: the view was ended before the last part.
        """
        while part := self._next_part():
            yield part

    def close(self) -> None:
        self._close(self)

    def end(self) -> None:
        """Make any further read of parts fail."""
        self._remaining = None

    def _next_part(self) -> SnapshotPart:
        if self._remaining is None:
            raise RuntimeError("ledger view read after it was ended")
        part = []
        answer_bytes = 0
        for (workspace, key), record in itertools.islice(
            self._remaining, MAX_PART_RECORDS
        ):
            part.append((workspace, key, record))
            if isinstance(record, Finished):
                answer_bytes += len(record.answer)
                if answer_bytes >= MAX_PART_ANSWER_BYTES:
                    break
        return part


def make_ledger() -> Ledger:
    return Ledger()
