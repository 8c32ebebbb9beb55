"""``ramptray-fake-store``: the part of the users' store that ramptray uses."""

from __future__ import annotations

import base64
import collections
import json
import urllib.parse

import anyio
import msgspec
from starlette import applications, requests, responses, routing

from ramptray import process, webserver
from ramptray.bundle import model
from ramptray.platform import page, store
from ramptray.settings import Address

OK = 200
PRECONDITION_FAILED = 412
GONE = 410
SERVICE_UNAVAILABLE = 503


class FakeStoreSettings(model.Model, frozen=True, kw_only=True):
    """Settings of the store stand-in.

    Attributes:
        listen: IP number and port.
        log_level: Lowest level that is logged.
    """

    listen: Address
    log_level: str = "INFO"


class Faults(model.Model, frozen=True, kw_only=True):
    """Faults that a test injects.

    Attributes:
        busy: Whether each call is refused with status 503.
        silent: Whether calls that arrive from now on never get a response,
            even after the fault is cleared. Reads that were already waiting
            get theirs.
        forgotten: Offset before which records are no longer retained; a topic
            that ends before it has none left.
    """

    busy: bool = False
    silent: bool = False
    forgotten: model.Count = 0


class Rollback(model.Model, frozen=True, kw_only=True):
    """What a store loses when it is restored from an older copy.

    Attributes:
        records: Number of records lost from the end of each topic.
    """

    records: model.Count


MAX_PAGE_ITEMS = 500
"""Most items of a page of newest records."""


class Topic:
    """A keyed topic with a single partition.

    Keys are any bytes: only some of the writers write text.
    """

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        self.changed = anyio.Event()

    def drop_newest(self, count: int) -> None:
        """Drops the newest records; later records reuse their offsets."""
        del self.records[max(0, len(self.records) - count) :]
        self.changed.set()
        self.changed = anyio.Event()

    def append(self, key: bytes, value: bytes) -> None:
        """Appends a record; an empty value deletes the key."""
        self.records.append((key, value))
        self.changed.set()
        self.changed = anyio.Event()

    def list_newest(self) -> dict[bytes, tuple[bytes, int]]:
        """Returns the newest value of each key and its offset."""
        newest: dict[bytes, tuple[bytes, int]] = {}
        for offset, (key, value) in enumerate(self.records):
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        return newest


