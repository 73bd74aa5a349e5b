"""Decides at which software version a call's stream may go on."""

from collections.abc import Callable
from collections.abc import Iterable
import time

import gevent
import msgspec

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import table_exchange
from papayalink.protocol import calls
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.state import traffic
from papayalink.transport import errors

# A member answers from memory within a few ms. The caller of a stream waits
# meanwhile, twice at most.
ASK_TIMEOUT_S = 0.4
# Members are asked again while one is silent, up to this fraction of the
# call's time, and no longer than this. Sound members may stand still for 2 s.
ASK_FRACTION = 0.5
MAX_ASK_S = 2.4
# Time between two questions to a member that can't be connected to at once.
ASK_PERIOD_S = 0.1
# A member that has not been asked for this long may have answered others.
SILENCE_MEMORY_S = 10.0


class AnyVersion(msgspec.Struct, frozen=True):
    """The caller has no event yet, so that any version may begin."""


class OnlyVersion(msgspec.Struct, frozen=True):
    """The stream goes on at the version that began it.

    Attributes:
        service: the service that began it.
    """

    service: str
    software: str


class UnknownVersion(msgspec.Struct, frozen=True):
    """The stream began at one of several versions, which is not known."""


Version = AnyVersion | OnlyVersion | UnknownVersion


def stream_key(call: calls.Call) -> str:
    """Returns: id of the call that brought the first event of the stream."""
    return call.resumes or call.call_id


class _Silence:
    """A member's silence: when it was seen first and last."""

    __slots__ = ("since", "seen_at")

    def __init__(self, now: float) -> None:
        self.since = now
        self.seen_at = now


class TakeUps:
    """Finds the versions that began streams which callers take up.

    Args:
        members: returns the addresses of members, the preferred one first.
        tables: hold what this entry knows, and what it is told.
    """

    __slots__ = (
        "_node",
        "_members",
        "_tables",
        "_metrics",
        "_silences",
        "_log",
    )

    def __init__(
        self,
        node: nodes.Node,
        members: Callable[[], list[str]],
        tables: table_exchange.TableSet,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._node = node
        self._members = members
        self._tables = tables
        self._metrics = metrics
        self._silences: dict[str, _Silence] = {}
        self._log = logs.get_logger()

    def find_version(self, call: calls.Call, route: traffic.Route) -> Version:
        """Find out at which version the stream of a call may go on.

        Asks members for a stream that began at another entry, unless only one
        version can have begun it.
        """
        if (
            route.repeat is not traffic.RepeatPolicy.RESUMABLE
            or not call.last_event_id
        ):
            return AnyVersion()
        version = self._find(call, route)
        self._metrics.count("take_ups", version=type(version).__name__)
        return version

    def note_begun(
        self, call: calls.Call, service: str, software: str
    ) -> None:
        """Record that a replica writes the stream of a call from now on."""
        if software:
            self._tables.origins.note(
                stream_key(call), service, software, time.monotonic()
            )

    def settled_versions(self, service: str) -> frozenset[str]:
        """Returns: versions at which streams begin rather than at others."""
        return self._tables.software.settled(service, time.monotonic())

    def _find(self, call: calls.Call, route: traffic.Route) -> Version:
        # The stream began before. What becomes known while members are asked
        # does not have to be newer.
        arrived_at = time.monotonic()
        version = self._find_here(call, route, arrived_at)
        if version is None and call.resumes:
            members = self._members()
            ask_until = arrived_at + min(
                ASK_FRACTION * _allowed_s(call, route), MAX_ASK_S
            )
            silent: list[str] = []
            for group in (members[:1], members[1:]):
                silent += self._ask(call.resumes, group)
                version = self._find_here(call, route, arrived_at)
                if version is not None:
                    break
            while (
                version is None
                and time.monotonic() < ask_until
                and self._may_know(silent, members)
            ):
                gevent.sleep(ASK_PERIOD_S)
                members = self._members()
                silent = self._ask(call.resumes, members)
                version = self._find_here(call, route, arrived_at)
        return (
            version
            or self._only_version(route, arrived_at)
            or UnknownVersion()
        )

    def _find_here(
        self, call: calls.Call, route: traffic.Route, arrived_at: float
    ) -> OnlyVersion | None:
        version = self._look_up(call)
        if version is None and len(route.targets) == 1:
            version = self._only_version(route, arrived_at)
        return version

    def _look_up(self, call: calls.Call) -> OnlyVersion | None:
        origin = self._tables.origins.find(stream_key(call), time.monotonic())
        return origin and OnlyVersion(origin.service, origin.software)

    def _only_version(
        self, route: traffic.Route, arrived_at: float
    ) -> OnlyVersion | None:
        """Returns: the version, if each target has had only one."""
        versions = []
        for target in route.targets:
            software = self._tables.software.only_version(
                target.service, arrived_at
            )
            if software is None:
                return None
            versions.append(OnlyVersion(target.service, software))
        return versions[0] if versions else None

    def _may_know(self, silent: list[str], members: list[str]) -> bool:
        """Returns: whether a silent member is worth waiting for.

        Origins are told to the leader, and the others ask it for them. So what
        these do not know, it or the leader before it may.
        """
        if silent and len(silent) == len(members):
            return True
        now = time.monotonic()
        for member in silent:
            silence = self._silences.get(member)
            # One without a silence has answered another call meanwhile.
            if silence is None or now - silence.since < MAX_ASK_S:
                return True
        return False

    def _ask(self, stream: str, members: Iterable[str]) -> list[str]:
        """Ask members at the same time, and merge what they know.

        Returns: those that were silent.
        """
        asked = {
            member: gevent.spawn(self._ask_member, member, stream)
            for member in members
        }
        gevent.joinall(asked.values())
        silent = [member for member, task in asked.items() if not task.value]
        now = time.monotonic()
        for member in asked:
            known = self._silences.get(member)
            if member not in silent:
                self._silences.pop(member, None)
            elif known is None or now - known.seen_at > SILENCE_MEMORY_S:
                self._silences[member] = _Silence(now)
            else:
                known.seen_at = now
        return silent

    def _ask_member(self, member: str, stream: str) -> bool:
        """Returns: whether the member has answered, or has ended."""
        # The reply may wait while this process stands still.
        asked_at = time.monotonic()
        try:
            reply = self._node.rpc_client.call(
                member,
                "FindOrigin",
                messages.FindOrigin(stream),
                ASK_TIMEOUT_S,
            )
        except errors.TransportError as error:
            self._log.debug("origin_not_read", member=member, reason=error)
            return not _is_silence(error)
        self._tables.origins.merge(reply.origins, asked_at)
        self._tables.software.merge(reply.software, asked_at, time.monotonic())
        if reply.list_age_ms >= 0:
            self._tables.software.note_listed(
                asked_at - reply.list_age_ms / 1000
            )
        return True


def _is_silence(error: errors.TransportError) -> bool:
    """Returns: whether the member may stand still, and answer later."""
    match error:
        case errors.ConnectionRefused():
            return False
        case errors.Timeout() | errors.NotConnected():
            return True
        case errors.ConnectionLost():
            # Connections that fall silent are given up before a call's time.
            return True
        case _:
            return False


def _allowed_s(call: calls.Call, route: traffic.Route) -> float:
    if not call.budget_ms:
        return route.timeout_s
    return min(route.timeout_s, call.budget_ms / 1000)


def make_take_ups(
    node: nodes.Node,
    members: Callable[[], list[str]],
    tables: table_exchange.TableSet,
    metrics: metrics_module.Metrics,
) -> TakeUps:
    return TakeUps(node, members, tables, metrics)
