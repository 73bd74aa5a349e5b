"""Tests of the platform's headers."""

import pytest

from papayalink.platform import dialect as dialects
from papayalink.protocol import calls

_HEADERS = [
    (b"Host", b"Pule25.example:80"),
    (b"Papayalink-Request-Id", b"9c41"),
    (b"Papayalink-Model", b"m1"),
    (b"Papayalink-Token-Usage", b"1460,80"),
    (b"Papayalink-Prefix-Hash", b"5c1e:800,91bd:410,e440:250"),
    (b"Papayalink-Deadline-Ms", b"4000"),
    (b"Authorization", b"Bearer key1"),
]


def _decode(extra=(), method=b"POST", body=b"x"):
    return dialects.make_dialect().decode_call(
        method, b"/a/b%2Fc?d=1", [*_HEADERS, *extra], body
    )


def _encode(call, **fields):
    dispatch = calls.Dispatch(upstream="i-1", remaining_ms=900, **fields)
    headers = dialects.make_dialect().encode_call(call, dispatch)
    return {name.lower(): value for name, value in headers}


def test_call_is_decoded():
    call = _decode()
    assert call.call_id == "9c41"
    assert call.host == "pule25.example"
    assert call.target == b"/a/b%2Fc?d=1"
    assert call.path == "/a/b%2Fc"
    assert call.key == "key1"
    assert call.budget_ms == 4000
    assert (call.model, call.prompt_tokens, call.output_tokens) == (
        "m1",
        1460,
        80,
    )
    assert call.parts[0] == calls.Part("5c1e", 800)
    assert len(call.parts) == 3


@pytest.mark.parametrize(
    "name",
    [
        b"Authorization",
        b"Papayalink-Cache-Salt",
        b"Papayalink-Hold",
        b"Papayalink-Pin-Ms",
        b"Papayalink-Kv-Backup",
        b"Papayalink-Kv-From",
        b"Kv-From",
        b"Papayalink-Kv-Fetch",
        b"Papayalink-Kv-Save",
        b"Papayalink-Kv-Until",
        b"Papayalink-Expect-Instance",
        b"Papayalink-Expect-Version",
        b"Papayalink-Request-Priority",
        b"Papayalink-Tenant-Id",
        b"papayalink-TENANT-id",
        b"Connection",
        b"Transfer-Encoding",
        b"Keep-Alive",
    ],
)
def test_callers_cannot_set_headers_of_the_system(name):
    call = _decode([(name, b"forged")])
    assert b"forged" not in [value for _, value in call.headers]


def test_headers_named_by_connection_are_dropped_but_not_the_call_id():
    extra = [
        (b"Connection", b"x-mine, papayalink-request-id"),
        (b"X-Mine", b"1"),
        (b"X-Other", b"2"),
    ]
    names = [name for name, _ in _decode(extra).headers]
    assert b"X-Mine" not in names
    assert b"X-Other" in names
    assert b"Papayalink-Request-Id" in names


def test_call_is_encoded_for_an_upstream():
    headers = _encode(
        _decode(),
        workspace="w1",
        urgency=2,
        salt="m1@3/",
        weight_version=3,
        fetch_addresses=("", "10.0.0.9:80"),
        last_event_id="7",
    )
    assert headers[b"papayalink-expect-instance"] == b"i-1"
    assert headers[b"papayalink-tenant-id"] == b"w1"
    assert headers[b"papayalink-deadline-ms"] == b"900"
    assert headers[b"papayalink-request-priority"] == b"2"
    assert headers[b"papayalink-expect-version"] == b"3"
    assert headers[b"papayalink-kv-fetch"] == b"-,10.0.0.9:80"
    assert headers[b"papayalink-cache-salt"] == b"m1@3/"
    assert headers[b"last-event-id"] == b"7"
    assert headers[b"content-length"] == b"1"
    assert headers[b"papayalink-prefix-hash"] == _HEADERS[4][1]
    assert b"authorization" not in headers
    assert b"papayalink-kv-save" not in headers


def test_get_without_body_has_no_length():
    assert b"content-length" not in _encode(_decode(method=b"GET", body=b""))


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, [(b"Papayalink-Server-Stamp", b"s")], (False, True)),
        (503, [(b"Papayalink-Not-Executed", b"1")], (True, False)),
        (421, [(b"Papayalink-Instance-Id", b"i-2")], (True, False)),
        (503, [], (False, False)),
        (500, [(b"Papayalink-Server-Stamp", b"s")], (False, True)),
    ],
)
def test_answer_tells_whether_the_call_was_run(status, headers, expected):
    # Only the header or status 421 means that the call was not run.
    answer = dialects.make_dialect().decode_answer(status, headers)
    assert (answer.not_run, answer.has_server_stamp) == expected


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (b"3,0,8", calls.Load(3, 0, 8)),
        (b"3,0", None),
        (b"", None),
        (b"a,b,c", calls.Load(0, 0, 0)),
    ],
)
def test_load_is_decoded(text, load):
    headers = [(b"Papayalink-Server-Load", text)]
    answer = dialects.make_dialect().decode_answer(200, headers)
    assert answer.load == load


def test_stamp_is_forwarded_and_framing_is_not():
    headers = [
        (b"Papayalink-Server-Stamp", b"s"),
        (b"Content-Length", b"3"),
        (b"Connection", b"close"),
        (b"Content-Type", b"text/event-stream"),
    ]
    answer = dialects.make_dialect().decode_answer(200, headers)
    assert answer.headers == [headers[0], headers[3]]


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        (b"timeout=5", 5.0),
        (b"max=100, Timeout=7", 7.0),
        (b"timeout=x", None),
        (b"", None),
    ],
)
def test_keep_alive_is_decoded(text, seconds):
    headers = [(b"Keep-Alive", text)]
    answer = dialects.make_dialect().decode_answer(200, headers)
    assert answer.keep_alive_s == seconds


@pytest.mark.parametrize(
    ("headers", "limit_per_s"),
    [
        ([(b"Server-Limit", b"3.6")], 3.6),
        ([(b"Papayalink-Server-Limit", b"12")], 12.0),
        ([(b"Server-Limit", b"0")], 0.0),
        ([(b"Server-Limit", b"inf")], None),
        ([(b"Server-Limit", b"nan")], None),
        ([(b"Server-Limit", b"-1")], None),
        ([(b"Server-Limit", b"few")], None),
        ([], None),
    ],
)
def test_limit_that_an_upstream_names(headers, limit_per_s):
    answer = dialects.make_dialect().decode_answer(503, headers)
    assert answer.limit_per_s == limit_per_s


@pytest.mark.parametrize(
    ("headers", "leaving"),
    [
        ([(b"Server-Leaving", b"1")], True),
        ([(b"server-leaving", b" 1 ")], True),
        ([(b"Server-Leaving", b"0")], False),
        ([(b"Server-Leaving", b"")], False),
        ([], False),
    ],
)
def test_upstream_that_says_it_leaves(headers, leaving):
    answer = dialects.make_dialect().decode_answer(200, headers)
    assert answer.leaving is leaving


@pytest.mark.parametrize(
    ("headers", "resumes"),
    [([(b"Resumes", b"c1")], "c1"), ([], "")],
)
def test_stream_that_a_call_takes_up(headers, resumes):
    call = dialects.make_dialect().decode_call(b"POST", b"/", headers, b"")
    assert call.resumes == resumes
    assert call.headers == headers
