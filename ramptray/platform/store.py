"""Client of the platform's store, a log with topics, some of them keyed."""

from __future__ import annotations

import logging
import socket
import urllib.parse
from collections.abc import Callable, Iterable

import anyio
import anyio.abc
import h11
import msgspec

from ramptray import connecting, deadline
from ramptray.core import propagation, rtt
from ramptray.log import error as log_error
from ramptray.log import hedging, intake, keyedstream
from ramptray.log import reader as log_reader
from ramptray.platform import page, stream_position

LOG = logging.getLogger(__name__)

READ_WAIT_S = 28.0
"""How long a read waits for a record, in seconds; the store allows 30.

Lost reads are detected separately, so a long wait only reduces the number of
calls."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a connection, in seconds."""

USER_TIMEOUT_MS = 3000
"""How long sent bytes may stay unacknowledged, in milliseconds (TCP)."""

KEEP_ALIVE_INTERVAL_S = 1
"""Idle time before the first TCP keepalive probe, and the interval between
probes, in seconds.

Without probes, a reader would not detect a network partition."""

RECEIVE_BYTES = 65536

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Size of the longest response, in bytes: the largest configuration of 4 MB in
base64, and the page that it stands in."""

MAX_TRANSFER_S = 30.0
"""Longest time that the bytes of a response may prolong a call, in seconds: the
longest response over 5 Mbit/s takes less than half of it."""

MAX_KEY_BYTES = 255
"""Size of the longest key, in bytes."""

NEWEST_PATH = "/v1/log-newest"
READ_PATH = "/v1/log-read"
APPEND_PATH = "/v1/log-append"
GENERATION_HEADER = "Store-Era"
"""Response header with the store's generation.

