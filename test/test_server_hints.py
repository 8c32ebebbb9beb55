"""What entries and owners make of the hints of backend servers."""

from __future__ import annotations

import pytest

from ramptray.core import backend, message
from ramptray.entry import server_hints
from ramptray.entry import ticket as tickets
from ramptray.peer import attachment
from test.test_dispatcher import OTHER, OURS, Desk, anyio_backend, desk
from test.test_rate_limit import (
    list_grants,
    list_rejects,
    make_owner,
    make_request,
    name_limit,
)

__all__ = ["anyio_backend", "desk"]

LEAVING = server_hints.HeadReceived("r0", "s0", 0, is_leaving=True, owner=OURS)


class Book(server_hints.HintBook):
    """A book whose messages are kept instead of sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, message.ServerHints]] = []
        super().__init__(
            lambda address, hints: self.sent.append((address, hints)),
            lambda: [OURS, OTHER],
            longest_pause_s=60.0,
        )


def list_hints(desk: Desk) -> list[tuple[str, message.ServerHints]]:
    """Returns the hints that an entry has sent, with their addresses."""
    return [
        (address, body)
        for address, body in desk.sent
        if isinstance(body, message.ServerHints)
    ]


def test_every_scheduler_is_sent_that_a_server_is_leaving() -> None:
    book = Book()
    book.observe(LEAVING, 1.0)
    hints = message.ServerHints("s0", 0, is_leaving=True)
    assert sorted(book.sent) == [(OURS, hints), (OTHER, hints)]
    book.observe(LEAVING, 2.0)
    assert len(book.sent) == 2


def test_an_answer_that_began_earlier_does_not_take_leaving_back() -> None:
    book = Book()
    book.observe(LEAVING, 1.0)
    book.observe(server_hints.HeadReceived("r1", "s0", 0, owner=OURS), 1.1)
    assert book.find_bar("s0", 0, 1.2) is server_hints.Bar.LEAVING


def test_a_later_run_of_a_leaving_server_gets_work() -> None:
    book = Book()
    book.observe(LEAVING, 1.0)
    assert book.find_bar("s0", 1, 1.1) is None


def test_a_leaving_server_that_an_older_store_brings_back_gets_no_work() -> (
    None
):
    book = Book()
    book.observe(LEAVING, 1.0)
    book.discard_except(["other"], 2.0)
    assert book.find_bar("s0", 0, 3.0) is server_hints.Bar.LEAVING
    book.discard_except([], 2.0 + server_hints.FORGET_LEAVING_S)
    assert book.find_bar("s0", 0, 700.0) is None
    assert book.count_leaving() == 0


def test_a_returned_grant_follows_the_hint_and_is_no_attempt(
    desk: Desk,
) -> None:
    desk.hear(attachment.Said(OURS, message.Grant("r1", "g", "s0", OURS)))
    desk.server_hints.observe(LEAVING, 1.0)
    desk.sent.clear()
    barred = tickets.Barred("r1", server_hints.Bar.LEAVING)
    desk._handle(barred, 1.0)
    hints = message.ServerHints("s0", 0, is_leaving=True)
    decline = message.Decline("r1", "g", waits=True)
    assert desk.sent == [(OURS, hints), (OURS, decline)]
    ticket = desk._tickets["r1"]
    assert ticket.machine.dispatches == 0
    assert ticket.tried == ()


def test_a_returned_grant_fails_no_server_and_is_placed_elsewhere() -> None:
    owner = make_owner(servers=2)
    asked = make_request()
    request_id = asked.request.request_id
    (first,) = list_grants(owner.receive("entry", asked, 0.0))
    hints = message.ServerHints(first.backend, 0, is_leaving=True)
    assert not owner.receive("entry", hints, 0.1)
    decline = message.Decline(request_id, first.grant_id, waits=True)
    (second,) = list_grants(owner.receive("entry", decline, 0.1))
    assert second.backend != first.backend
    left = owner.fleet.backends[first.backend]
    assert left.availability.failures == 0
    assert not left.placed


@pytest.mark.parametrize("later", [True, False])
def test_a_leaving_server_s_places_are_gone_for_its_run(later: bool) -> None:
    owner = make_owner(servers=1)
    hints = message.ServerHints("s0", 0, is_leaving=True)
    owner.receive("entry", hints, 0.0)
    # Neither a later hint nor the record of a run takes it back.
    name_limit(owner, None)
    owner.fleet.set_state("s0", backend.BackendState.ACTIVE)
    info = backend.BackendInfo("s0", 50, 10**9, 16, run=1 if later else 0)
    owner.fleet.configure([info], "")
    owner.fleet.set_state("s0", backend.BackendState.ACTIVE)
    granted = list_grants(owner.receive("entry", make_request(), 1.0))
    assert len(granted) == (1 if later else 0)
    assert owner.fleet.has_usable is later


def test_callers_are_refused_at_once_while_every_server_is_leaving() -> None:
    owner = make_owner(servers=2)
    for name in ("s0", "s1"):
        hints = message.ServerHints(name, 0, is_leaving=True)
        owner.receive("entry", hints, 0.0)
    (reject,) = list_rejects(owner.receive("entry", make_request(), 5.0))
    assert reject.reason is message.Reason.NO_BACKEND
    assert reject.retry_after_s >= 1.0
