"""Tests of the simulated engine."""

import pytest

from fakes import engine_model

PIECE = engine_model.PIECE_TOKENS
# A piece takes one second to prefill, and a token one second to decode.
RATES = {"prefill_tokens_per_s": float(PIECE), "decode_interval_s": 1.0}


def _model(events=None, **options):
    def record(kind, block):
        if events is not None:
            events.append((kind, block.key))

    return engine_model.Model(
        engine_model.Options(**{**RATES, **options}), 0.0, record
    )


def _request(name, pieces=1, tail=0, count=2, workspace="ws", **fields):
    tokens = [7] * (pieces * PIECE) + [9] * tail
    return engine_model.Request(name, workspace, tokens, count, **fields)


def _run(model, request, now):
    model.submit(request, now)
    for _ in range(100):
        due = model.advance(now)
        if due is None:
            break
        now = due
    assert request.finished
    return now


def _piece(workspace="ws", version="v1", pieces=1):
    """Returns: key and bytes of the last piece of a prompt."""
    model = _model(weight_version=version)
    request = _request("source", pieces=pieces, workspace=workspace)
    _run(model, request, 0.0)
    key = (workspace, version, request.digests[-1])
    return key, model.export_piece(key)


def test_prefill_and_decode_take_the_configured_time():
    model = _model()
    request = _request("a", pieces=2, tail=PIECE // 2, count=3)
    model.submit(request, 0.0)
    model.advance(2.4)
    assert request.emitted == 0
    model.advance(2.5)
    assert request.emitted == 1
    model.advance(3.5)
    assert request.emitted == 2
    model.advance(4.5)
    assert request.finished


def test_most_urgent_prompt_is_prefilled_first():
    model = _model(slots=4)
    later = _request("later", priority=1)
    urgent = _request("urgent", workspace="other", priority=0)
    model.submit(later, 0.0)
    model.submit(urgent, 0.5)
    # The urgent prompt is prefilled first from halfway through the other one;
    # both together take as long as before.
    model.advance(1.6)
    assert (urgent.emitted, later.emitted) == (1, 0)
    model.advance(2.1)
    assert later.emitted == 1


def test_slots_go_to_the_most_urgent_and_then_the_oldest():
    model = _model(slots=1)
    requests = [
        _request(str(index), workspace=str(index), priority=priority)
        for index, priority in enumerate([0, 5, 5, 1])
    ]
    order = []
    for request in requests:
        request.on_change = lambda r=request: (
            order.append(r.request_id) if r.finished else None
        )
        model.submit(request, 0.0)
    model.advance(100.0)
    assert order == ["0", "3", "1", "2"]


@pytest.mark.parametrize(
    "workspace, version, cached",
    [
        ("ws", "v1", 2 * PIECE),
        # P2: a prompt never hits blocks of another workspace.
        ("other", "v1", 0),
        # P3: a prompt never hits blocks of another weight version.
        ("ws", "v2", 0),
    ],
)
def test_cache_hits_only_same_workspace_and_version(
    workspace, version, cached
):
    model = _model()
    now = _run(model, _request("a", pieces=2), 0.0)
    if version != "v1":
        model.swap(version, now)
    again = _request("b", pieces=2, tail=5, workspace=workspace)
    _run(model, again, now)
    assert again.cached_tokens == cached


def test_pieces_that_arrive_during_prefill_are_skipped():
    # A restore imports pieces from the end of the prompt while the engine
    # computes its start.
    key, data = _piece(pieces=4)
    model = _model()
    request = _request("a", pieces=4, tail=1)
    model.submit(request, 0.0)
    model.import_piece(key, data, 1.5)
    model.advance(3.1)
    assert request.cached_tokens == PIECE
    assert request.emitted == 1


def test_eviction_takes_the_end_of_the_oldest_prompt():
    events = []
    model = _model(events, cache_tokens=3 * PIECE)
    first = _request("a", pieces=3)
    now = _run(model, first, 0.0)
    _run(model, _request("b", workspace="other"), now)
    assert events[-2:][0] == ("removed", ("ws", "v1", first.digests[2]))


def test_blocks_in_use_are_not_evicted():
    events = []
    model = _model(events, cache_tokens=2 * PIECE, slots=2)
    model.submit(_request("a", pieces=2, count=1000), 0.0)
    model.submit(_request("b", workspace="other", count=1), 0.0)
    model.advance(10.0)
    model.evict_all(10.0)
    assert [kind for kind, _ in events] == ["stored", "stored"]


def test_cancel_frees_the_slot_at_once():
    model = _model(slots=1)
    running = _request("a", count=1000)
    waiting = _request("b", workspace="other")
    dropped = _request("c", workspace="third")
    for request in (running, waiting, dropped):
        model.submit(request, 0.0)
    assert model.cancel(dropped, 1.0)
    assert model.cancel(running, 5.0)
    assert not model.cancel(running, 5.0)
    assert model.load()["running"] == 1
    assert model.load()["cancelled"] == 2
    model.advance(6.1)
    assert waiting.emitted == 1


def test_swap_keeps_running_replies_on_their_version():
    events = []
    model = _model(events, slots=1)
    old = _request("a", count=10)
    new = _request("b")
    model.submit(old, 0.0)
    model.submit(new, 0.0)
    model.swap("v2", 3.0)
    # The block of the old version stays in the cache until the reply that
    # uses it ends.
    assert [kind for kind, _ in events] == ["stored"]
    model.advance(100.0)
    assert (old.weight_version, new.weight_version) == ("v1", "v2")
    assert new.cached_tokens == 0
    assert ("removed", ("ws", "v1", old.digests[0])) in events


def test_resumed_stream_does_not_continue_on_other_weights():
    model = _model(slots=1)
    model.submit(_request("a", count=5), 0.0)
    resumed = _request("b", emitted_before=1, weight_version="v1")
    model.submit(resumed, 0.0)
    model.swap("v2", 1.0)
    model.advance(100.0)
    assert resumed.cancelled


@pytest.mark.parametrize(
    "damage",
    [
        lambda key, data: (key, data[:-1]),
        lambda key, data: (key, data[:-1] + b"x"),
        lambda key, data: (key, b""),
        lambda key, data: (("other", *key[1:]), data),
        lambda key, data: (key, _piece(workspace="other")[1]),
        lambda key, data: (key, _piece(version="v0")[1]),
        lambda key, data: (key, _piece(pieces=2)[1]),
        # Bytes that name the right key but hold other tokens.
        lambda key, data: (
            key,
            engine_model._piece_bytes(
                key, "", engine_model._pack([8] * PIECE), 64
            ),
        ),
    ],
)
def test_wrong_import_poisons_the_answer(damage):
    key, data = damage(*_piece())
    model = _model()
    assert model.import_piece(key, data, 0.0)
    if key[0] == "other":
        digest = engine_model._chained_digest(
            "ws\0v1", engine_model._pack([7] * PIECE)
        )
        assert model._cache[("other", "v1", digest)].poisoned
        return
    request = _request("a", pieces=1, tail=PIECE)
    _run(model, request, 0.0)
    assert request.word(0) == "CORRUPT"
    # Blocks that were computed from a wrong block are wrong too.
    later = _request("b", pieces=1, tail=PIECE)
    _run(model, later, 100.0)
    assert later.word(0) == "CORRUPT"


def test_right_import_does_not_change_the_answer():
    key, data = _piece()
    assert len(data) == PIECE * engine_model.Options().bytes_per_token
    model = _model()
    model.import_piece(key, data, 0.0)
    request = _request("a", tail=3, count=4)
    _run(model, request, 0.0)
    assert request.cached_tokens == PIECE
    assert [request.word(i) for i in range(4)] == engine_model.answer_words(
        "ws", "v1", request.tokens, 4
    )


def test_answers_differ_by_workspace_version_and_prompt():
    answers = {
        engine_model.answer_words(workspace, version, tokens, 1)[0]
        for workspace in ("a", "b")
        for version in ("v1", "v2")
        for tokens in ([1], [2])
    }
    assert len(answers) == 8
