"""Client of plain services and of the old scripts: one call, sent once."""

from __future__ import annotations

import dataclasses

import httpcore

from ramptray.engine import client as engine_client

READ_S = 60.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
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


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
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

    async def call(self, url: str, call: Call) -> Answer:
        """Sends the call once and returns the whole answer.

        Raises:
            engine_client.NotSentError: No byte was sent.
            engine_client.BrokenError: The call may have run.
        """
        timeouts = {
            "connect": engine_client.CONNECT_S,
            "pool": engine_client.CONNECT_S,
            "read": READ_S,
        }
        try:
            response = await self._pool.request(
                call.method,
                url.rstrip("/") + call.target,
                headers=call.headers,
                content=call.body or None,
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            raise engine_client.NotSentError(f"{url}: {error!r}") from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise engine_client.BrokenError(f"{url}: {error!r}") from error
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
        ]
        return Answer(response.status, headers, response.content)
