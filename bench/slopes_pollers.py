"""Child processes that poll control members."""

import os
import random
import time

import gevent
import msgspec

from bench import configuration as documents_bench
from bench import slopes
from bench import slopes_group
from papayalink import clock as clocks
from papayalink import timers
from papayalink.coordination import configuration_poller
from papayalink.coordination import lease as leases
from papayalink.coordination import selection as selections
from papayalink.protocol import messages
from papayalink.transport import auth
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

# Fraction of the pollers that are entries, as at the design size; the others
# are agents.
ENTRY_FRACTION = 360 / 1000
# Time over which the starts of pollers are spread. A thousand processes start
# in the same second only after an outage, which the part "joins" measures.
START_SPREAD_S = 3.0


class _LightPoller:
    """Polls as a daemon does, but holds only the version of the document.

    A thousand daemons cannot run on this machine: their work on a document
    would use up the processors on which the control members are measured.

    Args:
        retries: whether other members are tried in the same period, as a
            daemon does.
    """

    __slots__ = (
        "_poll",
        "_client",
        "_controls",
        "_retries",
        "_confirmed_at",
        "failed",
        "failed_at",
        "lapses",
        "polls",
    )

    def __init__(self, poll, client, controls, retries) -> None:
        self._poll = poll
        self._client = client
        self._controls = random.sample(controls, len(controls))
        self._retries = retries
        self._confirmed_at: float | None = None
        self.failed: dict[str, int] = {}
        self.failed_at: list[float] = []
        # Time at which a lease ended, and seconds until it was renewed.
        self.lapses: list[tuple[float, float]] = []
        self.polls = 0

    def run(self) -> None:
        gevent.sleep(random.random() * START_SPREAD_S)
        next_at = time.monotonic()
        while True:
            self._poll_members()
            next_at = max(next_at + leases.POLL_PERIOD_S, time.monotonic())
            gevent.sleep(max(0.0, next_at - time.monotonic()))

    def close(self) -> None:
        """Record a lease that has ended and was not renewed."""
        self._record_confirmation(time.monotonic())

    def _poll_members(self) -> None:
        overloaded = 0
        for _ in range(len(self._controls) if self._retries else 1):
            try:
                if self._poll_member():
                    return
            except transport_errors.Overloaded:
                overloaded += 1
                if overloaded == configuration_poller.MAX_OVERLOADED_MEMBERS:
                    return

    def _record_confirmation(self, sent_at: float) -> None:
        now = time.monotonic()
        if self._confirmed_at is not None:
            ended_at = self._confirmed_at + leases.LEASE_S
            if now > ended_at:
                self.lapses.append((ended_at, now - ended_at))
        self._confirmed_at = sent_at

    def _poll_member(self) -> bool:
        poll = self._poll
        if poll.load is not None:
            report = msgspec.structs.replace(
                poll.load, sequence=poll.load.sequence + 1
            )
            poll = msgspec.structs.replace(poll, load=report)
        sent_at = time.monotonic()
        try:
            reply = self._client.call(
                self._controls[0], "Poll", poll, leases.POLL_TIMEOUT_S
            )
        except transport_errors.TransportError as error:
            kind = f"{type(error).__name__} {error}"[:60]
            self.failed[kind] = self.failed.get(kind, 0) + 1
            self.failed_at.append(time.monotonic())
            self._controls.append(self._controls.pop(0))
            if isinstance(error, transport_errors.Overloaded):
                raise
            return False
        self._record_confirmation(sent_at)
        self.polls += 1
        self._poll = msgspec.structs.replace(
            poll, version=reply.version, digest=reply.digest
        )
        return True


def _make_first_poll(
    number: int, watch: tuple[str, ...], workspaces: int = 0
) -> messages.Poll:
    """Make the first poll of an entry or an agent.

    Args:
        workspaces: number of workspaces that an entry reports demand for; if
            it is not 0, all pollers are entries.
    """
    if workspaces:
        rng = random.Random(number)
        return messages.Poll(
            f"entry-{number}",
            "entry",
            f"{number:012x}",
            watch=watch,
            demand=tuple(
                messages.Demand(f"workspace-{index}", 412.53, 3)
                for index in rng.sample(range(3300), workspaces)
            ),
        )
    if random.Random(number).random() < ENTRY_FRACTION:
        return messages.Poll(
            f"entry-{number}", "entry", f"{number:012x}", watch=watch
        )
    return messages.Poll(
        f"agent-{number}",
        "agent",
        f"{number:012x}",
        load=slopes.make_report(f"upstream-{number % 640}"),
    )


def child_light(options: dict) -> dict:
    """Run light pollers until standard input ends. Returns: their counts."""
    clock = clocks.make_clock()
    watch = _watched_upstreams()
    pollers = []
    for number in range(options["first"], options["first"] + options["count"]):
        client = rpc.make_client(
            auth.make_signer(bytes.fromhex(options["key"]), clock)
        )
        pollers.append(
            _LightPoller(
                _make_first_poll(number, watch, options["workspaces"]),
                client,
                options["controls"],
                options.get("retries", False),
            )
        )
        gevent.spawn(pollers[-1].run)
    slopes_group.wait_input()
    for poller in pollers:
        poller.close()
    return {
        "failed_at": [at for poller in pollers for at in poller.failed_at],
        "lapses": [one for poller in pollers for one in poller.lapses],
        "cpu_s": slopes.cpu_s(os.getpid()),
        "polls": sum(poller.polls for poller in pollers),
        "failed": slopes_group.sum_counts(
            [poller.failed for poller in pollers]
        ),
    }


def _watched_upstreams() -> tuple[str, ...]:
    """Returns: upstreams that an entry watches at the design size."""
    selection = selections.make_selection("entry-1", "zone-1")
    selection.update(documents_bench.make_document(10, 640, 0), (), (), 0.0)
    return selection.watched


def child_configuration_pollers(options: dict) -> dict:
    """Run pollers that hold the document until standard input ends.

    Returns: versions that they got, with monotonic times.
    """
    clock = clocks.make_clock()
    watch = _watched_upstreams()
    received_versions: list[tuple[int, float]] = []
    for number in range(options["first"], options["first"] + options["count"]):
        signer = auth.make_signer(bytes.fromhex(options["key"]), clock)
        # The poller gets its name, role, load and watched upstreams from it.
        first_poll = _make_first_poll(number, watch)

        def fill(poll, first_poll=first_poll):
            return msgspec.structs.replace(
                poll, load=first_poll.load, watch=first_poll.watch
            )

        poller = configuration_poller.make_configuration_poller(
            (first_poll.process, first_poll.role, first_poll.incarnation),
            options["controls"],
            rpc.make_client(signer),
            clock,
            timers.make_timer_service(clock),
            fill,
        )
        last_version = [0]

        def note(poller=poller, last_version=last_version):
            if poller.version != last_version[0]:
                last_version[0] = poller.version
                received_versions.append((poller.version, time.monotonic()))

        poller.add_listener(note)
        gevent.spawn_later(random.random() * START_SPREAD_S, poller.start)
    slopes_group.wait_input()
    return {"cpu_s": slopes.cpu_s(os.getpid()), "seen": received_versions}
