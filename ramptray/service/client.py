"""HTTP client of plain services and legacy scripts; sends each call once."""

from __future__ import annotations

import httpcore
import msgspec

from ramptray import httperror

READ_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 1.0


class ServiceError(Exception):
    """Base of the errors of the service client."""


class NotSentError(ServiceError):
    """The connection could not be opened: no byte of the call was sent."""


class BrokenError(ServiceError):
    """The connection broke after the call was sent; it may have run."""


class Call(msgspec.Struct, frozen=True):
    """A call to a plain service.

    Attributes:
        method: HTTP method.
        target: Path and query, relative to the service's base URL.
        headers: Request headers.
        body: Request body.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


class Response(msgspec.Struct, frozen=True):
    """A complete response of a plain service."""

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
        """Sends the call once and returns the complete response.

        Raises:
            NotSentError: No byte was sent.
            BrokenError: The call may have run.
        """
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": READ_TIMEOUT_S,
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
