"""Waiting and looking into deployments."""

import time

import gevent

WAIT_S = 30.0


def wait_until(condition, what="condition"):
    """Wait until a condition holds; it must hold in the end."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f"{what} was not met in time"
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
