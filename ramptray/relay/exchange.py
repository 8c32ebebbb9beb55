"""Serves one relayed request, with one or more series of attempts."""

from __future__ import annotations

import logging
import weakref

import anyio
import anyio.abc
from result import Err

from ramptray import steadyclock
from ramptray.core import hedging, request
from ramptray.core import message as core_message
from ramptray.entry import dispatcher as dispatchers
from ramptray.entry import origin_store
from ramptray.entry import ticket as tickets
from ramptray.relay import answer as answers
from ramptray.relay import attempts, refusal
from ramptray.relay import client as relay_client

LOG = logging.getLogger(__name__)


class Exchange(attempts.Race):
    """Serves one request until its response has ended.

    A second series of attempts begins when the server of the first one is
    silent.  The first of them to have the next part of the answer goes on.

    Attributes:
        outcome: How it ended; empty before.
        cut_cause: Why the answer ended early; empty if it did not.
        first_event_s: Seconds to the first part of the answer; None so far.
    """

    def __init__(
        self,
        routed: answers.RoutedRequest,
        dispatcher: dispatchers.Dispatcher,
        client: relay_client.RelayClient,
        writer: answers.ResponseWriter,
        origins: origin_store.OriginStore,
    ) -> None:
        self.outcome = ""
        self.cut_cause = ""
        self.first_event_s: float | None = None
        self._routed = routed
        self._dispatcher = dispatcher
        self._client = client
        self._answer = answers.Answer(writer)
        self._started_at = steadyclock.read()
        self._means = attempts.Means(
            routed,
            dispatcher,
            client,
            origins,
            self._answer,
            self._started_at + routed.timeout_s,
        )
        # The series that run; the first one has asked earlier than the other.
        self._running = [
            self._make_series(dispatcher.submit(routed.info, None))
        ]
        self._last = self._running[0]
        self._finish: request.Finish | None = None
        self._error: Exception | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._hedged_at = 0.0
        self._hedge_result = ""

    async def run(self) -> None:
        """Serves the request; cancelled when the caller disconnects."""
        try:
            async with anyio.create_task_group() as self._tasks:
                await self._run_series(self._last)
            if self._error is not None:
                raise self._error
            if self._finish is not None:
                await self._end(self._finish)
        except anyio.get_cancelled_exc_class():
            reason = hedging.LeaveReason.CALLER_GONE
            if not self._answer.writer.has_caller_left:
                reason = hedging.LeaveReason.STOP
                self._note_cut(reason)
            self.outcome = reason.value
            self._report_caller_gone()
            raise
        except Exception:
            # Releases the request's slots at the backend servers.
            self.outcome = "error"
            self._report_caller_gone()
            raise

    def claim(self, series: attempts.AttemptSeries) -> None:
        """See the base class."""
        if self.first_event_s is None:
            self.first_event_s = steadyclock.read() - self._started_at
        if len(self._running) == 1:
            return
        self._dispatcher.promote(series.ticket)
        for other in self._running:
            if other is not series:
                other.leave(other.heard_at < self._hedged_at)
        self._running = [series]
        self._last = series

    def hedge(self, series: attempts.AttemptSeries) -> bool:
        """See the base class."""
        if len(self._running) > 1:
            return True
        hedge = self._dispatcher.hedge(series.ticket)
        if isinstance(hedge, Err):
            self._hedge_result = hedge.err_value.value
            return hedge.err_value is hedging.Denial.BUDGET
        if series.target is not None:
            self._client.record_silence(series.target, steadyclock.read())
        self._hedged_at = steadyclock.read()
        other = self._make_series(hedge.ok_value)
        self._running.append(other)
        assert self._tasks is not None
        self._tasks.start_soon(self._run_series, other)
        return True

    def has_other(self, series: attempts.AttemptSeries) -> bool:
        """See the base class."""
        return any(each is not series for each in self._running)

    def concede(self, series: attempts.AttemptSeries) -> bool:
        """See the base class."""
        others = [each for each in self._running if each is not series]
        for other in others:
            self._dispatcher.promote(other.ticket)
        return bool(others)

    def _make_series(self, ticket: tickets.Ticket) -> attempts.AttemptSeries:
        # A cycle of strong references would keep the request's body until the
        # garbage collector runs.
        race = weakref.proxy(self)
        return attempts.AttemptSeries(self._means, ticket, race)

    async def _run_series(self, series: attempts.AttemptSeries) -> None:
        assert self._tasks is not None
        try:
            finish = await series.run()
        except Exception as error:
            if series not in self._running:
                # The answer of the other series goes on.
                LOG.exception(
                    "error in an attempt that was left",
                    extra={"request": self._routed.info.request_id},
                )
                return
            # Raised by ``run``: a task group would wrap it.
            self._error = error
            self._tasks.cancel_scope.cancel()
            return
        if finish is None or series not in self._running:
            # It was left, perhaps just after its own end.
            return
        self._running.remove(series)
        if self._running:
            self._hedge_result = finish.reason.value if finish.reason else ""
            return
        self._last, self._finish = series, finish

    def _report_caller_gone(self) -> None:
        for series in self._running:
            series.report_caller_gone()

    async def _end(self, finish: request.Finish) -> None:
        self.outcome = finish.reason.value if finish.reason else "complete"
        if finish.outcome is core_message.Outcome.COMPLETE:
            return
        answer = self._answer
        if finish.outcome is not core_message.Outcome.NOT_RUN:
            self._note_cut(self._last.leave_reason)
        if answer.is_begun:
            await answer.writer.abort()
        elif answer.error_response is not None:
            # The backend server's own error says more than a refusal.
            await answer.send_whole(answer.error_response)
        else:
            await answer.writer.refuse(refusal.make_refusal(finish))

    def _note_cut(self, reason: hedging.LeaveReason | None) -> None:
        """Notes why an answer ends that its caller could still have got.

        Args:
            reason: Why the last server was left, if one was.
        """
        self.cut_cause = reason.value if reason else self.outcome
        now = steadyclock.read()
        last = self._last
        self._dispatcher.timeline.note(
            "answer_cut",
            self._routed.info.request_id,
            cause=self.outcome or None,
            left_for=reason.value if reason else None,
            begun=self._answer.is_begun,
            silent_s=round(now - last.heard_at, 4),
            presence=last.fault.presence if last.fault else None,
            left_s=round(self._means.deadline - now, 3),
            attempts=last.ticket.machine.dispatches,
            budget_left=self._dispatcher.has_budget(last.ticket),
            hedge=self._hedge_result or None,
        )
