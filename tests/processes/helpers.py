"""Helpers that wait for, and inspect, deployments."""

import time

import gevent

WAIT_TIMEOUT_S = 30.0


def wait_until(condition, description="condition"):
    """Wait until a condition holds; fail after WAIT_TIMEOUT_S."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert (
            time.monotonic() < deadline
        ), f"{description} was not met in time"
        gevent.sleep(0.05)


def leader_of(deployment):
    """Returns: name of the leading control member, None without one."""
    for name, program in deployment.programs.items():
        if name not in deployment.controls or program.process.poll():
            continue
        if deployment.dump(name)["replica"]["role"] == "leader":
            return name
    return None


def voters_of(deployment, name):
    """Returns: ids of the voters, as one member sees them."""
    replica = deployment.dump(name)["replica"] or {"members": []}
    return [member[0] for member in replica["members"] if member[2]]