class Store:
    """The HTTP interface of the store stand-in."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._topics: dict[str, Topic] = collections.defaultdict(Topic)
        self._calls = 0
        self._generation = 1

    def make_app(self) -> applications.Starlette:
        """Returns the HTTP application."""
        return applications.Starlette(
            routes=[
                routing.Route(store.NEWEST_PATH, self._read_newest),
                routing.Route(store.READ_PATH, self._read),
                routing.Route(
                    store.APPEND_PATH, self._append, methods=["POST"]
                ),
                routing.Route("/faults", self._set_faults, methods=["PUT"]),
                routing.Route("/loss", self._roll_back, methods=["PUT"]),
                routing.Route("/ledger", self._show_call_count),
                routing.Route(
                    "/records/{topic}/{key:path}", self._put, methods=["PUT"]
                ),
                routing.Route("/raw/{topic}", self._put_raw, methods=["PUT"]),
            ]
        )

    async def _put(self, http: requests.Request) -> responses.Response:
        topic = self._topics[http.path_params["topic"]]
        topic.append(http.path_params["key"].encode(), await http.body())
        return responses.Response(status_code=OK)

    async def _put_raw(self, http: requests.Request) -> responses.Response:
        """Appends a record whose key may be any bytes."""
        self._topics[http.path_params["topic"]].append(
            *_split_record(await http.body())
        )
        return responses.Response(status_code=OK)

    async def _append(self, http: requests.Request) -> responses.Response:
        self._calls += 1
        if refused := await self._apply_faults(http):
            return refused
        topic = self._topics[http.query_params["topic"]]
        body = await http.body()
        offset = len(topic.records)
        expected = http.query_params.get("asOf")
        if expected is not None and int(expected) != offset:
            return responses.Response(status_code=PRECONDITION_FAILED)
        while body:
            (length,) = page.RECORD_LENGTH.unpack_from(body)
            record = body[page.RECORD_LENGTH.size :][:length]
            body = body[page.RECORD_LENGTH.size + length :]
            topic.append(*_split_record(record))
        result = {"offset": offset, "end": len(topic.records)}
        return self._make_response(msgspec.json.encode(result))

    async def _roll_back(self, http: requests.Request) -> responses.Response:
        """Restores the store from a copy that lacks the newest records."""
        rollback = msgspec.json.decode(await http.body(), type=Rollback)
        self._generation += 1
        for topic in self._topics.values():
            topic.drop_newest(rollback.records)
        return responses.Response(status_code=OK)

    async def _set_faults(self, http: requests.Request) -> responses.Response:
        self._faults = msgspec.json.decode(await http.body(), type=Faults)
        return responses.Response(status_code=OK)

    async def _show_call_count(
        self, http: requests.Request
    ) -> responses.Response:
        """Returns the number of calls made by VMs."""
        return responses.JSONResponse({"calls": self._calls})

    async def _read_newest(self, http: requests.Request) -> responses.Response:
        self._calls += 1
        if refused := await self._apply_faults(http):
            return refused
        topic = self._topics[http.query_params["topic"]]
        after = _get_raw_parameter(http, "after")
        newest = sorted(
            (key, value, offset)
            for key, (value, offset) in topic.list_newest().items()
            if after is None or key > after
        )
        shown = page.NewestPage(
            [
                page.NewestItem(
                    # A key that is no text has lone surrogates.
                    key.decode(errors="surrogateescape"),
                    base64.b64encode(value).decode(),
                    offset,
                )
                for key, value, offset in newest[:MAX_PAGE_ITEMS]
            ],
            len(topic.records),
            len(newest) > MAX_PAGE_ITEMS,
        )
        return self._make_response(page.encode_newest(shown))

    async def _apply_faults(
        self, http: requests.Request
    ) -> responses.Response | None:
        """Returns the response to a call that is refused because of a fault.

        Returns None if the call is to be served. While the store is silent,
        a call waits here until its caller disconnects.
        """
        if self._faults.silent:
            await _wait_for_disconnect(http)
        return (
            self._make_response(status=SERVICE_UNAVAILABLE)
            if self._faults.busy
            else None
        )

    def _make_response(
        self, body: bytes = b"", status: int = OK
    ) -> responses.Response:
        """Returns a response whose header carries the store's generation."""
        headers = {store.GENERATION_HEADER: str(self._generation)}
        return responses.Response(body, status, headers)

    async def _read(self, http: requests.Request) -> responses.Response:
        self._calls += 1
        topic = self._topics[http.query_params["topic"]]
        offset = int(http.query_params["from"])
        wait_s = int(http.query_params.get(store.WAIT_PARAMETER, "0")) / 1000
        if self._faults.silent:
            await _wait_for_disconnect(http)
        generation = self._generation
        if len(topic.records) == offset and not self._faults.busy:
            with anyio.move_on_after(wait_s):
                await topic.changed.wait()
        if self._faults.busy or generation != self._generation:
            return self._make_response(status=SERVICE_UNAVAILABLE)
        first = min(self._faults.forgotten, len(topic.records))
        if not first <= offset <= len(topic.records):
            gone = json.dumps({"first": first}).encode()
            return self._make_response(gone, status=GONE)
        records = [
            bytes([len(key)]) + key + value
            for key, value in topic.records[offset:]
        ]
        page_header = page.PAGE_HEADER.pack(len(topic.records), first)
        body = b"".join(
            page.RECORD_LENGTH.pack(len(record)) + record for record in records
        )
        return self._make_response(page_header + body)


def _split_record(record: bytes) -> tuple[bytes, bytes]:
    """Returns the key and the value of a record."""
    key_end = 1 + record[0]
    return record[1:key_end], record[key_end:]


def _get_raw_parameter(http: requests.Request, name: str) -> bytes | None:
    """Returns a query parameter that may be any bytes; None if missing."""
    for pair in http.scope["query_string"].split(b"&"):
        key, _, value = pair.partition(b"=")
        if key == name.encode():
            return urllib.parse.unquote_to_bytes(value.replace(b"+", b" "))
    return None


async def _wait_for_disconnect(http: requests.Request) -> None:
    """Waits until the caller disconnects, without sending a response."""
    message = await http.receive()
    while message["type"] != "http.disconnect":
        message = await http.receive()


async def main(settings: FakeStoreSettings, stop: process.Stop) -> None:
    """Serves until a stop is requested."""
    server = webserver.make_server(Store().make_app())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [webserver.bind(settings.listen)])
        await stop.event.wait()
        tasks.cancel_scope.cancel()


run = process.make_command(
    "ramptray-fake-store",
    FakeStoreSettings,
    main,
    "Stands in for the users' store.",
)

if __name__ == "__main__":
    run()
