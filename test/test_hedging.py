"""Hedged requests: machines, retry budget, dispatcher and exchange.

Two series of attempts seek the same answer.  What is guarded against: pieces of
both in one answer, more attempts than allowed, a refusal that promises "not
run" after one was sent, retries that are lost or used twice, and an answer that
ends while one of the two could still go on.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any, cast

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptray import steadyclock
from ramptray.bundle import acceptance, model, signature
from ramptray.core import (
    blocklist,
    hedging,
    membership,
    message,
    request,
    retry,
)
from ramptray.entry import ticket as tickets
from ramptray.peer import attachment
from ramptray.peer import message as peer_message
from ramptray.platform import config, header
from ramptray.relay import answer as answers
from ramptray.relay import client as relay_client
from ramptray.relay import connection as connections
from ramptray.relay import exchange, socket_stream
from ramptray.relay import message as relay_message
from test import node, test_dispatcher

OURS, OTHER = test_dispatcher.OURS, test_dispatcher.OTHER
LOST = message.Reason.BACKEND_LOST


def make_info(**changes: Any) -> message.RequestInfo:
    """Returns a request that may be repeated, at three servers in all."""
    fields: dict[str, Any] = {
        "request_id": "r1",
        "shard": message.ShardKey("waw-a", "s"),
        "customer": "c",
        "tier": "t",
        "prompt_tokens": 1,
        "output_tokens": 1,
        "prefix": (),
        "deadline_s": 60.0,
        "repeatable": True,
        "max_attempts": 3,
    }
    return message.RequestInfo(**{**fields, **changes})


def make_ended(request_id: str = "r1") -> message.Ended:
    return message.Ended(request_id, 0, 0.0, False)


# The machines and the budget.


class Pair:
    """A machine and at most one forked from it, driven by random events."""

    def __init__(self, most: int) -> None:
        info = make_info(max_attempts=most)
        self.first = request.RequestMachine(info, False)
        self.first.assign(OURS, info)
        self.hedge: request.RequestMachine | None = None
        self.sent: list[str] = []
        self.hedged: set[str | None] = set()
        self.may_have_run = False
        self.outcomes: list[message.Outcome] = []
        self._forks = self._grants = 0

    @property
    def running(self) -> list[request.RequestMachine]:
        return [
            each
            for each in (self.first, self.hedge)
            if each is not None and each.state is not request.State.ENDED
        ]

    def grant(self, machine: request.RequestMachine) -> None:
        self._grants += 1
        backend = f"b{self._grants}"
        grant = message.Grant(
            machine.info.request_id, f"g-{backend}", backend, OURS
        )
        if any(
            isinstance(effect, request.Dispatch)
            for effect in machine.receive_grant(grant)
        ):
            self.sent.append(backend)

    def list_steps(self) -> list[tuple[request.RequestMachine, str]]:
        """Returns the events that may happen now, and to which machine."""
        steps = []
        for machine in self.running:
            if machine.state is request.State.WAITING:
                events = ["grant", "grant", "reject"]
            else:
                events = ["break", "not_run"]
                # Only an attempt that was sent is silent, and so hedged.
                if machine.backend not in self.hedged:
                    events.append("connect")
                if machine.dispatches < machine.info.max_attempts:
                    events += ["fork"] * (self.hedge is None)
            if self.hedge is not None:
                events.append("overtake")
            steps += [(machine, event) for event in events]
        return steps

    def fork(self) -> None:
        self._forks += 1
        self.hedged.add(self.first.backend)
        self.hedge = self.first.fork(f"r1‖{self._forks}")
        assert self.first.backend in self.hedge.info.avoid
        self.hedge.assign(OURS, self.hedge.info)

    def apply(self, machine: request.RequestMachine, event: str) -> None:
        """Handles an event; the answer goes on with whichever runs."""
        finish = request.Finish(message.Outcome.UNKNOWN, LOST)
        ended = make_ended(machine.info.request_id)
        effects: list[request.Effect] = []
        others = [each for each in self.running if each is not machine]
        match event:
            case "grant":
                self.grant(machine)
            case "fork":
                self.fork()
            case "connect":
                self.sent.remove(machine.backend or "")
                machine.fail_connect()
            case "break" | "not_run":
                self.may_have_run |= event == "break"
                effects = machine.fail_attempt(
                    ended, event == "not_run", not others, finish
                )
            case "reject":
                effects = machine.reject(message.Reason.OVERLOADED, 1.0)
            case "overtake":
                self.may_have_run |= machine.state is request.State.DISPATCHED
                effects = machine.overtake(ended)
        finishes = [e for e in effects if isinstance(e, request.Finish)]
        if finishes:
            self.end(machine, others, finishes[0])

    def end(
        self,
        machine: request.RequestMachine,
        others: list[request.RequestMachine],
        finish: request.Finish,
    ) -> None:
        for other in others:
            other.absorb(machine)
        if machine is self.first and self.hedge is not None:
            self.first = self.hedge
        self.hedge = None
        if not others:
            self.outcomes.append(finish.outcome)


@settings(derandomize=True, deadline=None, max_examples=1500)
@given(
    most=st.integers(1, 4),
    choices=st.lists(st.integers(0, 7), max_size=12),
)
def test_two_machines_together_keep_the_promises_of_one(
    most: int, choices: list[int]
) -> None:
    pair = Pair(most)
    for choice in choices:
        steps = pair.list_steps()
        if not steps:
            break
        pair.apply(*steps[choice % len(steps)])
        assert len(pair.sent) <= most
        assert all(each.dispatches <= most for each in pair.running)
    assert len(pair.outcomes) <= 1
    if message.Outcome.NOT_RUN in pair.outcomes:
        assert not pair.may_have_run


def start_machine(backend: str = "a") -> request.RequestMachine:
    """Returns a machine that is dispatched."""
    machine = request.RequestMachine(make_info(), False)
    machine.assign(OURS, machine.info)
    machine.receive_grant(message.Grant("r1", "g1", backend, OURS))
    return machine


def test_a_second_hedge_keeps_away_from_the_server_of_the_first() -> None:
    # A server that had just broken a hedge could be given the next one.
    machine = start_machine()
    hedge = machine.fork("r1‖1")
    hedge.assign(OURS, hedge.info)
    hedge.receive_grant(message.Grant("r1‖1", "g2", "b", OURS))
    finish = request.Finish(message.Outcome.UNKNOWN, LOST)
    hedge.fail_attempt(make_ended("r1‖1"), False, False, finish)
    machine.absorb(hedge)
    assert set(machine.fork("r1‖2").info.avoid) == {"a", "b"}


def test_an_overtaken_machine_ends_once() -> None:
    # A second end would be counted against the server again.
    machine = start_machine()
    effects = machine.overtake(make_ended())
    assert effects == [
        request.Cancel("a"),
        request.SendToOwner(OURS, make_ended()),
        request.Finish(message.Outcome.UNKNOWN, None),
    ]
    assert machine.overtake(make_ended()) == []
    assert machine.complete(make_ended()) == []


def test_a_machine_overtaken_while_it_waits_is_withdrawn() -> None:
    # Its owner would otherwise keep a place for it.
    hedge = start_machine().fork("r1‖1")
    hedge.assign(OURS, hedge.info)
    assert hedge.overtake(make_ended("r1‖1")) == [
        request.SendToOwner(OURS, message.Withdraw("r1‖1")),
        request.Finish(message.Outcome.UNKNOWN, None),
    ]


@settings(derandomize=True, deadline=None, max_examples=400)
@given(
    ratio=st.sampled_from((0.0, 0.1, 0.5)),
    extra=st.integers(0, 4),
    steps=st.lists(
        st.tuples(
            st.sampled_from(("count", "take", "reserve", "use", "release")),
            st.floats(0.0, 3.0),
        ),
        max_size=40,
    ),
)
def test_a_reserved_retry_counts_once_until_it_is_used_or_returned(
    ratio: float, extra: int, steps: list[tuple[str, float]]
) -> None:
    rules = retry.BudgetRules(ratio, float(extra), 5.0)
    budget = retry.RetryBudget(rules)
    now, reserved = 0.0, 0
    requests: list[float] = []
    retries: list[float] = []
    for step, pause_s in steps:
        now += pause_s
        counted, used = (
            sum(now - at <= rules.window_s for at in times)
            for times in (requests, retries)
        )
        is_allowed = used + reserved + 1 <= extra + ratio * counted
        assert budget.has_attempts_left("s", now) == is_allowed
        match step:
            case "count":
                budget.count_request("s", now)
                requests.append(now)
            case "take":
                assert budget.try_take("s", now) == is_allowed
                retries += [now] * is_allowed
            case "reserve":
                assert budget.reserve("s", now) == is_allowed
                reserved += is_allowed
            case "use" if reserved:
                budget.use_reserved("s", now)
                reserved -= 1
                retries.append(now)
            case "release" if reserved:
                budget.release("s")
                reserved -= 1
        assert not budget.has_attempts_left("other", now) or extra


# The dispatcher.


class HedgingDispatcher(test_dispatcher.RecordingDispatcher):
    """A dispatcher with two owners in its zone and a small retry budget."""

    def __init__(self, extra_retries: float = 1.0) -> None:
        super().__init__()
        rules = retry.BudgetRules(0.0, extra_retries, 60.0)
        self._budget = retry.RetryBudget(rules)
        members = [
            membership.Member("waw-a-vm1", "waw-a", OURS, 1),
            membership.Member("waw-a-vm2", "waw-a", OTHER, 1),
        ]
        self.get_message(OURS, peer_message.View(members, []))

    def get_message(self, address: str, body: object) -> None:
        """Handles a message of a scheduler."""
        received = attachment.MessageReceived(address, body)
        self.receive(received, steadyclock.read())

    def start(self, info: message.RequestInfo | None = None) -> tickets.Ticket:
        """Submits a request that another VM's scheduler owns, and sends it."""
        shards = (message.ShardKey("waw-a", f"s{n}") for n in range(50))
        owned = next(
            s for s in shards if self._owners.find_owner(s, 0.0) == OTHER
        )
        info = info or make_info()
        made = make_info(
            **{
                name: getattr(info, name)
                for name in info.__struct_fields__
                if name != "shard"
            },
            shard=owned,
        )
        ticket = self.submit(made, None)
        for event in self._mailbox.drain():
            self._handle(event, steadyclock.read())
        self.grant(ticket, "a")
        return ticket

    def grant(self, ticket: tickets.Ticket, backend: str) -> None:
        """Grants a server, by the owner of a ticket."""
        owner = ticket.machine.owner
        assert owner is not None
        grant = message.Grant(
            ticket.request_id, f"g-{backend}", backend, owner, release="1"
        )
        self.get_message(owner, grant)

    def refuse(self, ticket: tickets.Ticket) -> None:
        """Refuses a ticket, by its owner."""
        reject = message.Reject(
            ticket.request_id, message.Reason.OVERLOADED, 1.0
        )
        self.get_message(ticket.machine.owner or "", reject)

    def fail(
        self,
        ticket: tickets.Ticket,
        is_hedged: bool = False,
        not_run: bool = False,
    ) -> None:
        """Breaks the current attempt of a ticket."""
        ended = make_ended(ticket.request_id)
        self.receive_exchange(
            tickets.AttemptFailed(ended, not_run, LOST, None, is_hedged)
        )

    def list_sent(self, kind: type) -> list[tuple[str, Any]]:
        return [(to, body) for to, body in self.sent if isinstance(body, kind)]


