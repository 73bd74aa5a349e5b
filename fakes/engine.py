"""Stand-in for a model engine with an OpenAI-compatible interface."""

import collections
import random
import time
from typing import Annotated
import uuid

import falcon
import fire
import gevent
from gevent import event
from gevent import lock
import geventhttpclient
import msgspec

from fakes import engine_model
from fakes import lag
from fakes import serving
from papayalink import clock as clocks

# Number of cache events kept for clients that poll late. A client that
# asks for older ones finds a gap in the sequence numbers.
MAX_EVENTS = 10_000

# Tokens of an answer whose request sets no limit; the default of vLLM.
DEFAULT_MAX_TOKENS = 16

_TokenId = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _ContentPart(msgspec.Struct):
    text: str = ""


class _Message(msgspec.Struct):
    role: str
    content: str | list[_ContentPart] | None = None

    def text(self):
        if isinstance(self.content, list):
            return " ".join(part.text for part in self.content)
        return self.content or ""


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _Body(msgspec.Struct):
    """Body of a completion, a chat completion or a tokenize call."""

    prompt: str | list[_TokenId] = ""
    messages: list[_Message] = []
    model: str | None = None
    user: str | None = None
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    priority: int = 0
    stream: bool = False
    stream_options: _StreamOptions | None = None

    def tokens(self):
        if isinstance(self.prompt, list):
            return self.prompt
        text = self.prompt
        if self.messages:
            text = "\n".join(f"{m.role}: {m.text()}" for m in self.messages)
        return engine_model.tokens_of(text)


class _Resume(msgspec.Struct, rename={"received": "from"}):
    received: int


class _Faults(msgspec.Struct):
    """Request to cut the next `times` streams after `cut_after` tokens."""

    cut_after: int
    times: int = 1


