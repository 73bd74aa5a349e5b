"""Tests of reading the platform's list of replicas.

Another writer may leave any entry in the list. It costs only itself: the sound
entries hold, and reading raises nothing but CallFailed.
"""

import json
import pickle
import socket
import types

import gevent
from gevent import pywsgi
import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.coordination import upstream_client
from papayalink.platform import errors
from papayalink.platform import replicas as platforms
from papayalink.protocol import messages
from papayalink.state import replicas as states


def make_entry(**fields):
    """Returns: a sound entry, with some fields replaced."""
    return {
        "id": "i-1",
        "service": "desk",
        "address": "127.0.0.1:8080",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "models": [{"name": "m", "version": 1, "adapters": []}],
        **fields,
    }


def encode_page(*entries, tail=b'"nextToken":null'):
    """Returns: a page of entries, each of which is JSON or a mapping."""
    encoded = [
        entry if isinstance(entry, bytes) else json.dumps(entry).encode()
        for entry in entries
    ]
    return b'{"instances":[' + b",".join(encoded) + b"]," + tail + b"}"


def nested(depth, opening=b"[", closing=b"]"):
    return opening * depth + closing * depth


def entry_with(name, value):
    """Returns: an entry with the JSON of one field replaced, or added."""
    fields = make_entry()
    fields.pop(name, None)
    head = json.dumps(fields).encode()[:-1]
    return head + b',"' + name.encode() + b'":' + value + b"}"


class List:
    """Serves pages by the query of the request."""

    def __init__(self):
        self.pages = {}
        self.queries = []
        self.server = pywsgi.WSGIServer(
            ("127.0.0.1", 0), self._answer, log=None, error_log=None
        )
        self.server.start()
        self.platform = platforms.make_platform(
            f"127.0.0.1:{self.server.server_port}"
        )

    def _answer(self, environ, start_response):
        self.queries.append(environ["QUERY_STRING"])
        headers = [("Content-Type", "application/json")]
        # Short answers on a connection that is kept wait for an ACK.
        start_response("200 OK", [*headers, ("Connection", "close")])
        page = self.pages
        if isinstance(page, dict):
            page = page[environ["QUERY_STRING"]]
        return [page]

    def read(self, page):
        """Returns: ids of the replicas on a page."""
        self.pages = page
        return [each.replica_id for each in self.platform.list_replicas()]


@pytest.fixture(scope="module")
def listed():
    started = List()
    yield started
    started.server.stop()


SOUND = (make_entry(id="i-2"), make_entry(id="i-3", state="draining"))


@pytest.mark.parametrize("depth", [40, 900, 3_000, 100_000])
@pytest.mark.parametrize("field", ["models", "unknown", "id"])
@pytest.mark.parametrize(
    "brackets", [(b"[", b"]"), (b'{"a":', b"}")], ids=["arrays", "objects"]
)
def test_deeply_nested_entry_costs_only_itself(listed, depth, field, brackets):
    """Guards against processes that end by an error on a nested entry."""
    opening, closing = brackets
    value = opening * depth + b"1" + closing * depth
    page = encode_page(SOUND[0], entry_with(field, value), SOUND[1])
    assert listed.read(page) == ["i-2", "i-3"]


@pytest.mark.parametrize(
    "tail",
    [
        b'"nextToken":null,"more":' + nested(3_000),
        b'"nextToken":' + nested(3_000),
        b'"nextToken":' + nested(100_000),
    ],
)
def test_nesting_beside_the_entries_raises_no_other_error(listed, tail):
    """Guards against processes that end by an error on a nested page."""
    try:
        assert listed.read(encode_page(*SOUND, tail=tail)) == ["i-2", "i-3"]
    except errors.CallFailed:
        pass
    # The next list is read as usual.
    assert listed.read(encode_page(*SOUND)) == ["i-2", "i-3"]


