"""Weights of the stand-ins' model, and orders to load them."""

import json

import gevent
import msgspec

MODEL = "m"
# Time that a load takes.
LOAD_S = 0.6
ORDER_PATH = "/-/order"
REPORT_PATH = "/-/report"
# Time after which an order without an answer is carried out.
MAX_LATE_S = 6.0


class ModelWeights(msgspec.Struct, eq=False):
    """Weights that one replica holds, over its restarts.

    Attributes:
        version: version that is loaded.
        loading: whether an order is being carried out.
        refusing: whether orders are refused, as if another were carried out.
        late_s: delay of orders, which then get no answer; 0 for none.
    """

    version: int = 1
    loading: bool = False
    refusing: bool = False
    late_s: float = 0.0
    starts: int = 0

    @property
    def listed(self) -> list[dict]:
        """The models as lists and reports name them."""
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def restart(self) -> None:
        """Give up what is being loaded; the weights stay as they were."""
        self.starts += 1
        self.loading = False

    def report(self, start_response) -> list[bytes]:
        report = {"stage": "unified", "models": self.listed}
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(report).encode()]

    def order(self, environ: dict, start_response) -> list[bytes]:
        order = json.loads(environ["wsgi.input"].read())
        version = order["version"]
        if self.late_s:
            gevent.spawn_later(self.late_s, self._load, version, self.starts)
            gevent.sleep(MAX_LATE_S)
            start_response("202 Accepted", [])
            return [b""]
        if version == self.version:
            status = "200 OK"
        elif self.refusing or self.loading:
            status = "409 Conflict"
        else:
            status = "202 Accepted"
            gevent.spawn(self._load, version, self.starts)
        start_response(status, [])
        return [b""]

    def _load(self, version: int, starts: int) -> None:
        """Load weights, unless the replica ends before."""
        if self.loading or starts != self.starts:
            return
        self.loading = True
        gevent.sleep(LOAD_S)
        if starts == self.starts:
            self.version = version
            self.loading = False