class Engine:
    """State of the engine that its HTTP resources share.

    A greenlet advances the model of the engine as the clock advances.

    Args:
        options: options of the engine.
        clock: source of time.
    """

    def __init__(
        self, options: engine_model.Options, clock: clocks.Clock
    ) -> None:
        self.options = options
        self.clock = clock
        self.orders = []
        self.adapters = []
        self.role = options.role
        self.cut_after = None
        self.cuts_left = 0
        self._fence = 0
        self._order_lock = lock.BoundedSemaphore()
        self._random = random.Random(options.seed)
        self._wakeup = event.Event()
        self._events = collections.deque(maxlen=MAX_EVENTS)
        self._event_seq = 0
        self._resumable = {}
        self._load = lag.LaggedValue(options.load_lag_s)
        self.model = engine_model.Model(options, clock.now(), self._on_event)

    def run(self) -> None:
        """Advance the model with the clock, for as long as the server runs."""
        while True:
            self._wakeup.clear()
            due = self.model.advance(self.clock.now())
            self._record_load()
            timeout = None
            if due is not None:
                timeout = max(0.0, due - self.clock.now())
            self._wakeup.wait(timeout)

    def submit(self, request: engine_model.Request) -> event.Event:
        """Queue a request.

        Returns: an event that is set whenever the request progresses.
        """
        changed = event.Event()
        request.on_change = changed.set
        self.model.submit(request, self.clock.now())
        self._record_load()
        self._wakeup.set()
        return changed

    def close(self, request: engine_model.Request) -> None:
        """Free the slot of a request whose connection has ended.

        The stream can be resumed for `resume_window_s`. Finished streams
        can be resumed too, since their last bytes may be lost in transit.
        """
        now = self.clock.now()
        self._drop_expired(now)
        self.model.cancel(request, now)
        self._resumable.pop(request.request_id, None)
        self._resumable[request.request_id] = (
            request,
            now + self.options.resume_window_s,
        )
        self._record_load()
        self._wakeup.set()

    def resume(
        self, request_id: str, received: int
    ) -> engine_model.Request | None:
        """Continue a stream whose connection has ended.

        Args:
            request_id: id of the request that the stream answers.
            received: number of tokens that the client has received.

        Returns: a new request for the remaining tokens, None when the
            stream cannot be resumed.
        """
        self._drop_expired(self.clock.now())
        old, _ = self._resumable.get(request_id, (None, 0))
        if old is None or not 0 <= received <= old.emitted:
            return None
        if old.weight_version not in ("", self.model.weight_version):
            return None
        del self._resumable[request_id]
        return engine_model.Request(
            old.request_id,
            old.workspace,
            old.tokens,
            old.max_tokens,
            old.priority,
            emitted_before=max(0, old.emitted - 1),
            weight_version=old.weight_version,
            context=old.context,
            adapter=old.adapter,
        )

    def take_cut(self) -> int | None:
        """Count down the cuts that a test has asked for.

        Returns: number of tokens after which to cut the stream, None for
            no cut.
        """
        if not self.cuts_left:
            return None
        self.cuts_left -= 1
        return self.cut_after

    def load_report(self) -> dict:
        """Returns: the load as it was `load_lag_s` seconds ago."""
        return self._load.read(self.clock.now())

    def events_since(self, since: int) -> list[dict]:
        """Returns: published events with a sequence number above `since`."""
        published_until = self.clock.now() - self.options.event_delay_s
        return [
            fields
            for at, fields in self._events
            if fields["seq"] > since and at <= published_until
        ]

    def order(self, order: dict) -> bool:
        """Execute an order.

        Returns: False when the fencing token is refused.
        """
        with self._order_lock:
            fence = int(order["fence"])
            if self.options.check_fencing and fence < self._fence:
                return False
            self._fence = max(self._fence, fence)
            match order["action"]:
                case "load_weights":
                    self._load_weights(order["weight_version"])
                case "load_adapter":
                    adapter = order["adapter"]
                    if adapter == self.options.missing_adapter:
                        raise ValueError("adapter is not in the weight store")
                    gevent.sleep(self.options.adapter_load_time_s)
                    self.adapters.append(adapter)
                case "set_role":
                    self.role = order["role"]
                case _:
                    raise KeyError("action")
            self.orders.append(order)
            return True

    def _drop_expired(self, now):
        # The entries are ordered by expiry time.
        while self._resumable:
            request_id, (_, expires) = next(iter(self._resumable.items()))
            if expires >= now:
                return
            del self._resumable[request_id]

    def _load_weights(self, weight_version):
        started = self.clock.now()
        if self.options.weight_store:
            client = geventhttpclient.HTTPClient.from_url(
                f"http://{self.options.weight_store}", network_timeout=60
            )
            client.get(f"/weights/{weight_version}").read()
            client.close()
        elapsed = self.clock.now() - started
        gevent.sleep(max(0.0, self.options.load_time_s - elapsed))
        self.model.swap(weight_version, self.clock.now())
        # Adapters are valid only for the weights they were loaded with.
        self.adapters.clear()
        self._record_load()
        self._wakeup.set()

    def _record_load(self):
        report = self.model.load()
        report["role"] = self.role
        self._load.record(self.clock.now(), report)

    def _on_event(self, kind, block):
        self._event_seq += 1
        if self._random.random() < self.options.event_drop_rate:
            return
        workspace, weight_version, digest = block.key
        fields = {
            "seq": self._event_seq,
            "event": kind,
            "workspace": workspace,
            "weight_version": weight_version,
            "digest": digest,
        }
        self._events.append((self.clock.now(), fields))


