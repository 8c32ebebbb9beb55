"""Connections to backend servers, kept and reused one request at a time."""

from __future__ import annotations

import collections
import contextlib
import itertools
import logging
import select
import socket
from collections.abc import AsyncIterator, Iterable
from typing import Any

import anyio
import anyio.abc
import h11
import msgspec

from ramptray import steadyclock
from ramptray.relay import dialect as dialects
from ramptray.relay import message

LOG = logging.getLogger(__name__)

CONNECT_S = 0.12
"""Longest time to open a connection, in seconds: some fifty round trips of a
deployment whose zones are about a millisecond apart."""

USER_TIMEOUT_MS = 600
"""How long sent bytes may stay unacknowledged, in milliseconds, before the
connection counts as dead: two or three retransmissions.  A cut says nothing of
itself."""

IDLE_S = 10.0
"""How long an idle connection is kept where the backend server says nothing."""

IDLE_MARGIN_S = 1.0
"""How much earlier than the backend server an idle connection is given up."""

ONCE_IDLE_S = 5.0
"""How long a connection may have been idle to carry a request that may run only
once: if it closes as the request is sent, nobody knows whether it ran.  That
takes a round trip of bad luck; a connection that is closed already is seen."""

HUNG_S = 1.0
"""Backend servers that hang within this time, in seconds, hang together."""

HUNG_TOGETHER = 2
"""So many that hang together may be sound behind silent connections."""

KEEP_ALIVE_S = 1
"""Silence after which the kernel asks whether the other end is still there, in
seconds, the least that it can: a connection that fell silent while it was idle,
or while an answer was awaited, is seen after twice that instead of never."""

READ_BYTES = 65536
MAX_HEAD_BYTES = 65536
MAX_SURPLUS = 4
"""Answers to other requests that are skipped at most."""


class RelayError(Exception):
    """Base of the errors of a backend server's connection."""


class NotSentError(RelayError):
    """The connection could not be opened: no byte of the request was sent.

    Attributes:
        refused: Whether the backend server refused it; else it was silent.
    """

    def __init__(self, text: str, refused: bool) -> None:
        self.refused = refused
        super().__init__(text)


class BrokenError(RelayError):
    """The connection broke, or its bytes are no answer, after the request."""


class Target(msgspec.Struct, frozen=True):
    """Whom a request is sent to.

    Attributes:
        address: IP number and port of the backend server.
        backend: Its name; empty where any program at that address will do.
        run: Which of its runs; see ``core.message.Grant``.
    """

    address: str
    backend: str = ""
    run: int = 0

    def is_former(self, other: Target) -> bool:
        """Tells whether this is another run of the same backend server."""
        return self.backend == other.backend and self.run != other.run


class HungError(BrokenError):
    """Nothing came for so long that the connection may be a dead one."""


