"""Task that follows the control members' numbered document."""

from collections.abc import Callable
from collections.abc import Iterable
import random
import time

import gevent
from gevent import event

from papayalink import logs
from papayalink import tasks
from papayalink.coordination import weight_history
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.state import traffic
from papayalink.transport import errors

# A member delays its reply this long if nothing has changed. An entry leaves a
# member without a quorum for another one after this and the time that the
# member needs to find that it cannot confirm its state.
LONG_POLL_MS = 800
WATCH_TIMEOUT_S = 1.6
# The first watch must not wait: the entry serves nothing before its reply.
FIRST_WATCH_TIMEOUT_S = 0.8
RETRY_DELAY_S = 0.1
# Control members that start together with the entry have a leader after about
# 0.5 s. Calls that arrive within this time after the start wait for the
# document.
FIRST_DOCUMENT_WAIT_S = 1.0

Translate = Callable[[bytes], traffic.TrafficDocument]


class Watcher:
    """Holds the newest document that a control member confirmed.

    The document stays in force when no member answers: an entry without a
    connection to them continues with what it has.

    Args:
        translate: decodes an operator's document.
        on_change: called after a newer document or weight version, or a change
            in which replicas are loading weights.
        history: learns which weights are the newest.
    """

    __slots__ = (
        "_node",
        "_translate",
        "_on_change",
        "_history",
        "_members",
        "_number",
        "_directory",
        "_weights",
        "_watchers",
        "_confirmed_at",
        "_leader",
        "_loading",
        "_loaded",
        "_connected",
        "_started_at",
        "_has_document",
        "_log",
    )

    def __init__(
        self,
        node: nodes.Node,
        translate: Translate,
        on_change: Callable[[], None],
        history: weight_history.WeightHistory,
    ) -> None:
        self._node = node
        self._translate = translate
        self._on_change = on_change
        self._history = history
        self._members = list(node.settings.seed_peers)
        random.shuffle(self._members)
        self._number = 0
        self._directory: traffic.TrafficDirectory | None = None
        self._weights: dict[str, int] = {}
        self._watchers = 1
        self._confirmed_at: float | None = None
        self._leader = ""
        self._loading: tuple[messages.Loading, ...] = ()
        self._loaded: tuple[messages.Loading, ...] = ()
        self._connected = False
        self._started_at = time.monotonic()
        self._has_document = event.Event()
        self._log = logs.get_logger()

    @property
    def directory(self) -> traffic.TrafficDirectory | None:
        """The document in force, None before the first one."""
        return self._directory

    @property
    def number(self) -> int:
        return self._number

    @property
    def weights(self) -> dict[str, int]:
        """Newest named weight version by model."""
        return self._weights

    @property
    def watchers(self) -> int:
        """Number of entries that recently watched the same member."""
        return self._watchers

    def authorities(self) -> list[str]:
        """Returns: addresses of control members, the leader first."""
        others = [member for member in self._members if member != self._leader]
        return [self._leader, *others] if self._leader else others

    @property
    def loading(self) -> tuple[messages.Loading, ...]:
        """Weight loads that are ordered and have not ended."""
        return self._loading

    @property
    def loaded(self) -> tuple[messages.Loading, ...]:
        """Weight loads that ended with the last change."""
        return self._loaded

    def age_s(self) -> float:
        """Returns: seconds since a member confirmed the document."""
        if self._confirmed_at is None:
            return float("inf")
        return time.monotonic() - self._confirmed_at

    def wait_directory(
        self, max_wait_s: float
    ) -> traffic.TrafficDirectory | None:
        """Wait for the first document, shortly after the start only.

        Returns: the document in force, None when there is none yet.
        """
        left_s = self._started_at + FIRST_DOCUMENT_WAIT_S - time.monotonic()
        if left_s > 0:
            self._has_document.wait(min(left_s, max_wait_s))
        return self._directory

    def start(self) -> None:
        self._started_at = time.monotonic()
        tasks.spawn(self._run)

    def add_members(self, addresses: Iterable[str]) -> None:
        """Add members from changed settings."""
        for address in addresses:
            if address not in self._members:
                self._members.append(address)

    def _run(self) -> None:
        while True:
            if not self._watch(self._members[0]):
                self._members.append(self._members.pop(0))
                gevent.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))

    def _watch(self, address: str) -> bool:
        """Returns: whether the member replied."""
        watch = messages.Watch(
            self._node.settings.name,
            self._number,
            self._weights,
            LONG_POLL_MS if self._number else 0,
            self._loading,
        )
        timeout_s = WATCH_TIMEOUT_S if self._number else FIRST_WATCH_TIMEOUT_S
        asked_at = time.monotonic()
        try:
            reply = self._node.rpc_client.call(
                address, "Watch", watch, timeout_s
            )
        except errors.TransportError as error:
            if self._connected:
                self._log.warning(
                    "control_lost",
                    member=address,
                    reason=error,
                    number=self._number,
                )
            self._connected = False
            self._leader = ""
            return False
        if not self._connected:
            self._log.info("control_reached", member=address)
        self._connected = True
        self._apply_reply(reply, address, asked_at)
        if not self._number:
            gevent.sleep(RETRY_DELAY_S)
        return True

    def _apply_reply(
        self, reply: messages.WatchReply, address: str, asked_at: float
    ) -> None:
        self._confirmed_at = time.monotonic()
        self._watchers = max(1, reply.watchers)
        self._leader = reply.leader
        if reply.members:
            known = [
                member for member in self._members if member in reply.members
            ]
            new = [member for member in reply.members if member not in known]
            seeds = self._node.settings.seed_peers
            other_seeds = [seed for seed in seeds if seed not in reply.members]
            self._members = known + new + other_seeds
            if address in self._members:
                self._members.remove(address)
                self._members.insert(0, address)
        changed = False
        if reply.number > self._number and reply.document:
            document = self._translate(reply.content)
            self._directory = traffic.make_directory(document)
            self._number = reply.number
            changed = True
            self._log.info("document_in_force", number=self._number)
        for model, version in reply.weights.items():
            if version > self._weights.get(model, 0):
                self._weights = {**self._weights, model: version}
                changed = True
                self._log.info("weights_named", model=model, version=version)
        # The member confirms its state after the request.
        self._history.observe(self._weights, asked_at)
        self._history.merge(reply.replaced, asked_at)
        if reply.loading != self._loading:
            self._loaded = tuple(
                load for load in self._loading if load not in reply.loading
            )
            self._loading = reply.loading
            changed = True
        if changed:
            self._on_change()
            if self._directory is not None:
                self._has_document.set()


def make_watcher(
    node: nodes.Node,
    translate: Translate,
    on_change: Callable[[], None],
    history: weight_history.WeightHistory,
) -> Watcher:
    return Watcher(node, translate, on_change, history)
