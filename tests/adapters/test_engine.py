"""Tests of the engine adapter against the fake engine."""

import gevent
import msgspec
import pytest

from fakes import engine as fake
from fakes import engine_model
from fakes import weights as fake_weights
from papayalink.adapters import engine as adapters
from papayalink.adapters import errors
from tests.adapters import silent_server

COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
PIECE_TOKENS = adapters.PIECE_TOKENS
FAST_ENGINE = {"prefill_tokens_per_s": 1e6, "decode_interval_s": 0.001}


@pytest.fixture
def start():
    servers = []

    def _start(**options):
        server = fake.make_server(**{**FAST_ENGINE, **options})
        server.start()
        servers.append(server)
        return server.state, adapters.make_engine(server.endpoint)

    yield _start
    for server in servers:
        server.stop()


def _body(prompt="a b c", count=5, **fields):
    body = {
        "prompt": prompt,
        "max_tokens": count,
        "user": "ws",
        "stream": True,
    }
    return msgspec.json.encode({**body, **fields})


def _chunks(events):
    events = list(events)
    assert events[-1] == "data: [DONE]\n\n"
    assert all(text.endswith("\n\n") for text in events)
    return [msgspec.json.decode(text[6:]) for text in events[:-1]]


def _joined_text(chunks):
    return "".join(
        choice.get("text") or choice.get("delta", {}).get("content", "")
        for chunk in chunks
        for choice in chunk["choices"]
    )


def _expected_text(prompt="a b c", count=5, workspace="ws", version="v1"):
    tokens = engine_model.tokens_of(prompt)
    return " ".join(
        engine_model.answer_words(workspace, version, tokens, count)
    )


def _wait_until(condition):
    # Fails a test whose condition never becomes true; allows far more time
    # than any test needs.
    for _ in range(5000):
        if condition():
            return
        gevent.sleep(0.002)
    raise AssertionError("condition did not become true")


def test_streamed_reply_equals_the_reply_that_is_not_streamed(start):
    _, engine = start()
    body = _body(stream_options={"include_usage": True})
    chunks = _chunks(engine.stream(COMPLETIONS, body, "r1"))
    assert _joined_text(chunks) == _expected_text()
    assert {c["id"] for c in chunks} == {"cmpl-r1"}
    assert {c["system_fingerprint"] for c in chunks} == {"v1"}
    reply = engine.complete(COMPLETIONS, _body(stream=False), "r2")
    completion = msgspec.json.decode(reply.body)
    assert completion["choices"][0]["text"] == _expected_text()
    assert completion["usage"] == chunks[-1]["usage"]


def test_chat_replies_are_equal_with_and_without_streaming(start):
    _, engine = start()
    fields = {"messages": [{"role": "user", "content": "hello there"}]}
    chunks = _chunks(engine.stream(CHAT, _body(**fields), "r1"))
    assert _joined_text(chunks) == _expected_text("user: hello there")
    reply = engine.complete(CHAT, _body(stream=False, **fields), "r2")
    message = msgspec.json.decode(reply.body)["choices"][0]["message"]
    assert message["content"] == _joined_text(chunks)


def test_prompt_of_token_ids_equals_its_text(start):
    _, engine = start()
    tokens = engine.tokenize(_body("x y z"))
    assert tokens == engine_model.tokens_of("x y z")
    chunks = _chunks(engine.stream(COMPLETIONS, _body(tokens), "r1"))
    assert _joined_text(chunks) == _expected_text("x y z")


def test_events_arrive_one_by_one(start):
    state, engine = start()
    stream = engine.stream(COMPLETIONS, _body(count=10**6), "r1")
    next(stream)
    # The first event must arrive before the end of the reply.
    assert state.model.load()["running"] == 1
    stream.close()


def test_truncated_stream_raises_and_can_be_resumed(start):
    state, engine = start()
    state.cut_after, state.cuts_left = 3, 1
    stream = engine.stream(COMPLETIONS, _body(count=8), "r1")
    received = []
    with pytest.raises(errors.StreamCut):
        for text in stream:
            received.append(msgspec.json.decode(text[6:]))
    assert len(received) == 3
    rest = _chunks(engine.resume("r1", 3))
    assert _joined_text(received + rest) == _expected_text(count=8)


def test_end_of_a_finished_stream_can_be_read_again(start):
    _, engine = start()
    _chunks(engine.stream(COMPLETIONS, _body(count=8), "r1"))
    rest = _chunks(engine.resume("r1", 6))
    assert _joined_text(rest).split() == _expected_text(count=8).split()[6:]


