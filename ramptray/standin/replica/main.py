"""``ramptray-fake-replica``: a replica that answers, fails, cuts and counts."""

from __future__ import annotations

import json
import logging
import os

import anyio
import anyio.abc
import h11
import msgspec

from ramptray import process, steadyclock
from ramptray.bundle import model
from ramptray.platform import header
from ramptray.settings import Address, split_address

LOG = logging.getLogger(__name__)

READ_BYTES = 65536
STREAM_TYPE = b"text/event-stream"

CRASH_DELAY_S = 0.08
"""How long a request that ends this program runs before, in seconds."""

CRASH_EXIT_STATUS = 70


class FakeReplicaSettings(model.Model, frozen=True, kw_only=True):
    """Settings of the replica stand-in.

    Attributes:
        name: Its id.
        listen: IP number and port.
        work_s: How long an answer, or the pause between two events, takes.
        events: Events of a stream.
        crash_on: Part of a body that ends this program soon after it has begun
            to run the request; empty for none.
        log_level: Least level that is logged.
    """

    name: model.Name
    listen: Address
    work_s: model.NonNegativeFloat = 0.01
    events: model.PositiveInt = 5
    crash_on: str = ""
    log_level: str = "INFO"


class Faults(model.Model, frozen=True, kw_only=True):
    """Faults that a test sets.

    Attributes:
        refuse: Answer that the request has not run.
        refuse_each: Of how many requests one is answered so, if any is.
        pauses: Values of the header of such an answer that asks for a pause,
            one header for each.
        leaving: Say in each answer that it is leaving.
        fail: Answer with a failure of its own.
        cut_after: Events after which streams are cut in the middle of one.
        hang_after: Events after which streams say nothing more.
        surplus: Send an answer to another request before each answer.
        unframed: Answer without a length and close.
        work_s: How long an answer, or a pause, takes from now on.
        limits: Values of the request limit header, one header for each.
    """

    refuse: bool = False
    refuse_each: model.PositiveInt = 1
    pauses: tuple[str, ...] = ()
    leaving: bool = False
    fail: bool = False
    cut_after: int | None = None
    hang_after: int | None = None
    surplus: bool = False
    unframed: bool = False
    work_s: float | None = None
    limits: tuple[str, ...] = ()


class Ledger(msgspec.Struct):
    """What the replica has seen.

    Attributes:
        runs: Ids of the requests that it ran, in order.
        heads: Headers of each, in lower case.
        gone: Ids of the requests whose connection closed while they ran.
        refused: Ids of the requests that it turned away.
        arrived: When each request arrived, run or not, on the machine's
            clock in seconds.
    """

    runs: list[str] = msgspec.field(default_factory=list)
    heads: list[dict[str, str]] = msgspec.field(default_factory=list)
    gone: list[str] = msgspec.field(default_factory=list)
    refused: list[str] = msgspec.field(default_factory=list)
    arrived: list[float] = msgspec.field(default_factory=list)


class Replica:
    """Serves connections, with one request at a time on each."""

    def __init__(self, settings: FakeReplicaSettings) -> None:
        self._settings = settings
        self._faults = Faults()
        self._ledger = Ledger()

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection until it ends."""
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
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                try:
                    http.receive_data(await stream.receive(READ_BYTES))
                except anyio.EndOfStream:
                    return False
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
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
            seen = json.dumps(msgspec.to_builtins(self._ledger)).encode()
            await _send_response(stream, 200, seen, [])
            return True
        return await self._respond(stream, http, path, headers, body)

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
        own = [(header.REQUEST_ID, request_id.encode())]
        own += [
            (header.SERVER_LIMIT, value.encode()) for value in faults.limits
        ]
        own += [(header.SERVER_LEAVING, b"1")] if faults.leaving else []
        self._record_arrival(request_id)
        if headers.get(header.EXPECTED_BACKEND.decode()) != self._settings.name:
            await _send_response(stream, 421, b"", own)
            return True
        if (
            faults.refuse
            and len(self._ledger.arrived) % faults.refuse_each == 0
        ):
            own += [
                (header.RETRY_AFTER, value.encode()) for value in faults.pauses
            ]
            self._ledger.refused.append(request_id)
            await _send_response(
                stream, 503, b"", [*own, (header.NOT_EXECUTED, b"1")]
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
        # Logged at once, so that it is known also if this program is killed.
        LOG.info("running", extra={"request_id": request_id})
        self._ledger.runs.append(request_id)
        self._ledger.heads.append(headers)
        if self._settings.crash_on and self._settings.crash_on in body.decode(
            errors="replace"
        ):
            await self._crash(request_id)
        signed = [
            *own,
            (header.SIGNATURE, f"{self._settings.name}.{path}".encode()),
        ]
        if path.startswith("/stream"):
            return await self._stream(stream, http, headers, signed)
        try:
            await self._simulate_work(stream, request_id)
        except anyio.EndOfStream:
            return False
        if faults.surplus:
            other = [
                (header.REQUEST_ID, b"other"),
                (header.SIGNATURE, b"other"),
            ]
            await stream.send(_format_response(200, b"surplus", other))
        answer = json.dumps({"path": path, "bytes": len(body)}).encode()
        if faults.unframed:
            await stream.send(
                _format_response(200, answer, signed, framed=False)
            )
            return False
        status = 500 if faults.fail else 200
        await _send_response(stream, status, answer, signed)
        return True

    def _record_arrival(self, request_id: str) -> None:
        now = steadyclock.read_monotonic()
        self._ledger.arrived.append(now)
        LOG.info("arrived", extra={"request_id": request_id, "at": now})

    async def _crash(self, request_id: str) -> None:
        """Ends this program with all that runs in it."""
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
        head = h11.Response(
            status_code=200,
            headers=[
                *signed,
                (b"Content-Type", STREAM_TYPE),
                (b"Transfer-Encoding", b"chunked"),
            ],
        )
        await stream.send(http.send(head) or b"")
        begin = int(headers.get(header.LAST_EVENT.decode(), "0"))
        for number in range(begin + 1, self._settings.events + 1):
            try:
                await self._simulate_work(
                    stream, headers[header.REQUEST_ID.decode()]
                )
            except anyio.EndOfStream:
                return False
            if self._faults.hang_after == number - 1:
                await anyio.sleep_forever()
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if self._faults.cut_after == number - 1:
                await stream.send(http.send(h11.Data(data=event[:9])) or b"")
                return False
            await stream.send(http.send(h11.Data(data=event)) or b"")
        await stream.send(http.send(h11.EndOfMessage()) or b"")
        http.start_next_cycle()
        return True

    async def _simulate_work(
        self, stream: anyio.abc.SocketStream, request_id: str
    ) -> None:
        """Works for a while; notes it if the caller goes meanwhile."""
        work_s = self._faults.work_s
        if work_s is None:
            work_s = self._settings.work_s
        with anyio.move_on_after(work_s):
            try:
                await stream.receive(1)
            except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
                self._ledger.gone.append(request_id)
                raise anyio.EndOfStream from error


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
    """Returns an answer's bytes; the parser would not let faults through."""
    lines = [f"HTTP/1.1 {status} Stand-in".encode()]
    lines.extend(name + b": " + value for name, value in headers)
    if framed:
        lines.append(f"Content-Length: {len(body)}".encode())
    return b"\r\n".join([*lines, b"", body])


async def main(settings: FakeReplicaSettings, stop: process.Stop) -> None:
    """Serves until a stop is asked for."""
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
