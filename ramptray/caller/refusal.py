"""Builds error responses for requests without a complete response."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from starlette import responses

from ramptray.caller import request as caller_request
from ramptray.core import message, request

STATUS = {
    message.Reason.OVERLOADED: 503,
    message.Reason.DEADLINE: 504,
    message.Reason.CUSTOMER_LIMIT: 429,
    message.Reason.NO_BACKEND: 503,
    message.Reason.UNKNOWN_SERVICE: 404,
    message.Reason.NOT_READY: 503,
    message.Reason.CALLER_GONE: 499,
    message.Reason.LOG_UNAVAILABLE: 503,
    message.Reason.KEY_IN_PROGRESS: 409,
    message.Reason.KEY_DONE: 409,
    message.Reason.KEY_REUSED: 422,
    message.Reason.KEY_EXPIRED: 409,
    message.Reason.BACKEND_REFUSED: 503,
    message.Reason.BACKEND_LOST: 502,
    message.Reason.STREAM_BROKEN: 502,
    message.Reason.BLOCKED: 503,
    message.Reason.STOPPING: 503,
    message.Reason.NO_RELEASE: 503,
}


def make_response(
    finish: request.Finish, request_id: str
) -> responses.Response:
    """Returns the HTTP response to a request that failed."""
    assert finish.reason is not None
    headers = {"x-request-id": request_id}
    if finish.retry_after_s > 0:
        headers["retry-after"] = str(math.ceil(finish.retry_after_s))
    return responses.JSONResponse(
        make_body(finish, request_id),
        status_code=STATUS[finish.reason],
        headers=headers,
    )


def make_event(finish: request.Finish, request_id: str) -> str:
    """Returns the server-sent event that ends an incomplete stream."""
    data = msgspec.json.encode(make_body(finish, request_id)).decode()
    return f"event: error\ndata: {data}\n\n"


def make_body(finish: request.Finish, request_id: str) -> dict[str, Any]:
    """Returns an error body in the format of the OpenAI API."""
    reason = finish.reason.value if finish.reason else "unknown"
    return {
        "error": {
            "message": f"no whole answer: {reason}",
            "type": "ramptray_refusal",
            "code": reason,
            "outcome": finish.outcome.value,
            "reason": reason,
            "retry_after_s": finish.retry_after_s or None,
            "request_id": request_id,
        }
    }


def make_invalid_request_response(
    invalid_request: caller_request.InvalidRequest,
) -> responses.JSONResponse:
    """Returns the HTTP response to an invalid request."""
    return responses.JSONResponse(
        {
            "error": {
                "message": invalid_request.text,
                "type": "invalid_request_error",
                "code": invalid_request.code,
                "outcome": invalid_request.outcome.value,
                "reason": invalid_request.code,
            }
        },
        status_code=invalid_request.status,
    )
