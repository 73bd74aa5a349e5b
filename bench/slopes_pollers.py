"""Pollers and followers in processes of their own."""

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

# Entries and agents of the design size, by which pollers are mixed.
ENTRY_SHARE = 360 / 1000
# A thousand processes do not start in the same second but after an outage,
# which the part "joins" measures.
START_S = 3.0


class _LightPoller:
    """Polls as a follower does, but holds the version only.

    A thousand processes cannot run here; their own work on a document would
    use up the processors that the control members are measured on.

    Args:
        retries: try the other members in the same period, as a follower does.
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
        "done",
    )

    def __init__(self, poll, client, controls, retries) -> None:
        self._poll = poll
        self._client = client
        self._controls = random.sample(controls, len(controls))
        self._retries = retries
        self._confirmed_at: float | None = None
        self.failed: dict[str, int] = {}
        self.failed_at: list[float] = []
        # When a lease ended, and for how many seconds it was not valid.
        self.lapses: list[tuple[float, float]] = []
        self.done = 0

    def run(self) -> None:
        gevent.sleep(random.random() * START_S)
        due = time.monotonic()
        while True:
            self._send_any()
            due = max(due + leases.POLL_PERIOD_S, time.monotonic())
            gevent.sleep(max(0.0, due - time.monotonic()))

    def close(self) -> None:
        """Count a lease that ended and was not renewed."""
        self._note_confirmed(time.monotonic())

    def _send_any(self) -> None:
        overloaded = 0
        for _ in range(len(self._controls) if self._retries else 1):
            try:
                if self._send():
                    return
            except transport_errors.Overloaded:
                overloaded += 1
                if overloaded == configuration_poller.MAX_OVERLOADED_MEMBERS:
                    return

    def _note_confirmed(self, sent_at: float) -> None:
        now = time.monotonic()
        if self._confirmed_at is not None:
            ended_at = self._confirmed_at + leases.LEASE_S
            if now > ended_at:
                self.lapses.append((ended_at, now - ended_at))
        self._confirmed_at = sent_at

    def _send(self) -> bool:
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
        self._note_confirmed(sent_at)
        self.done += 1
        self._poll = msgspec.structs.replace(
            poll, version=reply.version, digest=reply.digest
        )
        return True


def _first_poll(
    number: int, watch: tuple[str, ...], workspaces: int = 0
) -> messages.Poll:
    """Make the first poll of an entry or an agent.

    Args:
        workspaces: demand of an entry for so many; then all are entries.
    """
    if workspaces:
        draw = random.Random(number)
        return messages.Poll(
            f"entry-{number}",
            "entry",
            f"{number:012x}",
            watch=watch,
            demand=tuple(
                messages.Demand(f"workspace-{place}", 412.53, 3)
                for place in draw.sample(range(3300), workspaces)
            ),
        )
    if random.Random(number).random() < ENTRY_SHARE:
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
    """Run light pollers until standard input ends."""
    clock = clocks.make_clock()
    watch = _watch()
    pollers = []
    for number in range(options["first"], options["first"] + options["count"]):
        client = rpc.make_client(
            auth.make_signer(bytes.fromhex(options["key"]), clock)
        )
        pollers.append(
            _LightPoller(
                _first_poll(number, watch, options["workspaces"]),
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
        "polls": sum(poller.done for poller in pollers),
        "failed": slopes_group.add_up([poller.failed for poller in pollers]),
    }


def _watch() -> tuple[str, ...]:
    selection = selections.make_selection("entry-1", "zone-1")
    selection.update(documents_bench.make_document(10, 640, 0), (), (), 0.0)
    return selection.watched


def child_followers(options: dict) -> dict:
    """Run followers until standard input ends; tell when they changed."""
    clock = clocks.make_clock()
    watch = _watch()
    seen: list[tuple[int, float]] = []
    for number in range(options["first"], options["first"] + options["count"]):
        signer = auth.make_signer(bytes.fromhex(options["key"]), clock)
        like = _first_poll(number, watch)

        def fill(poll, like=like):
            return msgspec.structs.replace(
                poll, load=like.load, watch=like.watch
            )

        follower = configuration_poller.make_configuration_poller(
            (like.process, like.role, like.incarnation),
            options["controls"],
            rpc.make_client(signer),
            clock,
            timers.make_timer_service(clock),
            fill,
        )
        last = [0]

        def note(follower=follower, last=last):
            if follower.version != last[0]:
                last[0] = follower.version
                seen.append((follower.version, time.monotonic()))

        follower.add_listener(note)
        gevent.spawn_later(random.random() * START_S, follower.start)
    slopes_group.wait_input()
    return {"cpu_s": slopes.cpu_s(os.getpid()), "seen": seen}
