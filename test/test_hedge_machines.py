"""Hedged requests: the machines of both series, and the retry budget.

What is guarded against: more attempts than allowed, a refusal that promises
"not run" after one was sent, and retries that are lost or used twice.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptray.core import hedging, message, request, retry
from test.test_hedging import LOST, OURS, make_ended, make_info


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
    # The answer ends with its last attempt, and then once.
    assert len(pair.outcomes) == (not pair.running)
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


@pytest.mark.parametrize(
    ("target_gap_s", "delay_s"),
    [(None, None), (0.05, 0.8), (0.2, 0.8), (0.3, 1.2), (1.0, 4.0)],
)
def test_a_stream_is_hedged_after_the_documented_silence(
    target_gap_s: float | None, delay_s: float | None
) -> None:
    # max(0.8 s, 4 times targetGapMs), of docs/design/failures.md.
    assert hedging.get_stream_delay_s(target_gap_s) == pytest.approx(delay_s)


def test_a_response_is_hedged_after_twice_the_objective() -> None:
    assert hedging.get_response_delay_s(0.5) == 1.0


def test_a_hedge_that_was_denied_is_sought_every_quarter_of_a_second() -> None:
    assert hedging.RETRY_S == 0.25