def test_unknown_stream_is_not_resumed(start):
    _, engine = start()
    with pytest.raises(errors.Rejected) as caught:
        next(engine.resume("r1", 0))
    assert caught.value.status == 404


def test_stream_without_end_marker_raises(raw_server):
    # A regular end of the HTTP body does not make the stream complete.
    address, _ = raw_server(
        b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\ndata: {}\n\ndata:"
    )
    stream = adapters.make_engine(address).stream(COMPLETIONS, b"{}", "r1")
    assert next(stream) == "data: {}\n\n"
    with pytest.raises(errors.StreamCut):
        next(stream)


@pytest.mark.parametrize("unstreamed", [False, True])
@pytest.mark.parametrize("started", [False, True])
def test_close_cancels_the_request_at_the_engine(start, unstreamed, started):
    decode_interval_s = 0.001 if started else 1000.0
    state, engine = start(slots=1, decode_interval_s=decode_interval_s)
    if not started:
        # Occupies the only slot, so that the next request has to wait.
        first = engine.stream(COMPLETIONS, _body(count=9), "r0")
        _wait_until(lambda: state.model.load()["running"])
    send_request = engine.send if unstreamed else engine.stream
    body = _body(count=10**6, stream=not unstreamed)
    reply = send_request(COMPLETIONS, body, "r1")

    def read():
        with pytest.raises(errors.Interrupted):
            reply.result() if unstreamed else list(reply)

    reader = gevent.spawn(read)
    state_field = "running" if started else "waiting"
    _wait_until(lambda: state.model.load()[state_field])
    reply.close()
    _wait_until(lambda: state.model.load()["cancelled"] == 1)
    reader.get()
    assert state.model.load()[state_field] == 0
    if not started:
        first.close()


def test_refused_connection_raises_unreachable(closed_address):
    engine = adapters.make_engine(closed_address)
    with pytest.raises(errors.Unreachable):
        engine.stream(COMPLETIONS, _body(), "r1")
    with pytest.raises(errors.Unreachable):
        engine.load()


@pytest.mark.parametrize(
    "fields",
    [
        {"model": "other"},
        {"max_tokens": 0},
        {"prompt": ["a"]},
        {"priority": "x"},
    ],
)
def test_invalid_request_is_rejected(start, fields):
    _, engine = start()
    with pytest.raises(errors.Rejected):
        next(engine.stream(COMPLETIONS, _body(**fields), "r1"))


def test_pieces_are_copied_between_engines(start):
    _, source = start()
    _, target = start()
    tokens = list(range(2 * PIECE_TOKENS + 10))
    source.complete(COMPLETIONS, _body(tokens, stream=False), "r1")
    digests = adapters.piece_digests("ws", "v1", tokens)
    assert target.export_piece("ws", "v1", digests[0]) is None
    for digest in reversed(digests):
        data = source.export_piece("ws", "v1", digest)
        target.import_piece("ws", "v1", digest, data)
        assert target.export_piece("ws", "v1", digest) == data
    reply = target.complete(COMPLETIONS, _body(tokens, stream=False), "r2")
    usage = msgspec.json.decode(reply.body)["usage"]
    assert usage["prompt_tokens_details"] == {
        "cached_tokens": 2 * PIECE_TOKENS
    }
    assert b"CORRUPT" not in reply.body


def test_import_for_another_version_is_refused(start):
    _, engine = start()
    with pytest.raises(errors.VersionNotLoaded):
        engine.import_piece("ws", "v2", "00", b"")


def test_import_of_wrong_bytes_shows_in_the_answer(start):
    _, engine = start()
    tokens = [1] * PIECE_TOKENS
    (digest,) = adapters.piece_digests("ws", "v1", tokens)
    engine.import_piece("ws", "v1", digest, b"wrong")
    chunks = _chunks(engine.stream(COMPLETIONS, _body(tokens), "r1"))
    assert _joined_text(chunks).startswith("CORRUPT")


