"""Keeps a member's tables in step with those of the leading member."""

import time

import gevent

from papayalink import logs
from papayalink import tasks
from papayalink.coordination import table_exchange
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.roles.authority import numbered_state
from papayalink.transport import errors

# What an entry learns is on the disks of all members after about twice this
# time, so that any of them can lead after a restart of all.
FOLLOW_PERIOD_S = 0.5
CALL_TIMEOUT_S = 0.8


class TableFollower:
    """Exchanges tables with the leader while this member does not lead."""

    __slots__ = ("_node", "_state", "_exchange", "_log")

    def __init__(
        self,
        node: nodes.Node,
        state: numbered_state.NumberedState,
        tables: table_exchange.TableSet,
    ) -> None:
        self._node = node
        self._state = state
        self._exchange = table_exchange.make_table_exchange(tables)
        self._log = logs.get_logger()

    def start(self) -> None:
        tasks.spawn(self._run)

    def _run(self) -> None:
        while True:
            gevent.sleep(FOLLOW_PERIOD_S)
            leader = self._state.leader_address()
            if leader and not self._state.is_leader:
                self._follow(leader)

    def _follow(self, leader: str) -> None:
        # The reply may wait while this process stands still.
        asked_at = time.monotonic()
        message = messages.ShareTables(self._exchange.report(asked_at))
        try:
            reply = self._node.rpc_client.call(
                leader, "ShareTables", message, CALL_TIMEOUT_S
            )
        except errors.TransportError as error:
            self._log.debug("tables_not_shared", member=leader, reason=error)
            return
        self._exchange.merge(reply.tables, asked_at, time.monotonic())


def make_table_follower(
    node: nodes.Node,
    state: numbered_state.NumberedState,
    tables: table_exchange.TableSet,
) -> TableFollower:
    return TableFollower(node, state, tables)