def test_reading_goes_on_after_a_failed_page(listed):
    with pytest.raises(errors.CallFailed):
        listed.read(b"[]")
    with gevent.Timeout(5):
        assert listed.read(encode_page(*SOUND)) == ["i-2", "i-3"]


_READABLE = json.dumps(make_entry()).encode()
_UNREADABLE = (
    entry_with("id", b'"\\ud800"'),
    entry_with("id", b'"\\udc00\\ud800"'),
    entry_with("unknown", b'"\\ud800"'),
    entry_with("id", b'"\xff\xfe"'),
    entry_with("unknown", b'"\xff\xfe\x00"'),
    entry_with("id", b'"i\x00"'),
    entry_with("id", b'"i\n"'),
    entry_with("id", b'"\\x"'),
    entry_with("id", b"NaN"),
    entry_with("unknown", b"-Infinity"),
    entry_with("unknown", b"\x1f\x8b\x08"),
    entry_with("unknown", b"0777"),
    b"",
    b"\xff",
    b"\x00" * 64,
    b"{",
    b"[",
    b"]",
    b"}",
    b"]}",
    b'"',
    b'"\\',
    b"\\",
    b'],"unknown":[',
    b'null],"nextToken":[',
    b"\x00]:[",
    b'{"id":"i-1","models":[{"name":"m","version":1}',
    *(_READABLE[:length] for length in range(1, len(_READABLE), 7)),
    *(_READABLE[start:] for start in range(1, len(_READABLE), 7)),
)


def find_failed(listed, odd_entries, place=1):
    """Returns: entries that are taken or cost another one."""
    failed = []
    for odd in odd_entries:
        entries = list(SOUND)
        entries.insert(place, odd)
        page = encode_page(*entries)
        token_first = b'{"nextToken":null,' + page[1:-18] + b"}"
        for each in (page, token_first):
            try:
                if listed.read(each) != ["i-2", "i-3"]:
                    failed.append(odd)
            except errors.CallFailed:
                failed.append(odd)
    return failed


@pytest.mark.parametrize("place", range(3))
def test_entry_that_cannot_be_read_costs_only_itself(listed, place):
    """Guards against a list that is lost while it holds one such entry."""
    assert not find_failed(listed, _UNREADABLE, place)


_TOKENS = (
    *(bytes((byte,)) for byte in b'{}[]",:\\'),
    b'"id":',
    b'"models":[',
    b'"i-1"',
    b"null",
    b"1e400",
    b"\\ud800",
    b"\xff",
    b"\x00",
    b" ",
)
_ODD_BYTES = st.one_of(
    st.binary(max_size=40),
    st.lists(st.sampled_from(_TOKENS), max_size=20).map(b"".join),
    st.builds(
        lambda start, end, odd: _READABLE[:start] + odd + _READABLE[end:],
        st.integers(0, len(_READABLE)),
        st.integers(0, len(_READABLE)),
        st.lists(st.sampled_from(_TOKENS), max_size=4).map(b"".join),
    ),
)


@hypothesis.given(odd=_ODD_BYTES, place=st.integers(0, 2))
@hypothesis.settings(max_examples=1_000)
def test_any_bytes_in_one_entry_leave_the_others(listed, odd, place):
    """Guards against a list that is lost, or readers that end, by an entry."""
    entries = list(SOUND)
    entries.insert(place, odd)
    found = listed.read(encode_page(*entries))
    assert [each for each in found if each in ("i-2", "i-3")] == ["i-2", "i-3"]


def test_entry_in_another_entry_is_not_taken(listed):
    """Guards against replicas that an unreadable entry seems to name."""
    inner = json.dumps(make_entry(id="i-4")).encode()
    odd = entry_with("unknown", b'["\\ud800",' + inner + b"]")
    assert listed.read(encode_page(SOUND[0], odd, SOUND[1])) == ["i-2", "i-3"]


