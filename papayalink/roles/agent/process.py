"""The agent process, through which all work for an upstream passes."""

from collections.abc import Callable
from collections.abc import Iterable

import gevent
from gevent import queue
import msgspec

from papayalink import tasks
from papayalink.adapters import engine as engines
from papayalink.adapters import service as services
from papayalink.coordination import configuration_poller
from papayalink.coordination import dispatch
from papayalink.coordination import errors
from papayalink.coordination import proposer as proposers
from papayalink.coordination import queueing
from papayalink.coordination import ranks as document_ranks
from papayalink.coordination import work_queue
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import messages
from papayalink.protocol import relay
from papayalink.roles import node as nodes
from papayalink.roles import process
from papayalink.roles.agent import calls
from papayalink.roles.agent import engine_orders
from papayalink.roles.agent import engine_work
from papayalink.roles.agent import kept_cache
from papayalink.roles.agent import pieces_client
from papayalink.roles.agent import relaying
from papayalink.roles.agent import upstream as upstream_state
from papayalink.state import document as documents
from papayalink.transport import caller_watch
from papayalink.transport import http_client
from papayalink.transport import http_server

CHECK_PERIOD_S = 0.1
# While an order to load weights waits for this read, no request is dispatched.
# The read takes milliseconds unless the quorum cannot be reached.
FENCE_TIMEOUT_S = 1.0
# Limit on waiting for a configuration that an entry already has. A poll takes
# a few milliseconds, more while the machine or the network is busy.
CATCH_UP_TIMEOUT_S = 0.5
_CATCH_UP_POLL_PERIOD_S = 0.02
# A store that sends nothing for this long is treated as failed.
STORE_TIMEOUT_S = 2.0
_FALLBACK_RANK = work_queue.Rank("default", 60.0)


class _CheckDue(msgspec.Struct):
    """Sent by the timer service once per period."""


