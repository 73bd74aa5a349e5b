"""Converts the ranks of the configuration document for queues."""

from papayalink.coordination import work_queue
from papayalink.state import document as documents


def from_document(document: documents.Document) -> list[work_queue.Rank]:
    """Returns: the document's ranks, most urgent first."""
    return [
        work_queue.Rank(
            rank.name, rank.ttft_target_ms / 1000, rank.weight, rank.min_share
        )
        for rank in document.ranks
    ]
