"""Reasons of refusals are read from the log of a gateway."""

from soak import nodes
from soak import records
from soak import rejection_logs

_LINES = """\
timestamp=2026-01-02T03:04:05.000000Z level=info event=started role=gateway
timestamp=2026-01-02T03:04:06.500000Z level=info event=call_rejected call=c1 \
reason=no_document status=503
timestamp=2026-01-02T03:04:07.000000Z level=info event=call_rejected call=c2 \
reason=no_route status=404
timestamp=2026-01-02T03:04:08.000000Z level=info event=started role=gateway
timestamp=2026-01-02T03:04:08.250000Z level=info event=call_not_answered \
call=c3 reason="no usable replica" status=503
timestamp=2026-01-02T03:04:09.000000Z level=info event=call_not_answered \
call=c4 reason=Expired() status=504
"""


def test_reasons_and_the_time_since_the_last_start(tmp_path):
    (tmp_path / "log").write_text(_LINES)
    gateway = nodes.Node("g1", "gateway", "127.0.0.1", str(tmp_path), {})
    assert rejection_logs.read(gateway) == [
        records.Rejection("c1", "g1", "no_document", 1.5),
        records.Rejection("c3", "g1", "no usable replica", 0.25),
    ]
