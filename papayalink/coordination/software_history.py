"""Software versions that each service had lately.

Tells which version began a stream that is not known itself: if only one
version can have begun it, it goes on there. That needs a record of the whole
time in which it may have begun, and a list that was read lately: this process
may have been cut off or have stood still since.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set

from papayalink.coordination import stream_origins
from papayalink.protocol import shared_tables
from papayalink.state import replicas

# A version that stays in service is reported again this often.
REFRESH_S = 5.0
# No streams begin while all entries are down. A longer time without a record
# may also be one in which others recorded what this process does not know.
MAX_GAP_S = 10.0
# What services have is not known from a list that was read longer ago. Lists
# are read and passed on within about a second.
MAX_LIST_AGE_S = 1.5
# Streams begin at a version that has been listed for this long, so that all
# who believe their lists know of it. It is longer by what a reading takes.
SETTLED_S = MAX_LIST_AGE_S + 0.5
KEEP_S = stream_origins.STREAM_LIFETIME_S + REFRESH_S
MAX_ROWS = 256
# Key of the row that tells from when to when versions were recorded.
_RECORD = ("", "")


class _Span:
    """Time in which a version was listed.

    Attributes:
        reported_until: the end at the last change of the table's version.
    """

    __slots__ = ("since", "until", "reported_until")

    def __init__(self, since: float, until: float) -> None:
        self.since = since
        self.until = until
        self.reported_until = until


class SoftwareHistory:
    """Versions by service, at an entry or a control member.

    Attributes:
        version: changes with the table.
    """

    __slots__ = ("version", "_listed_at", "_spans", "_overfull_at")

    def __init__(self) -> None:
        self.version = 0
        # Times in rows of other processes may be too late, as rows wait while
        # a process stands still. This one is never too late.
        self._listed_at = float("-inf")
        # When a version was last listed that there was no room for.
        self._overfull_at = float("-inf")
        # By service and software version.
        self._spans: dict[tuple[str, str], _Span] = {}

    def note(
        self,
        listed: Mapping[str, Set[str]],
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Record the versions that a list names, by service.

        Args:
            age_s: time since the list was read.
        """
        if age_s > KEEP_S:
            return
        listed_at = now - age_s
        self._extend(_RECORD, listed_at, listed_at)
        for service, versions in listed.items():
            for software in versions:
                key = (service, software)
                span = self._spans.get(key)
                # A version that is new may have come since the list was asked
                # for, when this process stood still meanwhile.
                new = span is None or listed_at > span.until + MAX_GAP_S
                self._extend(key, now if new else listed_at, listed_at)
        self.note_listed(listed_at)

    def note_listed(self, listed_at: float) -> None:
        """Record that the table has all that was listed at a time."""
        self._listed_at = max(self._listed_at, listed_at)

    def list_age_s(self, now: float) -> float:
        """Returns: seconds since the newest list was read.

        Infinite if none was, or if the table lacks versions that were listed.
        """
        if self._overfull_at >= now - KEEP_S:
            return float("inf")
        return now - self._listed_at

    def note_first_start(self, now: float) -> None:
        """Record that no stream has begun before now."""
        self._extend(_RECORD, now - KEEP_S, now)

    def only_version(self, service: str, now: float) -> str | None:
        """Returns: the version that began any stream to a service until now.

        None if several may have, or if it is not known.
        """
        record = self._spans.get(_RECORD)
        oldest = now - KEEP_S
        if record is None or record.since > oldest:
            return None
        if self.list_age_s(now) > MAX_LIST_AGE_S:
            return None
        versions = {
            software
            for (each, software), span in self._spans.items()
            if each == service and span.until >= oldest
        }
        if len(versions) != 1:
            return None
        # An unknown version may be any.
        return versions.pop() or None

    def settled(self, service: str, now: float) -> frozenset[str]:
        """Returns: versions of which all know that have a new list."""
        return frozenset(
            software
            for (each, software), span in self._spans.items()
            if each == service and span.since <= now - SETTLED_S
        )

    def encode(
        self, now: float, since: int = 0
    ) -> tuple[shared_tables.SoftwareSpan, ...]:
        """Returns: the whole table, with ages instead of times."""
        return tuple(
            shared_tables.SoftwareSpan(
                service,
                software,
                _age_ms(span.since, now),
                _age_ms(span.until, now),
            )
            for (service, software), span in self._spans.items()
        )

    def merge(
        self,
        reported: Iterable[shared_tables.SoftwareSpan],
        now: float,
        arrived_at: float | None = None,
    ) -> None:
        """Add what another process knows.

        Args:
            now: when the rows were asked for, the earliest time at which they
                can have been told.
            arrived_at: the latest such time, `now` if None.
        """
        latest = now if arrived_at is None else arrived_at
        for each in reported:
            # A version counts neither as listed for longer nor as listed
            # later than it is sure to be.
            since = latest - each.since_age_ms / 1000
            until = now - each.until_age_ms / 1000
            self._extend((each.service, each.software), since, until)

    def expire(self, now: float) -> None:
        """Forget versions that were in service long ago."""
        self._spans = {
            key: span
            for key, span in self._spans.items()
            if now - span.until <= 2 * KEEP_S
        }

    def _extend(
        self, key: tuple[str, str], since: float, until: float
    ) -> None:
        span = self._spans.get(key)
        if span is None:
            if len(self._spans) < MAX_ROWS:
                self._spans[key] = _Span(since, until)
                self.version += 1
            else:
                self._overfull_at = max(self._overfull_at, until)
            return
        if since > span.until + MAX_GAP_S:
            span.since = since
            span.until = until
            self.version += 1
            return
        if until < span.since - MAX_GAP_S:
            return
        # Older times than are kept make no difference.
        if since < span.since - REFRESH_S and span.since > until - KEEP_S:
            span.since = since
            self.version += 1
        span.until = max(span.until, until)
        if span.until > span.reported_until + REFRESH_S:
            # All of them, so that they are not reported one by one.
            for each in self._spans.values():
                each.reported_until = each.until
            self.version += 1


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * 1000))


def versions_by_service(
    listed: Iterable[replicas.Replica],
) -> dict[str, set[str]]:
    """Returns: software versions of listed replicas, by service."""
    versions: dict[str, set[str]] = {}
    for replica in listed:
        versions.setdefault(replica.service, set()).add(replica.software)
    return versions


def make_software_history() -> SoftwareHistory:
    return SoftwareHistory()