The generation rises by one each time the store is restored from an older
copy."""

WAIT_PARAMETER = "waitMs"
"""Query parameter: how long a read waits for a record, in milliseconds."""

_GONE = 410
_OK = 200


StoreError = page.StoreError
TrimmedError = page.TrimmedError


class StoreTimeoutError(StoreError, log_error.LogTimeoutError):
    """The store did not respond in time."""


Change = keyedstream.Change
Changes = keyedstream.Changes


class StoreResponse(msgspec.Struct, frozen=True):
    """Response of the store.

    Attributes:
        status: HTTP status.
        generation: The store's generation; 0 if the response names none.
        body: The body.
    """

    status: int
    generation: int
    body: bytes


OnBytes = Callable[[], None]


def _ignore_bytes() -> None:
    """Default for ``on_bytes``."""


class Store:
    """Reads topics of the store and appends records to them.

    Offsets in the arguments and results are positions as defined in
    ``platform.stream_position``.

    Args:
        address: IP number and port of the store.

    Attributes:
        generation: The latest generation named by a response.
        intake: What became of the records that were read.
    """

    def __init__(self, address: str) -> None:
        self.generation = 0
        self.intake = intake.RecordIntake()
        self._address = address
        self._rtt = rtt.RttEstimator(0.0, CONNECT_TIMEOUT_S)
        self._listeners: list[Callable[[], None]] = []

    def add_rollback_listener(self, listener: Callable[[], None]) -> None:
        """Registers a callback for when the store returns with older data."""
        self._listeners.append(listener)

    async def read_newest(
        self, topic: str, on_bytes: OnBytes = _ignore_bytes
    ) -> Changes:
        """Returns the newest record of each key.

        Args:
            topic: The topic.
            on_bytes: Called whenever bytes of a response arrive.

        Raises:
            StoreError: The store did not respond, or rejected the call.
        """
        records: list[Change] = []
        after: str | None = None
        first_end: int | None = None
        generation: int | None = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            response = await self._request(
                NEWEST_PATH, query, log_reader.CALL_TIMEOUT_S, on_bytes
            )
            if generation not in (None, response.generation):
                raise StoreError(
                    "the store was restored from an older copy between pages"
                )
            generation = response.generation
            decoded = page.decode_newest(response.body)
            # Pages are not one consistent snapshot.  Returning the end of the
            # first page lets later changes be read again.
            end = stream_position.make_position(generation, decoded.end)
            self.intake.count_read(topic, len(decoded.items))
            first_end = end if first_end is None else first_end
            records.extend(
                Change(
                    page.clean_key(item.key),
                    page.decode_value(item.value),
                    stream_position.make_position(generation, item.offset),
                )
                for item in decoded.items
            )
            if not decoded.more or not decoded.items:
                return Changes(records, first_end)
            former, after = after, page.make_cursor(decoded.items[-1].key)
            if after == former:
                # The store does not know the key by which it was asked.
                raise StoreError(f"{topic}: the page after {after!r} repeats")

    async def read_changes(
        self,
        topic: str,
        offset: int,
        wait_s: float = READ_WAIT_S,
        timeout_s: float = READ_WAIT_S + propagation.RESPONSE_MARGIN_S,
        on_bytes: OnBytes = _ignore_bytes,
    ) -> Changes:
        """Returns the records from an offset on; waits if there are none.

        Args:
            topic: The topic.
            offset: Position of the first record to read.
            wait_s: How long to wait for a record; 0 to return at once.
            timeout_s: Timeout for the start of the response, in seconds.
            on_bytes: Called whenever bytes of the response arrive.

        Raises:
            TrimmedError: Some of them are no longer retained, or the position
                is of an earlier generation.
            StoreTimeoutError: The store did not respond in time.
            StoreError: The store rejected the call.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(stream_position.get_offset(offset)),
            WAIT_PARAMETER: str(int(wait_s * 1000)),
        }
        response = await self._request(READ_PATH, query, timeout_s, on_bytes)
        if response.generation != stream_position.get_generation(offset):
            # The record now at that offset does not follow those already read.
            raise TrimmedError(
                f"{topic}: the store was restored from an older copy"
            )
        changes = page.decode_records(response.body, offset)
        self.intake.count_read(topic, len(changes.records))
        return changes

    async def read_retained(
        self,
        topic: str,
        offset: int,
        timeout_s: float = log_reader.CALL_TIMEOUT_S,
    ) -> Changes:
        """Returns a page of records from an offset on, or later ones.

        Args:
            topic: The topic.
            offset: Position of the first record wanted.
            timeout_s: Timeout of each of up to two calls, in seconds.

        Raises:
            StoreError: The store did not respond, or rejected the call.
        """
        try:
            return await self.read_changes(topic, offset, 0.0, timeout_s)
        except TrimmedError as error:
            begin = stream_position.make_position(
                self.generation, error.first or 0
            )
            if begin == offset:
                raise
        return await self.read_changes(topic, begin, 0.0, timeout_s)

    async def append(
        self, topic: str, key: str, value: bytes, end: int | None = None
    ) -> None:
        """Appends a record to a keyed topic.

        Args:
            topic: The topic.
            key: The record's key.
            value: Its value.
            end: Expected end of the topic; the store rejects the call if the
                end differs. None to append in any case.

        Raises:
            StoreError: The record may not have been appended.
        """
        encoded_key = key.encode(errors="replace")
        if len(encoded_key) > MAX_KEY_BYTES:
            raise StoreError(f"{topic}: the key is too long: {key[:64]!r}")
        record = bytes([len(encoded_key)]) + encoded_key + value
        query = {"topic": topic, "part": "0"}
        if end is not None:
            query["asOf"] = str(stream_position.get_offset(end))
        await self._request(
            APPEND_PATH,
            query,
            log_reader.CALL_TIMEOUT_S,
            _ignore_bytes,
            page.RECORD_LENGTH.pack(len(record)) + record,
        )

    async def _request(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        on_bytes: OnBytes,
        sent: bytes | None = None,
    ) -> StoreResponse:
        """Makes one call and returns the response.

        Args:
            path: Path of the call.
            query: Query parameters.
            timeout_s: Timeout for the start of the response, in seconds,
                besides the measured round trips of the connection and the call.
            on_bytes: Called whenever bytes of the response arrive.
            sent: Body of a POST request; None for a GET request.
        """
        encoded = urllib.parse.urlencode(query, errors="surrogateescape")
        target = f"{path}?{encoded}"
        response: StoreResponse | None = None
        try:
            with deadline.move_on_after(
                timeout_s + 2 * self._rtt.mean_s
            ) as timeout:
                prolonged_until = anyio.current_time() + timeout_s
                prolonged_until += MAX_TRANSFER_S

                def extend() -> None:
                    if anyio.current_time() < prolonged_until:
                        timeout.extend(hedging.STALL_TIMEOUT_S)
                        on_bytes()

                response = await self._call(target, extend, sent)
        except TimeoutError as error:
            raise StoreTimeoutError(f"{path}: no connection") from error
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            raise StoreError(f"{path}: {error!r}") from error
        if response is None:
            raise StoreTimeoutError(f"{path}: no answer in time")
        self._update_generation(path, response.generation)
        if response.status == _GONE:
            raise TrimmedError(
                f"{path}: status {response.status}",
                page.decode_first(response.body),
            )
        if response.status != _OK:
            raise StoreError(f"{path}: status {response.status}")
        return response

    def _update_generation(self, path: str, generation: int) -> None:
        """Records the generation of a response.

        Raises:
            StoreError: The response is of an earlier generation.
        """
        if generation < self.generation:
            raise StoreError(f"{path}: response of an earlier generation")
        former, self.generation = self.generation, generation
        if former and generation > former:
            LOG.warning(
                "store is back from an older copy",
                extra={"generation": generation, "former": former},
            )
            for listener in self._listeners:
                listener()

    async def _call(
        self, target: str, on_bytes: OnBytes, sent: bytes | None
    ) -> StoreResponse:
        """Sends one request on a new connection.

        Connections are not reused: one on which a response was lost stays
        silent forever, and calls are infrequent.
        """
        host, port = connecting.split_address(self._address)
        http = h11.Connection(h11.CLIENT)
        headers = [("Host", self._address), ("Connection", "close")]
        if sent is not None:
            headers.append(("Content-Length", str(len(sent))))
        request = h11.Request(
            method="GET" if sent is None else "POST",
            target=target,
            headers=headers,
        )
        began = anyio.current_time()
        with (
            deadline.fail_after(CONNECT_TIMEOUT_S),
            connecting.translate_errors(self._address),
        ):
            stream = await anyio.connect_tcp(host, port)
        self._rtt.observe(anyio.current_time() - began)
        async with stream:
            _set_keep_alive(stream)
            data = http.send(request) or b""
            if sent is not None:
                data += http.send(h11.Data(data=sent)) or b""
            data += http.send(h11.EndOfMessage()) or b""
            await stream.send(data)
            return await _read_response(http, stream, on_bytes)


def _set_keep_alive(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        raw.setsockopt(level, option, value)


async def _read_response(
    http: h11.Connection, stream: anyio.abc.SocketStream, on_bytes: OnBytes
) -> StoreResponse:
    status = 0
    generation = 0
    parts: list[bytes] = []
    size = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            try:
                http.receive_data(await stream.receive(RECEIVE_BYTES))
                on_bytes()
            except anyio.EndOfStream:
                http.receive_data(b"")
        elif isinstance(event, h11.Response):
            status = event.status_code
            generation = _parse_generation(event.headers)
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > MAX_RESPONSE_BYTES:
                raise StoreError(
                    f"a response of more than {MAX_RESPONSE_BYTES} bytes"
                )
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return StoreResponse(status, generation, b"".join(parts))
        else:
            raise StoreError(
                "the store closed the connection without a response"
            )


def _parse_generation(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Returns the generation named by a response, 0 if there is none.

    Raises:
        StoreError: The generation is invalid.
    """
    text = dict(headers).get(GENERATION_HEADER.lower().encode())
    if text is None:
        return 0
    if not text.isdigit() or int(text) > stream_position.MAX_GENERATION:
        raise StoreError(f"invalid generation: {text!r}")
    return int(text)