@pytest.fixture
def dispatching() -> HedgingDispatcher:
    return HedgingDispatcher()


def list_effects(ticket: tickets.Ticket) -> list[tickets.ExchangeEffect]:
    """Returns the effects that the exchange has not handled yet."""
    found = []
    with contextlib.suppress(anyio.WouldBlock):
        while True:
            found.append(ticket.effects.receive_nowait())
    return found


def get_finish(ticket: tickets.Ticket) -> request.Finish:
    """Returns the end of a ticket, which is its last effect."""
    last = list_effects(ticket)[-1]
    assert isinstance(last, request.Finish)
    return last


def end_first(recorder: HedgingDispatcher, ticket: tickets.Ticket) -> None:
    ended = make_ended(ticket.request_id)
    recorder.receive_exchange(tickets.Completed(ended, 200))


def block_content(recorder: HedgingDispatcher, _: tickets.Ticket) -> None:
    update = blocklist.BlockUpdate("bad", 1, 60.0, 3)
    recorder.get_message(OURS, peer_message.BlockedContents([update]))


def use_budget(recorder: HedgingDispatcher, ticket: tickets.Ticket) -> None:
    service = ticket.info.shard.service
    while recorder._budget.try_take(service, steadyclock.read()):
        pass


def bind_unknown(recorder: HedgingDispatcher, ticket: tickets.Ticket) -> None:
    recorder.receive_exchange(tickets.StreamBegun(ticket.request_id, None))