@pytest.mark.parametrize("drop_rate, gap", [(0.0, False), (0.3, True)])
def test_gaps_in_cache_events_are_reported(start, drop_rate, gap):
    state, engine = start(event_drop_rate=drop_rate, seed=3)
    tokens = list(range(20 * PIECE_TOKENS))
    engine.complete(COMPLETIONS, _body(tokens, stream=False), "r1")
    cache_events = engine.events_since(0)
    assert cache_events.gap is gap
    digests = adapters.piece_digests("ws", "v1", tokens)
    assert [event.digest for event in cache_events.events] == [
        digests[event.seq - 1] for event in cache_events.events
    ]
    assert engine.events_since(cache_events.last_seq) == adapters.CacheEvents(
        [], cache_events.last_seq, False
    )
    gevent.sleep(0)
    assert state.model.load()["cached_tokens"] == 20 * PIECE_TOKENS


def test_cache_events_lag(start):
    state, engine = start(event_delay_s=3600.0)
    engine.complete(COMPLETIONS, _body([1] * PIECE_TOKENS, stream=False), "r1")
    assert state.model.load()["cached_tokens"] == PIECE_TOKENS
    assert engine.events_since(0).events == []


def test_reported_load_lags(start):
    state, engine = start(load_lag_s=3600.0)
    stream = engine.stream(COMPLETIONS, _body(count=10**6), "r1")
    next(stream)
    assert state.model.load()["running"] == 1
    assert engine.load().running == 0
    stream.close()


@pytest.mark.parametrize("check_fencing", [False, True])
def test_older_order_is_refused_only_by_engines_that_check(
    start, check_fencing
):
    state, engine = start(check_fencing=check_fencing, load_time_s=0.0)
    engine.order(5, {"action": "set_role", "role": "prefill"})
    order = {"action": "load_weights", "weight_version": "v2"}
    if check_fencing:
        with pytest.raises(errors.OrderRefused):
            engine.order(4, order)
    else:
        engine.order(4, order)
    fences = [order["fence"] for order in state.orders]
    assert fences == ([5] if check_fencing else [5, 4])
    assert engine.model() == adapters.ModelInfo(
        "demo-model", "v1" if check_fencing else "v2", "prefill"
    )


def test_invalid_order_is_rejected(start):
    state, engine = start()
    with pytest.raises(errors.Rejected):
        engine.order(1, {"action": "load_weights"})
    assert state.orders == []


def test_running_reply_keeps_its_version_when_weights_change(start):
    _, engine = start(load_time_s=0.0, decode_interval_s=0.005)
    stream = engine.stream(COMPLETIONS, _body(count=20), "r1")
    first = msgspec.json.decode(next(stream)[6:])
    engine.order(1, {"action": "load_weights", "weight_version": "v2"})
    chunks = _chunks(engine.stream(COMPLETIONS, _body(), "r2"))
    assert _joined_text(chunks) == _expected_text(version="v2")
    assert _joined_text([first, *_chunks(stream)]) == _expected_text(count=20)


def test_weights_are_read_from_the_shared_store(start):
    with fake_weights.make_server(size_bytes=100) as store:
        _, engine = start(weight_store=store.endpoint, load_time_s=0.0)
        engine.order(1, {"action": "load_weights", "weight_version": "v2"})
        assert store.state.most_readers == 1
    assert engine.load().weight_version == "v2"


@pytest.mark.parametrize("unstreamed", [False, True])
def test_stopped_engine_interrupts_its_replies(unstreamed):
    # An engine that stops sends no reply, not even one with status 500.
    server = fake.make_server(**FAST_ENGINE)
    server.start()
    engine = adapters.make_engine(server.endpoint)
    send_request = engine.send if unstreamed else engine.stream
    body = _body(count=10**6, stream=not unstreamed)
    reply = send_request(COMPLETIONS, body, "r1")
    _wait_until(lambda: server.state.model.load()["running"])
    server.stop()
    with pytest.raises(errors.Interrupted):
        reply.result() if unstreamed else list(reply)


@pytest.fixture
def silent():
    """An engine that takes no connections for more than a second."""
    started = silent_server.SilentServer(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    )
    started.go_on_after(1.3)
    yield started
    started.stop()


# Guards against calls that are refused, with seconds left, because a sound
# engine takes no connections for a second.
@pytest.mark.parametrize(
    "call",
    [
        lambda engine: engine.complete(COMPLETIONS, b"{}", "r1"),
        lambda engine: engine.stream(COMPLETIONS, b"{}", "r1").close(),
        lambda engine: engine.resume("r1", 3).close(),
    ],
    ids=["complete", "stream", "resume"],
)
def test_call_waits_for_a_silent_engine(silent, call):
    call(adapters.make_engine(silent.address))
