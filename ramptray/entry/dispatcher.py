"""Owns the state machines of all requests of an entry.

The dispatcher is the only part of an entry that communicates with schedulers.
An exchange (the task that serves one request) sends it events and receives
effects; neither modifies the other's state.
"""

from __future__ import annotations

import collections
import itertools
import logging
import math
import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import anyio
import anyio.abc
import msgspec
from result import Err, Ok, Result

from ramptray import deadline, mailbox, runtime, steadyclock
from ramptray.bundle import acceptance, signature
from ramptray.core import (
    blocklist,
    claim,
    hedging,
    limit_use,
    message,
    queue,
    request,
    retry,
    work_time,
)
from ramptray.entry import (
    backend_directory,
    block_propagator,
    claims,
    gateway_use,
    lag,
    owners,
    redirects,
    server_hints,
    timeouts,
)
from ramptray.entry import ticket as tickets
from ramptray.peer import attachment
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05
RETRY_AFTER_S = 1.0
"""Retry-After of requests that the entry itself rejects, in seconds, such as
those for which it finds no scheduler."""

ATTEMPT_RETRY_AFTER_S = 0.05
"""Retry-After of a request whose last attempt has failed, in seconds.  By then
the owner has learned of the failure and can place the request elsewhere, or
reject it with the expected wait in its queue.  A longer value delays responses
past their objective while many servers refuse requests."""

STOPPING_RETRY_AFTER_S = 0.05
"""Retry-After of requests that a stopping VM cannot serve, in seconds; another
VM can serve them at once."""

STOP_MARGIN_S = 0.2
"""Time that an answer may take longer than expected on a stopping VM, in
seconds: two ticks, and a VM that is short of processor time."""


class DispatcherSettings(Protocol):
    """Settings that a program with an entry has to provide.

    Attributes:
        vm: Name of the entry's VM.
        zone: The zone whose schedulers the entry uses.
        scheduler: Address of the scheduler on the entry's VM.
    """

    @property
    def vm(self) -> str:
        """Name of the entry's VM."""

    @property
    def zone(self) -> str:
        """The zone whose schedulers the entry uses."""

    @property
    def scheduler(self) -> str:
        """Address of the scheduler on the entry's VM."""