def pass_deadline(_: HedgingDispatcher, ticket: tickets.Ticket) -> None:
    ticket.deadline = steadyclock.read()


def do_nothing(_: HedgingDispatcher, __: tickets.Ticket) -> None:
    pass


@pytest.mark.parametrize(
    ("denial", "info", "prepare"),
    [
        ("not_repeatable", make_info(repeatable=False), do_nothing),
        ("not_repeatable", make_info(), bind_unknown),
        ("ended", make_info(), end_first),
        ("attempts", make_info(max_attempts=1), do_nothing),
        ("deadline", make_info(), pass_deadline),
        ("blocked", make_info(content="bad"), block_content),
        ("budget", make_info(), use_budget),
    ],
)
def test_a_denied_hedge_costs_nothing(
    dispatching: HedgingDispatcher,
    denial: str,
    info: message.RequestInfo,
    prepare: Callable[[HedgingDispatcher, tickets.Ticket], None],
) -> None:
    # Each reason is counted by itself; none may ask an owner or keep a retry.
    ticket = dispatching.start(info)
    prepare(dispatching, ticket)
    sent, count = len(dispatching.sent), dispatching.request_count
    assert dispatching.hedge(ticket).unwrap_err() is hedging.Denial(denial)
    assert dispatching.hedges[denial] == 1
    assert (len(dispatching.sent), dispatching.request_count) == (sent, count)
    assert dispatching._budget._reserved.total() == 0


