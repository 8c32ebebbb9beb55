"""Reads request bodies within the limits of size and time."""

from __future__ import annotations

import anyio
from starlette import requests

from ramptray import settings as settings_module
from ramptray.caller import request as caller_request


async def read(
    http: requests.Request, limits: settings_module.CallerLimits
) -> bytes | caller_request.Mistake:
    """Returns a request's body, or why it is not taken."""
    parts: list[bytes] = []
    size = 0
    try:
        with anyio.fail_after(limits.body_s):
            async for part in http.stream():
                size += len(part)
                if size > limits.body_bytes:
                    text = f"body: at most {limits.body_bytes} bytes"
                    return caller_request.Mistake(413, "too_large", text)
                parts.append(part)
    except TimeoutError:
        text = f"body: expected within {limits.body_s} s"
        return caller_request.Mistake(408, "too_slow", text)
    return b"".join(parts)
