"""The HTTP application that callers talk to."""

from __future__ import annotations

import itertools
import logging
import secrets
from collections.abc import AsyncIterator
from typing import Any

import anyio
import anyio.abc
import msgspec
from result import Err, Ok
from starlette import applications, requests, responses, routing

from ramptray import settings as settings_module
from ramptray import steadyclock
from ramptray.bundle import model
from ramptray.caller import (
    completion,
    intake,
    metrics,
    plain,
    refusal,
    response_cache,
)
from ramptray.caller import request as caller_request
from ramptray.core import message, request
from ramptray.engine import client as engine_client
from ramptray.engine import event
from ramptray.entry import dispatcher, exchange
from ramptray.service import client as service_client

LOG = logging.getLogger(__name__)

PLAIN_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class CallerApp:
    """Serves callers: completions, models, plain services and probes."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        desk: dispatcher.Dispatcher,
        client: engine_client.EngineClient,
        services: service_client.ServiceClient,
        measures: metrics.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self.stopping = False
        self._settings = settings
        self._desk = desk
        self._client = client
        self._metrics = measures
        self._tasks = tasks
        self._boot = secrets.token_hex(4)
        self._numbers = itertools.count(1)
        self._answers = response_cache.ResponseCache()
        self._plain = plain.PlainServices(
            settings,
            desk,
            services,
            measures,
            self._answers,
            self._make_request_id,
        )

    def make_app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        post = ["POST"]
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/chat/completions", self._complete, methods=post
                ),
                routing.Route("/v1/completions", self._complete, methods=post),
                routing.Route("/v1/models", self._list_models),
                routing.Route(
                    "/services/{name}",
                    self._plain.serve,
                    methods=PLAIN_METHODS,
                ),
                routing.Route(
                    "/services/{name}/{path:path}",
                    self._plain.serve,
                    methods=PLAIN_METHODS,
                ),
                routing.Route("/healthz", self._show_health),
                routing.Route("/readyz", self._show_ready),
                routing.Route("/metrics", self._show_metrics),
            ]
        )

    async def _complete(self, http: requests.Request) -> responses.Response:
        match await intake.read_request(
            http, self._desk, self._settings.limits
        ):
            case Err(refused):
                return refused
            case Ok(taken):
                pass
        match caller_request.parse_body(taken.body):
            case Err(mistake):
                return refusal.make_invalid_request_response(mistake)
            case Ok(parsed):
                pass
        request_id = self._make_request_id()
        match caller_request.read_model_request(
            taken.bundle,
            self._settings.zone,
            taken.customer,
            http.headers,
            parsed,
            completion.render_prompt(parsed),
            request_id,
            taken.body,
        ):
            case Err(mistake):
                return refusal.make_invalid_request_response(mistake)
            case Ok(asked):
                pass
        held = self._answers.find(asked.claim_request)
        if held is not None:
            return held.make_response()
        return await self._exchange(http, asked, parsed)

    async def _exchange(
        self,
        http: requests.Request,
        asked: caller_request.ParsedRequest,
        parsed: dict[str, Any],
    ) -> responses.Response:
        wants_stream = bool(parsed.get("stream"))
        sent = {**parsed, "stream": True}
        ticket = self._desk.submit(asked.info, asked.claim_request)
        served = exchange.Exchange(
            ticket,
            exchange.ModelCall(http.url.path, msgspec.json.encode(sent)),
            self._client,
            self._desk.backends.find_url,
            self._settings.limits.idle_write_s,
        )
        self._tasks.start_soon(served.run)
        watched = WatchedExchange(served, asked.info, self._metrics)
        try:
            first = await _receive_or_leave(http, served)
        except anyio.get_cancelled_exc_class():
            served.cancel()
            raise
        if first is None:
            return responses.Response(status_code=499)
        if isinstance(first, request.Finish):
            watched.count_end(first)
            return refusal.make_response(first, served.request_id)
        if not wants_stream:
            response = await self._answer_whole(http, watched, first)
            if response.status_code == 200:
                self._answers.put(asked.claim_request, response)
            return response
        return responses.StreamingResponse(
            watched.iterate(first),
            media_type="text/event-stream",
            headers={"x-request-id": served.request_id},
        )

    async def _answer_whole(
        self,
        http: requests.Request,
        watched: WatchedExchange,
        first: event.Event,
    ) -> responses.Response:
        events = [first]
        served = watched.served
        watched.note(first)
        while True:
            try:
                item = await _receive_or_leave(http, served)
            except anyio.get_cancelled_exc_class():
                served.cancel()
                raise
            if item is None:
                return responses.Response(status_code=499)
            if isinstance(item, request.Finish):
                break
            watched.note(item)
            events.append(item)
        watched.count_end(item)
        if item.outcome is not message.Outcome.COMPLETE:
            return refusal.make_response(item, served.request_id)
        return responses.JSONResponse(
            completion.assemble_completion(events),
            headers={"x-request-id": served.request_id},
        )

    def _make_request_id(self) -> str:
        return f"{self._settings.vm}-{self._boot}-{next(self._numbers)}"

    async def _list_models(self, http: requests.Request) -> responses.Response:
        match intake.authenticate(http, self._desk):
            case Err(refused):
                return refused
            case Ok(taken):
                pass
        names = [
            name
            for name, service in taken.bundle.services.items()
            if service.kind is model.ServiceKind.MODEL
        ]
        return responses.JSONResponse(
            {
                "object": "list",
                "data": [
                    {
                        "id": name,
                        "object": "model",
                        "created": 0,
                        "owned_by": "ramptray",
                    }
                    for name in names
                ],
            }
        )

    async def _show_health(self, http: requests.Request) -> responses.Response:
        return responses.JSONResponse({"status": "ok"})

    async def _show_ready(self, http: requests.Request) -> responses.Response:
        in_force = self._desk.in_force
        ready = in_force is not None and not self.stopping
        generation = in_force.generation if in_force else None
        return responses.JSONResponse(
            {"ready": ready, "generation": generation},
            status_code=200 if ready else 503,
        )

    async def _show_metrics(self, http: requests.Request) -> responses.Response:
        return responses.PlainTextResponse(self._metrics.format())


class WatchedExchange:
    """An exchange whose items are counted on their way to the caller."""

    def __init__(
        self,
        served: exchange.Exchange,
        info: message.RequestInfo,
        measures: metrics.Metrics,
    ) -> None:
        self.served = served
        self._tier = info.tier
        self._metrics = measures
        self._began = steadyclock.read()
        self._last: float | None = None
        self._tokens = 0

    async def iterate(self, first: event.Event) -> AsyncIterator[str]:
        """Yields the answer as server-sent events."""
        ended = False
        try:
            self.note(first)
            yield _format_event(first)
            async for item in self.served.items:
                if isinstance(item, request.Finish):
                    ended = True
                    self.count_end(item)
                    yield self._format_end(item)
                    return
                self.note(item)
                yield _format_event(item)
            # Dropped, since the caller did not read: it may yet read this.
            cut = request.Finish(
                message.Outcome.UNKNOWN, message.Reason.CALLER_GONE
            )
            self.count_end(cut)
            yield self._format_end(cut)
        finally:
            if not ended:
                self.served.cancel()

    def note(self, item: event.Event) -> None:
        """Measures one event."""
        now = steadyclock.read()
        if self._last is None:
            self._metrics.record("first_token", self._tier, now - self._began)
        else:
            self._metrics.record("token_gap", self._tier, now - self._last)
        self._last = now
        self._tokens += 1

    def count_end(self, finish: request.Finish) -> None:
        """Counts the request's end."""
        reason = finish.reason.value if finish.reason else ""
        self._metrics.count_end(self._tier, finish.outcome.value, reason)
        if finish.outcome is message.Outcome.COMPLETE:
            self._metrics.count_tokens(self._tier, self._tokens)
            self._metrics.record(
                "answer", self._tier, steadyclock.read() - self._began
            )

    def _format_end(self, finish: request.Finish) -> str:
        if finish.outcome is message.Outcome.COMPLETE:
            return f"data: {event.END_DATA}\n\n"
        return refusal.make_event(finish, self.served.request_id)


async def _receive_or_leave(
    http: requests.Request, served: exchange.Exchange
) -> exchange.Item | None:
    """Returns the next item, or None if the caller goes away first."""
    result: exchange.Item | None = None

    async def watch(scope: anyio.CancelScope) -> None:
        while True:
            received = await http.receive()
            if received["type"] == "http.disconnect":
                scope.cancel()
                return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch, tasks.cancel_scope)
        try:
            result = await served.items.receive()
        except anyio.EndOfStream:
            result = None
        tasks.cancel_scope.cancel()
    if result is None:
        served.cancel()
    return result


def _format_event(item: event.Event) -> str:
    return f"data: {item.data}\n\n"