@pytest.mark.parametrize(
    "page",
    [
        b"",
        b"null",
        b"[]",
        b"{}",
        b'{"instances":null}',
        b'{"instances":{}}',
        b'{"instances":[',
        b'{"instances":[{"id":"i-1"',
        encode_page(*SOUND)[:-1],
        encode_page(*SOUND)[:-2],
        encode_page(*SOUND)[:-18],
        encode_page(*SOUND) + b"x",
        encode_page(*SOUND, tail=b'"nextToken":7'),
        encode_page(*SOUND, tail=b'"nextToken":["p"]'),
        encode_page(*SOUND, tail=b'"nextToken":"\\ud800"'),
        b"{" * 100_000,
        b"[{" * 100_000,
        b',{"' * 100_000,
    ],
)
def test_page_that_is_not_whole_is_refused(listed, page):
    """Guards against replicas that seem gone since a page was cut short."""
    with pytest.raises(errors.CallFailed):
        listed.read(page)


_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1: 80",
    "127.0.0.1:8_0",
    "127.0.0.1:\u0668\u0660",
    "127.0.0.1:http",
    "127.0.0.1:",
    "127.0.0.1",
    "127.0.0.1:" + "8" * 5_000,
    "127.0.0.1\x00:80",
    "127.0.0.1:80\r\nX: y",
    "localhost:80",
    "replica.example:80",
    "127.1:80",
    "2130706433:80",
    "0x7f.0.0.1:80",
    "127.0.0.01:80",
    "127.0.0.256:80",
    ":80",
    "",
    "http://127.0.0.1:80",
    # Connecting to these reaches another process than a replica.
    "0.0.0.0:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    # Upstreams are reached by IPv4.
    "[::1]:80",
    "::1:80",
)


def test_entry_without_an_address_to_connect_to_is_left_out(listed):
    """Guards against ports out of range, and names looked up by DNS."""
    odd = [make_entry(address=address) for address in _ADDRESSES]
    assert not find_failed(listed, odd)


_ODD_VALUES = (
    *(
        entry_with("slots", value)
        for value in (
            b"1" * 31,
            b"9" * 5_000,
            b"-5",
            b"18446744073709551616",
            b"1.5",
            b"1e400",
            b"true",
            b'"4"',
            b"null",
        )
    ),
    *(
        entry_with("coldRemainingMs", value)
        for value in (b"1e308", b"-1", b"1e400", b"9" * 400, b'"0"', b"null")
    ),
    *(
        entry_with("models", b'[{"name":"m","version":' + value + b"}]")
        for value in (b"1" * 31, b"9" * 5_000, b"-1", b"9223372036854775808")
    ),
    *(
        entry_with("models", value)
        for value in (
            b"null",
            b"{}",
            b'[{"name":7,"version":1}]',
            b'[{"name":"","version":1}]',
            b'[{"name":"' + b"m" * 5_000 + b'","version":1}]',
        )
    ),
    *(
        entry_with(name, value)
        for name in ("id", "service", "zone", "version")
        for value in (
            b'"a b"',
            b'"a\\r\\nX: y"',
            b'"\\u0000"',
            b'"\\u007f"',
            b'"\\u2028"',
            b'"\\ud83d\\ude00"',
            b'"' + b"a" * 5_000 + b'"',
            b"7",
            b"null",
            b"[]",
        )
    ),
    *(entry_with(name, b'""') for name in ("id", "service")),
    *(
        entry_with("state", value)
        for value in (b'"stopped"', b'""', b"null", b"[]", b"{}", b"1")
    ),
    *(
        {key: value for key, value in make_entry().items() if key != name}
        for name in make_entry()
        if name != "models"
    ),
    b"null",
    b"7",
    b'"i-1"',
    b"[]",
    b"{}",
)