class AgentProcess(process.Process):
    """Queues, admits and relays the work for one upstream."""

    __slots__ = (
        "_name",
        "_poller",
        "_server",
        "_stopping",
        "_inbox",
        "_queue",
        "_dispatcher",
        "_engine_state",
        "_work",
        "_cache",
        "_relayer",
        "_orders",
        "_proposer",
        "_calls",
        "_sequence",
        "_reported_condition",
    )

    def __init__(self, node: nodes.Node) -> None:
        super().__init__(node)
        settings = node.settings
        self._name = settings.upstream
        self._stopping = False
        self._sequence = 0
        self._reported_condition = ("", "", ())
        self._inbox = queue.Queue()
        controls = list(settings.controls.values())
        self._poller = configuration_poller.make_configuration_poller(
            node.identity,
            controls,
            node.rpc_client,
            node.clock,
            node.timers,
            self._fill_poll,
        )
        self._poller.add_listener(self._on_configuration)
        self._queue = queueing.make_queue([_FALLBACK_RANK], slots=1)
        self._dispatcher = dispatch.make_dispatcher(self._queue, node.clock, 1)
        self._engine_state = None
        self._work = None
        self._cache = None
        self._relayer = None
        self._orders = None
        self._calls = None
        self._proposer = proposers.make_proposer(
            controls, node.rpc_client, node.clock
        )
        if settings.upstream_kind == "engine":
            self._make_engine_components(settings.upstream_address)
        else:
            self._calls = calls.make_calls(
                settings.name,
                services.make_service(settings.upstream_address),
                self._proposer,
                self._call_refusal,
                node.clock,
            )
        self._server = http_server.make_server(
            nodes.parse_address(settings.listen),
            http_server.require_signature(self._serve, node.signer),
        )

    @property
    def accepting(self) -> bool:
        up = self._engine_state is None or self._engine_state.up
        return self._poller.confirmed and not self._refusal() and up

    def start(self) -> None:
        if self._engine_state is not None:
            self._engine_state.start()
        self._poller.start()
        self._node.timers.every(CHECK_PERIOD_S, self._inbox, _CheckDue())
        tasks.spawn(self._run)
        self._server.start()

    def drain(self) -> None:
        self._stopping = True
        self._server.stop()
        self._poller.stop()

    def gauges(self) -> dict[str, Callable[[], float]]:
        return {
            "lease_left_s": lambda: self._poller.lease_left_s,
            "configuration_version": lambda: self._poller.version,
            "in_flight": lambda: self._server.in_flight,
            "running": lambda: self._dispatcher.running,
            "waiting": lambda: self._dispatcher.waiting,
        }

    def dump(self) -> dict:
        state = {
            "process": self._node.identity,
            "upstream": self._name,
            "version": self._poller.version,
            "lease_left_s": self._poller.lease_left_s,
            "refusal": self._refusal(),
            "in_flight": self._server.in_flight,
            "running": self._dispatcher.running,
            "waiting": self._dispatcher.waiting,
        }
        if self._engine_state is not None:
            state["engine"] = self._engine_state.dump()
            state["store_rates"] = self._cache.dump()
        return state

    def _make_engine_components(self, address: str) -> None:
        engine = engines.make_engine(address)
        self._engine_state = upstream_state.make_engine_state(
            engine, self._node.timers
        )
        self._work = engine_work.make_engine_work(
            self._queue, self._engine_state, self._node.clock
        )
        admission = relaying.Admission(
            lambda: self._poller.document,
            lambda: self._poller.confirmed,
            self._refusal,
            self._engine_state,
            self._catch_up,
        )
        client = http_client.make_client(self._node.signer, STORE_TIMEOUT_S)
        self._cache = kept_cache.make_kept_cache(
            engine,
            pieces_client.PiecesClient(client),
            lambda: self._poller.document,
            self._engine_state,
            self._node.clock,
            self._node.metrics,
        )
        self._relayer = relaying.make_relayer(
            engine,
            self._engine_state,
            self._dispatcher,
            admission,
            self._work,
            self._cache,
            self._node.clock,
            self._node.metrics,
        )
        self._orders = engine_orders.EngineOrders(
            engine,
            self._engine_state,
            self._dispatcher,
            self._relayer,
            self._known_fence,
            self._confirm_fence,
            self._checks_fencing,
        )

    def _catch_up(self, version: int) -> None:
        """Wait until this agent has a version of the configuration."""
        deadline = self._node.clock.now() + CATCH_UP_TIMEOUT_S
        while self._poller.version < version:
            if self._node.clock.now() >= deadline:
                return
            self._poller.poll_soon()
            gevent.sleep(_CATCH_UP_POLL_PERIOD_S)

    def _known_fence(self) -> int | None:
        if not self._poller.confirmed:
            return None
        return self._poller.reply.fence

    def _confirm_fence(self) -> int | None:
        query = messages.Query("fence", key=self._name)
        try:
            body = self._proposer.query(query, FENCE_TIMEOUT_S)
        except errors.CoordinationError:
            return None
        return msgspec.json.decode(body, type=int)

    def _checks_fencing(self) -> bool:
        own = self._own_upstream()
        return own is not None and own.checks_fencing

    def _run(self) -> None:
        while True:
            self._inbox.get()
            self._dispatcher.expire()
            # Entries must not wait a whole poll period to learn of a change.
            if self._condition() != self._reported_condition:
                self._poller.poll_soon()

    def _refusal(self) -> str:
        """Returns: why the upstream takes no new work, "" if it does."""
        if self._stopping:
            return "agent is stopping"
        if self._name in self._poller.reply.leaving:
            return "upstream is leaving"
        own = self._own_upstream()
        if own is None:
            return "upstream is not in the configuration"
        if own.draining:
            return "upstream is draining"
        return ""

    def _call_refusal(self) -> str:
        if not self._poller.confirmed:
            return "configuration is not confirmed"
        return self._refusal()

    def _own_upstream(self) -> documents.Upstream | None:
        for upstream in self._poller.document.upstreams:
            if upstream.name == self._name:
                return upstream
        return None

    def _on_configuration(self) -> None:
        own = self._own_upstream()
        document = self._poller.document
        if own is None or not document.ranks or self._work is None:
            return
        ranks = document_ranks.from_document(document)
        dropped = self._queue.update_ranks(ranks)
        self._dispatcher.decline(dropped, "rank was removed")
        self._queue.set_slots(own.max_running)
        self._queue.set_bounds(
            work_queue.Bounds(
                items_per_rank=document.limits.max_queue_per_upstream
            )
        )
        self._dispatcher.set_slots(own.max_running)
        self._work.update_ranks(ranks)

    def _fill_poll(self, poll: messages.Poll) -> messages.Poll:
        self._sequence += 1
        self._reported_condition = self._condition()
        state, weight_version, adapters = self._reported_condition
        report = messages.LoadReport(
            upstream=self._name, state=state, sequence=self._sequence
        )
        if self._engine_state is not None and self._own_upstream() is not None:
            report = msgspec.structs.replace(
                report,
                weight_version=weight_version,
                adapters=adapters,
                prefill_rate=round(self._engine_state.prefill_rate),
                **self._work.report(),
            )
        return msgspec.structs.replace(poll, load=report)

    def _condition(self) -> tuple[str, str, tuple[str, ...]]:
        """Returns: state, weight version and adapters for the load report.

        Only adapters in the configuration are reported, since an engine may
        have loaded any number of others.
        """
        if self._engine_state is None:
            return self._state(), "", ()
        own = self._own_upstream()
        listed = own and self._poller.document.adapters_of(own.serves) or ()
        adapters = tuple(
            name for name in listed if name in self._engine_state.adapters
        )
        return self._state(), self._engine_state.weight_version, adapters

    def _state(self) -> str:
        if self._refusal():
            return "leaving"
        if self._engine_state is not None and not self._engine_state.up:
            return "down"
        return "up"

    def _serve(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        body = environ[http_server.BODY_KEY]
        try:
            match environ["PATH_INFO"]:
                case relay.RELAY_PATH if self._relayer is not None:
                    request = read_relay_request(environ)
                    start_response("200 OK", [("Content-Type", "text/plain")])
                    return caller_watch.watch_until_first_part(
                        # Entries never half-close their connections.
                        http_server.watch_caller(
                            environ, allows_half_close=False
                        ),
                        self._relayer.answer(
                            request, self._priority(request.rank)
                        ),
                    )
                case relay.ORDER_PATH if self._orders is not None:
                    order = messages.decode(body)
                    reply = messages.encode(self._orders.carry_out(order))
                    return _respond(start_response, "200 OK", reply)
                case relay.CALL_PATH if self._calls is not None:
                    call = relay.decode_call(body)
                    reply = relay.encode(self._calls.run(call))
                    return _respond(start_response, "200 OK", reply)
        except protocol_errors.ProtocolError as error:
            text = str(error).encode()
            return _respond(start_response, "400 Bad Request", text)
        return _respond(start_response, "404 Not Found", b"")

    def _priority(self, rank: str) -> int:
        for index, known in enumerate(self._poller.document.ranks):
            if known.name == rank:
                return index
        return len(self._poller.document.ranks)


def read_relay_request(environ: dict) -> relay.RelayRequest:
    """Returns: the request of an entry, as it stands now.

    The time within which it must start counts from its arrival, which an agent
    that stood still reads later.
    """
    request = relay.decode_relay(environ[http_server.BODY_KEY])
    left_s = request.deadline_s - http_server.unread_s(environ)
    return msgspec.structs.replace(request, deadline_s=left_s)


def _respond(
    start_response: Callable, status: str, body: bytes
) -> list[bytes]:
    start_response(status, [("Content-Length", str(len(body)))])
    return [body]


def make_process(node: nodes.Node) -> AgentProcess:
    return AgentProcess(node)
