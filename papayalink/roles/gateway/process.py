"""The gateway process: an entry that sends calls to replicas directly."""

from collections.abc import Callable
from collections.abc import Iterable
import time

import gevent

from papayalink import node_settings
from papayalink.coordination import cache_placement
from papayalink.coordination import fleet as fleets
from papayalink.coordination import fleet_member
from papayalink.coordination import table_exchange
from papayalink.coordination import upstream_client
from papayalink.protocol import calls
from papayalink.roles import node as nodes
from papayalink.roles import process
from papayalink.roles import reloading
from papayalink.roles import stop_plan
from papayalink.roles.gateway import budgets
from papayalink.roles.gateway import crashes
from papayalink.roles.gateway import departures
from papayalink.roles.gateway import handling
from papayalink.roles.gateway import held_document
from papayalink.roles.gateway import limits
from papayalink.roles.gateway import listing
from papayalink.roles.gateway import liveness as livenesses
from papayalink.roles.gateway import parts
from papayalink.roles.gateway import shared
from papayalink.roles.gateway import take_ups
from papayalink.roles.gateway import watching
from papayalink.state import part_directory
from papayalink.state import traffic
from papayalink.transport import caller_server
from papayalink.transport import http_server
from papayalink.transport import upstream_channels


class GatewayProcess(process.Process):
    """One gateway."""

    __slots__ = (
        "_watcher",
        "_fleet",
        "_placement",
        "_parts",
        "_listing",
        "_channels",
        "_crashes",
        "_server",
        "_ready_server",
        "_draining",
        "_stopping",
        "_reloading",
    )

    def __init__(
        self,
        node: nodes.Node,
        settings_path: str,
        dialect: calls.Dialect,
        translate: watching.Translate,
        client: upstream_client.UpstreamClient,
    ) -> None:
        super().__init__(node)
        settings = node.settings
        self._reloading = reloading.make_reloading(
            settings_path, settings, self._apply_settings
        )
        self._draining = False
        directory = part_directory.make_part_directory()
        self._placement = cache_placement.make_cache_placement(
            settings.zone, directory
        )
        tables = table_exchange.make_table_set()
        self._fleet = fleets.make_fleet(
            settings.zone,
            settings.bounds.weights_ms / 1000,
            self._placement.fetched_tokens,
            history=tables.weights,
        )
        self._channels = upstream_channels.make_channels()
        self._watcher = watching.make_watcher(
            node, translate, self._apply_changes, tables.weights
        )
        liveness = livenesses.make_liveness(
            self._channels, node.metrics, self._fleet.changed
        )
        self._crashes = crashes.make_crash_observer(
            tables.suspects, liveness, node.metrics
        )
        limit_keeper = limits.make_limit_keeper(tables.limits, self._fleet)
        departing = departures.make_departures(
            tables.leaving, self._fleet, self._channels
        )
        self._listing = listing.make_listing(
            client, self._fleet, self._note_left, node.metrics
        )
        self._parts = parts.make_parts_follower(
            node,
            self._watcher.authorities,
            self._fleet,
            liveness,
            tables,
            self._crashes,
            limit_keeper,
            departing,
            self._listing,
            directory,
        )
        shared_parts = shared.make_shared(
            dialect,
            self._watcher,
            self._fleet,
            self._channels,
            budgets.make_budgets(settings.bounds, self._parts.retry_share),
            self._placement,
            liveness,
            self._crashes,
            limit_keeper,
            departing,
            take_ups.make_take_ups(
                node, self._watcher.authorities, tables, node.metrics
            ),
            node.metrics,
        )
        self._stopping = shared_parts.stopping
        handler = handling.make_handler(shared_parts)
        self._server = caller_server.make_caller_server(
            nodes.parse_address(settings.listen),
            handler.handle,
            handler.reject_late,
            self._limits,
        )
        self._ready_server = http_server.make_server(
            nodes.parse_address(settings.ready_listen), self._answer_ready
        )

    @property
    def accepting(self) -> bool:
        return (
            not self._draining
            and self._watcher.directory is not None
            and self._listing.age_s() < float("inf")
        )

    def start(self) -> None:
        self._server.start()
        self._ready_server.start()
        self._watcher.start()
        held_document.make_held_document(self._node, self._watcher).start()
        self._listing.start()
        self._parts.start()
        self._reloading.start(self._node.timers)

    def drain(self) -> None:
        """Report not ready to the balancer, then answer the accepted calls."""
        started_at = time.monotonic()
        plan = stop_plan.make_stop_plan(self._node.settings.bounds.grace_s)
        self._draining = True
        self._stopping.begin(started_at + plan.answer_s)
        self._server.close_after_responses()
        gevent.sleep(plan.notice_s + plan.last_answers_s)
        left_s = started_at + plan.answer_s - time.monotonic()
        if self._server.stop(max(0.0, left_s)):
            return
        self._node.log.warning(
            "calls_ended_by_stop",
            in_flight=self._server.in_flight,
            connections=self._server.connections,
        )
        if self._server.end_requests(plan.end_s):
            return
        self._node.log.warning(
            "calls_cut_by_stop",
            in_flight=self._server.in_flight,
            connections=self._server.connections,
        )
        self._server.cut_responses(plan.cut_s)

    def dump(self) -> dict:
        return {
            "process": self._node.identity,
            "document": self._watcher.number,
            "unusable_document": self._watcher.unusable_number,
            "document_age_s": self._watcher.age_s(),
            "weights": self._watcher.weights,
            "list_age_s": self._listing.age_s(),
            "in_flight": self._server.in_flight,
            "connections": self._server.connections,
            "blocked": self._crashes.suspects.blocked,
        }

    def gauges(self) -> dict[str, Callable[[], float]]:
        return {
            "in_flight": lambda: self._server.in_flight,
            "caller_connections": lambda: self._server.connections,
            "upstream_connections_opened": lambda: (
                self._channels.opened_connections
            ),
            "document_number": lambda: self._watcher.number,
            "unusable_document_number": lambda: (
                self._watcher.unusable_number
            ),
            "suspected_parts": lambda: len(self._crashes.suspects),
            "retry_share": self._parts.retry_share,
        }

    def reload(self) -> None:
        """Read the settings file again."""
        self._reloading.check()

    def _apply_settings(self, settings: node_settings.NodeSettings) -> None:
        """Apply changed seeds; other settings need a restart."""
        self._watcher.add_members(settings.seed_peers)

    def _apply_changes(self) -> None:
        """Apply a newer document, newer weights or a change in loading."""
        directory = self._watcher.directory
        if directory is not None:
            self._placement.set_stores(directory.traffic.stores)
        self._fleet.set_loading(self._watcher.loading)
        self._fleet.note_loaded(self._watcher.loaded)

    def _note_left(self, member: fleet_member.Member) -> None:
        self._channels.close_idle(member.replica.address)
        self._crashes.note_left(member)

    def _limits(self) -> traffic.CallerLimits:
        directory = self._watcher.directory
        if directory is None:
            return traffic.CallerLimits()
        return directory.traffic.limits

    def _answer_ready(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        ready = self.accepting
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]


def make_process(
    node: nodes.Node,
    settings_path: str,
    dialect: calls.Dialect,
    translate: watching.Translate,
    client: upstream_client.UpstreamClient,
) -> GatewayProcess:
    return GatewayProcess(node, settings_path, dialect, translate, client)
