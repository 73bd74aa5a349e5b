"""Tests of finding the log lines that explain a failed call."""

import pytest

from papayalink.cli import traces
import papayalink.cli.main as cli

_CALL_REFUSED = (
    "timestamp=2026-05-23T10:34:12.500000Z level=info event=call_not_answered"
    ' call=c1 outcome=refused reason="overloaded: first token in 0.71 s"'
    " process=g1 replicas= sent=0"
)
_ATTEMPT_LOST = (
    "timestamp=2026-05-23T10:34:13.100000Z level=info event=attempt_failed"
    " call=c2 outcome=\"Lost(reason='replica not reachable')\" process=g1"
    " replica=i-1 attempt=1"
)
_CALL_LOST = (
    "timestamp=2026-05-23T10:34:13.200000Z level=info event=call_not_answered"
    " call=c2 outcome=given_up process=g1 replicas=i-1 sent=1 status=502"
)
_CALL_REJECTED = (
    "timestamp=2026-05-23T10:34:13.300000Z level=info event=call_rejected"
    " call=c3 reason=unknown_key status=401 document=41 process=g2"
)
_REPLICA_LOST = (
    "timestamp=2026-05-23T10:34:13.000000Z level=warning event=replica_lost"
    " process=g3 replica=i-1"
)
_CONTROL_LOST = (
    "timestamp=2026-05-23T10:34:10.000000Z level=warning event=control_lost"
    " process=g2 number=41"
)
_EARLIER_REPLICA_LOST = _REPLICA_LOST.replace("10:34:13", "10:33:13")
_OTHER_REPLICA_LOST = _REPLICA_LOST.replace("i-1", "i-2")
_LOG_LINES = [
    _CALL_REJECTED,
    _OTHER_REPLICA_LOST,
    _CALL_LOST,
    _CONTROL_LOST,
    _EARLIER_REPLICA_LOST,
    _REPLICA_LOST,
    _CALL_REFUSED,
    _ATTEMPT_LOST,
    "text of another program",
]


@pytest.mark.parametrize(
    ("call_id", "expected"),
    [
        ("c1", [_CALL_REFUSED]),
        ("c2", [_REPLICA_LOST, _ATTEMPT_LOST, _CALL_LOST]),
        ("c3", [_CONTROL_LOST, _CALL_REJECTED]),
        ("c4", []),
    ],
)
def test_three_kinds_of_failed_calls(call_id, expected):
    # Guards against lines on other replicas, other processes or earlier times,
    # and against a missing line that explains the failure.
    texts = [line.text for line in traces.trace(call_id, _LOG_LINES)]
    assert texts == expected


def test_fields_with_spaces_are_read_whole():
    # Guards against quoted values that are cut off at the first space.
    fields = traces.parse_line(_CALL_REFUSED).fields
    assert fields["reason"] == "overloaded: first token in 0.71 s"
    assert fields["sent"] == "0"


def test_command_prints_the_lines(tmp_path, capsys):
    log = tmp_path / "log"
    log.write_text("\n".join(_LOG_LINES))
    assert cli.main(["trace", "c2", str(log)]) == 0
    assert capsys.readouterr().out.splitlines() == [
        _REPLICA_LOST,
        _ATTEMPT_LOST,
        _CALL_LOST,
    ]
    assert cli.main(["trace", "c9", str(log)]) == 1
