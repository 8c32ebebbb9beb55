"""Serves calls to plain services, some of which must not be retried."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import xxhash
from result import Err, Ok
from starlette import requests, responses

from ramptray import settings as settings_module
from ramptray import steadyclock
from ramptray.bundle import model
from ramptray.caller import authentication, refusal, response_cache
from ramptray.caller import metrics as caller_metrics
from ramptray.caller import request as caller_request
from ramptray.core import message, request
from ramptray.entry import dispatcher as entry_dispatcher
from ramptray.entry import ticket as tickets
from ramptray.service import client as service_client

_HOP_BY_HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class PlainServices:
    """Serves ``/services/NAME/...``."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        dispatcher: entry_dispatcher.Dispatcher,
        client: service_client.ServiceClient,
        metrics: caller_metrics.Metrics,
        cache: response_cache.ResponseCache,
        make_request_id: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._client = client
        self._metrics = metrics
        self._response_cache = cache
        self._make_request_id = make_request_id

    async def serve(self, http: requests.Request) -> responses.Response:
        """Serves one call."""
        match await authentication.read_request(
            http, self._dispatcher, self._settings.limits
        ):
            case Err(error_response):
                return error_response
            case Ok(authenticated):
                pass
        request_id = self._make_request_id()
        match caller_request.read_plain_request(
            authenticated.bundle,
            self._settings.zone,
            authenticated.customer,
            http.headers,
            http.path_params["name"],
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
        return await self._exchange(http, authenticated, parsed_request)

    async def _exchange(
        self,
        http: requests.Request,
        authenticated: authentication.AuthenticatedRequest,
        parsed_request: caller_request.ParsedRequest,
    ) -> responses.Response:
        service = authenticated.bundle.services[
            parsed_request.info.shard.service
        ]
        call = _make_call(
            http, parsed_request.info.request_id, authenticated.body
        )
        if _goes_to_legacy(service, parsed_request):
            assert service.legacy is not None
            return await self._call_legacy(
                service.legacy.url, parsed_request, call
            )
        plain_exchange = PlainExchange(
            self._dispatcher, self._client, parsed_request, call
        )
        started_at = steadyclock.read()
        # A dispatched call runs to its end even if the caller disconnects.
        with anyio.CancelScope(shield=True):
            outcome = await plain_exchange.run()
        tier = parsed_request.info.tier
        if isinstance(outcome, request.Finish):
            reason = outcome.reason.value if outcome.reason else ""
            self._metrics.count_end(tier, outcome.outcome.value, reason)
            return refusal.make_response(
                outcome, parsed_request.info.request_id
            )
        self._metrics.count_end(tier, message.Outcome.COMPLETE.value, "")
        self._metrics.record("answer", tier, steadyclock.read() - started_at)
        response = _make_response(outcome, parsed_request.info.request_id)
        self._response_cache.put(parsed_request.claim_request, response)
        return response

    async def _call_legacy(
        self,
        url: str,
        parsed_request: caller_request.ParsedRequest,
        call: service_client.Call,
    ) -> responses.Response:
        try:
            service_response = await self._client.call(url, call)
        except service_client.NotSentError:
            finish = request.Finish(
                message.Outcome.NOT_RUN, message.Reason.NO_BACKEND, 1.0
            )
            return refusal.make_response(finish, parsed_request.info.request_id)
        except service_client.BrokenError:
            finish = request.Finish(
                message.Outcome.UNKNOWN, message.Reason.BACKEND_LOST
            )
            return refusal.make_response(finish, parsed_request.info.request_id)
        return _make_response(service_response, parsed_request.info.request_id)


class PlainExchange:
    """Runs one call, from its submission to its response."""

    def __init__(
        self,
        dispatcher: entry_dispatcher.Dispatcher,
        client: service_client.ServiceClient,
        parsed_request: caller_request.ParsedRequest,
        call: service_client.Call,
    ) -> None:
        self._dispatcher = dispatcher
        self._client = client
        self._parsed_request = parsed_request
        self._call = call
        self._response: service_client.Response | None = None

    async def run(self) -> service_client.Response | request.Finish:
        """Returns the response, or why the call failed."""
        ticket = self._dispatcher.submit(
            self._parsed_request.info, self._parsed_request.claim_request
        )
        async for effect in ticket.effects:
            if isinstance(effect, request.Dispatch):
                await self._dispatch(ticket, effect.grant)
            elif effect.outcome is message.Outcome.COMPLETE:
                break
            else:
                return effect
        assert self._response is not None
        return self._response

    async def _dispatch(
        self, ticket: tickets.Ticket, grant: message.Grant
    ) -> None:
        request_id = self._parsed_request.info.request_id
        url = self._dispatcher.backends.find_url(grant.backend)
        if url is None:
            ticket.report(tickets.ConnectFailed(request_id))
            return
        started_at = steadyclock.read()
        try:
            self._response = await self._client.call(url, self._call)
        except service_client.NotSentError:
            ticket.report(tickets.ConnectFailed(request_id))
        except service_client.BrokenError:
            ended = message.Ended(request_id, 0, 0.0, False, certain=False)
            ticket.report(
                tickets.AnswerLost(ended, message.Reason.BACKEND_LOST)
            )
        else:
            elapsed = steadyclock.read() - started_at
            first = message.FirstToken(request_id, elapsed, 0, 0)
            ticket.report(tickets.FirstTokenReceived(first))
            ended = message.Ended(request_id, 0, 0.0, True)
            ticket.report(tickets.Completed(ended, self._response.status))


def _goes_to_legacy(
    service: model.Service, parsed_request: caller_request.ParsedRequest
) -> bool:
    """Returns whether the legacy script serves this request.

    The idempotency key decides, so that retries with the same key go to the
    same side while the percentage does not change.
    """
    if service.legacy is None:
        return False
    sampling_key = (
        parsed_request.claim_request.key
        if parsed_request.claim_request
        else parsed_request.info.request_id
    )
    return xxhash.xxh3_64_intdigest(sampling_key.encode()) % 10_000 < (
        service.legacy.percent * 100
    )


def _make_call(
    http: requests.Request, request_id: str, body: bytes
) -> service_client.Call:
    query = f"?{http.url.query}" if http.url.query else ""
    headers = [
        (name, value)
        for name, value in http.headers.items()
        if name not in _HOP_BY_HOP_HEADERS
    ]
    headers.append(("x-request-id", request_id))
    target = "/" + http.path_params.get("path", "") + query
    return service_client.Call(http.method, target, headers, body)


def _make_response(
    service_response: service_client.Response, request_id: str
) -> responses.Response:
    headers = {
        name: value
        for name, value in service_response.headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
    }
    headers["x-request-id"] = request_id
    return responses.Response(
        service_response.body, service_response.status, headers
    )
