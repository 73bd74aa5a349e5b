"""HTTP endpoints for the state dump, metrics and health of a process."""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from papayalink import metrics as metrics_module
from papayalink.transport import http_server

_JSON = "application/json"
_TEXT = "text/plain; version=0.0.4"


def make_app(
    read_state: Callable[[], dict],
    metrics: metrics_module.Metrics,
    is_healthy: Callable[[], bool],
) -> http_server.WsgiApp:
    """Make the WSGI application of a process's inspection address.

    Args:
        read_state: returns the current state of the process as JSON types.
        metrics: metrics of the process, served at /metrics.
        is_healthy: returns whether the process accepts new work.
    """

    def app(environ: dict, start_response: Callable) -> Iterable[bytes]:
        match environ["PATH_INFO"]:
            case "/debug/state":
                status, content_type, body = (
                    "200 OK",
                    _JSON,
                    encode_dump(read_state()),
                )
            case "/metrics":
                status, content_type = "200 OK", _TEXT
                body = metrics.render().encode()
            case "/healthz" if is_healthy():
                status, content_type, body = "200 OK", _TEXT, b"ok\n"
            case "/healthz":
                status = "503 Service Unavailable"
                content_type, body = _TEXT, b"takes no new work\n"
            case _:
                status, content_type, body = (
                    "404 Not Found",
                    _TEXT,
                    b"not found\n",
                )
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    return app


def encode_dump(state: dict) -> bytes:
    """Returns: a state dump as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(state), indent=2) + b"\n"
