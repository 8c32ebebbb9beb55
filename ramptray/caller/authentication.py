"""Authenticates callers' requests and reads their bodies."""

from __future__ import annotations

import anyio
import msgspec
from result import Err, Ok, Result
from starlette import requests, responses

from ramptray import settings as settings_module
from ramptray.bundle import model
from ramptray.caller import memory, refusal
from ramptray.caller import request as caller_request
from ramptray.core import message, request
from ramptray.entry import dispatcher as entry_dispatcher

RETRY_AFTER_S = 1.0
"""Delay that a caller is told to wait while there is no bundle."""


class AuthenticatedRequest(msgspec.Struct, frozen=True):
    """A request with its customer and body.

    Attributes:
        bundle: The bundle in force.
        customer: The customer whose key the request carries.
        body: The request body; empty until it is read.
    """

    bundle: model.Bundle
    customer: str
    body: bytes


async def read_request(
    http: requests.Request,
    dispatcher: entry_dispatcher.Dispatcher,
    limits: settings_module.CallerLimits,
) -> Result[AuthenticatedRequest, responses.Response]:
    """Authenticates a request and reads its body.

    Returns:
        The request, or the error response to send.

    Raises:
        memory.CrowdedError: There is no room for it.
    """
    match authenticate(http, dispatcher):
        case Err(error_response):
            return Err(error_response)
        case Ok(authenticated):
            pass
    body = await _read_body(http, limits)
    if isinstance(body, caller_request.InvalidRequest):
        return Err(refusal.make_invalid_request_response(body))
    return Ok(msgspec.structs.replace(authenticated, body=body))


def authenticate(
    http: requests.Request, dispatcher: entry_dispatcher.Dispatcher
) -> Result[AuthenticatedRequest, responses.Response]:
    """Authenticates a request, without reading its body.

    Returns:
        The request, or the error response to send.
    """
    if dispatcher.in_force is None:
        finish = request.Finish(
            message.Outcome.NOT_RUN, message.Reason.NOT_READY, RETRY_AFTER_S
        )
        return Err(refusal.make_response(finish, ""))
    bundle = dispatcher.in_force.bundle
    match caller_request.find_customer(bundle, http.headers):
        case Err(invalid_request):
            return Err(refusal.make_invalid_request_response(invalid_request))
        case Ok(customer):
            return Ok(AuthenticatedRequest(bundle, customer, b""))


async def _read_body(
    http: requests.Request, limits: settings_module.CallerLimits
) -> bytes | caller_request.InvalidRequest:
    """Returns the body of a request, or why the request is invalid.

    Raises:
        memory.CrowdedError: There is no room for it.
    """
    too_large = caller_request.InvalidRequest(
        413, "too_large", f"body: at most {limits.body_bytes} bytes"
    )
    # A body in chunks has no length, whatever else its head says.
    is_chunked = "transfer-encoding" in http.headers
    declared = 0 if is_chunked else int(http.headers.get("content-length", 0))
    if declared > limits.body_bytes:
        return too_large
    held = memory.get_memory(http.scope)
    held.hold_body(declared)
    body = bytearray()
    try:
        with held.begin_reading(), anyio.fail_after(limits.body_s):
            async for chunk in http.stream():
                body += chunk
                if len(body) > limits.body_bytes:
                    return too_large
                if is_chunked:
                    held.hold_body(len(body) + memory.STEP_BYTES)
    except TimeoutError:
        text = f"body: expected within {limits.body_s} s"
        return caller_request.InvalidRequest(408, "too_slow", text)
    finally:
        held.end_reading()
    if held.is_refused:
        raise memory.CrowdedError
    return bytes(body)