def test_a_hedge_that_its_owner_refuses_returns_the_retry(
    dispatching: HedgingDispatcher,
) -> None:
    # Owners that refused all hedges of a pause would use up the budget.
    ticket = dispatching.start()
    for _ in range(3):
        hedge = dispatching.hedge(ticket).unwrap()
        assert not dispatching.has_budget(ticket)
        dispatching.refuse(hedge)
        assert dispatching.has_budget(ticket)
        assert get_finish(hedge).outcome is message.Outcome.UNKNOWN
    assert ticket.machine.state is request.State.DISPATCHED
    assert ticket.machine.dispatches == 1
    assert [type(e) for e in list_effects(ticket)] == [request.Dispatch]


def test_a_hedge_that_is_sent_uses_its_retry_once(
    dispatching: HedgingDispatcher,
) -> None:
    # It would otherwise be counted again when the attempt ends.
    ticket = dispatching.start()
    hedge = dispatching.hedge(ticket).unwrap()
    dispatching.grant(hedge, "b")
    dispatching.fail(hedge, is_hedged=True)
    assert dispatching._budget._reserved.total() == 0
    assert not dispatching.has_budget(ticket)
    assert ticket.machine.dispatches == 2


def test_an_answer_waits_on_if_its_last_attempt_is_refused(
    dispatching: HedgingDispatcher,
) -> None:
    # A hedge was queued for a short time, and its refusal cut the answer after
    # the attempt before it had lost its server.
    ticket = dispatching.start(make_info(wait_s=0.5))
    dispatching.receive_exchange(tickets.StreamBegun(ticket.request_id, "1"))
    hedge = dispatching.hedge(ticket).unwrap()
    dispatching.promote(hedge)
    dispatching.fail(ticket, is_hedged=True)
    dispatching.refuse(hedge)
    assert list_effects(hedge) == []
    dispatching.tick(steadyclock.read() + hedging.RETRY_S)
    asked = [
        body.request
        for _, body in dispatching.list_sent(message.Enqueue)
        if body.request.request_id == hedge.request_id
    ]
    assert [each.wait_s is None for each in asked] == [False, True]
    dispatching.grant(hedge, "b")
    assert [type(e) for e in list_effects(hedge)] == [request.Dispatch]


