"""Stand-in for the platform's list of VMs."""

from typing import Literal

import falcon
import fire
import msgspec

from fakes import lag
from fakes import serving
from papayalink import clock as clocks


class Vm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One VM; a VM posted as gone is removed from the list."""

    name: str
    address: str
    zone: str
    state: Literal["live", "leaving", "gone"]


class Change(msgspec.Struct, forbid_unknown_fields=True):
    """VMs to add, change or remove, by name."""

    vms: list[Vm]


class Platform:
    """The list of VMs, which clients see with a delay.

    Args:
        lag_s: age of the list that clients see, in seconds.
        clock: source of time.
    """

    def __init__(self, lag_s: float, clock: clocks.Clock) -> None:
        self._clock = clock
        self._vms = {}
        self._view = lag.LaggedValue(lag_s)
        self._view.record(clock.now(), [])

    def change(self, vms: list[Vm]) -> None:
        """Add, change or remove VMs."""
        for vm in vms:
            self._vms.pop(vm.name, None)
            if vm.state != "gone":
                self._vms[vm.name] = vm
        self._view.record(self._clock.now(), list(self._vms.values()))

    def view(self) -> list[Vm]:
        """Returns: the list as it was `lag_s` seconds ago."""
        return self._view.read(self._clock.now())


class _Vms:
    def __init__(self, platform):
        self._platform = platform

    def on_get(self, req, resp):
        resp.content_type = falcon.MEDIA_JSON
        resp.data = msgspec.json.encode({"vms": self._platform.view()})

    def on_post(self, req, resp):
        try:
            change = msgspec.json.decode(
                req.bounded_stream.read(), type=Change
            )
        except msgspec.MsgspecError as error:
            raise falcon.HTTPBadRequest(title=str(error))
        self._platform.change(change.vms)
        resp.status = falcon.HTTP_204


def make_server(
    host: str = "127.0.0.1", port: int = 0, lag_s: float = 0.0
) -> serving.Server:
    """Make a server for the list of VMs.

    Args:
        host: address to listen on.
        port: port to listen on; 0 chooses a free one.
        lag_s: age of the list that clients see, in seconds.

    Returns: a server that has not been started; `state` is the Platform.
    """
    platform = Platform(lag_s, clocks.make_clock())
    app = falcon.App()
    app.add_route("/vms", _Vms(platform))
    return serving.Server(app, host, port, platform)


def main(**options: object) -> None:
    """Serve until SIGTERM; options are those of make_server."""
    serving.run(make_server(**options))


if __name__ == "__main__":
    fire.Fire(main)
