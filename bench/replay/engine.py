"""Engines in virtual time: the stand-in's batch, stepped by the clock."""

from __future__ import annotations

import abc
import dataclasses

from bench.replay import clock, pattern
from ramptray.standin.engine import batch

CACHE_BLOCKS = 1
"""Prompts here share nothing, so the cache is as small as can be."""


@dataclasses.dataclass(slots=True)
class Run:
    """A request on an engine.

    Attributes:
        sequence: What the engine works on.
        listener: Who hears of its tokens.
        sent_at: When it was sent.
    """

    sequence: batch.Sequence
    listener: Listener
    sent_at: float


class Listener(abc.ABC):
    """Hears what becomes of a request on an engine."""

    @abc.abstractmethod
    def take_token(self, run: Run, now: float) -> None:
        """Takes a token."""

    @abc.abstractmethod
    def lose(self, run: Run, now: float) -> None:
        """Takes that the engine has crashed."""


class Engine:
    """One engine.

    Args:
        name: Its name.
        fields: How fast it is.
        timer: The clock.
    """

    def __init__(
        self, name: str, fields: pattern.Engines, timer: clock.Clock
    ) -> None:
        self.name = name
        self.fields = fields
        self.is_down = False
        speed = batch.Speed(
            fields.prefill_tokens_per_s,
            fields.step_s,
            fields.step_growth,
            fields.chunk_tokens,
        )
        self.batch = batch.Batch(speed, fields.places, CACHE_BLOCKS)
        self._timer = timer
        self._runs: dict[str, Run] = {}
        self._is_stepping = False

    @property
    def running_count(self) -> int:
        """Number of requests that it runs or queues."""
        return len(self._runs)

    def start(self, run: Run) -> None:
        """Takes a request; its fixed part passes before it is in the batch."""
        self._runs[run.sequence.request_id] = run
        fixed_s = self.fields.fixed_s * self.batch.slowdown
        self._timer.call_at(self._timer.now + fixed_s, self._admit, run)

    def cancel(self, request_id: str) -> None:
        """Ends a request early."""
        if run := self._runs.pop(request_id, None):
            self.batch.cancel(run.sequence)
            run.sequence.cancelled = True

    def crash(self) -> None:
        """Loses everything and is gone until ``is_down`` is cleared."""
        self.is_down = True
        runs = list(self._runs.values())
        for run in runs:
            self.cancel(run.sequence.request_id)
            run.listener.lose(run, self._timer.now)

    def _admit(self, run: Run) -> None:
        if run.sequence.cancelled:
            return
        self.batch.add(run.sequence)
        if not self._is_stepping:
            self._step()

    def _step(self) -> None:
        seconds, decoded = self.batch.step()
        self._is_stepping = seconds > 0
        if self._is_stepping:
            at = self._timer.now + seconds
            self._timer.call_at(at, self._finish_step, decoded)

    def _finish_step(self, decoded: list[batch.Sequence]) -> None:
        for sequence in decoded:
            run = self._runs.get(sequence.request_id)
            if run is None:
                continue
            if sequence.done:
                del self._runs[sequence.request_id]
            run.listener.take_token(run, self._timer.now)
        self._step()