class Connection:
    """One connection to a backend server, with one request at a time."""

    def __init__(
        self,
        target: Target,
        stream: anyio.abc.SocketStream,
        dialect: dialects.Dialect,
    ) -> None:
        self.target = target
        self.address = target.address
        self.idle_since = 0.0
        self.idle_s = IDLE_S
        self._stream = stream
        self._dialect = dialect
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._method = b"GET"
        self._whole = False

    @property
    def reusable(self) -> bool:
        """Whether the last exchange left the connection clean."""
        http = self._http
        return (
            self._whole
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
        )

    def is_quiet(self) -> bool:
        """Tells whether nothing has arrived while the connection was idle.

        Bytes that nobody asked for, an end or an error make it useless.
        """
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN | select.POLLHUP)
        return not poll.poll(0)

    async def send(
        self, request: message.CallerRequest, attempt: message.Attempt
    ) -> None:
        """Sends a whole request.

        Raises:
            BrokenError: The connection broke; the request may have arrived.
        """
        headers = self._dialect.make_headers(request, attempt)
        if request.body or request.method not in (b"GET", b"HEAD"):
            length = str(len(request.body)).encode()
            headers.append((b"Content-Length", length))
        self._method = request.method
        self._whole = False
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
            data = self._http.send(head) or b""
            data += self._http.send(h11.Data(data=request.body)) or b""
            data += self._http.send(h11.EndOfMessage()) or b""
            await self._stream.send(data)
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            h11.LocalProtocolError,
        ) as error:
            raise BrokenError(f"{self.address}: {error!r}") from error

    async def read_head(self, request_id: str) -> message.AnswerHead:
        """Returns the head of the answer to this request.

        Answers to other requests that come in its place are skipped.

        Raises:
            BrokenError: There is no answer.
        """
        for _ in range(MAX_SURPLUS):
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise BrokenError(f"{self.address}: no answer's head")
            head = self._dialect.read_answer(
                event.status_code, list(event.headers.raw_items())
            )
            if head.request_id in (None, request_id):
                if head.idle_s is not None:
                    self.idle_s = max(0.0, head.idle_s - IDLE_MARGIN_S)
                return head
            await self._skip_surplus(head)
        raise BrokenError(f"{self.address}: only answers to other requests")

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yields the answer's body as it arrives.

        Raises:
            BrokenError: It ends early.
        """
        while (part := await self.read_part()) is not None:
            yield part

    async def read_part(self) -> bytes | None:
        """Returns the next bytes of the answer's body; None at its end.

        Raises:
            BrokenError: It ends early.
        """
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            self._whole = True
            return None
        if not isinstance(event, h11.Data):
            raise BrokenError(f"{self.address}: the answer ended early")
        return bytes(event.data)

    async def read_body(self) -> bytes:
        """Returns the whole body of the answer.

        Raises:
            BrokenError: It ends early.
        """
        return b"".join([part async for part in self.iterate_body()])

    async def close(self) -> None:
        """Closes the connection at once."""
        await anyio.aclose_forcefully(self._stream)

    def begin_next(self) -> None:
        """Makes ready for the next request."""
        self._http.start_next_cycle()

    async def _skip_surplus(self, head: message.AnswerHead) -> None:
        """Reads an answer to another request to its end, and starts anew."""
        LOG.info(
            "skipped an answer to another request",
            extra={"backend": self.address, "request_id": head.request_id},
        )
        await self.read_body()
        self._whole = False
        rest, ended = self._http.trailing_data
        if ended:
            raise BrokenError(f"{self.address}: closed after a surplus answer")
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        # The parser only reads an answer where it has seen a request.
        again = h11.Request(
            method=self._method, target=b"/", headers=[(b"Host", b"-")]
        )
        self._http.send(again)
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self._receive())
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"{self.address}: {error}") from error

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BrokenError(f"{self.address}: {error!r}") from error


class Counters(msgspec.Struct):
    """What the client has done since its start."""

    opened: int = 0
    reused: int = 0
    refused: int = 0


class RelayClient:
    """Opens, keeps and reuses connections to backend servers."""

    def __init__(self, dialect: dialects.Dialect) -> None:
        self.counters = Counters()
        self._dialect = dialect
        self._idle: dict[str, list[Connection]] = collections.defaultdict(list)
        self._lent: set[Connection] = set()
        self._hung_at: dict[str, float] = {}

    @contextlib.asynccontextmanager
    async def use(
        self, target: Target, runs_once: bool
    ) -> AsyncIterator[Connection]:
        """Lends a connection; it is kept afterwards if it is still clean.

        Args:
            target: The backend server.
            runs_once: Whether the request may not be sent a second time.

        Raises:
            NotSentError: No connection could be opened.
        """
        connection = await self._take(target, runs_once)
        self._lent.add(connection)
        kept = False
        try:
            yield connection
            kept = connection.reusable
        except HungError:
            self._note_hang(target, steadyclock.read())
            raise
        finally:
            self._lent.discard(connection)
            if kept:
                connection.begin_next()
                connection.idle_since = steadyclock.read()
                self._idle[target.address].append(connection)
            else:
                with anyio.CancelScope(shield=True):
                    await connection.close()

    async def end_former_runs(self, backend: str, run: int) -> None:
        """Closes what leads to earlier runs of a backend server.

        A run that lost its power says nothing: requests at work there would be
        waited for until their callers' deadlines.
        """
        now = Target("", backend, run)
        former = [
            connection
            for connection in (
                *itertools.chain(*self._idle.values()),
                *self._lent,
            )
            if connection.target.is_former(now)
        ]
        for connection in former:
            # Idle ones are not lent again; what is lent breaks for its user.
            connection.idle_s = 0.0
            await connection.close()

    async def run(self) -> None:
        """Closes connections that have been idle for long, until cancelled."""
        while True:
            await anyio.sleep(IDLE_MARGIN_S)
            await self.close_idle(steadyclock.read())

    def distrust(self, addresses: Iterable[str]) -> None:
        """Lends no idle connection to these backend servers any more.

        A connection from before a cut takes a request and says nothing, while
        opening a new one shows soon whether there is a way.
        """
        for address in addresses:
            for connection in self._idle[address]:
                connection.idle_s = 0.0

    def distrust_all(self) -> None:
        """Lends no idle connection any more."""
        self.distrust(list(self._idle))

    def _note_hang(self, target: Target, now: float) -> None:
        """Distrusts idle connections beside one on which nothing came.

        Open connections may fall silent in numbers.  Where several backend
        servers hang at once the connections are the likelier reason.
        """
        self._hung_at[target.address] = now
        hung = {a: at for a, at in self._hung_at.items() if now - at < HUNG_S}
        self._hung_at = hung
        many = len(hung) >= HUNG_TOGETHER
        self.distrust(list(self._idle) if many else [target.address])

    async def probe(self, url: str) -> bool:
        """Tells whether there is a way to a backend server.

        A connection that could be opened is kept for the next request.
        """
        address = url.removeprefix("http://")
        try:
            connection = await self._open(Target(address))
        except NotSentError as error:
            return error.refused
        connection.idle_since = steadyclock.read()
        self._idle[address].append(connection)
        return True

    async def close_idle(self, now: float) -> None:
        """Closes the connections that are idle for too long."""
        for idle in list(self._idle.values()):
            old = [c for c in idle if now - c.idle_since >= c.idle_s]
            # The list stays the same one: others may be taking from it.
            for connection in old:
                idle.remove(connection)
            for connection in old:
                await connection.close()

    async def _take(self, target: Target, runs_once: bool) -> Connection:
        now = steadyclock.read()
        idle = self._idle[target.address]
        while idle:
            connection = idle.pop()
            longest = connection.idle_s
            if runs_once:
                longest = min(longest, ONCE_IDLE_S)
            if connection.target.is_former(target):
                longest = 0.0
            if now - connection.idle_since < longest and connection.is_quiet():
                self.counters.reused += 1
                connection.target = target
                return connection
            await connection.close()
        return await self._open(target)

    async def _open(self, target: Target) -> Connection:
        address = target.address
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_S):
                stream = await anyio.connect_tcp(host, int(port))
        except (OSError, TimeoutError) as error:
            self.counters.refused += 1
            refused = not isinstance(error, TimeoutError)
            raise NotSentError(f"{address}: {error!r}", refused) from error
        set_socket_options(stream)
        self.counters.opened += 1
        return Connection(target, stream, self._dialect)


def set_socket_options(stream: anyio.abc.SocketStream) -> None:
    """Makes a connection notice within seconds that its peer is cut off."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_S),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)
