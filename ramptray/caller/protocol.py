"""uvicorn's protocol for connections of callers that may not behave."""

from __future__ import annotations

import asyncio
import functools
import re
from typing import Any, cast

import h11
from uvicorn.protocols.http import h11_impl

from ramptray import steadyclock, turns
from ramptray.caller import memory

LINES_PER_TURN = 64
"""Lines that are parsed before other connections get their turn.  Each may be
a header, or begin a chunk."""

_LINES = re.compile(rb"(?:[^\n]*\n){1,%d}" % LINES_PER_TURN)


class PacedProtocol(h11_impl.H11Protocol, memory.Connection):
    """Parses what arrives in parts that do not hold up other connections.

    Args:
        pool: Where the connection counts; None for nowhere.
        turn_queue: Turns at parsing, shared by all connections of a server.
        options: Arguments of the base class.

    Attributes:
        waits_since: See ``memory.Connection``.
        has_served: See ``memory.Connection``.
    """

    def __init__(
        self,
        pool: memory.CallerPool | None,
        turn_queue: turns.TurnQueue,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self.waits_since: float | None = steadyclock.read()
        self.has_served = False
        self._pool = pool
        self._turn_queue = turn_queue
        self._unparsed = bytearray()
        self._turn: turns.Turn | None = None
        self._turn_count = 0

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Counts the connection; closes it if there is no room for it."""
        super().connection_made(transport)
        if self._pool is not None and not self._pool.add(self):
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts the connection as closed."""
        if self._pool is not None:
            self._pool.discard(self)
        if self._turn is not None:
            self._turn.cancel()
        self._unparsed.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses what arrived, at once if that takes little time."""
        # An incomplete head is parsed once its last line has arrived.
        incomplete = self.conn.trailing_data[0]
        lines = incomplete.count(b"\n") + data.count(b"\n")
        is_cheap = lines <= LINES_PER_TURN
        if is_cheap and not self._unparsed and not self._is_ahead:
            self._parse(data)
            return
        self._unparsed += data
        self.transport.pause_reading()
        self._turn_count = 0
        self._wait_for_turn()

    def abort(self) -> None:
        """See the base class."""
        self.transport.abort()

    def on_response_complete(self) -> None:
        """Marks that the connection waits for the next request."""
        self.has_served = True
        super().on_response_complete()
        if self.cycle is not None and self.cycle.response_complete:
            # They hold the head, and uvicorn keeps them for as long as the
            # connection waits.
            self.cycle = self.scope = self.headers = None  # type: ignore
        self._update_wait()
        self._wait_for_turn()

    @property
    def _is_ahead(self) -> bool:
        """Whether a request is complete and has not been answered."""
        return self.conn.their_state is h11.DONE

    def _wait_for_turn(self) -> None:
        """Waits until the next part may be parsed, if there is one.

        Requests that were sent ahead stay here, as uvicorn reads more each time
        it has answered one of them.
        """
        if self._turn is not None or not self._unparsed or self._is_ahead:
            return
        self._turn = self._turn_queue.enqueue(self._turn_count)
        self._turn_count += 1
        self._turn.add_done_callback(self._parse_part)

    def _parse_part(self, turn: turns.Turn) -> None:
        self._turn = None
        if turn.cancelled() or turn.exception() or self.transport.is_closing():
            return
        found = _LINES.match(self._unparsed)
        end = found.end() if found else len(self._unparsed)
        part = bytes(self._unparsed[:end])
        del self._unparsed[:end]
        self._parse(part)
        if self._unparsed:
            self._wait_for_turn()
        elif not self.flow.read_paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def _parse(self, data: bytes) -> None:
        super().data_received(data)
        self._update_wait()

    def _update_wait(self) -> None:
        if self.cycle is not None and not self.cycle.response_complete:
            self.waits_since = None
        elif self.waits_since is None:
            self.waits_since = steadyclock.read()


def make_protocol_factory(
    pool: memory.CallerPool | None = None,
) -> type[asyncio.Protocol]:
    """Returns what makes the protocols of a server.

    Args:
        pool: Where connections count; None for nowhere.
    """
    made = functools.partial(PacedProtocol, pool, turns.TurnQueue())
    # uvicorn only calls it.
    return cast(type[asyncio.Protocol], made)
