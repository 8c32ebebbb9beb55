"""A replica as ``PROTOCOL.md`` describes it, one process each.

Usage: ``replica.py ID PORT RUNS [--unframed-each N] [--pieces N] [--gap-s S]``

Requests below ``/llm/`` are answered with a stream of events, all others with a
short body.  What it runs is written to the file RUNS, a line of JSON each.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import hashlib
import json
import time

END = b"\r\n\r\n"


class Replica:
    """Serves connections, one request at a time on each."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._answers = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it ends."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(END)).decode("latin-1")
        first, *rows = head.removesuffix("\r\n\r\n").split("\r\n")
        method, path, _ = first.split(" ")
        headers = {}
        for row in rows:
            name, _, value = row.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length)
        name = self._options.id
        if path == "/health":
            await _answer(writer, 200, b"", {"X-Instance-Id": name})
            return True
        answered = {"X-Request-Id": headers.get("x-request-id", "")}
        if headers.get("x-expect-instance", name) != name:
            answered["X-Instance-Id"] = name
            await _answer(writer, 421, b"", answered)
            return True
        self._answers += 1
        each = self._options.unframed_each
        framed = not each or self._answers % each != 0
        self._note_run(method, path, headers, body, framed)
        answered["X-Response-Signature"] = self._sign(headers)
        answered["X-Weight-Versions"] = "1"
        if path.startswith("/llm/"):
            return await self._stream(writer, headers, answered, framed)
        text = json.dumps({"path": path, "bytes": len(body)}).encode()
        await _answer(writer, 200, text, answered)
        return True

    def _note_run(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        framed: bool,
    ) -> None:
        run = {
            "at": time.monotonic(),
            "id": headers.get("x-request-id"),
            "call": f"{method} {path}",
            "tenant": headers.get("x-tenant"),
            "last": headers.get("last-event-id"),
            "framed": framed,
            "body": hashlib.sha256(body).hexdigest()[:16],
        }
        with open(self._options.runs, "a") as runs:
            print(json.dumps(run), file=runs)

    def _sign(self, headers: dict[str, str]) -> str:
        text = f"{self._options.id} {headers.get('x-request-id')}"
        return hashlib.sha256(text.encode()).hexdigest()[:24]

    async def _stream(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        answered: dict[str, str],
        framed: bool,
    ) -> bool:
        """Sends the pieces after ``Last-Event-Id``, in two parts each."""
        options = self._options
        answered["Content-Type"] = "text/event-stream"
        if framed:
            answered["Transfer-Encoding"] = "chunked"
        writer.write(_make_head(200, answered))
        first = int(headers.get("last-event-id") or "0") + 1
        for number in range(first, options.pieces + 1):
            text = f"id: {number}\ndata: piece {number} of {options.pieces}\n\n"
            event = text.encode()
            # An event is longer than what the link carries at a time.
            for part in (event[: len(event) // 2], event[len(event) // 2 :]):
                writer.write(_make_chunk(part) if framed else part)
                await writer.drain()
                await asyncio.sleep(options.gap_s / 2)
        if framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return framed


def _make_head(status: int, headers: dict[str, str]) -> bytes:
    rows = [f"HTTP/1.1 {status} Replica"]
    rows += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(rows).encode() + END


def _make_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def _answer(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    headers: dict[str, str],
) -> None:
    headers = {**headers, "Content-Length": str(len(body))}
    if status == 421:
        headers["X-Not-Executed"] = "1"
    writer.write(_make_head(status, headers) + body)
    await writer.drain()


async def main() -> None:
    """Serves until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("id")
    parser.add_argument("port", type=int)
    parser.add_argument("runs")
    parser.add_argument("--unframed-each", type=int, default=0)
    parser.add_argument("--pieces", type=int, default=12)
    parser.add_argument("--gap-s", type=float, default=0.1)
    options = parser.parse_args()
    replica = Replica(options)
    server = await asyncio.start_server(
        replica.serve, "127.0.0.1", options.port
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
