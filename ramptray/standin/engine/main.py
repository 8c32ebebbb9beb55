"""``ramptray-fake-engine``: an honest stand-in for a model engine."""

from __future__ import annotations

import collections
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import anyio
import msgspec
from starlette import applications, requests, responses, routing

from ramptray import process, steadyclock, webserver
from ramptray.bundle import model
from ramptray.core import prefix
from ramptray.settings import Address
from ramptray.standin.engine import batch

IDLE_S = 0.005
KEEP_STREAM_S = 60.0
"""How long a finished stream can still be resumed, in seconds."""

DEFAULT_MAX_TOKENS = 64


class FakeEngineSettings(model.Model, frozen=True, kw_only=True):
    """Settings of the engine stand-in.

    Attributes:
        name: The backend server's name in the bundle.
        listen: IP number and port.
        prefill_tokens_per_s: Prompt tokens computed a second.
        step_s: Time between tokens with one sequence, in seconds.
        step_growth: Part by which each further sequence slows a step.
        max_running: Sequences batched at a time.
        cache_blocks: Prefix blocks kept.
        report_lag_s: Age of its load report.
        cache_event_lag_s: Age of its cache events.
        cache_event_loss: Part of the cache events that are lost.
        checks_fencing: Whether it refuses orders with an old number.
        versions: Model versions loaded at the start.
        load_s: How long loading a version takes.
        seed: Seed of what is drawn by chance.
        log_level: Least level that is logged.
    """

    name: model.Name
    listen: Address
    prefill_tokens_per_s: model.PositiveFloat = 4000.0
    step_s: model.PositiveFloat = 0.02
    step_growth: model.NonNegativeFloat = 0.05
    max_running: model.PositiveInt = 8
    cache_blocks: model.Count = 512
    report_lag_s: model.NonNegativeFloat = 1.0
    cache_event_lag_s: model.NonNegativeFloat = 0.5
    cache_event_loss: model.Fraction = 0.05
    checks_fencing: bool = False
    versions: list[str] = []
    load_s: model.NonNegativeFloat = 0.2
    seed: int = 1
    log_level: str = "INFO"


class Faults(model.Model, frozen=True, kw_only=True):
    """Faults and signs that a test sets.

    Attributes:
        slowdown: Factor on all its times.
        crash_s: Crash now and be unreachable for this long.
        leaving: Whether its load report says that it is leaving.
        break_streams: Cut all open connections once.
        refuse: Whether it admits nothing.
    """

    slowdown: model.PositiveFloat = 1.0
    crash_s: float | None = None
    leaving: bool = False
    break_streams: bool = False
    refuse: bool = False


class Stream(msgspec.Struct):
    """A sequence with its events, kept for resuming."""

    sequence: batch.Sequence
    chat: bool
    version: str
    events: list[str]
    ended_at: float | None = None
    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)


class ConnectionCutError(Exception):
    """Raised to make the web server cut a connection in mid-answer."""