def test_an_answer_ends_at_its_deadline_if_its_last_attempt_is_refused(
    dispatching: HedgingDispatcher,
) -> None:
    ticket = dispatching.start(make_info(deadline_s=5.0))
    dispatching.receive_exchange(tickets.StreamBegun(ticket.request_id, "1"))
    dispatching.fail(ticket)
    dispatching.refuse(ticket)
    dispatching.tick(steadyclock.read() + 5.0)
    assert get_finish(ticket).reason is message.Reason.DEADLINE


def test_a_retry_is_returned_if_its_hedge_is_never_sent(
    dispatching: HedgingDispatcher,
) -> None:
    # The retry counted although the server had refused the connection.
    ticket = dispatching.start()
    hedge = dispatching.hedge(ticket).unwrap()
    dispatching.grant(hedge, "b")
    dispatching.receive_exchange(tickets.ConnectFailed(hedge.request_id))
    dispatching.refuse(hedge)
    assert ticket.machine.dispatches == 1
    assert dispatching.has_budget(ticket)


def test_a_waiting_hedge_follows_a_change_of_owner(
    dispatching: HedgingDispatcher,
) -> None:
    # It would wait for a scheduler that is gone, or be granted by both.
    ticket = dispatching.start()
    hedge = dispatching.hedge(ticket).unwrap()
    dispatching.receive(attachment.LinkClosed(OTHER), steadyclock.read())
    enqueued = dispatching.list_sent(message.Enqueue)
    assert [(to, body.request.request_id) for to, body in enqueued] == [
        (OTHER, "r1"),
        (OTHER, "r1‖1"),
        (OURS, "r1‖1"),
    ]
    assert enqueued[-1][1].request.avoid == ("a",)
    (running,) = dispatching.list_sent(message.Running)
    assert (running[0], running[1].request.request_id) == (OURS, "r1")
    assert (OTHER, message.Withdraw("r1‖1")) in dispatching.sent
    late = message.Grant("r1‖1", "g-late", "x", OTHER)
    dispatching.get_message(OTHER, late)
    assert dispatching.sent[-1] == (OTHER, message.Decline("r1‖1", "g-late"))
    assert hedge.machine.state is request.State.WAITING


@pytest.mark.parametrize("is_sent", [False, True])
def test_an_owner_that_returns_learns_of_both_attempts(
    dispatching: HedgingDispatcher, is_sent: bool
) -> None:
    # One of them would take a place that the owner gives to other requests.
    ticket = dispatching.start()
    hedge = dispatching.hedge(ticket).unwrap()
    if is_sent:
        dispatching.grant(hedge, "b")
    dispatching.sent.clear()
    opened = attachment.LinkOpened(OTHER, 0.001)
    dispatching.receive(opened, steadyclock.read())
    running = [
        (body.request.request_id, body.backend)
        for to, body in dispatching.list_sent(message.Running)
        if to == OTHER
    ]
    waiting = [
        body.request.request_id
        for to, body in dispatching.list_sent(message.Enqueue)
        if to == OTHER
    ]
    assert running == [("r1", "a"), *([("r1‖1", "b")] if is_sent else [])]
    assert waiting == ([] if is_sent else ["r1‖1"])
    kinds = [type(b) for to, b in dispatching.sent if to == OTHER]
    assert kinds.index(message.SyncDone) > kinds.index(message.Running)


def test_a_hedge_that_waits_goes_on_after_the_first_attempt_broke(
    dispatching: HedgingDispatcher,
) -> None:
    # Another retry would be taken for the same answer.
    ticket = dispatching.start()
    hedge = dispatching.hedge(ticket).unwrap()
    dispatching.promote(hedge)
    dispatching.fail(ticket, is_hedged=True)
    assert get_finish(ticket).reason is LOST
    dispatching.grant(hedge, "b")
    assert hedge.machine.state is request.State.DISPATCHED
    assert hedge.machine.dispatches == 2
    assert not dispatching.has_budget(hedge)
    end_first(dispatching, hedge)
    assert get_finish(hedge).outcome is message.Outcome.COMPLETE
    assert dispatching._budget._reserved.total() == 0


def test_an_attempt_that_left_the_answer_to_a_hedge_is_not_told_as_not_run(
    dispatching: HedgingDispatcher,
) -> None:
    # The hedge may be sent, and end, before this result is read.
    ticket = dispatching.start()
    hedge = dispatching.hedge(ticket).unwrap()
    dispatching.promote(hedge)
    dispatching.fail(ticket, is_hedged=True, not_run=True)
    assert get_finish(ticket).outcome is message.Outcome.UNKNOWN