def test_entry_with_a_value_out_of_bounds_is_left_out(listed):
    """Guards against members that cannot pass the list on to entries."""
    assert not find_failed(listed, _ODD_VALUES)


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"id": "i-1+2"},
        {"zone": "", "version": ""},
        {"slots": 0, "coldRemainingMs": 12_345.5},
        {"models": []},
        {"address": "10.128.0.9:65535"},
        {"unknown": {"a": [{"b": [None, 1e300]}]}},
        {"born": 1_771_038_262_656},
    ],
)
def test_sound_entry_is_taken(listed, fields):
    assert listed.read(encode_page(make_entry(**fields))) == [
        fields.get("id", "i-1")
    ]


@pytest.mark.parametrize(
    ("fields", "born_ms"),
    [({}, 0), ({"born": 1_771_038_262_656}, 1_771_038_262_656)],
)
def test_lifetime_of_a_replica_is_read(listed, fields, born_ms):
    listed.pages = encode_page(make_entry(**fields))
    (found,) = listed.platform.list_replicas()
    assert found.born_ms == born_ms


@pytest.mark.parametrize("born", [-1, 1.5, "1", None, 2**60])
def test_entry_with_an_odd_lifetime_is_left_out(listed, born):
    assert listed.read(encode_page(make_entry(born=born))) == []


