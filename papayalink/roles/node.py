"""Components that every process has: clock, timers, metrics, RPC client."""

import uuid

from papayalink import clock as clocks
from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink import settings as settings_module
from papayalink import timers
from papayalink.transport import auth
from papayalink.transport import rpc


class Node:
    """Components shared within one process.

    Attributes:
        incarnation: random id of this run of the process.
    """

    __slots__ = (
        "settings",
        "clock",
        "timers",
        "metrics",
        "signer",
        "rpc_client",
        "incarnation",
        "log",
    )

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.clock = clocks.make_clock()
        self.timers = timers.make_timer_service(self.clock)
        self.metrics = metrics_module.make_metrics()
        self.signer = auth.make_signer(settings.key, self.clock)
        self.rpc_client = rpc.make_client(self.signer)
        self.incarnation = uuid.uuid4().hex[:12]
        self.log = logs.get_logger()

    @property
    def identity(self) -> tuple[str, str, str]:
        """Process name, role and incarnation, as sent in polls."""
        return (self.settings.name, self.settings.role, self.incarnation)


def make_node(settings: settings_module.Settings) -> Node:
    return Node(settings)


def parse_address(address: str) -> tuple[str, int]:
    """Args: address: "IP:PORT", checked by the settings."""
    host, _, port = address.rpartition(":")
    return host, int(port)
