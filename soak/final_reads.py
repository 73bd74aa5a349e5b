"""Reads of the document at the end of a run."""

import time

import gevent

from soak import hold_ups
from soak import nodes as node_module
from soak import operators
from soak import records

READS = 6
# Members that were held up confirm reads again after this time, for which
# operators read at the end of a day.
CONTACT_S = 3.0
# Time after which hold-ups don't count any more.
MAX_READING_S = 20.0


def check(
    operator: operators.Operator,
    members: list[node_module.Node],
    history: records.History,
    held_up: hold_ups.HoldUps,
) -> list[str]:
    """Read the document, which some member returns.

    Members that wait for a processor can't confirm that theirs is the newest.
    The time in which one of them has to is counted from when none waits.

    Returns: one line if no member does.
    """
    began_at = time.monotonic()
    names = [member.name for member in members]
    sent = len(history.operator_calls)
    returned = [operator.read(members) for _ in range(READS)]
    while not any(returned):
        held_up.sample()
        until = held_up.last_ended_at(names) + CONTACT_S
        if time.monotonic() > min(until, began_at + MAX_READING_S):
            answers = operators.tell_answers(history.operator_calls[sent:])
            held = hold_ups.describe(held_up.seen, began_at - CONTACT_S)
            return [
                f"no member returns the document at the end: {answers};"
                f" held up: {held or 'none'}"
            ]
        gevent.sleep(operators.RETRY_INTERVAL_S)
        returned.append(operator.read(members))
    return []
