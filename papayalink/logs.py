"""Logs: one line of key=value pairs for each event."""

import logging
import sys

import structlog


def configure(process: str, role: str) -> None:
    """Set up logging for this process.

    Args:
        process: name of the process, on every line.
        role: role of the process, on every line.
    """

    # Context variables would not reach the greenlets started later.
    def add_identity(logger: object, method: str, event: dict) -> dict:
        return {"process": process, "role": role, **event}

    structlog.configure(
        processors=[
            add_identity,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.add_log_level,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                sort_keys=True,
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(**fields: object) -> structlog.BoundLogger:
    """Returns: a logger whose lines carry the given fields."""
    return structlog.get_logger().bind(**fields)