class Engine:
    """The stand-in's HTTP interface around a batch."""

    def __init__(self, settings: FakeEngineSettings) -> None:
        self.settings = settings
        speed = batch.Speed(
            settings.prefill_tokens_per_s,
            settings.step_s,
            settings.step_growth,
        )
        self.batch = batch.Batch(
            speed, settings.max_running, settings.cache_blocks
        )
        self.crash = anyio.Event()
        self.crash_s = 0.0
        self._rng = random.Random(settings.seed)
        self._streams: dict[str, Stream] = {}
        self._faults = Faults()
        self._epoch = 0
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self._versions = set(settings.versions)
        self._loading: dict[str, float] = {}
        self._role = "any"
        self._fencing = -1
        self._events: list[tuple[float, str, int]] = []

    def make_app(self) -> applications.Starlette:
        """Returns the HTTP application."""
        post, put, delete = ["POST"], ["PUT"], ["DELETE"]
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/chat/completions", self._complete, methods=post
                ),
                routing.Route("/v1/completions", self._complete, methods=post),
                routing.Route("/v1/streams/{id}", self._resume),
                routing.Route("/v1/streams/{id}", self._cancel, methods=delete),
                routing.Route("/load", self._report),
                routing.Route("/cache/events", self._list_cache_events),
                routing.Route("/orders", self._take_order, methods=post),
                routing.Route("/orders", self._show_orders),
                routing.Route("/kv", self._export_kv),
                routing.Route("/kv", self._import_kv, methods=put),
                routing.Route("/faults", self._set_faults, methods=put),
                routing.Route("/ledger", self._show_ledger),
            ]
        )

    async def run(self) -> None:
        """Runs the batch, step by step."""
        while True:
            seconds, produced = self.batch.step()
            await anyio.sleep(seconds or IDLE_S)
            for sequence in produced:
                self._emit(sequence)
            self._note_cache_changes()

    async def report(self) -> None:
        """Samples the load, so that the report can lag."""
        while True:
            now = steadyclock.read()
            self._reports.append((now, self._sample()))
            oldest = now - self.settings.report_lag_s - 1
            while self._reports[0][0] < oldest:
                self._reports.pop(0)
            self._drop_old_streams(now)
            self._finish_loads(now)
            await anyio.sleep(0.05)

    def lose_all(self) -> None:
        """Crashes: streams, cache and queue are gone."""
        self.batch.crash()
        self._epoch += 1
        for stream in self._streams.values():
            stream.changed.set()
        self._streams.clear()
        self._reports.clear()

    async def _complete(self, request: requests.Request) -> responses.Response:
        request_id = request.headers.get("x-request-id", "")
        body = await request.json()
        if self._faults.refuse:
            return responses.JSONResponse({"error": "not admitted"}, 503)
        version = request.headers.get("x-model-version", "")
        if version and self._versions and version not in self._versions:
            return responses.JSONResponse({"error": "not loaded"}, 404)
        if request_id in self._streams:
            return responses.JSONResponse({"error": "known request"}, 409)
        self.batch.ledger.dispatches.append((request_id, steadyclock.read()))
        chat = request.url.path.endswith("/chat/completions")
        prompt = render_prompt(body)
        max_tokens = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        sequence = batch.Sequence(
            request_id,
            prompt,
            prefix.hash_blocks(prompt),
            prefix.count_tokens(prompt),
            batch.draw_output_tokens(prompt, max_tokens),
        )
        stream = Stream(sequence, chat, version, [])
        self._streams[request_id] = stream
        self.batch.add(sequence)
        return self._stream(stream, 0)

    async def _resume(self, request: requests.Request) -> responses.Response:
        stream = self._streams.get(request.path_params["id"])
        if stream is None:
            return responses.Response(status_code=404)
        return self._stream(stream, int(request.query_params.get("after", 0)))

    async def _cancel(self, request: requests.Request) -> responses.Response:
        stream = self._streams.pop(request.path_params["id"], None)
        if stream is None:
            return responses.Response(status_code=404)
        self.batch.cancel(stream.sequence)
        stream.changed.set()
        return responses.JSONResponse({})

    def _stream(self, stream: Stream, after: int) -> responses.Response:
        return responses.StreamingResponse(
            self._iterate(stream, after), media_type="text/event-stream"
        )

    async def _iterate(self, stream: Stream, after: int) -> AsyncIterator[str]:
        epoch = self._epoch
        position = after
        while True:
            if epoch != self._epoch or stream.sequence.cancelled:
                raise ConnectionCutError
            fresh = stream.events[position:]
            position += len(fresh)
            if fresh:
                yield "".join(fresh)
            if stream.ended_at and position >= len(stream.events):
                stream.sequence.delivered = True
                return
            if position >= len(stream.events):
                await stream.changed.wait()

    def _emit(self, sequence: batch.Sequence) -> None:
        stream = self._streams.get(sequence.request_id)
        if stream is None:
            return
        text = f"{sequence.tag}-{sequence.made} "
        self._put_event(stream, self._make_chunk(stream, text))
        if sequence.done:
            self._put_event(stream, self._make_chunk(stream, None))
            self._put_event(stream, "[DONE]")
            stream.ended_at = steadyclock.read()
        changed, stream.changed = stream.changed, anyio.Event()
        changed.set()

    def _put_event(self, stream: Stream, data: str) -> None:
        number = len(stream.events) + 1
        stream.events.append(f"id: {number}\ndata: {data}\n\n")

    def _make_chunk(self, stream: Stream, text: str | None) -> str:
        sequence = stream.sequence
        reason = "stop" if text is None else None
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if stream.chat:
            choice["delta"] = {} if text is None else {"content": text}
        else:
            choice["text"] = text or ""
        kind = "chat.completion.chunk" if stream.chat else "text_completion"
        chunk: dict[str, Any] = {
            "id": sequence.request_id,
            "object": kind,
            "created": int(time.time()),
            "model": self.settings.name,
            "choices": [choice],
        }
        if sequence.made == 1 or text is None:
            chunk["usage"] = {
                "prompt_tokens": sequence.prompt_tokens,
                "completion_tokens": sequence.made,
                "total_tokens": sequence.prompt_tokens + sequence.made,
                "prompt_tokens_details": {
                    "cached_tokens": sequence.cached_tokens
                },
            }
        return msgspec.json.encode(chunk).decode()

    def _sample(self) -> dict[str, Any]:
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "leaving": self._faults.leaving,
            "versions": sorted(self._versions),
            "step_s": self.batch.get_step_s(),
        }

    async def _report(self, request: requests.Request) -> responses.Response:
        seen = steadyclock.read() - self.settings.report_lag_s
        old = [sample for at, sample in self._reports if at <= seen]
        return responses.JSONResponse(old[-1] if old else self._sample())

    async def _list_cache_events(
        self, request: requests.Request
    ) -> responses.Response:
        after = int(request.query_params.get("after", 0))
        seen = steadyclock.read() - self.settings.cache_event_lag_s
        ripe = [event for event in self._events if event[0] <= seen]
        asked = ripe[after:][:500]
        return responses.JSONResponse(
            {
                "next": min(after, len(ripe)) + len(asked),
                "stored": [b for _, kind, b in asked if kind == "stored"],
                "removed": [b for _, kind, b in asked if kind == "removed"],
            }
        )

    def _note_cache_changes(self) -> None:
        now = steadyclock.read()
        self._events.extend(
            (now, kind, block)
            for kind, block in self.batch.cache_changes
            if self._rng.random() >= self.settings.cache_event_loss
        )
        self.batch.cache_changes.clear()

    async def _take_order(
        self, request: requests.Request
    ) -> responses.Response:
        order = await request.json()
        argument = str(order.get("argument", ""))
        number = int(order.get("fencing", -1))
        stale = number < self._fencing
        refused = stale and self.settings.checks_fencing
        self.batch.ledger.orders.append(
            {
                **order,
                "stale": stale,
                "refused": refused,
                "at": steadyclock.read(),
            }
        )
        if refused:
            return responses.JSONResponse({"error": "old number"}, 409)
        self._fencing = max(self._fencing, number)
        match order.get("order"):
            case "load":
                self._loading[argument] = (
                    steadyclock.read() + self.settings.load_s
                )
            case "unload":
                self._versions.discard(argument)
            case "role":
                self._role = argument
            case _:
                return responses.JSONResponse({"error": "unknown order"}, 400)
        return responses.JSONResponse(self._describe_orders())

    async def _show_orders(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(self._describe_orders())

    def _describe_orders(self) -> dict[str, Any]:
        return {
            "versions": sorted(self._versions),
            "loading": sorted(self._loading),
            "role": self._role,
            "fencing": self._fencing,
            "running": dict(
                collections.Counter(
                    stream.version
                    for stream in self._streams.values()
                    if not stream.ended_at
                )
            ),
        }

    def _finish_loads(self, now: float) -> None:
        for version, due in list(self._loading.items()):
            if due <= now:
                del self._loading[version]
                self._versions.add(version)

    async def _export_kv(self, request: requests.Request) -> responses.Response:
        stream = self._streams.get(request.query_params.get("request", ""))
        if stream is None:
            return responses.Response(status_code=404)
        return responses.JSONResponse({"blocks": list(stream.sequence.blocks)})

    async def _import_kv(self, request: requests.Request) -> responses.Response:
        blocks = tuple((await request.json())["blocks"])
        stored, evicted = self.batch.cache.store(blocks)
        return responses.JSONResponse(
            {"stored": len(stored), "evicted": len(evicted)}
        )

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        try:
            self._faults = msgspec.convert(await request.json(), Faults)
        except msgspec.ValidationError as error:
            return responses.JSONResponse({"error": str(error)}, 400)
        self.batch.slowdown = self._faults.slowdown
        if self._faults.break_streams:
            self._epoch += 1
            for stream in self._streams.values():
                changed, stream.changed = stream.changed, anyio.Event()
                changed.set()
        if self._faults.crash_s is not None:
            self.crash_s = self._faults.crash_s
            self.crash.set()
        return responses.JSONResponse({})

    async def _show_ledger(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(msgspec.to_builtins(self.batch.ledger))

    def _drop_old_streams(self, now: float) -> None:
        self._streams = {
            request_id: stream
            for request_id, stream in self._streams.items()
            if not stream.ended_at or now - stream.ended_at < KEEP_STREAM_S
        }


def render_prompt(body: dict[str, Any]) -> str:
    """Returns the text that the engine computes for a request's body."""
    if "messages" in body:
        return "".join(
            f"{message.get('role')}: {message.get('content')}\n"
            for message in body["messages"]
        )
    prompt = body.get("prompt", "")
    return prompt if isinstance(prompt, str) else "".join(map(str, prompt))


async def main(settings: FakeEngineSettings, stop: process.Stop) -> None:
    """Serves until a stop is asked for; a crash is a life of its own."""
    engine = Engine(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(engine.run)
        tasks.start_soon(engine.report)
        tasks.start_soon(_serve_lives, engine)
        await stop.event.wait()
        tasks.cancel_scope.cancel()


async def _serve_lives(engine: Engine) -> None:
    while True:
        engine.crash = anyio.Event()
        listener = webserver.bind(engine.settings.listen)
        server = webserver.make_server(engine.make_app())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [listener])
            await engine.crash.wait()
            engine.lose_all()
            server.should_exit = True
            server.force_exit = True
        listener.close()
        await anyio.sleep(engine.crash_s)


run = process.make_command(
    "ramptray-fake-engine",
    FakeEngineSettings,
    main,
    "Stands in for a model engine with continuous batching.",
)
