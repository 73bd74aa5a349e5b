"""The first document of a gateway that no control member can confirm."""

import time

import gevent

from papayalink import tasks
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.roles.gateway import watching
from papayalink.transport import errors

# A group that starts with the gateway, or elects another leader, can confirm
# the document within this time.
CONFIRM_WAIT_S = 0.5
ASK_PERIOD_S = 0.25
ASK_TIMEOUT_S = 0.3


class HeldDocument:
    """Asks members for what they hold until the gateway has a document.

    While no member leads, gateways that run go on with the document they
    have. One that has just started would refuse all calls instead. It asks
    from its start on, since members that stop may be gone a moment later.
    """

    __slots__ = ("_node", "_watcher", "_newest")

    def __init__(self, node: nodes.Node, watcher: watching.Watcher) -> None:
        self._node = node
        self._watcher = watcher
        self._newest = messages.WatchReply(0)

    def start(self) -> None:
        tasks.spawn_again(self._run)

    def _run(self) -> None:
        use_at = time.monotonic() + CONFIRM_WAIT_S
        while self._watcher.directory is None:
            # A new deployment has none: its members confirm that.
            if not self._watcher.connected:
                self._ask_all()
                if self._newest.number and time.monotonic() >= use_at:
                    self._watcher.use_held(self._newest)
            gevent.sleep(ASK_PERIOD_S)

    def _ask_all(self) -> None:
        """Keep the newest document that a member holds."""

        def ask(address: str) -> None:
            try:
                reply = self._node.rpc_client.call(
                    address, "ReadHeld", messages.ReadHeld(), ASK_TIMEOUT_S
                )
            except errors.TransportError:
                return
            if reply.number > self._newest.number:
                self._newest = reply

        # A call may take its time-out twice, to connect and to be answered.
        members = self._watcher.authorities()
        asking = [gevent.spawn(ask, each) for each in members]
        gevent.joinall(asking, timeout=ASK_TIMEOUT_S)


def make_held_document(
    node: nodes.Node, watcher: watching.Watcher
) -> HeldDocument:
    return HeldDocument(node, watcher)
