"""Limits the requests that an entry serves, by their number and memory."""

from __future__ import annotations

from starlette import responses, types

from ramptray.caller import memory, refusal
from ramptray.core import message, request

RETRY_AFTER_S = 1.0
"""Delay that a refused caller is told to wait before a retry."""

UNLIMITED_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
"""Paths of health probes and metrics, which the limit does not apply to."""


class Admission:
    """ASGI middleware that rejects requests for which there is no room.

    Rejected requests get a complete error response.

    Args:
        app: The application that serves the admitted requests.
        max_concurrent: Maximum number of requests served concurrently.
        pool: Counts the memory of requests.
    """

    def __init__(
        self,
        app: types.ASGIApp,
        max_concurrent: int,
        pool: memory.CallerPool,
    ) -> None:
        self._app = app
        self._max_concurrent = max_concurrent
        self._pool = pool
        self._active = 0

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serves or rejects one request."""
        if scope["type"] != "http" or scope["path"] in UNLIMITED_PATHS:
            await self._app(scope, receive, send)
            return
        if self._active >= self._max_concurrent:
            await make_overload_response()(scope, receive, send)
            return
        held = self._pool.open_request(scope)
        self._active += 1
        try:
            try:
                held.hold_head(scope["headers"])
            except memory.CrowdedError:
                await make_overload_response()(scope, receive, send)
                return
            await self._app(scope, receive, send)
        finally:
            self._active -= 1
            self._pool.close_request(held)


def make_overload_response() -> responses.Response:
    """Returns the response to a request for which there is no room."""
    finish = request.Finish(
        message.Outcome.NOT_RUN, message.Reason.OVERLOADED, RETRY_AFTER_S
    )
    return refusal.make_response(finish, "")
