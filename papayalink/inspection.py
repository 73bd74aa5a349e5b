"""State dump, metrics and health of a process over HTTP."""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from papayalink import metrics as metrics_module
from papayalink.transport import http_server

_JSON = "application/json"
_TEXT = "text/plain; version=0.0.4"


def make_app(
    dump: Callable[[], dict],
    metrics: metrics_module.Metrics,
    healthy: Callable[[], bool],
) -> http_server.WsgiApp:
    """Make the application behind a process's inspection address.

    Args:
        dump: current state of the process, encodable as JSON.
        healthy: whether the process takes new work.
    """

    def app(environ: dict, start_response: Callable) -> Iterable[bytes]:
        match environ["PATH_INFO"]:
            case "/debug/state":
                status, kind, body = "200 OK", _JSON, encode_dump(dump())
            case "/metrics":
                status, kind = "200 OK", _TEXT
                body = metrics.render().encode()
            case "/healthz" if healthy():
                status, kind, body = "200 OK", _TEXT, b"ok\n"
            case "/healthz":
                status = "503 Service Unavailable"
                kind, body = _TEXT, b"takes no new work\n"
            case _:
                status, kind, body = "404 Not Found", _TEXT, b"not found\n"
        headers = [
            ("Content-Type", kind),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    return app


def encode_dump(state: dict) -> bytes:
    """Returns: a state dump as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(state), indent=2) + b"\n"
