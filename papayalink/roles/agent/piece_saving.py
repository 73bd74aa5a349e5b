"""Copies the pieces of finished prompts to their stores."""

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

# Limit for each workspace. Pieces of further prompts are not copied and have
# to be recomputed.
MAX_WAITING_PROMPTS = 64


class PieceSaver:
    """Copies pieces in the background, with one task per active workspace.

    The links schedule the transfers of different workspaces. Prompts of the
    same workspace are copied in the order in which they ran.

    Args:
        engine: exports pieces.
        client: writes pieces to stores.
        agent_links: links to the stores.
        engine_state: provides the measured prefill rate.
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
        self._waiting: dict[str, collections.deque[locating.LocatedPrompt]] = (
            {}
        )
        self._log = logs.get_logger()

    def save(self, located: locating.LocatedPrompt) -> None:
        """Queue the pieces of a finished prompt for copying."""
        workspace = located.keys[0].workspace
        waiting = self._waiting.get(workspace)
        if waiting is None:
            self._waiting[workspace] = collections.deque([located])
            tasks.spawn(self._run, workspace)
        elif len(waiting) < MAX_WAITING_PROMPTS:
            waiting.append(located)

    def _run(self, workspace: str) -> None:
        waiting = self._waiting[workspace]
        while waiting:
            self._copy_prompt(waiting.popleft())
        del self._waiting[workspace]

    def _copy_prompt(self, located: locating.LocatedPrompt) -> None:
        prefill_rate = self._state.prefill_rate * located.token_ratio
        facts = retention.make_facts(located.keys, prefill_rate)
        for position in range(len(located.keys)):
            if not self._copy(located, position, facts[position]):
                break

    def _copy(
        self,
        located: locating.LocatedPrompt,
        position: int,
        facts: retention.PieceFacts,
    ) -> bool:
        """Write the missing copies of a piece.

        Returns: whether to go on with the next piece.
        """
        copy_count = len(located.holders(position))
        wanted_copies = max(1, located.wanted_copies(position))
        payload = None
        for store in self._stores_without_copy(located, position):
            if copy_count >= wanted_copies:
                break
            if payload is None:
                payload = self._export(located, position)
                if payload is None:
                    return False
            requested_copies = self._write(
                store,
                located,
                position,
                payload,
                msgspec.structs.replace(facts, is_copy=copy_count > 0),
            )
            if requested_copies:
                copy_count += 1
                wanted_copies = max(wanted_copies, requested_copies)
                self._metrics.count("pieces_kept")
        if not copy_count:
            self._metrics.count("pieces_not_kept")
        return copy_count > 0

    def _stores_without_copy(
        self, located: locating.LocatedPrompt, position: int
    ) -> list[documents.Store]:
        holders = {store.name for store in located.holders(position)}
        return [store for store in located.stores if store.name not in holders]

    def _export(
        self, located: locating.LocatedPrompt, position: int
    ) -> bytes | None:
        key = located.keys[position]
        try:
            payload = self._engine.export_piece(
                key.workspace, key.weight_version, located.digests[position]
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
        located: locating.LocatedPrompt,
        position: int,
        payload: bytes,
        facts: retention.PieceFacts,
    ) -> int:
        key = located.keys[position]
        return self._links.link(store.name).run_transfer(
            key.workspace,
            links.Priority.BACKGROUND_COPY,
            len(payload),
            lambda: self._client.write(store.address, key, payload, facts),
        )
