"""Client of the platform's append-only log.

The log has named streams; each record has an offset in its stream.  An append
whose response is lost may still take effect, even much later.
"""

from __future__ import annotations

import abc
from typing import Any

import anyio
import httpcore
import msgspec

from ramptray import decoding
from ramptray.log import error as log_error

APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0


class PlatformError(log_error.LogError):
    """The platform did not respond, or responded with an error."""


class PlatformTimeoutError(PlatformError, log_error.LogTimeoutError):
    """The platform did not respond in time."""


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: int
    body: dict[str, Any]


class Page(msgspec.Struct, frozen=True):
    """Part of a stream.

    Attributes:
        first_retained: Lowest offset that the log still retains.
        next_offset: Offset of the stream's next record.
        records: Records from the requested offset on.
    """

    first_retained: int
    next_offset: int
    records: list[LogRecord]

    @property
    def is_last(self) -> bool:
        """Whether the stream has no records after this page yet."""
        if not self.records:
            return True
        return self.records[-1].offset + 1 >= self.next_offset


class Log(abc.ABC):
    """An append-only log with offsets."""

    @abc.abstractmethod
    async def append(self, stream: str, body: dict[str, Any]) -> int:
        """Appends a record and returns its offset.

        Raises:
            PlatformError: No response; the append may still take effect.
        """

    @abc.abstractmethod
    async def read(self, stream: str, offset: int, wait_s: float) -> Page:
        """Returns records from an offset on, waiting if there are none.

        Raises:
            PlatformError: There is no response.
        """


class HttpLog(Log):
    """The platform's log over HTTP.

    Args:
        url: Base URL of the platform's services.
        agent: This process's user agent.
    """

    def __init__(self, url: str, agent: str = "ramptray") -> None:
        self._url = url.rstrip("/")
        self._agent = agent
        # Separate pools, so that long polls do not block appends.
        self._read_pool = httpcore.AsyncConnectionPool(max_connections=64)
        self._append_pool = httpcore.AsyncConnectionPool(max_connections=8)

    async def append(self, stream: str, body: dict[str, Any]) -> int:
        """See the base class."""
        response = await call_platform(
            self._append_pool,
            "POST",
            f"{self._url}/log/{stream}",
            APPEND_TIMEOUT_S,
            body,
            agent=self._agent,
        )
        return int(response["offset"])

    async def read(self, stream: str, offset: int, wait_s: float) -> Page:
        """See the base class."""
        response = await call_platform(
            self._read_pool,
            "GET",
            f"{self._url}/log/{stream}?from={offset}&wait={wait_s}",
            wait_s + READ_MARGIN_S,
            agent=self._agent,
        )
        try:
            with decoding.translate_errors():
                return msgspec.convert(response, Page)
        except decoding.DecodeError as error:
            raise PlatformError(f"{stream}: {error}") from error


async def call_platform(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    timeout_s: float,
    body: Any = None,
    agent: str = "ramptray",
) -> Any:
    """Sends a JSON request to the platform and returns the decoded response.

    Raises:
        PlatformError: There was no valid response in time.
    """
    headers = [("content-type", "application/json"), ("user-agent", agent)]
    content = None if body is None else msgspec.json.encode(body)
    response = await send_request(
        pool, method, url, timeout_s, headers, content
    )
    if response.status >= 300:
        raise PlatformError(f"{method} {url}: status {response.status}")
    return decode_response(response, url)


def decode_response(response: httpcore.Response, url: str) -> Any:
    """Returns a response's JSON value.

    Raises:
        PlatformError: The response is not valid JSON.
    """
    try:
        return decoding.decode_json(response.content, Any)
    except decoding.DecodeError as error:
        raise PlatformError(f"{url}: {error}") from error


async def send_request(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    timeout_s: float,
    headers: list[tuple[str, str]],
    content: bytes | None = None,
) -> httpcore.Response:
    """Sends a request to the platform and returns the whole response.

    Raises:
        PlatformError: There was no response in time.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await pool.request(
                method, url, headers=headers, content=content
            )
    except (httpcore.TimeoutException, TimeoutError) as error:
        raise PlatformTimeoutError(f"{method} {url}: {error!r}") from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise PlatformError(f"{method} {url}: {error!r}") from error