@pytest.mark.parametrize("most", [2, 3])
def test_an_attempt_that_breaks_just_after_its_hedge_is_repeated(
    most: int,
) -> None:
    # Both left the answer to the other one, and none was repeated.
    recorder = HedgingDispatcher(extra_retries=9.0)
    ticket = recorder.start(make_info(max_attempts=most))
    hedge = recorder.hedge(ticket).unwrap()
    recorder.grant(hedge, "b")
    recorder.fail(hedge, is_hedged=True)
    recorder.promote(hedge)
    recorder.fail(ticket, is_hedged=True, not_run=True)
    if most == 3:
        assert ticket.machine.state is request.State.WAITING
        assert set(ticket.machine.tried) == {"a", "b"}
    else:
        assert get_finish(ticket).outcome is message.Outcome.UNKNOWN


def test_a_hedge_that_breaks_just_after_the_first_attempt_is_repeated() -> None:
    # The end of the first attempt was known to the dispatcher only.
    recorder = HedgingDispatcher(extra_retries=9.0)
    ticket = recorder.start()
    hedge = recorder.hedge(ticket).unwrap()
    recorder.grant(hedge, "b")
    recorder.promote(hedge)
    recorder.fail(ticket, is_hedged=True)
    recorder.fail(hedge, is_hedged=True)
    assert hedge.machine.state is request.State.WAITING


def test_a_hedge_whose_request_goes_on_alone_has_not_answered(
    dispatching: HedgingDispatcher,
) -> None:
    # Hedges that never got a server were counted as having answered.
    ticket = dispatching.start()
    hedge = dispatching.hedge(ticket).unwrap()
    dispatching.promote(hedge)
    dispatching.fail(ticket, is_hedged=True)
    dispatching.refuse(hedge)
    assert dispatching.hedges["answered"] == 0


def test_a_hedge_that_has_the_next_part_has_answered(
    dispatching: HedgingDispatcher,
) -> None:
    # The count shows whether hedging is of use.
    hedge = dispatching.hedge(dispatching.start()).unwrap()
    dispatching.grant(hedge, "b")
    first = message.FirstToken(hedge.request_id, 0.1, None, 0)
    dispatching.receive_exchange(tickets.FirstTokenReceived(first))
    dispatching.promote(hedge)
    assert dispatching.hedges["answered"] == 1


# The exchange.


EVENT = b"id: 1\ndata: a\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(EVENT)
NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\n" + header.NOT_EXECUTED + b": 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class FakeServers:
    """Connections whose other ends the test holds, by backend server."""

    def __init__(self) -> None:
        self.ends: dict[str, socket.socket] = {}
        self.silent: list[str] = []
        self.errors: dict[str, Exception] = {}

    def record_silence(self, target: connections.Target, _: float) -> None:
        self.silent.append(target.backend)

    @contextlib.asynccontextmanager
    async def borrow(
        self, target: connections.Target, _: bool, __: Iterable[str]
    ) -> AsyncIterator[connections.Connection]:
        if error := self.errors.get(target.backend):
            raise error
        ours, theirs = socket.socketpair()
        _transport, stream = await asyncio.get_running_loop().create_connection(
            socket_stream.SocketStream, sock=ours
        )
        connection = connections.Connection(
            target, stream, header.PlatformDialect()
        )
        self.ends[target.backend] = theirs
        try:
            yield connection
        finally:
            await connection.close()
            theirs.close()


class FakeWriter(answers.ResponseWriter):
    """Keeps what the caller gets; never waits, like a caller that reads."""

    def __init__(self) -> None:
        self.heads = 0
        self.body = b""
        self.ends: list[str] = []
        self.refused: Any = None

    @property
    def has_caller_left(self) -> bool:
        return True

    async def start(
        self, head: relay_message.ResponseHead, length: int | None
    ) -> None:
        self.heads += 1

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.ends.append("finish")

    async def refuse(self, refused: Any) -> None:
        self.ends.append("refuse")
        self.refused = refused

    async def abort(self) -> None:
        self.ends.append("abort")