class Dispatcher:
    """Owns the request machines and the links to schedulers.

    Attributes:
        backends: The backend servers of the bundle in force and their
            reachability.
        timeline: Receives the events of requests.
        server_hints: Hints that backend servers give in their responses.
        redirects: Counts requests that were redirected to other zones.
        connect_failures: Number of dispatches without a connection to the
            backend server: it was "refused", the server was "silent", or no
            "gateway" opened one.
        hedges: Number of further attempts that "answered" instead of a silent
            one, that were "refused" by their owners, and that were denied, by
            the reason.
        gateway_use: Tracks whether requests go through other VMs.
        on_silent_owner: Called with the address of a scheduler that does not
            reply.
    """

    def __init__(
        self,
        settings: DispatcherSettings,
        process_runtime: runtime.Runtime,
        budget: retry.RetryBudget | None = None,
        shares_limits: bool = False,
        blocks: blocklist.Blocklist | None = None,
        longest_pause_s: float = server_hints.MAX_PAUSE_S,
        awaits_view: bool = False,
        gateway_address: str = "",
    ) -> None:
        self._gateway_address = gateway_address
        self.backends = backend_directory.BackendDirectory(settings.zone)
        self.redirects = redirects.RedirectCounter()
        self.gateway_use = gateway_use.GatewayUse()
        self.hedges = collections.Counter[str](
            {
                "answered": 0,
                "refused": 0,
                **{denial.value: 0 for denial in hedging.Denial},
            }
        )
        self.connect_failures = collections.Counter[str](
            refused=0, silent=0, gateway=0
        )
        self.timeline = process_runtime.timeline
        self._name = process_runtime.name
        self._vm = settings.vm
        self._zone = settings.zone
        self._local_scheduler = settings.scheduler
        self._client = process_runtime.client
        self._mailbox = mailbox.Mailbox(
            lambda event: self._handle(event, steadyclock.read())
        )
        self._tickets: dict[str, tickets.Ticket] = {}
        self._same_id_numbers = itertools.count(1)
        self._links: dict[str, attachment.Attachment] = {}
        self._owners = owners.OwnerSelector(
            settings.zone, settings.scheduler, shares_limits, awaits_view
        )
        self._claims = claims.ClaimSender(
            settings.zone, self._owners, self._send_any
        )
        self._block_propagator = block_propagator.BlockPropagator(
            blocklist.Blocklist() if blocks is None else blocks,
            self._send_any,
            lambda: list(self._links),
        )
        self.server_hints = server_hints.ServerHintStore(
            self._send_any,
            lambda: [*self._links, self._local_scheduler],
            longest_pause_s,
        )
        self._use_history = limit_use.UseHistory(
            process_runtime.name, random.getrandbits(48)
        )
        # The last scheduler in this zone that a request was sent to.
        self._used_owner = ""
        self._budget = budget or retry.RetryBudget()
        self._work_times = work_time.WorkTimes()
        self._ends_at = math.inf
        self.on_silent_owner: Callable[[str], None] = _ignore_owner
        self._learner = acceptance.BundleTracker()
        self._has_work = anyio.Event()
        self._task_group: anyio.abc.TaskGroup | None = None
        self._lag = lag.TickLag(TICK_INTERVAL_S)
        self._was_late = False
        self._has_spared = False

    @property
    def in_force(self) -> acceptance.InForce | None:
        """The bundle in force, if any."""
        return self.backends.in_force

    @property
    def request_count(self) -> int:
        """Number of requests that have not ended."""
        return len(self._tickets)

    def count_states(self) -> collections.Counter[str]:
        """Returns how many requests wait and how many are dispatched."""
        return collections.Counter(
            ticket.machine.state.value for ticket in self._tickets.values()
        )

    def begin_stop(self, ends_at: float) -> None:
        """Passes on only what can end in time, and refuses the rest.

        Args:
            ends_at: When all answers must have ended, in seconds of the steady
                clock.
        """
        self._ends_at = ends_at
        self._refuse_unfinishable(steadyclock.read())

    def _refuse_unfinishable(self, now: float) -> None:
        """Refuses the waiting requests that cannot end before a stop."""
        for ticket in list(self._tickets.values()):
            self._refuse_if_unfinishable(ticket, now, is_granted=False)

    def _refuse_if_unfinishable(
        self, ticket: tickets.Ticket, now: float, is_granted: bool
    ) -> None:
        """Refuses a waiting request if it cannot end before a stop.

        One of a route without answers so far may take all of its time.  Where
        an answer has begun, or another attempt runs, it goes on: a refusal
        would end it even sooner.

        Args:
            ticket: The request.
            now: The entry's clock.
            is_granted: Whether a server has been granted to it.
        """
        if (
            self._ends_at == math.inf
            or ticket.machine.state is not request.State.WAITING
            or ticket.asks_again
        ):
            return
        waited_s = None if is_granted else now - ticket.enqueued_at
        left_s = ticket.deadline - now
        needed_s = self._work_times.estimate(ticket.machine.info, waited_s)
        needed_s = left_s if needed_s is None else min(needed_s, left_s)
        if now + needed_s + STOP_MARGIN_S > self._ends_at:
            effects = ticket.machine.reject(
                message.Reason.STOPPING, STOPPING_RETRY_AFTER_S
            )
            self._apply_effects(ticket, effects, now)

    def hedge(
        self, ticket: tickets.Ticket
    ) -> Result[tickets.Ticket, hedging.Denial]:
        """Seeks a backend server for another attempt beside a silent one.

        A retry is reserved for it until it is dispatched or ends.

        Args:
            ticket: The request, which has been dispatched.

        Returns:
            The ticket of the further attempt, or why there may be none now.
        """
        now = steadyclock.read()
        if denial := self._find_hedge_denial(ticket, now):
            self.hedges[denial.value] += 1
            return Err(denial)
        hedge = ticket.fork()
        hedge.holds_retry = True
        self._tickets[hedge.request_id] = hedge
        self._note(
            "hedge",
            hedge,
            silent=ticket.machine.backend,
            attempts=ticket.machine.dispatches,
        )
        owner = ticket.machine.owner
        if owner and self._owners.is_usable(owner, now):
            effects = hedge.machine.assign(owner, self._get_info(hedge, now))
            self._apply_effects(hedge, effects, now)
        else:
            self._assign(hedge, now)
        return Ok(hedge)

    def _find_hedge_denial(
        self, ticket: tickets.Ticket, now: float
    ) -> hedging.Denial | None:
        """Returns why there may be no further attempt; None if one follows.

        A retry is reserved if one follows.
        """
        machine = ticket.machine
        info = machine.info
        if not info.repeatable:
            return hedging.Denial.NOT_REPEATABLE
        if machine.state is not request.State.DISPATCHED:
            return hedging.Denial.ENDED
        if machine.dispatches >= info.max_attempts:
            return hedging.Denial.ATTEMPTS
        if now >= ticket.deadline:
            return hedging.Denial.DEADLINE
        if self._block_propagator.find_block(info, now):
            return hedging.Denial.BLOCKED
        if not self._budget.reserve(info.shard.service, now):
            return hedging.Denial.BUDGET
        return None

    def promote(self, ticket: tickets.Ticket) -> None:
        """Makes a further attempt the one that answers its request."""
        if ticket.hedges is not None:
            ticket.hedges.hedges = ticket
            ticket.hedges = None

    def has_budget(self, ticket: tickets.Ticket) -> bool:
        """Returns whether the retry budget allows another attempt now."""
        service = ticket.info.shard.service
        return self._budget.has_attempts_left(service, steadyclock.read())

    def submit(
        self,
        info: message.RequestInfo,
        claim_request: tickets.ClaimRequest | None,
    ) -> tickets.Ticket:
        """Submits a new request; its effects arrive on the returned ticket."""
        ticket = tickets.Ticket(info, claim_request, self._mailbox.post)
        if ticket.request_id in self._tickets:
            ticket.rename(next(self._same_id_numbers))
        ticket.report(tickets.Submitted(ticket))
        return ticket

    async def run(self) -> None:
        """Handles events until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._task_group = tasks
            self._get_link(self._local_scheduler)
            tasks.start_soon(self._run_ticks)
            await self._mailbox.run()

    async def _run_ticks(self) -> None:
        while True:
            if not self._tickets:
                # Avoids wake-ups while idle: one machine may run many entries.
                self._has_work = anyio.Event()
                await self._has_work.wait()
            due_at = steadyclock.read() + TICK_INTERVAL_S
            await anyio.sleep(TICK_INTERVAL_S)
            late_s = steadyclock.read() - due_at
            if self._has_spared:
                await deadline.look()
            self.tick(steadyclock.read(), late_s)

    def _handle(self, event: tickets.Event, now: float) -> None:
        match event:
            case tickets.Submitted(ticket):
                self._start_request(ticket, now)
            case attachment.LinkOpened(address, rtt_s):
                self._owners.record_link_rtt(address, rtt_s)
                self._resync(address, now)
            case attachment.LinkClosed(address):
                self._handle_link_closed(address, now)
            case attachment.MessageReceived(address, body):
                self._handle_message(address, body, now)
            case _:
                self._handle_exchange(event, now)

    def _handle_exchange(self, event: tickets.Event, now: float) -> None:
        ticket = self._tickets.get(tickets.get_request_id(event))
        if ticket is None:
            return
        machine = ticket.machine
        match event:
            case tickets.ConnectFailed():
                self._handle_connect_failure(ticket, event, now)
            case tickets.GrantUnusable(_, reason):
                self._return_grant(ticket, reason, now)
            case tickets.FirstTokenReceived(first):
                self.backends.record_answer(machine.backend, now)
                if ticket.hedges is not None:
                    self.hedges["answered"] += 1
                if machine.owner:
                    corrected = self._lag.exclude_lag(first, ticket.delay_s)
                    self._send(machine.owner, corrected)
                self._note(
                    "first_token",
                    ticket,
                    elapsed_s=round(first.elapsed_s, 4),
                )
            case tickets.StreamBegun(_, release):
                ticket.has_begun = True
                machine.bind_release(release)
            case tickets.Completed(ended, status):
                if ticket.dispatched_at is not None:
                    self._work_times.observe_work(
                        machine.info, now - ticket.dispatched_at
                    )
                if ticket.claim_request:
                    self._claims.finish(ticket, status)
                self._apply_effects(ticket, machine.complete(ended), now)
            case tickets.Refused(ended):
                self._apply_effects(ticket, machine.end_refused(ended), now)
            case tickets.AttemptFailed():
                self._end_attempt(ticket, event, now)
            case tickets.Overtaken(ended):
                self._apply_effects(ticket, machine.overtake(ended), now)
            case tickets.AnswerLost(ended, reason):
                self._apply_effects(
                    ticket, machine.end_unknown(reason, ended), now
                )
            case tickets.CallerDisconnected(ended):
                self._apply_effects(ticket, machine.cancel(ended), now)

    def _get_info(
        self, ticket: tickets.Ticket, now: float
    ) -> message.RequestInfo:
        """Returns a request's info with its remaining times and exclusions."""
        return ticket.get_info(now, self.backends.list_unreachable(now))

    def _handle_connect_failure(
        self, ticket: tickets.Ticket, event: tickets.ConnectFailed, now: float
    ) -> None:
        """Returns a grant whose connection could not be opened."""
        machine = ticket.machine
        is_direct = not event.failed_gateways
        kind = "refused" if event.refused else "silent"
        if not is_direct:
            kind = "gateway"
        self.connect_failures[kind] += 1
        self._note(
            "connect_failed",
            ticket,
            backend=machine.backend,
            owner=machine.owner,
            reason=kind,
            **({} if is_direct else {"gateways": list(event.failed_gateways)}),
        )
        if is_direct and not event.refused:
            self.backends.record_connect_failure(machine.backend, now)
        machine.info = self._get_info(ticket, now)
        self._return_used_retry(ticket)
        effects = machine.fail_connect(
            event.refused and is_direct, event.failed_gateways
        )
        self._apply_effects(ticket, effects, now)

    def _return_grant(
        self,
        ticket: tickets.Ticket,
        reason: server_hints.UnusableReason,
        now: float,
    ) -> None:
        """Returns a grant whose server accepts no requests from this VM."""
        machine = ticket.machine
        backend = machine.backend
        machine.info = self._get_info(ticket, now)
        effects = machine.return_grant()
        if backend is None or not effects:
            return
        self._return_used_retry(ticket)
        if machine.owner:
            # Sent before the grant is returned; otherwise the owner would grant
            # the same server again.
            self.server_hints.send_one(machine.owner, backend, now)
        self._note(
            "grant_returned",
            ticket,
            backend=backend,
            owner=machine.owner,
            reason=reason.value,
        )
        self._apply_effects(ticket, effects, now)

    def _end_attempt(
        self, ticket: tickets.Ticket, event: tickets.AttemptFailed, now: float
    ) -> None:
        """Retries a request elsewhere if its limits and the budget allow it."""
        info = ticket.machine.info
        is_hedged = event.is_hedged and _is_hedged(ticket)
        may_run_again = (
            not is_hedged
            and now < ticket.deadline
            and (event.not_run or info.repeatable)
            and ticket.machine.dispatches < info.max_attempts
            and not self._block_propagator.find_block(info, now)
        )
        has_budget = may_run_again and self._budget.try_take(
            info.shard.service, now
        )
        # Its caller has time left, and the budget refills.
        ticket.awaits_budget = (
            may_run_again and not has_budget and ticket.continues_answer
        )
        may_retry = has_budget or ticket.awaits_budget
        finish = request.Finish(
            message.Outcome.UNKNOWN, event.reason, ATTEMPT_RETRY_AFTER_S
        )
        backend = ticket.machine.backend
        ticket.retry_used_at = None
        ticket.lacking_since = None
        ticket.machine.info = self._get_info(ticket, now)
        if is_hedged:
            # The other attempt may still run, so this one promises nothing.
            effects = ticket.machine.end_unknown(event.reason, event.ended)
        else:
            effects = ticket.machine.fail_attempt(
                event.ended,
                event.not_run,
                may_retry,
                finish,
                may_enqueue=has_budget,
            )
        self._note(
            "attempt_failed",
            ticket,
            backend=backend,
            attempts=ticket.machine.dispatches,
            not_run=event.not_run,
            reason=event.reason.value,
            repeated=may_retry,
            budget_left=self._budget.has_attempts_left(info.shard.service, now),
            content=info.content or None,
            **(msgspec.to_builtins(event.fault) if event.fault else {}),
        )
        self._apply_effects(ticket, effects, now)
        if ticket.awaits_budget:
            ticket.ask_again_at = now + hedging.RETRY_S
            self._note("asks_again", ticket, reason=hedging.Denial.BUDGET.value)

    def _end_budget_wait(self, ticket: tickets.Ticket, now: float) -> None:
        """Sends a retry to its owner if the budget allows it now."""
        machine = ticket.machine
        if block := self._block_propagator.find_block(machine.info, now):
            self._reject_blocked(ticket, block, now)
            return
        if not self._budget.reserve(machine.info.shard.service, now):
            ticket.ask_again_at = now + hedging.RETRY_S
            return
        ticket.awaits_budget = False
        ticket.holds_retry = True
        if machine.owner and self._owners.is_usable(machine.owner, now):
            self._resend(ticket, now)
        else:
            self._assign(ticket, now)

    def _start_request(self, ticket: tickets.Ticket, now: float) -> None:
        info = ticket.info
        self._tickets[ticket.request_id] = ticket
        self._has_work.set()
        self._budget.count_request(info.shard.service, now)
        self.timeline.note(
            "request",
            info.request_id,
            customer=info.customer,
            tier=info.tier,
            service=info.shard.service,
            prompt_tokens=info.prompt_tokens,
            output_tokens=info.output_tokens,
            deadline_s=round(info.deadline_s, 3),
            content=info.content or None,
            parts=info.parts or None,
            generation=self.in_force.generation if self.in_force else None,
        )
        if block := self._block_propagator.find_block(info, now):
            self._reject_blocked(ticket, block, now)
            return
        if ticket.claim_request:
            self._claims.send(ticket)
        self._assign(ticket, now)
        self._refuse_if_unfinishable(ticket, now, is_granted=False)

    def _reject_blocked(
        self, ticket: tickets.Ticket, block: blocklist.Block, now: float
    ) -> None:
        remaining_s = block.until - now
        self.timeline.note(
            "blocked",
            ticket.info.request_id,
            content=block.content,
            left_s=round(remaining_s, 1),
        )
        effects = ticket.machine.reject(message.Reason.BLOCKED, remaining_s)
        self._apply_effects(ticket, effects, now)

    def _assign(self, ticket: tickets.Ticket, now: float) -> None:
        """Finds the request's owner and sends it the request.

        Records since when there is no owner if none is found.  A request that
        waits for the retry budget is sent to none.
        """
        if ticket.awaits_budget:
            return
        shard = ticket.machine.info.shard
        if shard.zone != self._zone and not self._owners.is_zone_reachable(
            shard.zone
        ):
            # Fall back to the local zone.
            shard = msgspec.structs.replace(shard, zone=self._zone)
            ticket.machine.info = msgspec.structs.replace(
                ticket.machine.info, shard=shard
            )
        owner = self._owners.find_owner(shard, now)
        if owner is None:
            ticket.no_owner_since = ticket.no_owner_since or now
            return
        ticket.no_owner_since = None
        if owner == ticket.machine.owner:
            return
        dispatched = ticket.dispatched_at
        running_s = now - dispatched if dispatched is not None else 0.0
        effects = ticket.machine.assign(
            owner, self._get_info(ticket, now), running_s
        )
        self._apply_effects(ticket, effects, now)

    def _apply_effects(
        self,
        ticket: tickets.Ticket,
        effects: Iterable[request.Effect],
        now: float,
    ) -> None:
        for effect in effects:
            match effect:
                case request.SendToOwner(owner, sent):
                    if isinstance(sent, message.Enqueue):
                        self._report_use(owner, sent.request, now)
                        ticket.record_sent(owner, now)
                    self._send(owner, sent)
                case request.Dispatch(grant):
                    ticket.dispatched_at = now
                    self._work_times.observe_wait(
                        ticket.machine.info, now - ticket.enqueued_at
                    )
                    self._use_reserved_retry(ticket, now)
                    self._record_use(ticket, grant, now)
                    record = self.backends.describe_record(grant.backend)
                    self._note(
                        "dispatch",
                        ticket,
                        backend=grant.backend,
                        owner=grant.owner,
                        release=grant.release,
                        age_s=round(now - ticket.started_at, 4),
                        **({"record": record} if record else {}),
                        **(
                            {"gateways": grant.gateways}
                            if grant.gateways
                            else {}
                        ),
                    )
                    self.gateway_use.record_dispatch(bool(grant.gateways), now)
                    ticket.send_effect(effect)
                case request.Finish(outcome, reason):
                    self._tickets.pop(ticket.request_id, None)
                    self._note(
                        "attempt_ended" if ticket.hedges else "end",
                        ticket,
                        outcome=outcome.value,
                        reason=reason.value if reason else None,
                        owner=ticket.machine.owner,
                        attempts=ticket.machine.dispatches,
                        age_s=round(now - ticket.started_at, 4),
                    )
                    self._end_hedge(ticket)
                    ticket.send_effect(effect)
                case request.Release():
                    self._claims.release(ticket)
                case request.Cancel():
                    pass  # The exchange cancels its own stream.

    def _note(self, kind: str, ticket: tickets.Ticket, **facts: Any) -> None:
        """Notes an event of a request, and of which of its attempts it is."""
        request_id = ticket.info.request_id
        if ticket.request_id != request_id:
            facts["hedge"] = ticket.request_id
        self.timeline.note(kind, request_id, **facts)

    def _use_reserved_retry(self, ticket: tickets.Ticket, now: float) -> None:
        if ticket.holds_retry:
            ticket.holds_retry = False
            ticket.retry_used_at = now
            self._budget.use_reserved(ticket.info.shard.service, now)

    def _return_used_retry(self, ticket: tickets.Ticket) -> None:
        """Reserves the retry of a dispatch that was not sent again."""
        if ticket.retry_used_at is not None:
            service = ticket.info.shard.service
            self._budget.return_used(service, ticket.retry_used_at)
            ticket.retry_used_at = None
            ticket.holds_retry = True

    def _end_hedge(self, ticket: tickets.Ticket) -> None:
        """Releases the retry of a ticket, and counts its attempts if beside."""
        if ticket.holds_retry:
            ticket.holds_retry = False
            self._budget.release(ticket.info.shard.service)
        if ticket.hedges is not None:
            ticket.hedges.machine.absorb(ticket.machine)

    def _record_use(
        self, ticket: tickets.Ticket, grant: message.Grant, now: float
    ) -> None:
        """Records the first attempt as use of its customer's limit."""
        info = ticket.info
        if ticket.is_use_recorded:
            return
        ticket.is_use_recorded = True
        cost = info.limit_tokens
        if cost is None:
            cost = queue.compute_cost(info)
        self._use_history.record(info.customer, cost, grant.limit_total, now)

    def _report_use(
        self, owner: str, info: message.RequestInfo, now: float
    ) -> None:
        """Reports the use of limits before another owner is used."""
        if owner == self._used_owner or info.spilled_from:
            return
        self._used_owner = owner
        if report := self._use_history.make_report(now):
            self._send(owner, report)

    def _handle_claim_decision(
        self, decision: peer_message.ClaimDecision, now: float
    ) -> None:
        ticket = self._tickets.get(decision.attempt)
        if ticket is None:
            return
        status = claim.ClaimStatus(decision.verdict)
        held = status is claim.ClaimStatus.HELD
        finish = None if held else claim.make_finish(status)
        effects = ticket.machine.decide_claim(held, finish)
        self._apply_effects(ticket, effects, now)

    def _handle_message(self, address: str, body: object, now: float) -> None:
        self._owners.record_message(address, now)
        match body:
            case message.Grant(request_id):
                self._record_reply(address, request_id, now)
                self._handle_grant(body, request_id, now)
            case message.Reject(request_id):
                self._record_reply(address, request_id, now)
                self._handle_reject(address, body, now)
            case message.Queued(request_id):
                self._record_reply(address, request_id, now)
            case message.StillWaiting():
                pass  # A keep-alive message of the owner.
            case message.Redirect(request_id):
                self._record_reply(address, request_id, now)
                self._handle_redirect(address, body, now)
            case peer_message.AskTimeline(after, subject, number):
                events = self.timeline.list_events(after, subject)
                answer = peer_message.TimelineEvents(events, number)
                self._send_any(address, answer)
            case peer_message.ClaimDecision():
                self._handle_claim_decision(body, now)
            case peer_message.BlockedContents():
                self._block_propagator.merge(address, body)
            case peer_message.View() if address == self._local_scheduler:
                self._apply_view(body, now)
            case peer_message.BundleUpdate(envelope):
                self._apply_bundle(address, envelope)

    def _record_reply(self, address: str, request_id: str, now: float) -> None:
        """Records the response time of a scheduler's first reply."""
        if ticket := self._tickets.get(request_id):
            delay_s = ticket.take_reply_delay_s(address, now)
            if delay_s is not None:
                self._owners.record_reply(address, delay_s)

    def _handle_grant(
        self, grant: message.Grant, request_id: str, now: float
    ) -> None:
        if waiting := self._tickets.get(request_id):
            self._refuse_if_unfinishable(waiting, now, is_granted=True)
        ticket = self._tickets.get(request_id)
        if ticket is None:
            decline = message.Decline(request_id, grant.grant_id)
            self._send(grant.owner, decline)
            return
        zone = ticket.machine.info.shard.zone
        if grant.release is None:
            # An owner of an older version names none.
            release = self.backends.get_release(grant)
            grant = msgspec.structs.replace(grant, release=release)
        effects = ticket.machine.receive_grant(grant)
        if zone != self._zone and any(
            isinstance(effect, request.Dispatch) for effect in effects
        ):
            self.redirects.count_grant(zone, now - ticket.enqueued_at)
        self._apply_effects(ticket, effects, now)
        if grant.speed is not None and grant.owner != self._local_scheduler:
            learned = message.SpeedLearned(
                grant.backend, grant.speed, grant.run
            )
            self._send(self._local_scheduler, learned)

    def _handle_reject(
        self, address: str, reject: message.Reject, now: float
    ) -> None:
        ticket = self._tickets.get(reject.request_id)
        if ticket is None:
            return
        machine = ticket.machine
        if (
            machine.state is not request.State.WAITING
            or machine.owner != address
        ):
            return
        if ticket.hedges is not None:
            self.hedges["refused"] += 1
        if reject.asks_again and not ticket.asks_again:
            # The attempt beside it has ended since.  The owner counts the
            # refusal only if it knows that its caller is turned away.
            self._resend(ticket, now)
            return
        if (
            ticket.continues_answer
            and hedging.may_pass(reject.reason, ticket.lacking_since, now)
            and now < ticket.deadline
        ):
            if reject.reason in hedging.LACK_REFUSALS:
                ticket.lacking_since = ticket.lacking_since or now
            # It may have been queued beside an attempt that has since ended,
            # or for less time than it has now.
            ticket.ask_again_at = now + hedging.RETRY_S
            self._note("asks_again", ticket, reason=reject.reason.value)
            return
        effects = machine.receive_reject(reject, address)
        self._apply_effects(ticket, effects, now)

    def _ask_again(self, ticket: tickets.Ticket, now: float) -> None:
        """Sends a request to its owner again when that is due.

        One that another zone refused returns to this one.
        """
        if ticket.ask_again_at is None or now < ticket.ask_again_at:
            return
        ticket.ask_again_at = None
        machine = ticket.machine
        if machine.state is not request.State.WAITING or not machine.owner:
            return
        if ticket.awaits_budget:
            self._end_budget_wait(ticket, now)
        elif machine.info.shard.zone == self._zone:
            self._resend(ticket, now)
        else:
            self._return_from_zone(ticket, machine.owner, now)

    def _handle_redirect(
        self, address: str, redirect: message.Redirect, now: float
    ) -> None:
        ticket = self._tickets.get(redirect.request_id)
        if ticket is None or ticket.machine.owner != address:
            return
        if ticket.machine.state is not request.State.WAITING:
            return
        ticket.delay_s = redirect.delay_s
        info = self._get_info(ticket, now)
        info = msgspec.structs.replace(
            info,
            shard=msgspec.structs.replace(info.shard, zone=redirect.zone),
            spilled_from=(*info.spilled_from, info.shard.zone),
        )
        self.redirects.count_redirect(redirect.zone, redirect.reason)
        self._note(
            "redirect",
            ticket,
            zone=redirect.zone,
            reason=redirect.reason,
            delay_s=round(redirect.delay_s, 4),
        )
        effects = ticket.machine.assign(redirect.owner, info)
        self._apply_effects(ticket, effects, now)
        if not self._owners.is_usable(redirect.owner, now):
            self._return_from_zone(ticket, redirect.owner, now)

    def _apply_view(self, view: peer_message.View, now: float) -> None:
        addresses = self._owners.apply_view(view)
        self.backends.apply_view(view)
        # A view lists only some schedulers of other zones, and a request may
        # have been redirected to any of them.
        used = {t.machine.owner for t in self._tickets.values()}
        kept = {*addresses, *used, self._local_scheduler}
        for address in set(self._links) - kept:
            self._links.pop(address).stop()
            self._owners.remove(address)
        self._open_owner_links(now)
        self._reassign_all(now)

    def _open_owner_links(self, now: float) -> None:
        """Opens the links to owners before the first request needs them.

        Otherwise all entries would attach to an owner at the same moment, and
        its replies would time out while it attaches the others.
        """
        if self.in_force is None:
            return
        for name, service in self.in_force.bundle.services.items():
            for number in range(service.shards):
                key = message.ShardKey(self._zone, name, number)
                owner = self._owners.find_owner(key, now)
                if owner is not None:
                    self._open_link(owner)

    def _apply_bundle(self, address: str, envelope: signature.Envelope) -> None:
        if self._learner.apply_peer_bundle(envelope):
            assert self._learner.in_force is not None
            self.backends.apply_bundle(self._learner.in_force)
            generation = self._learner.in_force.generation
            self.timeline.note("bundle", f"generation-{generation}")
            LOG.info("bundle in force", extra={"generation": generation})
        if self.in_force:
            report = peer_message.InForceReport(self.in_force.generation)
            self._send_any(address, report)

    def _send(self, owner: str, sent: message.EntryMessage) -> None:
        self._send_any(owner, sent)

    def _send_any(self, address: str, body: object) -> None:
        self._get_link(address).send(body)

    def _get_link(self, address: str) -> attachment.Attachment:
        self._open_link(address)
        return self._links[address]

    def _open_link(self, address: str) -> None:
        if address in self._links:
            return
        hello = peer_message.Hello(
            self._name, self._vm, "entry", self._gateway_address
        )
        owner_link = attachment.Attachment(
            address, hello, self._client, self._mailbox.post
        )
        self._links[address] = owner_link
        assert self._task_group is not None
        self._task_group.start_soon(owner_link.run)

    def _resync(self, address: str, now: float) -> None:
        """Sends a scheduler its requests, the blocks and the server hints."""
        self._owners.mark_up(address)
        self._block_propagator.send_all(address, now)
        self.server_hints.send_all(address, now)
        # An owner of another zone does not count what was granted in this one.
        report = self._use_history.make_report(now)
        if report and not self._owners.is_remote(address):
            self._send(address, report)
        for ticket in self._tickets.values():
            # Sent while the link was closed, so dropped.
            ticket.forget_sent(address)
            if ticket.machine.owner == address:
                self._resend(ticket, now)
            if ticket.machine.claim is request.Claim.PENDING:
                self._claims.send(ticket)
        self._send(address, message.SyncDone(self._name))
        self._reassign_all(now)

    def _resend(self, ticket: tickets.Ticket, now: float) -> None:
        if ticket.awaits_budget:
            return
        owner = ticket.machine.owner
        assert owner is not None
        since = ticket.dispatched_at
        effects = ticket.machine.assign(
            owner, self._get_info(ticket, now), now - since if since else 0.0
        )
        self._apply_effects(ticket, effects, now)

    def _handle_link_closed(self, address: str, now: float) -> None:
        self._owners.mark_down(address)
        for ticket in self._tickets.values():
            ticket.forget_sent(address)
        self._reassign_all(now)

    def _reassign_all(self, now: float) -> None:
        for ticket in list(self._tickets.values()):
            owner = ticket.machine.owner
            if ticket.machine.info.shard.zone == self._zone:
                self._assign(ticket, now)
            elif owner and not self._owners.is_usable(owner, now):
                self._return_from_zone(ticket, owner, now)
        for ticket in self._tickets.values():
            if ticket.machine.claim is request.Claim.PENDING:
                self._claims.send(ticket)

    def _return_from_zone(
        self, ticket: tickets.Ticket, owner: str, now: float
    ) -> None:
        """Returns a request whose owner in another zone does not grant it.

        A request that runs stays with that owner, which learns of it again when
        the link opens.
        """
        machine = ticket.machine
        if machine.state is not request.State.WAITING:
            return
        zone = machine.info.shard.zone
        shard = msgspec.structs.replace(machine.info.shard, zone=self._zone)
        machine.info = msgspec.structs.replace(
            machine.info,
            shard=shard,
            spilled_from=(*machine.info.spilled_from, owner),
        )
        ticket.delay_s = 0.0
        self.redirects.count_redirect(zone, redirects.CAME_BACK)
        self._note("came_back", ticket, zone=zone, owner=owner)
        self._assign(ticket, now)

    def _back_off_silent_owners(self, now: float) -> None:
        """Reassigns the waiting requests of owners that do not reply."""
        unanswered = [
            ticket
            for ticket in self._tickets.values()
            if ticket.machine.state is request.State.WAITING
            and not ticket.awaits_budget
            and ticket.machine.owner is not None
            and timeouts.is_owner_silent(
                ticket, self._owners, ticket.machine.owner, now
            )
        ]
        silent_owners = {ticket.machine.owner for ticket in unanswered}
        backed_off = [
            owner
            for owner in silent_owners
            if owner is not None and self._owners.back_off(owner, now)
        ]
        for owner in backed_off:
            self.on_silent_owner(owner)
            # Its whole zone may be partitioned off; new connections to the
            # backend servers there will show it.
            zone = self._owners.get_availability_zone(owner)
            self.backends.reset_zone_connections(zone)
        # A retry is sent to the owner in the other zone even if that has become
        # silent since the first attempt.
        has_spilled = any(
            ticket.machine.info.shard.zone != self._zone
            for ticket in unanswered
        )
        if backed_off or has_spilled:
            self._reassign_all(now)

    def tick(self, now: float, late_s: float = 0.0) -> None:
        """Backs off silent owners and rejects requests that timed out.

        Args:
            now: The entry's clock.
            late_s: Seconds since the tick was due.  A late one runs before
                messages that have arrived are read.
        """
        # A timer may also run in time by chance while the process is short of
        # processor time.
        is_late = late_s > deadline.MIN_LATE_S
        may_lack_messages = is_late or self._was_late
        self._was_late = is_late
        self._has_spared = False
        is_lagging = self._lag.observe(now)
        if not is_lagging and late_s < lag.MAX_TICK_DELAY_S:
            self._back_off_silent_owners(now)
        if self._ends_at < math.inf:
            self._refuse_unfinishable(now)
        for ticket in list(self._tickets.values()):
            self._ask_again(ticket, now)
            owner_rtt_s = self._owners.get_rtt_s(ticket.machine.owner)
            reason = timeouts.find_timeout_reason(ticket, now, owner_rtt_s)
            if timeouts.is_grant_possible(ticket, reason, may_lack_messages):
                ticket.spared_ticks += 1
                self._has_spared = True
            elif reason is not None:
                effects = ticket.machine.reject(reason, RETRY_AFTER_S)
                self._apply_effects(ticket, effects, now)


def _is_hedged(ticket: tickets.Ticket) -> bool:
    """Returns whether another attempt of a request goes on beside this one.

    The exchange learns that an attempt has ended later than the dispatcher; one
    that broke at the same time is counted, but does not answer the request.
    """
    other = ticket.hedges
    if other is None or other.machine.state is not request.State.ENDED:
        return other is not None
    ticket.machine.absorb(other.machine)
    ticket.hedges = None
    return False


def _ignore_owner(address: str) -> None:
    """Default of ``on_silent_owner``."""
