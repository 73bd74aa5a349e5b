"""Keeps faults in what is recorded of replicas from ending calls."""

from collections.abc import Iterator
import contextlib

from papayalink import logs


@contextlib.contextmanager
def logged(call_id: str) -> Iterator[None]:
    """Log an error in the `with` block, after which the call goes on."""
    try:
        yield
    except Exception:
        logs.get_logger().exception("call_not_recorded", call=call_id)