class GrantingDispatcher(HedgingDispatcher):
    """A dispatcher whose owner grants these servers, and then refuses.

    Args:
        granted: The servers, in order; empty for an owner that is silent.
    """

    def __init__(self, granted: list[str]) -> None:
        super().__init__(9.0)
        self.granted = granted
        self.reported: list[tickets.Event] = []
        text = json.dumps(node.make_config(1))
        bundle = config.parse_config(text)
        self.backends.apply_bundle(
            acceptance.InForce(bundle, signature.Envelope(text, {}))
        )

    def _handle_exchange(self, event: tickets.Event, now: float) -> None:
        self.reported.append(event)
        super()._handle_exchange(event, now)

    def _send_any(self, address: str, body: object) -> None:
        super()._send_any(address, body)
        if not isinstance(body, message.Enqueue) or not self.granted:
            return
        request_id = body.request.request_id
        backend = self.granted.pop(0)
        answer: object = message.Grant(
            request_id,
            f"g-{backend}",
            backend,
            address,
            url="http://127.0.0.1:1",
            release="1",
        )
        if backend == "refuse":
            answer = message.Reject(request_id, message.Reason.OVERLOADED, 1.0)
        self._mailbox.post(attachment.MessageReceived(address, answer))

    def list_reported(self, kind: type) -> list[str]:
        """Returns the ids of the attempts that reported such an event."""
        return [
            tickets.get_request_id(event)
            for event in self.reported
            if isinstance(event, kind)
        ]


