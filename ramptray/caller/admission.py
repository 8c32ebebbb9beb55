"""Bounds how many requests an entry serves at a time."""

from __future__ import annotations

from starlette import types

from ramptray.caller import refusal
from ramptray.core import message, request

RETRY_AFTER_S = 1.0

PROBES = frozenset({"/healthz", "/readyz", "/metrics"})
"""Paths that are served however many requests there are."""


class Admission:
    """Refuses requests, in words, while too many are being served.

    Args:
        app: The application that serves the others.
        most: How many may be served at a time.
    """

    def __init__(self, app: types.ASGIApp, most: int) -> None:
        self._app = app
        self._most = most
        self._serving = 0

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serves or refuses one request."""
        if scope["type"] != "http" or scope["path"] in PROBES:
            await self._app(scope, receive, send)
            return
        if self._serving >= self._most:
            finish = request.Finish(
                message.Outcome.NOT_RUN,
                message.Reason.OVERLOADED,
                RETRY_AFTER_S,
            )
            response = refusal.make_response(finish, "")
            await response(scope, receive, send)
            return
        self._serving += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._serving -= 1
