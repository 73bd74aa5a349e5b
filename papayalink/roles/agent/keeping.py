"""Copies the pieces of prompts that ran to their stores."""

import collections

import msgspec

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink import tasks
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import links
from papayalink.coordination import retention
from papayalink.roles.agent import locating
from papayalink.roles.agent import pieces_client
from papayalink.roles.agent import store_links
from papayalink.roles.agent import upstream as upstream_state
from papayalink.state import document as documents

# Prompts of one workspace that wait to be kept; more are not kept, which
# costs a recompute.
MAX_WAITING = 64


class Keeper:
    """Copies pieces in the background, a task for each active workspace.

    The links decide between the workspaces; within one, prompts are copied
    in the order in which they ran.

    Args:
        engine: exports pieces.
        client: writes pieces.
        agent_links: links to the stores.
        engine_state: measured prefill rate.
        metrics: counts pieces.
    """

    __slots__ = (
        "_engine",
        "_client",
        "_links",
        "_state",
        "_metrics",
        "_waiting",
        "_log",
    )

    def __init__(
        self,
        engine: engines.Engine,
        client: pieces_client.PiecesClient,
        agent_links: store_links.StoreLinks,
        engine_state: upstream_state.EngineState,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._engine = engine
        self._client = client
        self._links = agent_links
        self._state = engine_state
        self._metrics = metrics
        self._waiting: dict[str, collections.deque[locating.Located]] = {}
        self._log = logs.get_logger()

    def keep(self, located: locating.Located) -> None:
        """Copy the pieces of a prompt that ran, later."""
        workspace = located.keys[0].workspace
        waiting = self._waiting.get(workspace)
        if waiting is None:
            self._waiting[workspace] = collections.deque([located])
            tasks.spawn(self._run, workspace)
        elif len(waiting) < MAX_WAITING:
            waiting.append(located)

    def _run(self, workspace: str) -> None:
        waiting = self._waiting[workspace]
        while waiting:
            self._copy_prompt(waiting.popleft())
        del self._waiting[workspace]

    def _copy_prompt(self, located: locating.Located) -> None:
        prefill_rate = self._state.prefill_rate * located.token_ratio
        facts = retention.make_facts(located.keys, prefill_rate)
        for place in range(len(located.keys)):
            if not self._copy(located, place, facts[place]):
                break

    def _copy(
        self,
        located: locating.Located,
        place: int,
        facts: retention.PieceFacts,
    ) -> bool:
        """Write the copies that a piece lacks.

        Returns: whether the next piece is worth a try.
        """
        held = len(located.holders(place))
        wanted = max(1, located.copies(place))
        payload = None
        for store in self._lacking(located, place):
            if held >= wanted:
                break
            if payload is None:
                payload = self._export(located, place)
                if payload is None:
                    return False
            asked = self._write(
                store,
                located,
                place,
                payload,
                msgspec.structs.replace(facts, is_copy=held > 0),
            )
            if asked:
                held += 1
                wanted = max(wanted, asked)
                self._metrics.count("pieces_kept")
        if not held:
            self._metrics.count("pieces_not_kept")
        return held > 0

    def _lacking(
        self, located: locating.Located, place: int
    ) -> list[documents.Store]:
        holders = {store.name for store in located.holders(place)}
        return [store for store in located.stores if store.name not in holders]

    def _export(self, located: locating.Located, place: int) -> bytes | None:
        key = located.keys[place]
        try:
            payload = self._engine.export_piece(
                key.workspace, key.weight_version, located.digests[place]
            )
        except adapter_errors.AdapterError as error:
            self._log.warning("export_failed", reason=error)
            return None
        if payload is not None:
            self._links.piece_bytes = len(payload)
        return payload

    def _write(
        self,
        store: documents.Store,
        located: locating.Located,
        place: int,
        payload: bytes,
        facts: retention.PieceFacts,
    ) -> int:
        key = located.keys[place]
        return self._links.link(store.name).carry(
            key.workspace,
            links.Priority.BACKGROUND_COPY,
            len(payload),
            lambda: self._client.write(store.address, key, payload, facts),
        )
