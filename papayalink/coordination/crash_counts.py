"""Counts the ends of replicas against the calls that may have caused them."""

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypeAlias

# Crashes after which a request, or prompts with a part, are no longer sent.
# Healthy ones are seldom lost twice without a whole answer in between.
MIN_CRASHES = 3
# The same for a request that was the only one whose answer had begun, without
# an event, whenever a replica ended.
MIN_CERTAIN_CRASHES = 2
# Replicas that end within this time count once: a rack or a zone that fails
# ends several at the same moment, whatever they answer.
SAME_MOMENT_S = 0.02

# What identifies the end of one lifetime of a replica.
End: TypeAlias = Hashable


def find_guilty(
    requests: dict[str, dict[End, float]], begun: Mapping[End, int]
) -> set[str]:
    """Find the requests that end replicas.

    Crashes that a guilty request explains do not count against another one
    that was lost with fewer replicas.

    Args:
        requests: by key, times of crashes by the end of a replica.
        begun: by end, number of requests whose answer had begun.
    """
    guilty = set()
    left = dict(requests)
    while left:
        key = max(left, key=lambda each: (len(left[each]), each))
        crashes = left.pop(key)
        certain = all(begun[end] == 1 for end in crashes)
        needed = MIN_CERTAIN_CRASHES if certain else MIN_CRASHES
        if count_moments(crashes.values()) < needed:
            continue
        guilty.add(key)
        for other, counted in left.items():
            if counted.keys() != crashes.keys():
                left[other] = {
                    end: at
                    for end, at in counted.items()
                    if end not in crashes
                }
    return guilty


def times_by_request(
    crashes: dict[End, float], requests: dict[str, dict[End, float]]
) -> list[float]:
    """Returns: times of a part's crashes, one for each request they show.

    A few requests may be lost together; the fewest that explain all crashes
    are counted.

    Args:
        crashes: times of the part's crashes by the end of a replica.
        requests: the same by request.
    """
    times = []
    left = dict(crashes)
    while left:
        explained = max(
            (left.keys() & counted.keys() for counted in requests.values()),
            key=len,
            default=set(),
        )
        if len(explained) < 2:
            return times + list(left.values())
        times.append(min(left.pop(end) for end in explained))
    return times


def count_moments(times: Iterable[float]) -> int:
    """Returns: number of times that are not at the same moment."""
    count = 0
    moment = float("-inf")
    for at in sorted(times):
        if at - moment > SAME_MOMENT_S:
            count += 1
            moment = at
    return count
