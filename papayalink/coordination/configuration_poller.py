"""Task that polls control for the configuration and its confirmation."""

from collections.abc import Callable
import random

import gevent
from gevent import queue
import msgspec

from papayalink import clock as clocks
from papayalink import logs
from papayalink import tasks
from papayalink import timers
from papayalink.coordination import lease as leases
from papayalink.protocol import messages
from papayalink.state import document as documents
from papayalink.state import errors as state_errors
from papayalink.state import held_configuration
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

# Overloaded members to try in one period. Trying all members of an overloaded
# group would multiply its load.
MAX_OVERLOADED_MEMBERS = 2


class _PollDue(msgspec.Struct):
    """Queued once per poll period, and by `poll_soon`."""


class ConfigurationPoller:
    """Polls control members and holds the configuration they confirm.

    Args:
        identity: (process, role, incarnation), sent with each poll.
        controls: RPC addresses of the control members.
        client: RPC client for the calls to them.
        clock: clock that measures the lease.
        timer_service: delivers the poll ticks.
        fill: returns a poll with load, watched upstreams and demand added.
    """

    __slots__ = (
        "_identity",
        "_controls",
        "_client",
        "_clock",
        "_timers",
        "_fill",
        "_held",
        "_lease",
        "_inbox",
        "_reply",
        "_received_at",
        "_sent_at",
        "_listeners",
        "_log",
        "_task",
    )

    def __init__(
        self,
        identity: tuple[str, str, str],
        controls: list[str],
        client: rpc.RpcClient,
        clock: clocks.Clock,
        timer_service: timers.TimerService,
        fill: Callable[[messages.Poll], messages.Poll],
    ) -> None:
        self._identity = identity
        self._controls = list(controls)
        random.shuffle(self._controls)
        self._client = client
        self._clock = clock
        self._timers = timer_service
        self._fill = fill
        self._held = held_configuration.make_held_configuration()
        self._lease = leases.make_lease()
        self._inbox = queue.Queue()
        self._reply = messages.PollReply(version=0)
        self._received_at = 0.0
        self._sent_at = 0.0
        self._listeners: list[Callable[[], None]] = []
        self._log = logs.get_logger()
        self._task: gevent.Greenlet | None = None

    @property
    def version(self) -> int:
        return self._held.version

    @property
    def document(self) -> documents.Document:
        return self._held.document

    @property
    def reply(self) -> messages.PollReply:
        """Newest reply, with leaving upstreams, loads and shares."""
        return self._reply

    @property
    def received_at(self) -> float:
        """Clock time in seconds at which the newest reply arrived."""
        return self._received_at

    @property
    def sent_at(self) -> float:
        """Clock time in seconds at which the poll of that reply was sent."""
        return self._sent_at

    @property
    def confirmed(self) -> bool:
        """Whether a configuration is held and its lease is valid."""
        now = self._clock.now()
        return self._held.version > 0 and self._lease.valid(now)

    @property
    def lease_left_s(self) -> float:
        return self._lease.left_s(self._clock.now())

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a function to call after each reply; it must not block."""
        self._listeners.append(listener)

    def start(self) -> None:
        self._timers.every(leases.POLL_PERIOD_S, self._inbox, _PollDue())
        self._inbox.put(_PollDue())
        self._task = tasks.spawn(self._run)

    def poll_soon(self) -> None:
        """Poll again without waiting for the next tick."""
        self._inbox.put(_PollDue())

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()

    def _run(self) -> None:
        while True:
            self._inbox.get()
            while not self._inbox.empty():
                self._inbox.get()
            self._poll_any()

    def _poll_any(self) -> None:
        """Poll the members in turn until one confirms."""
        overloaded = 0
        for _ in range(len(self._controls)):
            try:
                if self._poll(self._controls[0]):
                    return
            except transport_errors.Overloaded as error:
                self._log.warning("poll_failed", reason=error)
                overloaded += 1
            self._controls.append(self._controls.pop(0))
            if overloaded == MAX_OVERLOADED_MEMBERS:
                return

    def _poll(self, address: str) -> bool:
        process, role, incarnation = self._identity
        poll = self._fill(
            messages.Poll(
                process,
                role,
                incarnation,
                self._held.version,
                self._held.digest,
            )
        )
        sent_at = self._clock.now()
        try:
            reply = self._client.call(
                address, "Poll", poll, leases.POLL_TIMEOUT_S
            )
            changed = self._held.update(
                reply.version,
                reply.document_json,
                reply.delta,
                reply.digest,
            )
        except transport_errors.Overloaded:
            raise
        except transport_errors.TransportError as error:
            self._log.warning("poll_failed", address=address, reason=error)
            return False
        except state_errors.StateError as error:
            self._log.warning("poll_refused", address=address, reason=error)
            return False
        self._lease.confirm(sent_at)
        self._reply = reply
        self._sent_at = sent_at
        self._received_at = self._clock.now()
        if changed:
            self._log.info("configuration_changed", version=reply.version)
        for listener in self._listeners:
            listener()
        return True


def make_configuration_poller(
    identity: tuple[str, str, str],
    controls: list[str],
    client: rpc.RpcClient,
    clock: clocks.Clock,
    timer_service: timers.TimerService,
    fill: Callable[[messages.Poll], messages.Poll] = lambda poll: poll,
) -> ConfigurationPoller:
    """Returns: a poller that is not started."""
    return ConfigurationPoller(
        identity, controls, client, clock, timer_service, fill
    )