class _ReplyFormat:
    """Builds the chunks of a streamed reply and the unstreamed reply."""

    __slots__ = ("include_usage", "_chat", "_model", "_created")

    def __init__(self, chat, model, include_usage):
        self.include_usage = include_usage
        self._chat = chat
        self._model = model
        self._created = int(time.time())

    def chunk(self, request, index):
        word = request.word(index)
        text = word if index == 0 else " " + word
        last = index + 1 == request.max_tokens
        choice = {"index": 0, "finish_reason": "length" if last else None}
        if self._chat:
            choice["delta"] = {"content": text}
            if index == 0:
                choice["delta"]["role"] = "assistant"
        else:
            choice["text"] = text
        return self._body(request, [choice], ".chunk")

    def usage_chunk(self, request):
        return {
            **self._body(request, [], ".chunk"),
            "usage": self._usage(request),
        }

    def full_body(self, request):
        text = " ".join(map(request.word, range(request.emitted)))
        choice = {"index": 0, "finish_reason": "length"}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            **self._body(request, [choice], ""),
            "usage": self._usage(request),
        }

    def _body(self, request, choices, suffix):
        prefix, kind = "cmpl-", "text_completion"
        if self._chat:
            prefix, kind = "chatcmpl-", "chat.completion" + suffix
        return {
            "id": prefix + request.request_id,
            "object": kind,
            "created": self._created,
            "model": self._model,
            "system_fingerprint": request.weight_version,
            "choices": choices,
        }

    def _usage(self, request):
        return {
            "prompt_tokens": len(request.tokens),
            "completion_tokens": request.emitted,
            "total_tokens": len(request.tokens) + request.emitted,
            "prompt_tokens_details": {"cached_tokens": request.cached_tokens},
        }


class _Completions:
    """Completions, chat completions and resumed streams."""

    def __init__(self, engine):
        self._engine = engine

    def on_post(self, req, resp):
        self._serve(req, resp, _decode(req, _Body), chat=False)

    def on_post_chat(self, req, resp):
        self._serve(req, resp, _decode(req, _Body), chat=True)

    def on_post_resume(self, req, resp, stream_id):
        request_id = stream_id.removeprefix("chat").removeprefix("cmpl-")
        received = _decode(req, _Resume).received
        request = self._engine.resume(request_id, received)
        if request is None:
            raise falcon.HTTPNotFound(title="stream cannot be resumed")
        resp.content_type = "text/event-stream"
        resp.stream = self._stream(req, request, received)

    def _serve(self, req, resp, body, chat):
        engine = self._engine
        model = body.model or engine.options.model
        if model not in (engine.options.model, *engine.adapters):
            raise falcon.HTTPNotFound(title=f"no model {model}")
        options = body.stream_options or _StreamOptions()
        request = engine_model.Request(
            req.get_header("X-Request-Id") or uuid.uuid4().hex,
            body.user or "",
            body.tokens(),
            body.max_completion_tokens
            or body.max_tokens
            or DEFAULT_MAX_TOKENS,
            body.priority,
            context=_ReplyFormat(chat, model, options.include_usage),
            adapter="" if model == engine.options.model else model,
        )
        if body.stream:
            resp.content_type = "text/event-stream"
            resp.stream = self._stream(req, request, 0)
        else:
            resp.content_type = falcon.MEDIA_JSON
            resp.stream = self._full_reply(req, request)

    def _stream(self, req, request, sent):
        cut_after = self._engine.take_cut()
        reply_format = request.context
        for _ in self._progress(req, request):
            while sent < request.emitted:
                if sent == cut_after:
                    serving.cut_connection()
                yield _event(reply_format.chunk(request, sent))
                sent += 1
        if reply_format.include_usage:
            yield _event(reply_format.usage_chunk(request))
        yield b"data: [DONE]\n\n"

    def _full_reply(self, req, request):
        for _ in self._progress(req, request):
            pass
        yield msgspec.json.encode(request.context.full_body(request))

    def _progress(self, req, request):
        """Yield after each new token; cancel if the client disconnects."""
        engine = self._engine
        changed = engine.submit(request)
        disconnected = event.Event()

        def on_disconnect():
            disconnected.set()
            engine.close(request)
            changed.set()

        watch = serving.DisconnectWatch(
            req.env[serving.SOCKET_KEY], on_disconnect
        )
        finished = False
        try:
            while not finished:
                changed.wait()
                changed.clear()
                if disconnected.is_set() or request.cancelled:
                    serving.cut_connection()
                finished = request.finished
                yield
        finally:
            watch.close()
            if not disconnected.is_set():
                engine.close(request)


class _Tokenize:
    def on_post(self, req, resp):
        tokens = _decode(req, _Body).tokens()
        resp.media = {"tokens": tokens, "count": len(tokens)}


