"""Operators that retry, and read back what they have sent."""

import collections
import itertools
import json
import time

import gevent

from soak import caller_connection
from soak import hold_ups
from soak import nodes as node_module
from soak import records
from soak.platform import standins

# Longest wait for an answer.
TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.2
# Time after members were held up in which they accept a document: they are in
# touch after 3 s, and have 4 s then. Later hold-ups than the second time don't
# count.
AFTER_HOLD_UP_S = 7.0
MAX_HELD_UP_S = 60.0
# Longest pause between two reads.
READ_PAUSE_S = 0.4
# Share of the requests that are sent on a new connection.
NEW_CONNECTION_SHARE = 0.5
# Longest pause within a document that is written.
MAX_PIECE_PAUSE_S = 0.1


def tell_answers(calls: list[records.OperatorCall]) -> str:
    """Returns: how often each member gave each answer, and the longest time.

    Status 0 is that of calls without an answer.
    """
    times_s = collections.defaultdict(list)
    for call in calls:
        key = call.member, call.status
        times_s[key].append(call.ended_at - call.sent_at)
    return ", ".join(
        f"{member} {status} x{len(taken)} within {max(taken):.1f} s"
        for (member, status), taken in sorted(times_s.items())
    )


class Operator:
    """Sends documents with increasing numbers, and reads them back."""

    def __init__(self, history: records.History, rng) -> None:
        self._history = history
        self._rng = rng
        self._numbers = itertools.count(1)
        self._connections: dict[str, caller_connection.CallerConnection] = {}

    def put(
        self,
        members: list[node_module.Node],
        timeout_s: float,
        padding_routes: int = 0,
        listening: gevent.Greenlet | None = None,
        held_up: hold_ups.HoldUps | None = None,
    ) -> bool:
        """Send the next document for `timeout_s`, or until it is accepted.

        Args:
            padding_routes: routes beyond those that are called.
            listening: ends when the members listen, from when the time counts.
            held_up: tells when they were held up, after which they have
                AFTER_HOLD_UP_S at least.
        Returns: whether it was accepted.
        """
        number = next(self._numbers) * 3
        change = records.Change(
            number, self._rng.random() < 0.5, time.monotonic()
        )
        self._history.changes.append(change)
        body = standins.make_document(
            number, change.has_optional_route, padding_routes
        )
        names = [member.name for member in members] if held_up else []
        began_at = time.monotonic()
        while True:
            if listening is not None and not listening.dead:
                began_at = time.monotonic()
            until = began_at + timeout_s
            if held_up is not None:
                held_up.sample()
                settled_at = held_up.last_ended_at(names) + AFTER_HOLD_UP_S
                settled_at = min(settled_at, began_at + MAX_HELD_UP_S)
                until = max(until, settled_at)
            if time.monotonic() >= until:
                return False
            member = self._rng.choice(members)
            if self._call(member, "PUT", body).status == 200:
                change.accepted_at = time.monotonic()
                return True
            gevent.sleep(RETRY_INTERVAL_S)

    def name_weights(
        self, members: list[node_module.Node], timeout_s: float
    ) -> None:
        """Name the next weight version, until it is accepted or given up."""
        version = 2 + len(self._history.namings)
        naming = records.Naming(version, time.monotonic())
        self._history.namings.append(naming)
        self._history.count("weights_named")
        body = json.dumps(
            {"model": self._history.model, "version": version}
        ).encode()
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            member = self._rng.choice(members)
            call = self._call(member, "POST", body, "/-/version-put")
            if call.status == 200:
                naming.accepted_at = time.monotonic()
                return
            gevent.sleep(RETRY_INTERVAL_S)

    def pause(self, longest_s: float = READ_PAUSE_S) -> None:
        gevent.sleep(self._rng.random() * longest_s)

    def read(self, members: list[node_module.Node]) -> bool:
        """Returns: whether a member returns the document."""
        member = self._rng.choice(members)
        call = self._call(member, "GET")
        returned = call.status == 200 and call.complete
        if returned:
            number = int(call.body.partition(b'"version":')[2].split(b",")[0])
            self._history.reads.append(
                records.Read(call.sent_at, member.name, number)
            )
        return returned

    def _call(
        self,
        member: node_module.Node,
        method: str,
        content: bytes = b"",
        path: str = "/-/config",
    ) -> records.OperatorCall:
        """Send a request, on a kept connection or on a new one."""
        call = records.OperatorCall(
            member=member.name,
            method=method,
            sent_at=time.monotonic(),
            timeout_s=TIMEOUT_S,
        )
        self._history.operator_calls.append(call)
        # Several tasks send at once.
        connection = self._connections.pop(member.name, None)
        if connection is None:
            connection = caller_connection.make_caller_connection(
                (member.ip, node_module.OPERATOR_PORT), TIMEOUT_S
            )
        if self._rng.random() < NEW_CONNECTION_SHARE:
            connection.close()
        pieces = (content[:1], content[1:]) if content else ()
        body = caller_connection.Body(
            pieces, self._rng.choice((0.0, MAX_PIECE_PAUSE_S))
        )
        connection.call(call, method, path, {"Host": member.ip}, body)
        call.ended_at = time.monotonic()
        self._connections[member.name] = connection
        return call
