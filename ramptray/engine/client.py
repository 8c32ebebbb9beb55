"""HTTP client of model engines: dispatch, resume, cancel and load reports."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any, TypeVar

import anyio
import httpcore
import msgspec

from ramptray import decoding, httperror
from ramptray.engine import event

CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a connection, in seconds."""

READ_TIMEOUT_S = 20.0
"""Maximum time without data before a stream counts as broken, in seconds."""

QUERY_TIMEOUT_S = 2.0
"""Timeout of a short query, in seconds."""

MAX_STREAMS_PER_BACKEND = 512
"""Maximum number of connections to a backend server."""

ResponseT = TypeVar("ResponseT")


class EngineError(Exception):
    """Base of the errors of the engine client."""


class NotSentError(EngineError):
    """The connection could not be opened: no byte of the request was sent."""


class RefusedError(EngineError):
    """The engine did not admit the request.

    Attributes:
        status: HTTP status of the response.
        body: Body of the response.
    """

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body
        super().__init__(f"status {status}")


class BrokenError(EngineError):
    """The connection broke after the request was sent."""


class UnknownStreamError(EngineError):
    """The engine does not know the stream, or no longer does."""


class LoadReport(msgspec.Struct, frozen=True):
    """The load that an engine reports, which lags behind its real load.

    Attributes:
        running: Requests in its batch.
        waiting: Requests in its queue.
        leaving: Whether it reports that it is leaving.
        versions: Loaded model versions, as ``service@version``.
        step_s: Current time between tokens, in seconds.
    """

    running: int
    waiting: int
    leaving: bool = False
    versions: tuple[str, ...] = ()
    step_s: float = 0.0


class CacheEvents(msgspec.Struct, frozen=True):
    """Changes of an engine's prefix cache; may be late and incomplete.

    Attributes:
        next: Event number to start the next fetch from.
        stored: Hashes of the blocks stored.
        removed: Hashes of the blocks evicted.
    """

    next: int
    stored: tuple[int, ...]
    removed: tuple[int, ...]


class EngineClient:
    """Sends the requests of one process to its backend servers."""

    def __init__(self) -> None:
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    @contextlib.asynccontextmanager
    async def dispatch(
        self,
        url: str,
        path: str,
        request_id: str,
        body: bytes,
        version: str = "",
    ) -> AsyncIterator[AsyncIterator[event.Event]]:
        """Sends a request once and yields its stream of events.

        Raises:
            NotSentError: No byte was sent.
            RefusedError: The engine did not admit the request.
            BrokenError: The connection broke; the request may be running.
        """
        headers = {
            "content-type": "application/json",
            "x-request-id": request_id,
        }
        if version:
            headers["x-model-version"] = version
        async with self._open(
            "POST", url, path, headers=headers, content=body
        ) as response:
            if response.status != 200:
                raise RefusedError(response.status, await _read(response))
            yield _iterate(response)

    @contextlib.asynccontextmanager
    async def resume(
        self, url: str, request_id: str, after: int
    ) -> AsyncIterator[AsyncIterator[event.Event]]:
        """Resumes a stream after an event.

        Raises:
            NotSentError: The engine cannot be reached.
            GoneError: The engine does not know the stream.
            BrokenError: The connection broke again.
        """
        path = f"/v1/streams/{request_id}?after={after}"
        async with self._open("GET", url, path) as response:
            if response.status == 404:
                raise UnknownStreamError(request_id)
            if response.status != 200:
                raise BrokenError(f"status {response.status}")
            yield _iterate(response)

    async def cancel(self, url: str, request_id: str) -> None:
        """Cancels a stream.

        Raises:
            EngineError: The engine did not respond.
        """
        await self._query("DELETE", url, f"/v1/streams/{request_id}")

    async def fetch_load(self, url: str) -> LoadReport:
        """Returns the engine's load report.

        Raises:
            EngineError: There is no valid response.
        """
        return _convert(await self._query("GET", url, "/load"), LoadReport)

    async def fetch_cache_events(self, url: str, after: int) -> CacheEvents:
        """Returns the changes of the prefix cache since an event number.

        Raises:
            EngineError: There is no valid response.
        """
        path = f"/cache/events?after={after}"
        return _convert(await self._query("GET", url, path), CacheEvents)

    async def query(
        self, method: str, url: str, path: str, body: Any = None
    ) -> Any:
        """Sends a short JSON query and returns the response body.

        Raises:
            EngineError: There is no valid response.
        """
        return await self._query(method, url, path, body)

    async def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.aclose()
        self._pools.clear()

    async def _query(
        self, method: str, url: str, path: str, body: Any = None
    ) -> Any:
        content = None if body is None else msgspec.json.encode(body)
        try:
            with anyio.fail_after(QUERY_TIMEOUT_S):
                async with self._open(
                    method, url, path, content=content
                ) as response:
                    data = await _read(response)
        except TimeoutError as error:
            raise BrokenError(f"{url}{path}: no answer in time") from error
        if response.status >= 300:
            raise RefusedError(response.status, data)
        try:
            return decoding.decode_json(data, Any) if data else None
        except decoding.DecodeError as error:
            raise BrokenError(f"{url}{path}: {error}") from error

    @contextlib.asynccontextmanager
    async def _open(
        self, method: str, url: str, path: str, **options: Any
    ) -> AsyncIterator[httpcore.Response]:
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": READ_TIMEOUT_S,
        }
        with httperror.translate_errors(url, NotSentError, BrokenError):
            async with self._get_pool(url).stream(
                method,
                url.rstrip("/") + path,
                extensions={"timeout": timeouts},
                **options,
            ) as response:
                yield response

    def _get_pool(self, url: str) -> httpcore.AsyncConnectionPool:
        if url not in self._pools:
            self._pools[url] = httpcore.AsyncConnectionPool(
                max_connections=MAX_STREAMS_PER_BACKEND,
                max_keepalive_connections=8,
                keepalive_expiry=5.0,
            )
        return self._pools[url]


async def _read(response: httpcore.Response) -> bytes:
    return b"".join([chunk async for chunk in response.aiter_stream()])


async def _iterate(
    response: httpcore.Response,
) -> AsyncIterator[event.Event]:
    splitter = event.EventSplitter()
    async for data in response.aiter_stream():
        for parsed_event in splitter.feed(data):
            yield parsed_event


def _convert(body: Any, kind: type[ResponseT]) -> ResponseT:
    try:
        with decoding.translate_errors():
            return msgspec.convert(body, kind)
    except decoding.DecodeError as error:
        raise BrokenError(f"invalid response: {error}") from error