class _Models:
    def __init__(self, engine):
        self._engine = engine

    def on_get(self, req, resp):
        engine = self._engine
        names = [engine.options.model, *engine.adapters]
        resp.media = {
            "object": "list",
            "data": [
                {
                    "id": name,
                    "object": "model",
                    "owned_by": "fakes",
                    "weight_version": engine.model.weight_version,
                    "role": engine.role,
                }
                for name in names
            ],
        }


class _Kv:
    """Export and import of cache pieces, and cache events."""

    def __init__(self, engine):
        self._engine = engine

    def _key(self, req, digest):
        return (
            req.get_param("workspace", required=True),
            req.get_param("weight_version", required=True),
            digest,
        )

    def on_get(self, req, resp, digest):
        data = self._engine.model.export_piece(self._key(req, digest))
        if data is None:
            raise falcon.HTTPNotFound(title="piece is not cached")
        resp.content_type = "application/octet-stream"
        resp.data = data

    def on_put(self, req, resp, digest):
        key = self._key(req, digest)
        data = req.bounded_stream.read()
        if key[1] != self._engine.model.weight_version:
            raise falcon.HTTPConflict(title="weight version is not loaded")
        now = self._engine.clock.now()
        if not self._engine.model.import_piece(key, data, now):
            raise falcon.HTTPError(507, title="every cache block is in use")
        resp.status = falcon.HTTP_204

    def on_delete_all(self, req, resp):
        self._engine.model.evict_all(self._engine.clock.now())
        resp.status = falcon.HTTP_204

    def on_get_events(self, req, resp):
        since = req.get_param_as_int("since", default=0)
        resp.media = {"events": self._engine.events_since(since)}


class _Admin:
    """Load report, orders, and the faults that tests inject."""

    def __init__(self, engine):
        self._engine = engine

    def on_get_load(self, req, resp):
        resp.media = self._engine.load_report()

    def on_get_orders(self, req, resp):
        resp.media = {"orders": self._engine.orders}

    def on_post_orders(self, req, resp):
        order = _decode(req, dict)
        try:
            accepted = self._engine.order(order)
        except (KeyError, TypeError, ValueError) as error:
            raise falcon.HTTPBadRequest(title=f"invalid order: {error!r}")
        if not accepted:
            raise falcon.HTTPConflict(
                title="fencing number is older than the last accepted one"
            )
        resp.media = order

    def on_put_faults(self, req, resp):
        faults = _decode(req, _Faults)
        self._engine.cut_after = faults.cut_after
        self._engine.cuts_left = faults.times
        resp.status = falcon.HTTP_204


def _decode(req, message_type):
    try:
        return msgspec.json.decode(
            req.bounded_stream.read(), type=message_type
        )
    except msgspec.MsgspecError as error:
        raise falcon.HTTPBadRequest(title=str(error))


def _event(media):
    return b"data: " + msgspec.json.encode(media) + b"\n\n"


def make_server(
    host: str = "127.0.0.1", port: int = 0, **options: object
) -> serving.Server:
    """Make a server for a model engine.

    Args:
        host: address to listen on.
        port: port to listen on; 0 chooses a free one.
        options: fields of engine_model.Options.

    Returns: a server that has not been started; `state` is the Engine.
    """
    engine = Engine(engine_model.Options(**options), clocks.make_clock())
    completions = _Completions(engine)
    kv = _Kv(engine)
    admin = _Admin(engine)
    app = falcon.App()
    app.add_route("/v1/completions", completions)
    app.add_route("/v1/chat/completions", completions, suffix="chat")
    app.add_route(
        "/v1/streams/{stream_id}/resume", completions, suffix="resume"
    )
    app.add_route("/v1/models", _Models(engine))
    app.add_route("/tokenize", _Tokenize())
    app.add_route("/kv", kv, suffix="all")
    app.add_route("/kv/pieces/{digest}", kv)
    app.add_route("/kv/events", kv, suffix="events")
    app.add_route("/load", admin, suffix="load")
    app.add_route("/orders", admin, suffix="orders")
    app.add_route("/faults", admin, suffix="faults")
    return serving.Server(app, host, port, engine, [engine.run])


def main(**options: object) -> None:
    """Serve until SIGTERM; options are those of make_server."""
    serving.run(make_server(**options))


if __name__ == "__main__":
    fire.Fire(main)
