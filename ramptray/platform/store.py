"""Client of the platform's store: a log with topics, some of them keyed."""

from __future__ import annotations

import logging
import socket
import urllib.parse
from collections.abc import Callable, Iterable

import anyio
import anyio.abc
import h11
import msgspec

from ramptray.log import error as log_error
from ramptray.log import hedging, keyedstream
from ramptray.log import reader as log_reader
from ramptray.platform import page, stream_position

LOG = logging.getLogger(__name__)

READ_WAIT_S = 28.0
"""How long a read waits for a record, in seconds; the store allows 30.  Lost
reads are found by other means, so only the price of a call counts."""

CONNECT_TIMEOUT_S = 1.0
"""Longest time to open a connection, in seconds."""

USER_TIMEOUT_MS = 3000
"""How long sent bytes may stay unacknowledged, in milliseconds."""

KEEP_ALIVE_INTERVAL_S = 1
"""Silence after which the kernel asks whether the store is still there, and the
pause between such questions, in seconds; a cut says nothing of itself."""

RECEIVE_BYTES = 65536

NEWEST_PATH = "/v1/log-newest"
READ_PATH = "/v1/log-read"
APPEND_PATH = "/v1/log-append"
GENERATION_HEADER = "Store-Era"
"""Which copy of itself the store speaks from; it rises by one each time that it
comes back from an older one."""

WAIT_PARAMETER = "waitMs"
"""How long a read waits for a record, in milliseconds."""

_GONE = 410
_OK = 200


StoreError = page.StoreError
TrimmedError = page.TrimmedError


class StoreTimeoutError(StoreError, log_error.LogTimeoutError):
    """The store did not answer in time."""


Change = keyedstream.Change
Changes = keyedstream.Changes


class StoreResponse(msgspec.Struct, frozen=True):
    """An answer of the store.

    Attributes:
        status: HTTP status.
        generation: The generation that the store spoke from; 0 where it does
            not tell.
        body: The body.
    """

    status: int
    generation: int
    body: bytes


OnBytes = Callable[[], None]


def _note_nothing() -> None:
    """Stands in where nobody asks how an answer comes along."""


