"""Handling of backend servers' hints by entries and shard owners."""

from __future__ import annotations

import msgspec
import pytest

from ramptray.core import backend, message, retention, shard
from ramptray.entry import server_hints
from ramptray.entry import ticket as tickets
from ramptray.peer import attachment
from ramptray.scheduler import observations
from test.test_dispatcher import (
    OTHER,
    OURS,
    RecordingDispatcher,
    anyio_backend,
    recorder,
)
from test.test_rate_limit import (
    announce_limit,
    list_grants,
    list_rejects,
    make_owner,
    make_request,
)

# Imported fixtures.
__all__ = ["anyio_backend", "recorder"]

SPEED = message.Speed(100_000.0, 0.003, 0.03)
LEAVING = server_hints.HeadReceived("r0", "s0", 0, is_leaving=True, owner=OURS)


class RecordingHintBook(server_hints.ServerHintStore):
    """A hint store that records messages instead of sending them."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, message.ServerHints]] = []
        super().__init__(
            lambda address, hints: self.sent.append((address, hints)),
            lambda: [OURS, OTHER],
            longest_pause_s=60.0,
        )


def list_hints(
    recorder: RecordingDispatcher,
) -> list[tuple[str, message.ServerHints]]:
    """Returns the hints that an entry has sent, with their addresses."""
    return [
        (address, body)
        for address, body in recorder.sent
        if isinstance(body, message.ServerHints)
    ]


def test_leaving_hint_is_sent_to_every_scheduler_once() -> None:
    book = RecordingHintBook()
    book.observe(LEAVING, 1.0)
    hints = message.ServerHints("s0", 0, is_leaving=True)
    assert sorted(book.sent) == [(OURS, hints), (OTHER, hints)]
    book.observe(LEAVING, 2.0)
    assert len(book.sent) == 2


def test_older_response_does_not_revoke_leaving() -> None:
    book = RecordingHintBook()
    book.observe(LEAVING, 1.0)
    book.observe(server_hints.HeadReceived("r1", "s0", 0, owner=OURS), 1.1)
    assert (
        book.find_unusable_reason("s0", 0, 1.2)
        is server_hints.UnusableReason.LEAVING
    )


def test_response_of_an_earlier_run_does_not_revoke_later_hints() -> None:
    # One that was read late erased what the server had said since it restarted.
    book = RecordingHintBook()
    book.observe(msgspec.structs.replace(LEAVING, run=2), 1.0)
    book.sent.clear()
    late = server_hints.HeadReceived("r1", "s0", 1, limit_per_s=5.0, owner=OURS)
    book.observe(late, 2.0)
    reason = book.find_unusable_reason("s0", 2, 2.0)
    assert reason is server_hints.UnusableReason.LEAVING
    assert book.sent == []


def test_later_run_of_a_leaving_server_gets_requests() -> None:
    book = RecordingHintBook()
    book.observe(LEAVING, 1.0)
    assert book.find_unusable_reason("s0", 1, 1.1) is None


def test_leaving_server_restored_by_an_older_store_gets_no_requests() -> None:
    book = RecordingHintBook()
    book.observe(LEAVING, 1.0)
    book.discard_except(["other"], 2.0)
    assert (
        book.find_unusable_reason("s0", 0, 3.0)
        is server_hints.UnusableReason.LEAVING
    )
    book.discard_except([], 2.0 + retention.RETENTION_S)
    assert book.find_unusable_reason("s0", 0, 700.0) is None
    assert book.count_leaving() == 0


def test_hints_of_an_unlisted_server_are_kept_for_a_while() -> None:
    # VMs forgot the limit of a server whose service was removed for a while.
    book, known = RecordingHintBook(), observations.BackendObservations()
    book.observe(server_hints.HeadReceived("r0", "s0", 0, 5.0), 1.0)
    known.record_hints(message.ServerHints("s0", 0, 5.0), "entry", 1.0)
    known.speeds["s0"] = message.SpeedLearned("s0", SPEED)
    ends_at = 2.0 + retention.RETENTION_S
    for now, count in ((2.0, 1), (ends_at - 1.0, 1), (ends_at, 0)):
        book.discard_except(["other"], now)
        known.discard_except(["other"], now)
        assert book.count_limited() == count
        assert len(known.list_hints(now)) == len(known.speeds) == count


def test_pauses_of_an_unlisted_server_hold_until_they_end() -> None:
    known = observations.BackendObservations()
    hints = message.ServerHints("s0", 0, pause_s=3.0)
    known.record_hints(hints, "entry", 0.0)
    known.discard_except([], 1.0)
    (pause, _) = known.list_hints(1.0)
    assert pause == ("entry", message.ServerHints("s0", 0, pause_s=2.0))


def test_returned_grant_is_sent_after_the_hint_and_counts_no_attempt(
    recorder: RecordingDispatcher,
) -> None:
    recorder.receive(
        attachment.MessageReceived(OURS, message.Grant("r1", "g", "s0", OURS))
    )
    recorder.server_hints.observe(LEAVING, 1.0)
    recorder.sent.clear()
    unusable = tickets.GrantUnusable("r1", server_hints.UnusableReason.LEAVING)
    recorder._handle(unusable, 1.0)
    hints = message.ServerHints("s0", 0, is_leaving=True)
    decline = message.Decline("r1", "g", waits=True)
    assert recorder.sent == [(OURS, hints), (OURS, decline)]
    ticket = recorder._tickets["r1"]
    assert ticket.machine.dispatches == 0
    assert ticket.tried == ()


def test_returned_grant_counts_no_failure_and_is_placed_elsewhere() -> None:
    owner = make_owner(servers=2)
    enqueue = make_request()
    request_id = enqueue.request.request_id
    (first,) = list_grants(owner.receive("entry", enqueue, 0.0))
    hints = message.ServerHints(first.backend, 0, is_leaving=True)
    assert not owner.receive("entry", hints, 0.1)
    decline = message.Decline(request_id, first.grant_id, waits=True)
    (second,) = list_grants(owner.receive("entry", decline, 0.1))
    assert second.backend != first.backend
    left = owner.fleet.backends[first.backend]
    assert left.availability.failures == 0
    assert not left.placed


@pytest.mark.parametrize("later", [True, False])
def test_leaving_server_gets_no_grants_until_its_next_run(later: bool) -> None:
    owner = make_owner(servers=1)
    hints = message.ServerHints("s0", 0, is_leaving=True)
    owner.receive("entry", hints, 0.0)
    # Neither a later hint nor a record of the same run revokes it.
    announce_limit(owner, None)
    owner.fleet.set_state("s0", backend.BackendState.ACTIVE)
    info = backend.BackendInfo("s0", 50, 10**9, 16, run=1 if later else 0)
    owner.fleet.configure([info], "")
    owner.fleet.set_state("s0", backend.BackendState.ACTIVE)
    granted = list_grants(owner.receive("entry", make_request(), 1.0))
    assert len(granted) == (1 if later else 0)
    assert owner.fleet.has_usable is later


def test_requests_are_rejected_at_once_if_every_server_is_leaving() -> None:
    owner = make_owner(servers=2)
    for name in ("s0", "s1"):
        hints = message.ServerHints(name, 0, is_leaving=True)
        owner.receive("entry", hints, 0.0)
    (reject,) = list_rejects(owner.receive("entry", make_request(), 5.0))
    assert reject.reason is message.Reason.NO_BACKEND
    assert reject.retry_after_s >= 1.0


def pause(
    owner: shard.ShardOwner,
    name: str,
    pause_s: float,
    now: float = 0.0,
    entry: str = "entry",
) -> None:
    """Tells an owner that a server requested a pause from an entry."""
    hints = message.ServerHints(name, 0, pause_s=pause_s)
    owner.receive(entry, hints, now)


def test_pause_applies_to_the_vm_that_received_it_until_it_ends() -> None:
    book = RecordingHintBook()
    head = server_hints.HeadReceived("r0", "s0", 0, pause_s=3.0, owner=OURS)
    book.observe(head, 1.0)
    assert book.sent[0][1] == message.ServerHints("s0", 0, pause_s=3.0)
    # A shorter pause, an older response or a removed record does not end it.
    shorter = server_hints.HeadReceived("r1", "s0", 0, pause_s=0.5, owner=OURS)
    book.observe(shorter, 1.1)
    book.observe(server_hints.HeadReceived("r2", "s0", 0, owner=OURS), 1.2)
    book.discard_except([], 1.3)
    assert (
        book.find_unusable_reason("s0", 0, 3.9)
        is server_hints.UnusableReason.PAUSED
    )
    assert book.find_unusable_reason("s0", 0, 4.1) is None
    assert book.find_unusable_reason("s0", 1, 2.0) is None


def test_pause_is_capped_by_the_settings() -> None:
    book = RecordingHintBook()
    head = server_hints.HeadReceived("r0", "s0", 0, pause_s=3600.0, owner=OURS)
    book.observe(head, 1.0)
    assert (
        book.find_unusable_reason("s0", 0, 60.9)
        is server_hints.UnusableReason.PAUSED
    )
    assert book.find_unusable_reason("s0", 0, 61.1) is None


def test_new_scheduler_is_sent_the_remaining_pause() -> None:
    book = RecordingHintBook()
    head = server_hints.HeadReceived("r0", "s0", 0, pause_s=3.0, owner=OURS)
    book.observe(head, 1.0)
    book.sent.clear()
    book.send_all(OTHER, 3.0)
    assert book.sent == [(OTHER, message.ServerHints("s0", 0, pause_s=1.0))]


def test_pause_applies_only_to_the_entry_that_received_it() -> None:
    owner = make_owner()
    pause(owner, "s0", 3.0)
    assert not list_grants(owner.receive("entry", make_request(), 0.1))
    assert list_grants(owner.receive("other", make_request(), 0.1))


def test_pause_does_not_delay_requests_of_other_entries() -> None:
    # All requests are of one customer, which is otherwise served in order.
    owner = make_owner()
    pause(owner, "s0", 3.0)
    for _ in range(3):
        owner.receive("entry", make_request(), 0.1)
    lower = make_request("batch")
    granted = list_grants(owner.receive("other", lower, 0.2))
    assert [each.request_id for each in granted] == [lower.request.request_id]


def test_requests_resume_after_one_probe_when_a_pause_ends() -> None:
    owner = make_owner()
    pause(owner, "s0", 3.0)
    for _ in range(10):
        owner.receive("entry", make_request(), 0.1)
    assert not list_grants(owner.tick(2.9))
    (probe,) = list_grants(owner.tick(3.1))
    assert not list_grants(owner.tick(3.2))
    first = message.FirstToken(probe.request_id, 0.05, None, 0)
    assert len(list_grants(owner.receive("entry", first, 3.3))) == 9


def test_refused_probe_is_followed_by_another_one() -> None:
    owner = make_owner()
    pause(owner, "s0", 1.0)
    for _ in range(3):
        owner.receive("entry", make_request(), 0.1)
    (probe,) = list_grants(owner.tick(1.1))
    pause(owner, "s0", 1.0, now=1.2)
    ended = message.Ended(probe.request_id, 0, 0.0, False, refused=True)
    assert not list_grants(owner.receive("entry", ended, 1.2))
    assert not list_grants(owner.tick(2.1))
    assert len(list_grants(owner.tick(2.3))) == 1
    assert owner.fleet.backends["s0"].availability.failures == 0


def test_later_run_of_a_paused_server_gets_requests() -> None:
    owner = make_owner()
    pause(owner, "s0", 3.0)
    info = backend.BackendInfo("s0", 50, 10**9, 16)
    owner.fleet.configure([info], "")
    assert not list_grants(owner.receive("entry", make_request(), 0.1))
    owner.fleet.configure([msgspec.structs.replace(info, run=1)], "")
    assert list_grants(owner.tick(0.2))


def test_request_is_rejected_at_once_if_all_pauses_outlast_its_wait() -> None:
    # Load pattern: every server of a service requests a pause from the same
    # VMs.
    owner = make_owner(servers=2)
    for entry in ("entry", "other"):
        for name in ("s0", "s1"):
            pause(owner, name, 3.0, entry=entry)
    short = make_request()
    short = message.Enqueue(msgspec.structs.replace(short.request, wait_s=1.0))
    owner.receive("other", make_request(), 0.1)
    (reject,) = list_rejects(owner.receive("entry", short, 0.2))
    # No VM may send earlier.
    assert reject.retry_after_s >= 2.8
    long = msgspec.structs.replace(make_request().request, wait_s=4.0)
    assert not owner.receive("entry", message.Enqueue(long), 0.2)


def test_retry_after_is_short_while_other_vms_may_send() -> None:
    owner = make_owner()
    owner.receive("other", make_request(), 0.0)
    pause(owner, "s0", 3.0)
    short = msgspec.structs.replace(make_request().request, wait_s=1.0)
    (reject,) = list_rejects(
        owner.receive("entry", message.Enqueue(short), 0.1)
    )
    assert reject.retry_after_s <= 1.0


def test_new_shard_gets_the_pauses_known_to_its_scheduler() -> None:
    book = observations.BackendObservations()
    book.record_hints(
        message.ServerHints("s0", 0, 2.0, pause_s=3.0), "entry", 0.0
    )
    owner = make_owner()
    for entry, hints in book.list_hints(1.0):
        owner.fleet.apply_hints(hints, entry, 1.0)
    known = owner.fleet.backends["s0"]
    assert known.limit_per_s == 2.0
    assert known.pauses.get_remaining_s("entry", 1.0) == 2.0
    assert known.pauses.may_send("other", 1.0)
    assert len(book.list_hints(4.0)) == 1


def test_starved_request_reserves_no_server_that_is_paused_for_it() -> None:
    # The only server open to the starved request, s1, is full.
    owner = make_owner(servers=2)
    full = owner.fleet.backends["s1"]
    full.info = msgspec.structs.replace(full.info, max_running=1)
    pause(owner, "s0", 9.0)
    first = make_request()
    assert list_grants(owner.receive("entry", first, 0.1))
    starved = make_request()
    owner.receive("entry", starved, 0.2)
    for number in range(5):
        later = make_request()
        (granted,) = list_grants(owner.receive("other", later, 0.3 + number))
        assert granted.backend == "s0"
    ended = message.Ended(first.request.request_id, 10, 0.1, True)
    (granted,) = list_grants(owner.receive("entry", ended, 6.0))
    assert granted.request_id == starved.request.request_id


def test_second_attempt_does_not_wait_for_a_leaving_server() -> None:
    owner = make_owner(servers=2)
    hints = message.ServerHints("s1", 0, is_leaving=True)
    owner.receive("entry", hints, 0.0)
    again = msgspec.structs.replace(
        make_request().request, avoid=("s0",), attempt=1
    )
    (granted,) = list_grants(
        owner.receive("entry", message.Enqueue(again), 0.1)
    )
    assert granted.backend == "s0"


def test_successful_probe_does_not_end_a_pause_requested_meanwhile() -> None:
    owner = make_owner()
    early, probe = make_request(), make_request()
    assert list_grants(owner.receive("entry", early, 0.0))
    pause(owner, "s0", 1.0, now=0.1)
    assert list_grants(owner.receive("entry", probe, 1.2))
    # The earlier request is refused only now, with a new pause.
    pause(owner, "s0", 3.0, now=1.3)
    first = message.FirstToken(probe.request.request_id, 0.05, None, 0)
    owner.receive("entry", first, 1.4)
    assert not list_grants(owner.receive("entry", make_request(), 1.5))
    assert len(list_grants(owner.tick(4.4))) == 1
