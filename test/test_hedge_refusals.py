"""Refusals of attempts whose callers are not turned away.

A hedge and a request that goes on with an answer are asked again after a
refusal.  What is guarded against: an owner that counts these refusals like
those of new callers, so that it tells new callers to stay away for longer,
takes their requests for retries or reports load that is not there; and an entry
that asks too often, or turns a caller away by such a refusal.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec
import pytest

from ramptray.core import message, owner_effect, request, shard
from ramptray.entry import ticket as tickets
from ramptray.scheduler import hub
from test import test_hedging, test_shard

CONTENT = "x"
RETRIES_S = [1.1 + 0.25 * step for step in range(4)]


def make_info(name: str, **changes: Any) -> message.RequestInfo:
    """Returns a request that is refused unless it is granted at once."""
    return msgspec.structs.replace(
        test_shard.make_info(name), wait_s=0.0, **changes
    )


def make_owner() -> shard.ShardOwner:
    """Returns an owner without a free slot."""
    owner = test_shard.make_owner(1, headroom=0.0)
    for number in range(4):
        running = test_shard.make_info(f"running-{number}")
        (granted,) = owner.receive("entry", message.Enqueue(running), 0.01)
        assert isinstance(granted.message, message.Grant)
    return owner


def refuse(
    owner: shard.ShardOwner, info: message.RequestInfo, now: float
) -> message.Reject:
    """Has a request refused."""
    owner.receive("entry", message.Enqueue(info), now)
    (refused,) = owner.tick(now)
    assert isinstance(refused.message, message.Reject)
    return refused.message


def refuse_attempts(owner: shard.ShardOwner) -> None:
    """Has attempts refused that began long ago, as often as they are asked."""
    for now in RETRIES_S:
        for number in range(10):
            name = f"r{number}{request.HEDGE_MARK}1"
            asked = make_info(name, content=CONTENT, attempt=1, asks_again=True)
            refuse(owner, asked, now)


def get_retry_after(owner: shard.ShardOwner) -> float:
    return refuse(owner, make_info("new"), 1.9).retry_after_s


def count_retries(owner: shard.ShardOwner) -> int:
    """Counts retries after the first request of another caller."""
    refuse(owner, make_info("new", content=CONTENT), 1.9)
    return owner.counters.returned


def get_spare(owner: shard.ShardOwner) -> tuple[float, bool]:
    estimator = owner._wait_estimator
    return estimator.estimate_spare(1.9), estimator.is_overloaded(1.9)


def count_shed(owner: shard.ShardOwner) -> tuple[int, dict[str, int]]:
    return owner.counters.shed, owner.list_shed(1.9)


@pytest.mark.parametrize(
    "decide", [get_retry_after, count_retries, get_spare, count_shed]
)
def test_refused_attempts_change_nothing_for_new_callers(
    decide: Callable[[shard.ShardOwner], object],
) -> None:
    # Each is asked again several times a second, and each refusal counted.
    expected = decide(make_owner())
    owner = make_owner()
    refuse_attempts(owner)
    assert decide(owner) == expected


def test_a_hedge_does_not_hide_the_retry_of_a_caller() -> None:
    # A hedge of the same content was taken for the retry of a refused caller,
    # whose own retry then counted as new.
    owner = make_owner()
    refuse(owner, make_info("new", content=CONTENT), 1.0)
    hedge = make_info("r1", content=CONTENT, attempt=1, asks_again=True)
    owner.receive("entry", message.Enqueue(hedge), 1.1)
    owner.receive("entry", message.Withdraw("r1"), 1.1)
    returned = owner.counters.returned
    retry = make_info("retry", content=CONTENT, deadline_s=59.1)
    refuse(owner, retry, 1.9)
    assert owner.counters.returned == returned + 1


def test_the_work_of_a_granted_attempt_counts_once() -> None:
    # Otherwise the owner would take its capacity for free.
    owner = make_owner()
    refuse_attempts(owner)
    asked = test_shard.make_info("r1")
    owner.receive(
        "entry",
        message.Enqueue(msgspec.structs.replace(asked, asks_again=True)),
        1.8,
    )
    before = get_spare(owner)[0]
    (granted,) = owner.receive(
        "entry", message.Ended("running-0", 0, 0.0, True), 1.9
    )
    for _ in range(5):
        # Its entry reaches no server, and the owner grants another place.
        assert isinstance(granted.message, message.Grant)
        declined = message.Decline("r1", granted.message.grant_id, waits=True)
        (granted,) = owner.receive("entry", declined, 1.9)
    work_s = owner._wait_estimator.estimate_work(asked)
    assert get_spare(owner)[0] == pytest.approx(before - work_s, abs=1e-5)


def test_refused_attempts_are_counted_by_themselves() -> None:
    # Operators could not tell them from callers that were turned away.
    owner = make_owner()
    refuse_attempts(owner)
    assert owner.counters.attempts_refused == 10 * len(RETRIES_S)
    assert not refuse(owner, make_info("new"), 1.9).asks_again
    attempt = make_info("r1", attempt=1, asks_again=True)
    assert refuse(owner, attempt, 1.9).asks_again


@pytest.mark.parametrize(
    ("asks_again", "kind"), [(True, "attempt_refused"), (False, "shed")]
)
def test_an_event_tells_whether_a_caller_was_turned_away(
    asks_again: bool, kind: str
) -> None:
    scheduler = mock.Mock(_limits=None)
    refused = message.Reject(
        "r1", message.Reason.OVERLOADED, 1.0, asks_again=asks_again
    )
    hub.Hub._record_effect(
        scheduler, owner_effect.SendToEntry("entry", refused)
    )
    assert scheduler.timeline.note.call_args.args == (kind, "r1")


@pytest.mark.parametrize(
    "sent",
    [
        make_info("r1"),
        message.Reject("r1", message.Reason.OVERLOADED, 1.0),
    ],
)
def test_vms_of_the_former_version_understand_the_messages(
    sent: message.RequestInfo | message.Reject,
) -> None:
    # A VM that cannot read a message closes the link.
    former = msgspec.defstruct(
        type(sent).__name__,
        [
            (field.name, field.type)
            for field in msgspec.structs.fields(sent)
            if field.name != "asks_again"
        ],
    )
    told = msgspec.structs.replace(sent, asks_again=True)
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(told), type=former)
    answered = msgspec.msgpack.encode(read)
    assert msgspec.msgpack.decode(answered, type=type(sent)) == sent


# The entry.


def get_asked(recorder: test_hedging.HedgingDispatcher) -> list[bool]:
    """Returns for each request to an owner whether it is asked again."""
    return [
        body.request.asks_again
        for _, body in recorder.list_sent(message.Enqueue)
    ]


def refuse_ticket(
    recorder: test_hedging.HedgingDispatcher, ticket: tickets.Ticket
) -> None:
    """Refuses a ticket as an owner does that read whether it is asked again."""
    reject = message.Reject(
        ticket.request_id,
        message.Reason.OVERLOADED,
        1.0,
        ticket.machine.info.asks_again,
    )
    recorder.get_message(ticket.machine.owner or "", reject)


def test_an_entry_tells_which_refusals_turn_no_caller_away() -> None:
    # The id of a hedge does not: the attempt beside it may have ended.
    recorder = test_hedging.HedgingDispatcher()
    ticket = recorder.start()
    hedge = recorder.hedge(ticket).unwrap()
    assert get_asked(recorder) == [False, True]
    refuse_ticket(recorder, hedge)
    assert recorder.hedges["refused"] == 1
    begun = tickets.StreamBegun(ticket.request_id, "1")
    recorder.receive_exchange(begun)
    recorder.fail(ticket)
    assert get_asked(recorder) == [False, True, True]


def test_a_refused_hedge_that_is_the_last_attempt_is_judged_anew() -> None:
    # Its caller was turned away by a refusal that counted for nobody.
    recorder = test_hedging.HedgingDispatcher()
    ticket = recorder.start()
    hedge = recorder.hedge(ticket).unwrap()
    recorder.promote(hedge)
    recorder.fail(ticket, is_hedged=True)
    refuse_ticket(recorder, hedge)
    assert get_asked(recorder) == [False, True, False]
    assert test_hedging.list_effects(hedge) == []
    refuse_ticket(recorder, hedge)
    finish = test_hedging.get_finish(hedge)
    assert finish.reason is message.Reason.OVERLOADED