class Store:
    """Reads the topics of the store, and adds records to them.

    Places in topics are those of ``platform.stream_position``.

    Args:
        address: IP number and port of the store.

    Attributes:
        generation: The latest generation that the store has spoken from.
    """

    def __init__(self, address: str) -> None:
        self.generation = 0
        self._address = address
        self._listeners: list[Callable[[], None]] = []

    def add_rollback_listener(self, listener: Callable[[], None]) -> None:
        """Has a listener told when the store is back from an older copy."""
        self._listeners.append(listener)

    async def read_newest(
        self, topic: str, on_bytes: OnBytes = _note_nothing
    ) -> Changes:
        """Returns the newest record of each key.

        Args:
            topic: The topic.
            on_bytes: Called whenever bytes of an answer have come.

        Raises:
            StoreError: There is no answer.
        """
        records: list[Change] = []
        after: str | None = None
        first_end: int | None = None
        generation: int | None = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            reply = await self._ask(
                NEWEST_PATH, query, log_reader.CALL_TIMEOUT_S, on_bytes
            )
            if generation not in (None, reply.generation):
                raise StoreError("the store came back older between two pages")
            generation = reply.generation
            found = page.decode_newest(reply.body)
            # Pages are no snapshot: what changes meanwhile is read again.
            end = stream_position.make_position(generation, found.end)
            first_end = end if first_end is None else first_end
            records.extend(
                Change(
                    item.key,
                    page.decode_value(item.value),
                    stream_position.make_position(generation, item.offset),
                )
                for item in found.items
            )
            if not found.more or not found.items:
                return Changes(records, first_end)
            after = found.items[-1].key

    async def read_changes(
        self,
        topic: str,
        offset: int,
        wait_s: float = READ_WAIT_S,
        timeout_s: float = READ_WAIT_S + log_reader.RESPONSE_MARGIN_S,
        on_bytes: OnBytes = _note_nothing,
    ) -> Changes:
        """Returns records from an offset on, waiting if there are none.

        Args:
            topic: The topic.
            offset: Place of the first record wanted.
            wait_s: How long to wait for a record; 0 for not at all.
            timeout_s: How long the answer may take to begin, in seconds.
            on_bytes: Called whenever bytes of the answer have come.

        Raises:
            TrimmedError: Some of them are not kept any more, or the place is of
                an earlier generation.
            StoreTimeoutError: There is no answer in time.
            StoreError: The store turned the call away.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(stream_position.get_offset(offset)),
            WAIT_PARAMETER: str(int(wait_s * 1000)),
        }
        reply = await self._ask(READ_PATH, query, timeout_s, on_bytes)
        if reply.generation != stream_position.get_generation(offset):
            # What stands at that offset now is not what follows.
            raise TrimmedError(f"the store is back from an older copy: {topic}")
        return page.decode_records(reply.body, offset)

    async def append(
        self, topic: str, key: str, value: bytes, end: int | None = None
    ) -> None:
        """Adds a record to a keyed topic.

        Args:
            topic: The topic.
            key: The record's key.
            value: Its value.
            end: Where the topic must end for the record to be added; None for
                anywhere.

        Raises:
            StoreError: It may not have been added.
        """
        record = bytes([len(key)]) + key.encode() + value
        query = {"topic": topic, "part": "0"}
        if end is not None:
            query["asOf"] = str(stream_position.get_offset(end))
        await self._ask(
            APPEND_PATH,
            query,
            log_reader.CALL_TIMEOUT_S,
            _note_nothing,
            page.RECORD_LENGTH.pack(len(record)) + record,
        )

    async def _ask(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        on_bytes: OnBytes,
        sent: bytes | None = None,
    ) -> StoreResponse:
        """Makes one call; returns its answer.

        Args:
            path: The call.
            query: Its parameters.
            timeout_s: How long the answer may take to begin, in seconds.
            on_bytes: Called whenever bytes of the answer have come.
            sent: The body of a call that writes; None for one that reads.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}"
        reply: StoreResponse | None = None
        try:
            with anyio.move_on_after(timeout_s) as scope:

                def extend() -> None:
                    stalls_at = anyio.current_time() + hedging.STALL_TIMEOUT_S
                    scope.deadline = max(scope.deadline, stalls_at)
                    on_bytes()

                reply = await self._call(target, extend, sent)
        except TimeoutError as error:
            raise StoreTimeoutError(f"{path}: no connection") from error
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            raise StoreError(f"{path}: {error!r}") from error
        if reply is None:
            # Not told by the scope's deadline: late bytes may have moved it.
            raise StoreTimeoutError(f"{path}: no answer in time")
        self._note_generation(path, reply.generation)
        if reply.status == _GONE:
            raise TrimmedError(f"{path}: status {reply.status}")
        if reply.status != _OK:
            raise StoreError(f"{path}: status {reply.status}")
        return reply

    def _note_generation(self, path: str, generation: int) -> None:
        """Takes the generation of an answer.

        Raises:
            StoreError: The answer is of a generation that is over.
        """
        if generation < self.generation:
            raise StoreError(f"{path}: an answer of an earlier generation")
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
        """Sends one request on a connection of its own.

        A connection that has lost an answer never says anything again, so none
        is used twice; calls are few.
        """
        host, _, port = self._address.rpartition(":")
        http = h11.Connection(h11.CLIENT)
        headers = [("Host", self._address), ("Connection", "close")]
        if sent is not None:
            headers.append(("Content-Length", str(len(sent))))
        request = h11.Request(
            method="GET" if sent is None else "POST",
            target=target,
            headers=headers,
        )
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
        async with stream:
            _set_keep_alive(stream)
            data = http.send(request) or b""
            if sent is not None:
                data += http.send(h11.Data(data=sent)) or b""
            data += http.send(h11.EndOfMessage()) or b""
            await stream.send(data)
            return await _read_answer(http, stream, on_bytes)


def _set_keep_alive(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        raw.setsockopt(level, option, value)


async def _read_answer(
    http: h11.Connection, stream: anyio.abc.SocketStream, on_bytes: OnBytes
) -> StoreResponse:
    status = 0
    generation = 0
    parts: list[bytes] = []
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
            generation = _read_generation(event.headers)
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return StoreResponse(status, generation, b"".join(parts))
        else:
            raise StoreError("the store closed without an answer")


def _read_generation(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Returns the generation that an answer names.

    Raises:
        StoreError: It names none that makes sense.
    """
    text = dict(headers).get(GENERATION_HEADER.lower().encode())
    if text is None:
        return 0
    if not text.isdigit() or int(text) > stream_position.MAX_GENERATION:
        raise StoreError(f"not a generation: {text!r}")
    return int(text)
