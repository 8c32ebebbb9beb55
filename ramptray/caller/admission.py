"""Limits the number of requests that an entry serves concurrently."""

from __future__ import annotations

from starlette import types

from ramptray.caller import refusal
from ramptray.core import message, request

RETRY_AFTER_S = 1.0
"""Delay that a refused caller is told to wait before a retry."""

UNLIMITED_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
"""Paths of health probes and metrics, which the limit does not apply to."""


class Admission:
    """ASGI middleware that rejects requests above a concurrency limit.

    Rejected requests get a complete error response.

    Args:
        app: The application that serves the admitted requests.
        max_concurrent: Maximum number of requests served concurrently.
    """

    def __init__(self, app: types.ASGIApp, max_concurrent: int) -> None:
        self._app = app
        self._max_concurrent = max_concurrent
        self._active = 0

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serves or rejects one request."""
        if scope["type"] != "http" or scope["path"] in UNLIMITED_PATHS:
            await self._app(scope, receive, send)
            return
        if self._active >= self._max_concurrent:
            finish = request.Finish(
                message.Outcome.NOT_RUN,
                message.Reason.OVERLOADED,
                RETRY_AFTER_S,
            )
            response = refusal.make_response(finish, "")
            await response(scope, receive, send)
            return
        self._active += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._active -= 1
