"""Client of plain services and of the old scripts: one call, sent once."""

from __future__ import annotations

import httpcore
import msgspec

from ramptray import httperror

READ_S = 60.0
CONNECT_S = 1.0


class ServiceError(Exception):
    """Base of the errors of a plain service."""


class NotSentError(ServiceError):
    """The connection could not be opened: no byte of the call was sent."""


class BrokenError(ServiceError):
    """The connection broke after the call was sent; it may have run."""


class Call(msgspec.Struct, frozen=True):
    """A call to a plain service.

    Attributes:
        method: HTTP method.
        target: Path and query, from the service's root.
        headers: Headers that are passed on.
        body: The body.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


class Response(msgspec.Struct, frozen=True):
    """A whole answer of a plain service."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ServiceClient:
    """Calls plain services."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1024, max_keepalive_connections=64
        )

    async def call(self, url: str, call: Call) -> Response:
        """Sends the call once and returns the whole answer.

        Raises:
            NotSentError: No byte was sent.
            BrokenError: The call may have run.
        """
        timeouts = {
            "connect": CONNECT_S,
            "pool": CONNECT_S,
            "read": READ_S,
        }
        with httperror.translate_errors(url, NotSentError, BrokenError):
            response = await self._pool.request(
                call.method,
                url.rstrip("/") + call.target,
                headers=call.headers,
                content=call.body or None,
                extensions={"timeout": timeouts},
            )
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
        ]
        return Response(response.status, headers, response.content)