_NUMBERS = st.one_of(st.integers(), st.floats(), st.booleans(), st.none())
_JSON = st.recursive(
    st.one_of(_NUMBERS, st.text()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=8,
)


@hypothesis.given(
    fields=st.dictionaries(
        st.sampled_from(sorted(make_entry())), _JSON, max_size=3
    ),
    version=_NUMBERS,
)
@hypothesis.example(fields={"slots": 10**30}, version=1)
@hypothesis.example(fields={}, version=10**30)
@hypothesis.settings(max_examples=500)
def test_what_is_taken_can_be_passed_on(listed, fields, version):
    """Guards against an entry that keeps members from answering entries."""
    odd = make_entry(models=[{"name": "m", "version": version}], **{})
    odd.update(fields)
    listed.pages = encode_page(SOUND[0], odd, SOUND[1])
    found = listed.platform.list_replicas()
    ids = [each.replica_id for each in found]
    assert [each for each in ids if each in ("i-2", "i-3")] == ["i-2", "i-3"]
    reply = messages.PartsReply("s", 1, listed=tuple(found))
    assert messages.decode(messages.encode(reply)) == reply


def test_ids_that_come_twice_name_one_replica(listed):
    """Guards against state of a replica that is lost with each reading.

    A replica may stand on two pages if the list changes in between.
    """
    first = make_entry(id="i-2")
    page = encode_page(
        first,
        make_entry(id="i-3"),
        make_entry(id="i-2", address="127.0.0.1:9", service="other"),
        make_entry(id="i-3", state="draining"),
        make_entry(id="i-3"),
    )
    assert listed.read(page) == ["i-2", "i-3"]
    replicas = listed.platform.list_replicas()
    assert replicas[0].address == first["address"]
    assert replicas[1].condition is states.Condition.LEAVING


@pytest.mark.parametrize(
    "token, query",
    [
        ("p-50", "pageToken=p-50"),
        ("a&zone=b", "pageToken=a%26zone%3Db"),
        ("a b#c/\u00e9", "pageToken=a%20b%23c%2F%C3%A9"),
        ("a\r\nX: y", "pageToken=a%0D%0AX%3A%20y"),
    ],
    ids=range(4),
)
def test_token_of_any_characters_leads_to_the_next_page(listed, token, query):
    """Guards against pages that cannot be asked for."""
    tail = b'"nextToken":' + json.dumps(token).encode()
    listed.pages = {
        "": encode_page(SOUND[0], tail=tail),
        query: encode_page(SOUND[1]),
    }
    found = [each.replica_id for each in listed.platform.list_replicas()]
    assert found == ["i-2", "i-3"]


def test_token_that_returns_is_refused_at_once(listed):
    """Guards against calls to the list that use up its rate."""
    listed.queries.clear()
    with pytest.raises(errors.CallFailed):
        listed.read(encode_page(*SOUND, tail=b'"nextToken":"p"'))
    assert listed.queries == ["", "pageToken=p"]


def test_lines_on_odd_entries_are_few_and_short(listed, monkeypatch):
    """Guards against memory and logs that grow with each odd entry."""
    lines = []
    log = types.SimpleNamespace(
        warning=lambda event, **fields: lines.append((event, fields))
    )
    address = f"127.0.0.1:{listed.server.server_port}"
    # One that has not logged yet.
    monkeypatch.setattr(listed, "platform", platforms.make_platform(address))
    monkeypatch.setattr(listed.platform, "_log", log)
    monkeypatch.setattr(platforms, "LOG_PERIOD_S", 1e9, raising=False)
    for number in range(1_000):
        odd = make_entry(id=number, unknown="x" * 10_000)
        platforms_page = encode_page(SOUND[0], odd, odd, SOUND[1])
        assert listed.read(platforms_page) == ["i-2", "i-3"]
    assert [event for event, _ in lines] == ["list_entries_ignored"]
    assert lines[0][1]["entries"] == 2
    assert len(str(lines)) < 1_000
    held = pickle.dumps(
        [
            getattr(listed.platform, name)
            for name in type(listed.platform).__slots__
            if name not in ("_log", "_list")
        ]
    )
    assert len(held) < 10_000


def _replica_at(port):
    return states.Replica(
        replica_id="i-1",
        service="desk",
        address=f"127.0.0.1:{port}",
        zone="a",
        slots=4,
        condition=states.Condition.READY,
    )


def _order(platform, replica):
    return platform.order_weights(replica, "m", 2, "v1", 7)


@pytest.mark.parametrize(
    "call", [_order, platforms.Platform.read_report], ids=["order", "report"]
)
def test_refused_connection_shows_that_the_replica_ended(call):
    """Guards against waiting for the load of a replica that crashed."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
        platform = platforms.make_platform("127.0.0.1:1")
        with pytest.raises(upstream_client.ReplicaEnded):
            call(platform, _replica_at(port))


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        ("200 OK", True),
        ("202 Accepted", True),
        ("409 Conflict", False),
        ("412 Precondition Failed", False),
        ("421 Misdirected Request", upstream_client.ReplicaEnded),
    ],
)
def test_answer_to_an_order_shows_what_the_replica_does(status, outcome):
    """Guards against waiting for a load that a replica does not begin."""

    def answer(environ, start_response):
        start_response(status, [("Content-Type", "application/json")])
        return [b"{}"]

    server = pywsgi.WSGIServer(("127.0.0.1", 0), answer, log=None)
    server.start()
    platform = platforms.make_platform("127.0.0.1:1")
    replica = _replica_at(server.server_port)
    try:
        if isinstance(outcome, bool):
            assert _order(platform, replica) is outcome
        else:
            with pytest.raises(outcome):
                _order(platform, replica)
    finally:
        server.stop()


@pytest.mark.parametrize(
    ("body", "report"),
    [
        (
            b'{"models":[{"name":"m","version":3}],"sequence":2,"born":5}',
            upstream_client.Report({"m": 3}, 2),
        ),
        (b'{"models":[]}', upstream_client.Report({})),
        (
            b'{"models":[],"busy":true,"sequence":2}',
            upstream_client.Report({}, 2, busy=True),
        ),
    ],
)
def test_report_tells_weights_and_orders(body, report):
    def answer(environ, start_response):
        start_response("200 OK", [("Content-Type", "application/json")])
        return [body]

    server = pywsgi.WSGIServer(("127.0.0.1", 0), answer, log=None)
    server.start()
    platform = platforms.make_platform("127.0.0.1:1")
    try:
        replica = _replica_at(server.server_port)
        assert platform.read_report(replica) == report
    finally:
        server.stop()
