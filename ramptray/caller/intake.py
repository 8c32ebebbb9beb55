"""What every request goes through first: bundle, customer and body."""

from __future__ import annotations

import anyio
import msgspec
from result import Err, Ok, Result
from starlette import requests, responses

from ramptray import settings as settings_module
from ramptray.bundle import model
from ramptray.caller import refusal
from ramptray.caller import request as caller_request
from ramptray.core import message, request
from ramptray.entry import dispatcher

RETRY_AFTER_S = 1.0


class AuthenticatedRequest(msgspec.Struct, frozen=True):
    """A request whose sender and body are known.

    Attributes:
        bundle: The bundle in force.
        customer: The customer that sent it.
        body: Its body.
    """

    bundle: model.Bundle
    customer: str
    body: bytes


async def read_request(
    http: requests.Request,
    desk: dispatcher.Dispatcher,
    limits: settings_module.CallerLimits,
) -> Result[AuthenticatedRequest, responses.Response]:
    """Returns a request that can be looked at, or the answer to give."""
    match authenticate(http, desk):
        case Err(refused):
            return Err(refused)
        case Ok(intake):
            pass
    body = await _read_body(http, limits)
    if isinstance(body, caller_request.InvalidRequest):
        return Err(refusal.make_invalid_request_response(body))
    return Ok(msgspec.structs.replace(intake, body=body))


def authenticate(
    http: requests.Request, desk: dispatcher.Dispatcher
) -> Result[AuthenticatedRequest, responses.Response]:
    """Returns a request with its customer and no body yet."""
    if desk.in_force is None:
        finish = request.Finish(
            message.Outcome.NOT_RUN, message.Reason.NOT_READY, RETRY_AFTER_S
        )
        return Err(refusal.make_response(finish, ""))
    bundle = desk.in_force.bundle
    match caller_request.find_customer(bundle, http.headers):
        case Err(mistake):
            return Err(refusal.make_invalid_request_response(mistake))
        case Ok(customer):
            return Ok(AuthenticatedRequest(bundle, customer, b""))


async def _read_body(
    http: requests.Request, limits: settings_module.CallerLimits
) -> bytes | caller_request.InvalidRequest:
    """Returns a request's body, or why it is not taken."""
    parts: list[bytes] = []
    size = 0
    try:
        with anyio.fail_after(limits.body_s):
            async for part in http.stream():
                size += len(part)
                if size > limits.body_bytes:
                    text = f"body: at most {limits.body_bytes} bytes"
                    return caller_request.InvalidRequest(413, "too_large", text)
                parts.append(part)
    except TimeoutError:
        text = f"body: expected within {limits.body_s} s"
        return caller_request.InvalidRequest(408, "too_slow", text)
    return b"".join(parts)
