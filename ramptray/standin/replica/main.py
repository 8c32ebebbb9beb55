"""``ramptray-fake-replica``: serves requests, injects faults and counts."""

from __future__ import annotations

import json
import logging
import os
import socket
import struct
from typing import NoReturn

import anyio
import anyio.abc
import h11
import msgspec

from ramptray import process, steadyclock
from ramptray.bundle import model
from ramptray.platform import header
from ramptray.settings import Address, split_address
from ramptray.standin.replica import flood

LOG = logging.getLogger(__name__)

READ_BYTES = 65536
STREAM_TYPE = b"text/event-stream"

CRASH_DELAY_S = 0.08
"""Seconds for which a poison request runs before it crashes this program."""

CRASH_EXIT_STATUS = 70

LINGER_NONE = struct.pack("ii", 1, 0)
"""Socket option with which a close sends a reset."""


class FakeReplicaSettings(model.Model, frozen=True, kw_only=True):
    """Settings of the replica stand-in.

    Attributes:
        name: Id of the replica.
        listen: IP number and port.
        work_s: Seconds before a response, or between two events of a stream.
        events: Number of events in a stream.
        release: Release of its software, which each event of a stream names;
            empty for none.
        idle_s: Seconds after which it closes a connection without a request; 0
            for never.
        crash_on: Text in a request's body that makes this program crash soon
            after it has started to run the request; empty for none.
        crash_on_parts: Ids of parts of a prompt that make it crash likewise,
            unless they come last.
        body_pause_s: Seconds for which it does not read on once the head of a
            request with a body has arrived.
        padding_bytes: Bytes of white space after the JSON text of a response,
            which make the response large.
        log_level: Lowest level that is logged.
    """

    name: model.Name
    listen: Address
    work_s: model.NonNegativeFloat = 0.01
    events: model.PositiveInt = 5
    release: str = ""
    idle_s: model.NonNegativeFloat = 0.0
    crash_on: str = ""
    crash_on_parts: tuple[str, ...] = ()
    body_pause_s: model.NonNegativeFloat = 0.0
    padding_bytes: model.Count = 0
    log_level: str = "INFO"


class Faults(model.Model, frozen=True, kw_only=True):
    """Faults that a test injects.

    Attributes:
        refuse: Refuse requests with status 503, marked as not executed.
        refuse_each: With ``refuse``, refuse only one of this many requests.
        pauses: Values of the Retry-After header of a refusal, one header for
            each value.
        leaving: Announce in each response that the replica is leaving.
        fail: Respond with status 500.
        cut_after: Number of events after which a stream's connection is closed
            in the middle of the next event.
        cut_bytes: Bytes of that next event that are sent before.
        hang_after: Number of events after which a stream sends nothing more.
        surplus: Send a response for another request before each response.
        unframed: Respond without a content length or chunks, then close the
            connection.
        work_s: Overrides the setting of the same name, if given.
        limits: Values of the server limit header, one header for each value.
        brittle: Values of the server brittle header, likewise.
        room: Number of requests that it runs at once, and refuses beyond; None
            for any number.
        max_connections: Number of connections from all callers that it holds;
            it resets further ones.  None for any number.
        flood: Which bytes without end it writes instead of responses, see
            ``flood.FLOODS``; empty for none.
    """

    refuse: bool = False
    refuse_each: model.PositiveInt = 1
    pauses: tuple[str, ...] = ()
    leaving: bool = False
    fail: bool = False
    cut_after: int | None = None
    cut_bytes: model.Count = 9
    hang_after: int | None = None
    surplus: bool = False
    unframed: bool = False
    work_s: float | None = None
    limits: tuple[str, ...] = ()
    brittle: tuple[str, ...] = ()
    room: int | None = None
    max_connections: int | None = None
    flood: str = ""


class Ledger(msgspec.Struct):
    """Requests that the replica has received.

    Attributes:
        runs: Ids of the requests that it ran, in order.
        heads: Headers of each request in ``runs``, names in lower case.
        working: Ids of the requests that it works on now.
        gone: Ids of the requests whose connection closed while they ran.
        refused: Ids of the requests that it refused.
        arrived: Arrival time of each request, executed or not, in seconds of
            the machine's monotonic clock.
    """

    runs: list[str] = msgspec.field(default_factory=list)
    heads: list[dict[str, str]] = msgspec.field(default_factory=list)
    working: list[str] = msgspec.field(default_factory=list)
    gone: list[str] = msgspec.field(default_factory=list)
    refused: list[str] = msgspec.field(default_factory=list)
    arrived: list[float] = msgspec.field(default_factory=list)


