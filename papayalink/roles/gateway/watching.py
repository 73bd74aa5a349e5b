"""Task that follows the control members' numbered document."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import random
import time

import gevent
from gevent import event
from gevent import queue
import msgspec

from papayalink import logs
from papayalink import tasks
from papayalink.coordination import weight_history
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.state import traffic
from papayalink.transport import errors

# A member delays its reply this long if nothing has changed.
LONG_POLL_MS = 800
# Time beyond that for which one member is waited for alone. After it all
# others are asked at once: with one after the other, the delay of a change
# would grow with the number of members that stand still.
OVERDUE_S = 0.3
# A member without a quorum needs this long to find that it cannot confirm its
# state.
WATCH_TIMEOUT_S = 1.6
RETRY_DELAY_S = 0.1
# All members are asked at once this often at most. While none can answer, they
# are asked one after the other in between.
ASK_ALL_PERIOD_S = 0.5
# Control members that start together with the entry have a leader after about
# 0.5 s. Calls that arrive within this time after the start wait for the
# document.
FIRST_DOCUMENT_WAIT_S = 1.0

Translate = Callable[[bytes], traffic.TrafficDocument]


class _Answer(msgspec.Struct, frozen=True):
    """Reply of a member, or why there is none."""

    address: str
    asked_at: float
    reply: messages.WatchReply | errors.TransportError


class Watcher:
    """Holds the newest document that a control member confirmed.

    The document stays in force when no member answers, and when a newer one
    can't be used: an entry continues with what it has. It never goes back to
    an older one.

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
        "_answers",
        "_asked_all_at",
        "_applied_at",
        "_failure",
        "_number",
        "_unusable_number",
        "_directory",
        "_weights",
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
        self._answers: queue.Queue[_Answer] = queue.Queue()
        # When all members were asked last, and when a reply was applied.
        self._asked_all_at = float("-inf")
        self._applied_at = float("-inf")
        self._failure: object = ""
        self._number = 0
        # Of the newest document that could not be used.
        self._unusable_number = 0
        self._directory: traffic.TrafficDirectory | None = None
        self._weights: dict[str, int] = {}
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
    def unusable_number(self) -> int:
        """Number of a newer document that can't be used, 0 for none."""
        if self._unusable_number > self._number:
            return self._unusable_number
        return 0

    @property
    def connected(self) -> bool:
        """Whether a member has confirmed its state, and still answers."""
        return self._connected

    @property
    def weights(self) -> dict[str, int]:
        """Newest named weight version by model."""
        return self._weights

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
        """Returns: seconds since a member confirmed it as the newest."""
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
        tasks.spawn_again(self._run)

    def use_held(self, reply: messages.WatchReply) -> None:
        """Begin with a committed document that may not be the newest.

        A member that confirms a newer one replaces it; a gateway that has
        been running goes on with what it has just the same.
        """
        if self._directory is not None or not self._apply_document(reply):
            return
        self._note_weights(reply.weights)
        # No evidence of when other versions were replaced.
        self._history.observe(self._weights, float("-inf"))
        self._log.warning("document_not_confirmed", number=self._number)
        self._on_change()
        self._has_document.set()

    def add_members(self, addresses: Iterable[str]) -> None:
        """Add members from changed settings."""
        for address in addresses:
            if address not in self._members:
                self._members.append(address)

    def _run(self) -> None:
        while True:
            first = self._members[0]
            if self._watch(first):
                if not self._number:
                    gevent.sleep(RETRY_DELAY_S)
                continue
            if self._members[0] == first:
                self._members.append(self._members.pop(0))
            gevent.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))

    def _watch(self, address: str) -> bool:
        """Watch one member, and ask all if it does not answer in time.

        Returns: whether a reply was applied.
        """
        # Nothing is known of what changed while no member answered.
        wait_ms = LONG_POLL_MS if self._connected else 0
        began_at = time.monotonic()
        asked = {address}
        self._ask(address, wait_ms)
        overdue_s = wait_ms / 1000 + OVERDUE_S
        if self._wait_for_reply(asked, began_at, began_at + overdue_s):
            return True
        now = time.monotonic()
        self._note_lost(address)
        if now - self._asked_all_at < ASK_ALL_PERIOD_S:
            return False
        self._asked_all_at = now
        for member in self._members:
            if member != address:
                asked.add(member)
                self._ask(member, 0)
        return self._wait_for_reply(asked, began_at, now + WATCH_TIMEOUT_S)

    def _ask(self, address: str, wait_ms: int) -> None:
        watch = messages.Watch(
            self._node.settings.name,
            max(self._number, self._unusable_number),
            self._weights,
            wait_ms,
            self._loading,
        )
        tasks.spawn(self._call, address, watch)

    def _call(self, address: str, watch: messages.Watch) -> None:
        asked_at = time.monotonic()
        reply: messages.WatchReply | errors.TransportError
        try:
            reply = self._node.rpc_client.call(
                address, "Watch", watch, WATCH_TIMEOUT_S
            )
        except errors.TransportError as error:
            reply = error
        except Exception as error:
            self._log.exception("reply_unusable", member=address)
            reply = errors.ConnectionLost(f"{address}: {error!r}")
        self._answers.put(_Answer(address, asked_at, reply))

    def _wait_for_reply(
        self, asked: set[str], began_at: float, until: float
    ) -> bool:
        """Apply the first reply that comes.

        Args:
            asked: members that have not answered yet, which is updated.
            began_at: when the first of them was asked.
        Returns: whether there was one in time.
        """
        while asked:
            left_s = max(0.0, until - time.monotonic())
            try:
                answer = self._answers.get(timeout=left_s)
            except queue.Empty:
                self._failure = "no reply in time"
                return False
            if answer.asked_at < self._applied_at:
                # A reply that came first may be newer.
                continue
            if answer.asked_at >= began_at:
                asked.discard(answer.address)
            match answer.reply:
                case messages.WatchReply() as reply:
                    self._applied_at = time.monotonic()
                    self._note_reached(answer.address)
                    self._apply_reply(reply, answer.address, answer.asked_at)
                    return True
                case failure:
                    self._failure = failure
        return False

    def _note_reached(self, address: str) -> None:
        if not self._connected:
            self._log.info("control_reached", member=address)
        self._connected = True

    def _note_lost(self, address: str) -> None:
        if self._connected:
            self._log.warning(
                "control_lost",
                member=address,
                reason=self._failure,
                number=self._number,
            )
        self._connected = False
        if self._leader == address:
            self._leader = ""

    def _apply_reply(
        self, reply: messages.WatchReply, address: str, asked_at: float
    ) -> None:
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
        changed = self._apply_document(reply)
        if not self.unusable_number:
            self._confirmed_at = time.monotonic()
        changed = self._note_weights(reply.weights) or changed
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

    def _note_weights(self, named: Mapping[str, int]) -> bool:
        """Returns: whether a newer version of some weights was named."""
        newer = {
            model: version
            for model, version in named.items()
            if version > self._weights.get(model, 0)
        }
        self._weights = {**self._weights, **newer}
        for model, version in newer.items():
            self._log.info("weights_named", model=model, version=version)
        return bool(newer)

    def _apply_document(self, reply: messages.WatchReply) -> bool:
        """Returns: whether a newer document has come into force."""
        known = max(self._number, self._unusable_number)
        if reply.number <= known or not reply.document:
            return False
        try:
            document = self._translate(reply.content)
            directory = traffic.make_directory(document)
        except Exception:
            # Members of another version may accept what this one does not.
            self._unusable_number = reply.number
            self._log.exception(
                "document_unusable", number=reply.number, held=self._number
            )
            return False
        self._directory = directory
        self._number = reply.number
        self._log.info("document_in_force", number=self._number)
        return True


def make_watcher(
    node: nodes.Node,
    translate: Translate,
    on_change: Callable[[], None],
    history: weight_history.WeightHistory,
) -> Watcher:
    return Watcher(node, translate, on_change, history)
