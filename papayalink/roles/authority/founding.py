"""Determines the founders of the group at its first start."""

from collections.abc import Callable
from collections.abc import Mapping

import gevent

from papayalink import logs
from papayalink.coordination import founding
from papayalink.protocol import messages
from papayalink.transport import errors
from papayalink.transport import rpc

# Seeds start within a few tenths of a second of each other.
RETRY_DELAY_S = 0.1
CALL_TIMEOUT_S = 0.5


def find_founders(
    own: messages.Describe,
    seeds: Mapping[str, str],
    client: rpc.RpcClient,
    describe: Callable[[messages.Describe], messages.Described],
) -> tuple[str, ...]:
    """Ask all seeds until their descriptions determine the founders.

    Args:
        own: description of this process.
        seeds: RPC address of each seed by its name as a member.
        describe: answers for this process if it is a seed itself.
    Returns: names of the members that found the group.
    """
    log = logs.get_logger()
    described: dict[str, founding.Seed] = {}
    logged: set[str] = set()

    def ask(name: str, address: str) -> None:
        try:
            if name == own.name:
                reply = describe(own)
            else:
                reply = client.call(address, "Describe", own, CALL_TIMEOUT_S)
        except errors.TransportError as error:
            if name not in logged:
                log.info("seed_not_reached", seed=name, reason=error)
            logged.add(name)
            return
        described[name] = founding.Seed(reply.durable, reply.first)

    while True:
        gevent.joinall(
            [
                gevent.spawn(ask, name, address)
                for name, address in seeds.items()
                if name not in described or not described[name].durable
            ],
            raise_error=True,
        )
        if len(described) == len(seeds):
            founders = founding.choose_founders(described)
            if founders:
                log.info("founders_known", founders=",".join(founders))
                return founders
        gevent.sleep(RETRY_DELAY_S)