class Replica:
    """Serves connections, one request at a time on each."""

    def __init__(self, settings: FakeReplicaSettings) -> None:
        self._settings = settings
        self._faults = Faults()
        self._ledger = Ledger()
        self._running = 0
        self._connections = 0

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection until it ends; resets one too many."""
        most = self._faults.max_connections
        if most is not None and self._connections >= most:
            await _reset(stream)
            return
        self._connections += 1
        try:
            await self._serve_connection(stream)
        finally:
            self._connections -= 1

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                while await self._serve_request(
                    stream, h11.Connection(h11.SERVER)
                ):
                    pass
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                h11.ProtocolError,
            ) as error:
                LOG.info("connection ended: %r", error)

    async def _serve_request(
        self, stream: anyio.abc.SocketStream, http: h11.Connection
    ) -> bool:
        request = None
        # Large bodies: appending to bytes would copy all of them each time.
        body = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                try:
                    with anyio.fail_after(self._settings.idle_s or None):
                        data = await stream.receive(READ_BYTES)
                except (anyio.EndOfStream, TimeoutError):
                    return False
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
                if any(name == b"content-length" for name, _ in event.headers):
                    await anyio.sleep(self._settings.body_pause_s)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        assert request is not None
        headers = {
            name.lower().decode(): value.decode()
            for name, value in request.headers.raw_items()
        }
        path = request.target.decode()
        if path == "/faults":
            self._faults = msgspec.json.decode(body, type=Faults)
            await _send_response(stream, 200, b"", [])
            return True
        if path == "/ledger":
            ledger = json.dumps(msgspec.to_builtins(self._ledger)).encode()
            await _send_response(stream, 200, ledger, [])
            return True
        if header.REQUEST_ID.decode() not in headers:
            # Not of a VM: a program that looks for a former user of the port.
            LOG.error("request without an id", extra={"path": path})
            await _send_response(stream, 400, b"", [])
            return False
        return await self._respond(stream, http, path, headers, bytes(body))

    async def _respond(
        self,
        stream: anyio.abc.SocketStream,
        http: h11.Connection,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        faults = self._faults
        request_id = headers[header.REQUEST_ID.decode()]
        response_headers = [(header.REQUEST_ID, request_id.encode())]
        response_headers += [
            (header.SERVER_LIMIT, value.encode()) for value in faults.limits
        ]
        response_headers += [
            (header.SERVER_BRITTLE, value.encode()) for value in faults.brittle
        ]
        response_headers += (
            [(header.SERVER_LEAVING, b"1")] if faults.leaving else []
        )
        self._record_arrival(request_id)
        if headers.get(header.EXPECTED_BACKEND.decode()) != self._settings.name:
            await _send_response(stream, 421, b"", response_headers)
            return True
        is_full = faults.room is not None and self._running >= faults.room
        if is_full or (
            faults.refuse
            and len(self._ledger.arrived) % faults.refuse_each == 0
        ):
            response_headers += [
                (header.RETRY_AFTER, value.encode()) for value in faults.pauses
            ]
            self._ledger.refused.append(request_id)
            await _send_response(
                stream,
                503,
                b"",
                [*response_headers, (header.NOT_EXECUTED, b"1")],
            )
            now = steadyclock.read_monotonic()
            LOG.info(
                "refused",
                extra={
                    "request_id": request_id,
                    "at": now,
                    "pauses": faults.pauses,
                },
            )
            return True
        # Logged before the work, so that the run is on record even if this
        # program is killed.
        LOG.info("running", extra={"request_id": request_id})
        self._ledger.runs.append(request_id)
        self._ledger.heads.append(headers)
        self._ledger.working.append(request_id)
        try:
            return await self._work(
                stream, http, path, headers, body, response_headers
            )
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            self._ledger.gone.append(request_id)
            return False
        finally:
            self._ledger.working.remove(request_id)

    async def _work(
        self,
        stream: anyio.abc.SocketStream,
        http: h11.Connection,
        path: str,
        headers: dict[str, str],
        body: bytes,
        response_headers: list[tuple[bytes, bytes]],
    ) -> bool:
        """Runs a request; returns whether the connection stays open.

        Raises:
            anyio.EndOfStream: The caller closed the connection.
            anyio.BrokenResourceError: The connection broke.
        """
        faults = self._faults
        request_id = headers[header.REQUEST_ID.decode()]
        if self._crashes_on(headers, body):
            await self._crash(request_id)
        signed = [
            *response_headers,
            (header.SIGNATURE, f"{self._settings.name}.{path}".encode()),
        ]
        if faults.flood:
            name = signed[-1][1].decode()
            await flood.write(stream, faults.flood, request_id, name)
            return False
        if path.startswith("/stream"):
            return await self._stream(stream, http, headers, signed)
        await self._simulate_work(stream)
        if faults.surplus:
            other = [
                (header.REQUEST_ID, b"other"),
                (header.SIGNATURE, b"other"),
            ]
            await stream.send(_format_response(200, b"surplus", other))
        payload = json.dumps({"path": path, "bytes": len(body)}).encode()
        payload += b" " * self._settings.padding_bytes
        if faults.unframed:
            await stream.send(
                _format_response(200, payload, signed, framed=False)
            )
            return False
        status = 500 if faults.fail else 200
        await _send_response(stream, status, payload, signed)
        return True

    def _record_arrival(self, request_id: str) -> None:
        now = steadyclock.read_monotonic()
        self._ledger.arrived.append(now)
        LOG.info("arrived", extra={"request_id": request_id, "at": now})

    def _crashes_on(self, headers: dict[str, str], body: bytes) -> bool:
        """Returns whether a request crashes this program."""
        text = self._settings.crash_on
        if text and text in body.decode(errors="replace"):
            return True
        parts = headers.get(header.PROMPT_PREFIX.decode(), "").split(",")
        ids = {part.partition(":")[0] for part in parts[:-1]}
        return not ids.isdisjoint(self._settings.crash_on_parts)

    async def _crash(self, request_id: str) -> None:
        """Exits the process, which ends all requests that run in it."""
        await anyio.sleep(CRASH_DELAY_S)
        LOG.error("crashed", extra={"request_id": request_id})
        os._exit(CRASH_EXIT_STATUS)

    async def _stream(
        self,
        stream: anyio.abc.SocketStream,
        http: h11.Connection,
        headers: dict[str, str],
        signed: list[tuple[bytes, bytes]],
    ) -> bool:
        described = [*signed, (b"Content-Type", STREAM_TYPE)]
        is_framed = not self._faults.unframed
        if is_framed:
            described.append((b"Transfer-Encoding", b"chunked"))
            head = h11.Response(status_code=200, headers=described)
            await stream.send(http.send(head) or b"")
        else:
            await stream.send(
                _format_response(200, b"", described, framed=False)
            )

        async def send(data: bytes) -> None:
            part = http.send(h11.Data(data=data)) or b"" if is_framed else data
            await stream.send(part)

        last_event = int(headers.get(header.LAST_EVENT.decode(), "0"))
        for number in range(last_event + 1, self._settings.events + 1):
            await self._simulate_work(stream)
            if self._faults.hang_after == number - 1:
                await _hang(stream)
            piece = f"piece {number} {self._settings.release}".rstrip()
            event = f"id: {number}\ndata: {piece}\n\n".encode()
            if self._faults.cut_after == number - 1:
                await send(event[: self._faults.cut_bytes])
                return False
            await send(event)
        if not is_framed:
            return False
        await stream.send(http.send(h11.EndOfMessage()) or b"")
        http.start_next_cycle()
        return True

    async def _simulate_work(self, stream: anyio.abc.SocketStream) -> None:
        """Waits for the configured time, or until the caller disconnects.

        Raises:
            anyio.EndOfStream: The caller closed the connection.
            anyio.BrokenResourceError: The connection broke.
        """
        work_s = self._faults.work_s
        if work_s is None:
            work_s = self._settings.work_s
        self._running += 1
        try:
            with anyio.move_on_after(work_s):
                await stream.receive(1)
        finally:
            self._running -= 1


async def _hang(stream: anyio.abc.SocketStream) -> NoReturn:
    """Sends nothing more until the caller disconnects.

    Raises:
        anyio.EndOfStream: The caller closed the connection.
        anyio.BrokenResourceError: The connection broke.
    """
    while True:
        await stream.receive()


async def _reset(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    await stream.aclose()


async def _send_response(
    stream: anyio.abc.SocketStream,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
) -> None:
    await stream.send(_format_response(status, body, headers))


def _format_response(
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
    framed: bool = True,
) -> bytes:
    """Returns the bytes of a response.

    They are built by hand because h11 would refuse to send faulty ones.
    """
    lines = [f"HTTP/1.1 {status} Stand-in".encode()]
    lines.extend(name + b": " + value for name, value in headers)
    if framed:
        lines.append(f"Content-Length: {len(body)}".encode())
    return b"\r\n".join([*lines, b"", body])


async def main(settings: FakeReplicaSettings, stop: process.Stop) -> None:
    """Serves until a stop is requested."""
    replica = Replica(settings)
    host, port = split_address(settings.listen)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, replica.handle)
        await stop.event.wait()
        tasks.cancel_scope.cancel()


run = process.make_command(
    "ramptray-fake-replica",
    FakeReplicaSettings,
    main,
    "Stands in for a replica of the users' services.",
)

if __name__ == "__main__":
    run()
