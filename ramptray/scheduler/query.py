"""Queries for the timelines of the processes attached to a scheduler."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Iterable

import anyio
import msgspec
from anyio.streams import memory

from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.scheduler import event

_Answers = memory.MemoryObjectSendStream[peer_message.TimelineEvents]


class TimelineQueries:
    """Forwards queries to attached processes and returns their responses.

    The response stream of a query closes when each process that it was sent
    to has responded or disconnected.
    """

    def __init__(self) -> None:
        self._tickets = itertools.count(1)
        self._pending: dict[tuple[int, peer_link.Session], _Answers] = {}

    def ask(
        self,
        request: event.TimelineRequested,
        sessions: Iterable[peer_link.Session],
    ) -> None:
        """Sends a query to some attached processes."""
        ticket = next(self._tickets)
        question = msgspec.structs.replace(request.question, ticket=ticket)
        for session in sessions:
            self._pending[ticket, session] = request.answers.clone()
            session.send(question)
        request.answers.close()

    def forward_answer(
        self, session: peer_link.Session, events: peer_message.TimelineEvents
    ) -> None:
        """Passes the response of a process to its query's stream."""
        answers = self._pending.pop((events.ticket, session), None)
        if answers is not None:
            with contextlib.suppress(anyio.BrokenResourceError), answers:
                answers.send_nowait(events)

    def drop_session(self, session: peer_link.Session) -> None:
        """Ends the pending queries of a process that has disconnected."""
        for key in [key for key in self._pending if key[1] is session]:
            self._pending.pop(key).close()
