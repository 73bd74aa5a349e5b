"""Signals to a process that starts or ends.

Programs import this module before all others that take time.
"""

import signal

# Kept by the system until the process can answer them.
_HELD = frozenset((signal.SIGHUP, signal.SIGUSR1))
_HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def hold() -> None:
    """Keep requests to reload or dump until `release`.

    A request to stop ends the process at once meanwhile: it has taken no work
    yet.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _HELD)
    if signal.getsignal(signal.SIGINT) is signal.default_int_handler:
        # KeyboardInterrupt would print the traceback of an import.
        signal.signal(signal.SIGINT, signal.SIG_DFL)


def release() -> None:
    """Deliver the signals that were kept; their handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _HELD)


def ignore() -> None:
    """Ignore all signals that a process handles, as its work is done.

    The interpreter replaces handlers by the default action before it ends, so
    that a signal would end the process with another status.
    """
    for number in _HANDLED:
        signal.signal(number, signal.SIG_IGN)
