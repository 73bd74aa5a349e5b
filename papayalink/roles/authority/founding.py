"""Asks the seeds of a first start who founds the group."""

from collections.abc import Callable
from collections.abc import Mapping

import gevent

from papayalink import logs
from papayalink.coordination import founding
from papayalink.protocol import messages
from papayalink.transport import errors
from papayalink.transport import rpc

# Seeds start within a few tenths of a second of each other.
RETRY_S = 0.1
TIMEOUT_S = 0.5


def find_founders(
    own: messages.Describe,
    seeds: Mapping[str, str],
    client: rpc.RpcClient,
    describe: Callable[[messages.Describe], messages.Described],
) -> tuple[str, ...]:
    """Wait until all seeds have told what they are.

    Args:
        own: what this process is.
        seeds: RPC address of each seed by its name as a member.
        describe: answers for this process when it is a seed itself.
    Returns: names of the founders.
    """
    log = logs.get_logger()
    known: dict[str, founding.Seed] = {}
    missed: set[str] = set()
    while True:
        for name, address in seeds.items():
            if name in known and known[name].durable:
                continue
            try:
                if name == own.name:
                    reply = describe(own)
                else:
                    reply = client.call(address, "Describe", own, TIMEOUT_S)
            except errors.TransportError as error:
                if name not in missed:
                    log.info("seed_not_reached", seed=name, reason=error)
                missed.add(name)
                continue
            known[name] = founding.Seed(reply.durable, reply.first)
        if len(known) == len(seeds):
            founders = founding.choose_founders(known)
            if founders:
                log.info("founders_known", founders=",".join(founders))
                return founders
        gevent.sleep(RETRY_S)
