"""Tests of calls whose replica stops them at the time that it was given."""

import pytest

from papayalink.state import traffic
from tests.roles.gateway import stubs

_TIME_S = 6.0
_RUN_S = 1.0
_ROUTES = (
    stubs.make_route(
        "safe",
        traffic.RepeatPolicy.IDEMPOTENT,
        timeout_s=_TIME_S,
        max_attempts=2,
    ),
    stubs.make_route(
        "resumed",
        traffic.RepeatPolicy.RESUMABLE,
        timeout_s=_TIME_S,
        max_attempts=2,
        stream=True,
    ),
)
_STOPPED = stubs.ERROR.replace(b"500 No", b"504 Too late")
_WHOLE = {
    b"/safe/": b"ok",
    b"/resumed/": b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n",
}


class _Upstream(stubs.Upstream):
    """Runs for a second, if it is given as much.

    The first one to run a call turns none away; all others do.
    """

    at_work = None

    def next_steps(self, request):
        if self.script:
            return self.script.pop(0)
        if _Upstream.at_work is None:
            _Upstream.at_work = self
        if _Upstream.at_work is not self:
            return [stubs.BUSY]
        request = request.lower()
        _, _, rest = request.partition(b"papayalink-deadline-ms: ")
        given_s = int(rest.split(b"\r\n")[0]) / 1000
        if b" /safe/" in request:
            if given_s < _RUN_S:
                return [given_s, _STOPPED]
            return [_RUN_S, stubs.OK]
        if b"last-event-id: 1" in request:
            return [stubs.STREAM, stubs.event(2), stubs.END]
        at_work_s = min(given_s, _RUN_S)
        begin = [stubs.STREAM, 0.7 * at_work_s, stubs.event(1)]
        if given_s < _RUN_S:
            return [*begin, 0.3 * at_work_s, "close"]
        return [*begin, 0.3 * at_work_s, stubs.event(2), stubs.END]


# Guards against answers that are cut, or replaced by a failure, as a replica
# turns a call away that another one has stopped at the time that it was given.
@pytest.mark.parametrize(
    ("path", "kind", "short"),
    [
        (b"/safe/", "desk", [stubs.OK]),
        (b"/resumed/", "models", [stubs.STREAM, stubs.event(1), stubs.END]),
    ],
)
def test_stopped_run_goes_on_where_others_turn_it_away(
    monkeypatch, path, kind, short
):
    monkeypatch.setattr(_Upstream, "at_work", None)
    upstreams = [_Upstream(f"{kind}{each}") for each in range(2)]
    gateway = stubs.Gateway(upstreams, _ROUTES)
    try:
        # A short run, after which a long one is given less than it takes.
        for upstream in upstreams:
            upstream.script = [short]
        assert gateway.call(path)[0] == 200
        for upstream in upstreams:
            upstream.script.clear()
        status, _, body = gateway.call(path, timeout_s=10)
    finally:
        gateway.stop()
    assert (status, body) == (200, _WHOLE[path])
