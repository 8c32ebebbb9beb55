"""The HTTP application for callers."""

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
    admission,
    authentication,
    completion,
    memory,
    plain,
    refusal,
    response_cache,
)
from ramptray.caller import metrics as caller_metrics
from ramptray.caller import request as caller_request
from ramptray.core import message, request
from ramptray.engine import client as engine_client
from ramptray.engine import event
from ramptray.entry import dispatcher as entry_dispatcher
from ramptray.entry import exchange
from ramptray.service import client as service_client

LOG = logging.getLogger(__name__)

PLAIN_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class CallerApp:
    """Serves completions, the list of models, plain services and probes."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        dispatcher: entry_dispatcher.Dispatcher,
        client: engine_client.EngineClient,
        services: service_client.ServiceClient,
        metrics: caller_metrics.Metrics,
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        self.stopping = False
        self._settings = settings
        self._dispatcher = dispatcher
        self._client = client
        self._metrics = metrics
        self._task_group = task_group
        self._instance_id = secrets.token_hex(4)
        self._numbers = itertools.count(1)
        self._response_cache = response_cache.ResponseCache()
        self._plain = plain.PlainServices(
            settings,
            dispatcher,
            services,
            metrics,
            self._response_cache,
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
            ],
            exception_handlers={memory.CrowdedError: _refuse_crowded},
        )

    async def _complete(self, http: requests.Request) -> responses.Response:
        match await authentication.read_request(
            http, self._dispatcher, self._settings.limits
        ):
            case Err(error_response):
                return error_response
            case Ok(authenticated):
                pass
        memory.get_memory(http.scope).hold_body(
            len(authenticated.body),
            memory.estimate_decoded_bytes(authenticated.body),
        )
        match caller_request.parse_body(authenticated.body):
            case Err(invalid_request):
                return refusal.make_invalid_request_response(invalid_request)
            case Ok(payload):
                pass
        request_id = self._make_request_id()
        match caller_request.read_model_request(
            authenticated.bundle,
            self._settings.zone,
            authenticated.customer,
            http.headers,
            payload,
            completion.render_prompt(payload),
            request_id,
            authenticated.body,
        ):
            case Err(invalid_request):
                return refusal.make_invalid_request_response(invalid_request)
            case Ok(parsed_request):
                pass
        cached = self._response_cache.find(parsed_request.claim_request)
        if cached is not None:
            return cached.make_response()
        return await self._exchange(http, parsed_request, payload)

    async def _exchange(
        self,
        http: requests.Request,
        parsed_request: caller_request.ParsedRequest,
        payload: dict[str, Any],
    ) -> responses.Response:
        wants_stream = bool(payload.get("stream"))
        forwarded = {**payload, "stream": True}
        ticket = self._dispatcher.submit(
            parsed_request.info, parsed_request.claim_request
        )
        model_exchange = exchange.Exchange(
            ticket,
            exchange.ModelCall(http.url.path, msgspec.json.encode(forwarded)),
            self._client,
            self._dispatcher.backends.find_url,
            self._settings.limits.idle_write_s,
        )
        self._task_group.start_soon(model_exchange.run)
        measured = MeasuredExchange(
            model_exchange, parsed_request.info, self._metrics
        )
        try:
            first = await _receive_or_disconnect(http, model_exchange)
        except anyio.get_cancelled_exc_class():
            model_exchange.cancel()
            raise
        if first is None:
            return responses.Response(status_code=499)
        if isinstance(first, request.Finish):
            measured.count_end(first)
            return refusal.make_response(first, model_exchange.request_id)
        if not wants_stream:
            response = await self._respond_complete(http, measured, first)
            if response.status_code == 200:
                self._response_cache.put(parsed_request.claim_request, response)
            return response
        return responses.StreamingResponse(
            measured.iterate(first),
            media_type="text/event-stream",
            headers={"x-request-id": model_exchange.request_id},
        )

    async def _respond_complete(
        self,
        http: requests.Request,
        measured: MeasuredExchange,
        first: event.Event,
    ) -> responses.Response:
        events = [first]
        model_exchange = measured.model_exchange
        measured.record_event(first)
        while True:
            try:
                item = await _receive_or_disconnect(http, model_exchange)
            except anyio.get_cancelled_exc_class():
                model_exchange.cancel()
                raise
            if item is None:
                return responses.Response(status_code=499)
            if isinstance(item, request.Finish):
                break
            measured.record_event(item)
            events.append(item)
        measured.count_end(item)
        if item.outcome is not message.Outcome.COMPLETE:
            return refusal.make_response(item, model_exchange.request_id)
        return responses.JSONResponse(
            completion.assemble_completion(events),
            headers={"x-request-id": model_exchange.request_id},
        )

    def _make_request_id(self) -> str:
        return f"{self._settings.vm}-{self._instance_id}-{next(self._numbers)}"

    async def _list_models(self, http: requests.Request) -> responses.Response:
        match authentication.authenticate(http, self._dispatcher):
            case Err(error_response):
                return error_response
            case Ok(authenticated):
                pass
        names = [
            name
            for name, service in authenticated.bundle.services.items()
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
        in_force = self._dispatcher.in_force
        ready = in_force is not None and not self.stopping
        generation = in_force.generation if in_force else None
        return responses.JSONResponse(
            {"ready": ready, "generation": generation},
            status_code=200 if ready else 503,
        )

    async def _show_metrics(self, http: requests.Request) -> responses.Response:
        return responses.PlainTextResponse(self._metrics.format())


class MeasuredExchange:
    """An exchange whose events are recorded in the metrics."""

    def __init__(
        self,
        model_exchange: exchange.Exchange,
        info: message.RequestInfo,
        metrics: caller_metrics.Metrics,
    ) -> None:
        self.model_exchange = model_exchange
        self._tier = info.tier
        self._metrics = metrics
        self._started_at = steadyclock.read()
        self._last_event_at: float | None = None
        self._tokens = 0

    async def iterate(self, first: event.Event) -> AsyncIterator[str]:
        """Yields the response as server-sent events."""
        ended = False
        try:
            self.record_event(first)
            yield _format_event(first)
            async for item in self.model_exchange.items:
                if isinstance(item, request.Finish):
                    ended = True
                    self.count_end(item)
                    yield self._format_end(item)
                    return
                self.record_event(item)
                yield _format_event(item)
            # The exchange was closed because the caller did not read; it may
            # still read this final event.
            finish = request.Finish(
                message.Outcome.UNKNOWN, message.Reason.CALLER_GONE
            )
            self.count_end(finish)
            yield self._format_end(finish)
        finally:
            if not ended:
                self.model_exchange.cancel()

    def record_event(self, item: event.Event) -> None:
        """Records the latency of one event."""
        now = steadyclock.read()
        if self._last_event_at is None:
            self._metrics.record(
                "first_token", self._tier, now - self._started_at
            )
        else:
            self._metrics.record(
                "token_gap", self._tier, now - self._last_event_at
            )
        self._last_event_at = now
        self._tokens += 1

    def count_end(self, finish: request.Finish) -> None:
        """Records the end of the request."""
        reason = finish.reason.value if finish.reason else ""
        self._metrics.count_end(self._tier, finish.outcome.value, reason)
        if finish.outcome is message.Outcome.COMPLETE:
            self._metrics.count_tokens(self._tier, self._tokens)
            self._metrics.record(
                "answer", self._tier, steadyclock.read() - self._started_at
            )

    def _format_end(self, finish: request.Finish) -> str:
        if finish.outcome is message.Outcome.COMPLETE:
            return f"data: {event.END_DATA}\n\n"
        return refusal.make_event(finish, self.model_exchange.request_id)


async def _receive_or_disconnect(
    http: requests.Request, model_exchange: exchange.Exchange
) -> exchange.Item | None:
    """Returns the next item, or None if the caller disconnects first."""
    result: exchange.Item | None = None

    async def watch_for_disconnect(scope: anyio.CancelScope) -> None:
        while True:
            received = await http.receive()
            if received["type"] == "http.disconnect":
                scope.cancel()
                return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_for_disconnect, tasks.cancel_scope)
        try:
            result = await model_exchange.items.receive()
        except anyio.EndOfStream:
            result = None
        tasks.cancel_scope.cancel()
    if result is None:
        model_exchange.cancel()
    return result


async def _refuse_crowded(
    http: requests.Request, error: Exception
) -> responses.Response:
    return admission.make_overload_response()


def _format_event(item: event.Event) -> str:
    return f"data: {item.data}\n\n"
