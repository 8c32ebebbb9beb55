"""Serves calls to plain services, some of which may not be repeated."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import xxhash
from result import Err, Ok
from starlette import requests, responses

from ramptray import settings as settings_module
from ramptray import steadyclock
from ramptray.bundle import model
from ramptray.caller import intake, metrics, refusal, response_cache
from ramptray.caller import request as caller_request
from ramptray.core import message, request
from ramptray.entry import dispatcher
from ramptray.entry import ticket as tickets
from ramptray.service import client as service_client

_HOP_HEADERS = frozenset(
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
        desk: dispatcher.Dispatcher,
        client: service_client.ServiceClient,
        measures: metrics.Metrics,
        answers: response_cache.ResponseCache,
        make_request_id: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._desk = desk
        self._client = client
        self._metrics = measures
        self._answers = answers
        self._make_request_id = make_request_id

    async def serve(self, http: requests.Request) -> responses.Response:
        """Serves one call."""
        match await intake.read_request(
            http, self._desk, self._settings.limits
        ):
            case Err(refused):
                return refused
            case Ok(taken):
                pass
        request_id = self._make_request_id()
        match caller_request.read_plain_request(
            taken.bundle,
            self._settings.zone,
            taken.customer,
            http.headers,
            http.path_params["name"],
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
        return await self._exchange(http, taken, asked)

    async def _exchange(
        self,
        http: requests.Request,
        taken: intake.AuthenticatedRequest,
        asked: caller_request.ParsedRequest,
    ) -> responses.Response:
        service = taken.bundle.services[asked.info.shard.service]
        call = _make_call(http, asked.info.request_id, taken.body)
        if _goes_to_legacy(service, asked):
            assert service.legacy is not None
            return await self._call_legacy(service.legacy.url, asked, call)
        served = PlainExchange(self._desk, self._client, asked, call)
        began = steadyclock.read()
        # Once dispatched, the call runs to its end even if the caller goes.
        with anyio.CancelScope(shield=True):
            outcome = await served.run()
        tier = asked.info.tier
        if isinstance(outcome, request.Finish):
            reason = outcome.reason.value if outcome.reason else ""
            self._metrics.count_end(tier, outcome.outcome.value, reason)
            return refusal.make_response(outcome, asked.info.request_id)
        self._metrics.count_end(tier, message.Outcome.COMPLETE.value, "")
        self._metrics.record("answer", tier, steadyclock.read() - began)
        response = _pass_back(outcome, asked.info.request_id)
        self._answers.put(asked.claim_request, response)
        return response

    async def _call_legacy(
        self,
        url: str,
        asked: caller_request.ParsedRequest,
        call: service_client.Call,
    ) -> responses.Response:
        try:
            answer = await self._client.call(url, call)
        except service_client.NotSentError:
            finish = request.Finish(
                message.Outcome.NOT_RUN, message.Reason.NO_BACKEND, 1.0
            )
            return refusal.make_response(finish, asked.info.request_id)
        except service_client.BrokenError:
            finish = request.Finish(
                message.Outcome.UNKNOWN, message.Reason.BACKEND_LOST
            )
            return refusal.make_response(finish, asked.info.request_id)
        return _pass_back(answer, asked.info.request_id)


class PlainExchange:
    """Serves one call from grant to answer."""

    def __init__(
        self,
        desk: dispatcher.Dispatcher,
        client: service_client.ServiceClient,
        asked: caller_request.ParsedRequest,
        call: service_client.Call,
    ) -> None:
        self._desk = desk
        self._client = client
        self._asked = asked
        self._call = call
        self._answer: service_client.Response | None = None

    async def run(self) -> service_client.Response | request.Finish:
        """Returns the answer, or why there is none."""
        ticket = self._desk.submit(self._asked.info, self._asked.claim_request)
        async for effect in ticket.effects:
            if isinstance(effect, request.Dispatch):
                await self._dispatch(ticket, effect.grant)
            elif effect.outcome is message.Outcome.COMPLETE:
                break
            else:
                return effect
        assert self._answer is not None
        return self._answer

    async def _dispatch(
        self, ticket: tickets.Ticket, grant: message.Grant
    ) -> None:
        request_id = self._asked.info.request_id
        url = self._desk.backends.find_url(grant.backend)
        if url is None:
            ticket.report(tickets.ConnectFailed(request_id))
            return
        began = steadyclock.read()
        try:
            self._answer = await self._client.call(url, self._call)
        except service_client.NotSentError:
            ticket.report(tickets.ConnectFailed(request_id))
        except service_client.BrokenError:
            ended = message.Ended(request_id, 0, 0.0, False, certain=False)
            ticket.report(
                tickets.AnswerLost(ended, message.Reason.BACKEND_LOST)
            )
        else:
            elapsed = steadyclock.read() - began
            first = message.FirstToken(request_id, elapsed, 0, 0)
            ticket.report(tickets.FirstTokenReceived(first))
            ended = message.Ended(request_id, 0, 0.0, True)
            ticket.report(tickets.Completed(ended, self._answer.status))


def _goes_to_legacy(
    service: model.Service, asked: caller_request.ParsedRequest
) -> bool:
    """Returns whether the old script takes this request.

    A key decides for all attempts that carry it, so that a repeated call meets
    the same side, as long as the percentage stays.
    """
    if service.legacy is None:
        return False
    seed = (
        asked.claim_request.key
        if asked.claim_request
        else asked.info.request_id
    )
    return xxhash.xxh3_64_intdigest(seed.encode()) % 10_000 < (
        service.legacy.percent * 100
    )


def _make_call(
    http: requests.Request, request_id: str, body: bytes
) -> service_client.Call:
    query = f"?{http.url.query}" if http.url.query else ""
    headers = [
        (name, value)
        for name, value in http.headers.items()
        if name not in _HOP_HEADERS
    ]
    headers.append(("x-request-id", request_id))
    target = "/" + http.path_params.get("path", "") + query
    return service_client.Call(http.method, target, headers, body)


def _pass_back(
    answer: service_client.Response, request_id: str
) -> responses.Response:
    headers = {
        name: value
        for name, value in answer.headers
        if name.lower() not in _HOP_HEADERS
    }
    headers["x-request-id"] = request_id
    return responses.Response(answer.body, answer.status, headers)
