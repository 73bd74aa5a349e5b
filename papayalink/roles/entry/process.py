"""The entry process."""

from collections.abc import Callable

from papayalink.coordination import configuration_poller
from papayalink.coordination import forwarding
from papayalink.coordination import proposer as proposers
from papayalink.coordination import protected
from papayalink.roles import node as nodes
from papayalink.roles import process
from papayalink.roles.entry import callers
from papayalink.roles.entry import serving
from papayalink.transport import http_client
from papayalink.transport import http_server

# Limit on the time without data from an agent. A request may wait in the queue
# of the agent for as long as the target of the least urgent rank allows.
AGENT_TIMEOUT_S = 120.0


class EntryProcess(process.Process):
    """Serves callers; holds no durable state."""

    __slots__ = ("_poller", "_client", "_serving", "_server")

    def __init__(self, node: nodes.Node) -> None:
        super().__init__(node)
        controls = list(node.settings.controls.values())
        self._poller = configuration_poller.make_configuration_poller(
            node.identity,
            controls,
            node.rpc_client,
            node.clock,
            node.timers,
            lambda poll: self._serving.fill_poll(poll),
        )
        self._client = http_client.make_client(node.signer, AGENT_TIMEOUT_S)
        proposer = proposers.make_proposer(
            controls, node.rpc_client, node.clock
        )
        self._serving = serving.make_serving(
            node.settings.name,
            node.settings.zone,
            self._poller,
            forwarding.make_forwarder(self._client, node.clock, node.metrics),
            self._client,
            protected.make_protected_calls(proposer, node.clock),
            node.clock,
            node.metrics,
        )
        self._server = http_server.make_server(
            nodes.parse_address(node.settings.listen),
            callers.make_app(self._serving),
        )

    @property
    def accepting(self) -> bool:
        return self._serving.healthy

    def start(self) -> None:
        self._poller.start()
        self._server.start()

    def drain(self) -> None:
        self._serving.announce_stop()
        self._stop_now.wait(self._node.settings.drain_delay_s)
        self._serving.stop_accepting()
        self._server.stop()
        self._poller.stop()

    def gauges(self) -> dict[str, Callable[[], float]]:
        return {
            "lease_left_s": lambda: self._poller.lease_left_s,
            "configuration_version": lambda: self._poller.version,
            "in_flight": lambda: self._server.in_flight,
        }

    def dump(self) -> dict:
        return {
            "process": self._node.identity,
            "version": self._poller.version,
            "lease_left_s": self._poller.lease_left_s,
            "in_flight": self._server.in_flight,
            "loads": self._poller.reply.loads,
            "selection": self._serving.dump(),
        }


def make_process(node: nodes.Node) -> EntryProcess:
    return EntryProcess(node)
