"""Stand-in for an order service whose actions are not idempotent."""

import zlib

import falcon
import fire
import gevent
import msgspec

from fakes import lag
from fakes import serving
from papayalink import clock as clocks


class Orders:
    """State of the service: its executions, load and faults.

    Args:
        drops: number of calls that are executed and whose connection is
            then cut instead of answered.
        load_lag_s: age of the load that the service reports, in seconds.
        clock: source of time.
    """

    def __init__(
        self, drops: int, load_lag_s: float, clock: clocks.Clock
    ) -> None:
        self.executions = []
        self.drops_left = drops
        self._running = 0
        self._clock = clock
        self._load = lag.LaggedValue(load_lag_s)
        self._record_load()

    def execute(self, action: str, claim_id: str | None, body: dict) -> dict:
        """Execute an action, even if the same call was executed before.

        Returns: the execution, with a new serial number.
        """
        execution = {
            "serial": len(self.executions) + 1,
            "action": action,
            "claim_id": claim_id,
            "body": body,
        }
        self.executions.append(execution)
        return execution

    def simulate_work(self, delay_ms: float) -> None:
        """Count a call as running for `delay_ms`."""
        self._running += 1
        self._record_load()
        try:
            gevent.sleep(delay_ms / 1000)
        finally:
            self._running -= 1
            self._record_load()

    def load_report(self) -> dict:
        """Returns: the load as it was `load_lag_s` seconds ago."""
        return self._load.read(self._clock.now())

    def _record_load(self):
        report = {"running": self._running, "waiting": 0}
        self._load.record(self._clock.now(), report)


class _Action:
    def __init__(self, orders, action):
        self._orders = orders
        self._action = action

    def on_post(self, req, resp):
        orders = self._orders
        try:
            body = msgspec.json.decode(
                req.bounded_stream.read() or b"{}", type=dict
            )
        except msgspec.MsgspecError as error:
            raise falcon.HTTPBadRequest(title=str(error))
        execution = orders.execute(
            self._action, req.get_header("X-Claim-Id"), body
        )
        orders.simulate_work(body.get("delay_ms", 0))
        if orders.drops_left:
            orders.drops_left -= 1
            resp.stream = _cut()
            return
        resp.media = {"serial": execution["serial"], "action": self._action}


class _Resources:
    def __init__(self, orders):
        self._orders = orders

    def on_get_price(self, req, resp, item):
        price = zlib.crc32(item.encode()) % 10_000
        resp.media = {"item": item, "price_cents": price}

    def on_get_executions(self, req, resp):
        resp.media = {"executions": self._orders.executions}

    def on_get_load(self, req, resp):
        resp.media = self._orders.load_report()

    def on_put_faults(self, req, resp):
        body = msgspec.json.decode(req.bounded_stream.read())
        self._orders.drops_left = body["drops"]
        resp.status = falcon.HTTP_204


def _cut():
    serving.cut_connection()
    yield b""


def make_server(
    host: str = "127.0.0.1",
    port: int = 0,
    drops: int = 0,
    load_lag_s: float = 0.0,
) -> serving.Server:
    """Make a server for an order service.

    Args:
        host: address to listen on.
        port: port to listen on; 0 chooses a free one.
        drops: number of calls that are executed and whose connection is
            then cut instead of answered.
        load_lag_s: age of the reported load, in seconds.

    Returns: a server that has not been started; `state` is the Orders.
    """
    orders = Orders(drops, load_lag_s, clocks.make_clock())
    resources = _Resources(orders)
    app = falcon.App()
    for action in ("/prices/confirm", "/shipments", "/charges"):
        app.add_route(action, _Action(orders, action[1:]))
    app.add_route("/prices/{item}", resources, suffix="price")
    app.add_route("/executions", resources, suffix="executions")
    app.add_route("/load", resources, suffix="load")
    app.add_route("/faults", resources, suffix="faults")
    return serving.Server(app, host, port, orders)


def main(**options: object) -> None:
    """Serve until SIGTERM; options are those of make_server."""
    serving.run(make_server(**options))


if __name__ == "__main__":
    fire.Fire(main)
