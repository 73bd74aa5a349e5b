"""Finds out which pieces of a prompt are kept in which stores."""

from collections.abc import Callable

import gevent
import msgspec

from papayalink import logs
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import placement
from papayalink.protocol import messages
from papayalink.protocol import pieces
from papayalink.protocol import relay
from papayalink.roles.agent import pieces_client
from papayalink.state import document as documents

# A token takes at least one byte of a prompt, so a shorter body has no full
# piece and need not be tokenized.
MIN_BODY_BYTES = pieces.PIECE_TOKENS
# A lookup takes a few milliseconds. The request waits for it, so a store that
# does not answer in time is treated as if it had none of the pieces.
LOOKUP_TIMEOUT_S = 0.5


class LocatedPrompt(msgspec.Struct):
    """The pieces of one prompt and where they are kept.

    Attributes:
        keys: keys of the pieces in stores, in prompt order.
        digests: the engine's digests of the same pieces.
        tail_tokens: tokens after the last full piece.
        stores: owners of the prompt in order of preference.
        replies: reply of each of these stores, None if it did not answer.
        token_ratio: actual tokens per token estimated by the entry. Needed
            because measured prefill rates count estimated tokens.
    """

    keys: list[pieces.PieceKey]
    digests: list[str]
    tail_tokens: int
    stores: list[documents.Store]
    replies: list[messages.LookupReply | None]
    token_ratio: float = 1.0

    def holders(self, position: int) -> list[documents.Store]:
        """Returns: stores that have published the piece."""
        return [
            store
            for store, reply in zip(self.stores, self.replies)
            if reply is not None and reply.present[position]
        ]

    def wanted_copies(self, position: int) -> int:
        """Returns: number of copies that holders ask for, 0 if unknown."""
        return max(
            (
                reply.copies[position]
                for reply in self.replies
                if reply is not None and reply.copies
            ),
            default=0,
        )


class Locator:
    """Asks the stores of a prompt for its pieces.

    Args:
        engine: tokenizes prompts.
        client: queries stores.
        document: returns the configuration in force.
    """

    __slots__ = ("_engine", "_client", "_document", "_log")

    def __init__(
        self,
        engine: engines.Engine,
        client: pieces_client.PiecesClient,
        document: Callable[[], documents.Document],
    ) -> None:
        self._engine = engine
        self._client = client
        self._document = document
        self._log = logs.get_logger()

    def locate(self, request: relay.RelayRequest) -> LocatedPrompt | None:
        """Look up the pieces of a prompt.

        Returns: the pieces, None if the prompt has no full piece, there are
            no stores or the engine could not tokenize the prompt.
        """
        if len(request.body) < MIN_BODY_BYTES:
            return None
        stores = [
            store for store in self._document().stores if not store.draining
        ]
        if not stores:
            return None
        try:
            tokens = self._engine.tokenize(request.body)
        except adapter_errors.AdapterError as error:
            self._log.warning("tokenize_failed", reason=error)
            return None
        scope = (request.workspace, request.weight_version)
        keys = pieces.piece_keys(*scope, tokens, request.adapter)
        if not keys:
            return None
        owners = placement.owners(keys[0].digest, stores)
        return LocatedPrompt(
            keys,
            engines.piece_digests(*scope, tokens, request.adapter),
            len(tokens) % pieces.PIECE_TOKENS,
            owners,
            self._look_up(owners, keys),
            len(tokens) / max(1, request.prompt_tokens),
        )

    def _look_up(
        self, stores: list[documents.Store], keys: list[pieces.PieceKey]
    ) -> list[messages.LookupReply | None]:
        lookups = [
            gevent.spawn(self._client.lookup, store.address, keys)
            for store in stores
        ]
        try:
            gevent.joinall(lookups, timeout=LOOKUP_TIMEOUT_S)
            return [
                lookup.value if lookup.successful() else None
                for lookup in lookups
            ]
        finally:
            gevent.killall(lookups)