class Scene:
    """An exchange with its servers and its caller."""

    def __init__(self, *granted: str, most: int = 3) -> None:
        self.servers = FakeServers()
        self.writer = FakeWriter()
        self.dispatcher = GrantingDispatcher(list(granted))
        route = model.Route(
            host="h",
            path_prefix="/",
            kind=model.RouteKind.STREAM,
            targets=[model.Target(service="s")],
            timeout_s=5.0,
            objective_s=0.01,
            max_gap_s=0.001,
            tier="t",
        )
        asked = relay_message.CallerRequest(
            *(b"POST", b"/", "h", [(b"Host", b"h")], "r1", None, None),
            *(1, 1, 1, (), (), None),
        )
        routed = answers.RoutedRequest(
            asked, make_info(max_attempts=most), route, "c", 5.0, 1
        )
        self.exchange = exchange.Exchange(
            routed,
            self.dispatcher,
            cast(relay_client.RelayClient, self.servers),
            self.writer,
            cast(Any, None),
        )

    async def wait_for(self, *backends: str) -> None:
        """Waits until these servers have got the request."""
        with anyio.fail_after(3.0):
            while not set(backends) <= self.servers.ends.keys():
                await anyio.sleep(0.001)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Runs the exchange; it has ended after the block."""
        with anyio.fail_after(4.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.dispatcher._mailbox.run)
                async with anyio.create_task_group() as inner:
                    inner.start_soon(self.exchange.run)
                    yield
                tasks.cancel_scope.cancel()


@pytest.fixture
def anyio_backend() -> str:
    """Returns the event loop that the programs use."""
    return "asyncio"


@pytest.fixture(autouse=True)
def _hedge_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hedging, "MIN_GAP_S", 0.02)
    monkeypatch.setattr(hedging, "RETRY_S", 0.02)


@pytest.mark.anyio
@pytest.mark.parametrize(("answering", "left"), [("a", "b"), ("b", "a")])
async def test_the_first_to_have_the_next_part_goes_on_alone(
    answering: str, left: str
) -> None:
    # The server that was silent is blamed; one that was asked later is not.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        scene.servers.ends[answering].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert (scene.writer.heads, scene.writer.ends) == (1, ["finish"])
    (overtaken,) = [
        event
        for event in scene.dispatcher.reported
        if isinstance(event, tickets.Overtaken)
    ]
    assert overtaken.ended.broken == (left == "a")
    assert scene.dispatcher.request_count == 0
    assert scene.dispatcher._budget._reserved.total() == 0


@pytest.mark.anyio
async def test_parts_that_arrive_from_both_at_once_are_written_once() -> None:
    # A series that was left goes on until its next wait, and wrote its part.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        for end in scene.servers.ends.values():
            end.send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert (scene.writer.heads, scene.writer.ends) == (1, ["finish"])


@pytest.mark.anyio
async def test_a_hedge_of_a_stream_asks_for_what_follows_the_last_event() -> (
    None
):
    # The caller would get the first event twice.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a")
        scene.servers.ends["a"].send(
            b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + EVENT
        )
        await scene.wait_for("b")
        while not (asked := read_available(scene.servers.ends["b"])):
            await anyio.sleep(0.001)
        second = EVENT.replace(b"1", b"2")
        scene.servers.ends["b"].send(HEAD + second)
    assert b"last-event-id: 1\r\n" in asked.lower()
    assert scene.writer.body == EVENT + second
    assert scene.writer.ends == ["finish"]


def read_available(end: socket.socket) -> bytes:
    """Returns what has arrived, without waiting."""
    with contextlib.suppress(BlockingIOError):
        return end.recv(65536, socket.MSG_DONTWAIT)
    return b""


@pytest.mark.anyio
async def test_a_broken_attempt_leaves_the_answer_to_the_other() -> None:
    # The answer ended although another server was at work.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        scene.servers.ends["a"].close()
        await anyio.sleep(0.05)
        assert scene.writer.ends == []
        scene.servers.ends["b"].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert scene.exchange.outcome == "complete"


@pytest.mark.anyio
async def test_two_attempts_that_break_at_once_are_followed_by_another() -> (
    None
):
    # Each left the answer to the other one.
    scene = Scene("a", "b", "c")
    async with scene.run():
        await scene.wait_for("a", "b")
        for backend in ("a", "b"):
            scene.servers.ends[backend].close()
        await scene.wait_for("c")
        scene.servers.ends["c"].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert scene.exchange.outcome == "complete"


@pytest.mark.anyio
async def test_no_refusal_after_both_attempts_promises_not_run() -> None:
    # The hedge said that it did not run; the first attempt may have.
    scene = Scene("a", "b", most=2)
    async with scene.run():
        await scene.wait_for("a", "b")
        scene.servers.ends["a"].close()
        scene.servers.ends["b"].send(NOT_RUN)
    assert scene.writer.ends == ["refuse"]
    assert scene.exchange._finish is not None
    assert scene.exchange._finish.outcome is message.Outcome.UNKNOWN


@pytest.mark.anyio
async def test_a_hedge_that_is_refused_is_sought_again() -> None:
    # The first attempt stays open whatever the owner says.
    scene = Scene("a", "refuse", "refuse", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        assert scene.writer.ends == []
        scene.servers.ends["a"].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert scene.servers.silent == ["a"] * 3


class ServerError(Exception):
    """An error that no series expects."""


@pytest.mark.anyio
async def test_an_exception_of_one_series_ends_the_other_and_is_raised() -> (
    None
):
    # A group of exceptions would not be recognized by the caller's connection.
    scene = Scene("a", "b")
    error = ServerError()
    scene.servers.errors["b"] = error
    with anyio.fail_after(4.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.dispatcher._mailbox.run)
            with pytest.raises(ServerError) as raised:
                await scene.exchange.run()
            tasks.cancel_scope.cancel()
    assert raised.value is error
    gone = scene.dispatcher.list_reported(tickets.CallerDisconnected)
    assert sorted(gone) == ["r1", "r1‖1"]
    assert scene.dispatcher.request_count == 0
    assert scene.servers.ends["a"].fileno() == -1


@pytest.mark.anyio
@pytest.mark.parametrize("is_granted", [False, True])
async def test_a_cancelled_exchange_reports_each_series_once(
    is_granted: bool,
) -> None:
    # A place that is not reported as free stays taken at its owner.
    scene = Scene("a", *(["b"] if is_granted else []))
    with anyio.fail_after(4.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.dispatcher._mailbox.run)
            async with anyio.create_task_group() as inner:
                inner.start_soon(scene.exchange.run)
                await scene.wait_for("a", *(["b"] if is_granted else []))
                while scene.dispatcher.request_count < 2:
                    await anyio.sleep(0.001)
                inner.cancel_scope.cancel()
            tasks.cancel_scope.cancel()
    gone = scene.dispatcher.list_reported(tickets.CallerDisconnected)
    assert sorted(gone) == ["r1", "r1‖1"]
    assert scene.dispatcher.request_count == 0
    assert scene.exchange.outcome == "caller_gone"
    assert scene.dispatcher._budget._reserved.total() == 0
