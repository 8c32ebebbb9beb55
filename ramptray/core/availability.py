"""Whether a backend server is reachable and accepts requests."""

from __future__ import annotations

import enum
import math

UNREACHABLE_S = 0.5
"""Ejection time after the first refused connection, in seconds."""

MAX_UNREACHABLE_S = 8.0
"""Maximum ejection time after a refused connection, in seconds."""

MAX_DOUBLINGS = 4
"""Number of doublings after which the ejection time has its maximum."""

MAX_BREAK_DOUBLINGS = 2
"""Number of doublings due to broken responses in a row: such a server may be
sound again without a sign of it, so it is tried every 2 s at least."""

EJECT_AFTER_BREAKS = 3
"""Consecutive broken responses after which a server is ejected for a while: a
server that fails immediately always has free slots and would attract all
requests."""

FAILURE_WEIGHT = 0.3
"""Weight of the newest response in a server's failure rates."""

FAILURE_FORGET_S = 2.0
"""Time constant of the failure rates' decay, in seconds: about two
thirds of a rate are forgotten after this time, so that a server that has
recovered gets requests again within the time of a few responses."""

SYMPTOM_RATE = 0.1
"""Rate from which a server shows a symptom: for two seconds or four good
responses after a single failure."""

ANSWER_VALIDITY_S = 1.0
"""How long an answer shows that the server serves other entries, in seconds,
although it refuses the connections of some."""

ISOLATED_ANSWER_VALIDITY_S = 5.0
"""The same time if only entries that reach no server at all are refused, in
seconds.  They have probably lost their own links."""

REPORT_VALIDITY_S = 2.0
"""How long a refused connection counts against the server, in seconds."""

MIN_REPORTERS = 2
"""Number of entries that must fail before a server is ejected for all: a single
one may have lost its own links.  A sole entry suffices."""

ENTRY_EJECTION_S = 0.5
"""Ejection time for a single entry, in seconds.  A further attempt costs it a
refused connection."""

LOST_AFTER_FAILURES = 4
"""Consecutive refused connections after which a server counts as lost."""


class Symptom(enum.Enum):
    """How a request failed on a backend server.

    Attributes:
        REFUSED: The server reported that it did not run the request.
        FAILED: It responded with an error of its own.
        BROKEN: The response broke off, or the server hung.
    """

    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"


class Availability:
    """Ejects a failing server, with exponential backoff.

    Failures at one entry may be those of its links: other entries go on using
    the server until it fails for them too.

    Attributes:
        failures: Consecutive ejections.
        breaks: Consecutive broken or refused responses.
        unreachable_until: End of the ejection; no new requests before.
    """

    __slots__ = (
        "breaks",
        "failures",
        "unreachable_until",
        "_answered_at",
        "_break_ejections",
        "_break_reporters",
        "_ejected_for",
        "_backoff_until",
        "_ejected_by",
        "_retry_at",
        "_isolated",
        "_last_symptom",
        "_rated_at",
        "_rates",
        "_refused_at",
        "_trial_until",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.breaks = 0
        self.unreachable_until = 0.0
        # Times by entry: of its last answer and its last refused connection,
        # and the end of its own ejection.
        self._answered_at: dict[str, float] = {}
        self._refused_at: dict[str, float] = {}
        # Of the entries that are refused, those that reach no server at all.
        self._isolated: set[str] = set()
        self._ejected_for: dict[str, float] = {}
        # Entries whose responses broke off, empty for the server's own report.
        self._break_reporters: set[str] = set()
        # Ejections after broken responses since the last whole one.
        self._break_ejections = 0
        self._trial_until = 0.0
        self._ejected_by: frozenset[str] = frozenset()
        self._backoff_until = 0.0
        # When it may be tried again if no other server is usable.
        self._retry_at = math.inf
        self._last_symptom: Symptom | None = None
        self._rates: dict[Symptom, float] = {}
        self._rated_at = 0.0

    @property
    def is_lost(self) -> bool:
        """Whether it counts as lost, so that no request waits for it."""
        return self.failures >= LOST_AFTER_FAILURES

    def is_ejected_for(self, entry: str, now: float) -> bool:
        """Returns whether the server is ejected for one entry only."""
        return now < self._ejected_for.get(entry, 0.0)

    def is_on_trial(self, now: float) -> bool:
        """Returns whether a server whose responses broke off is tried again.

        It gets one request at a time, for as long as it was ejected or until a
        response is whole: the others would be lost like it if it still fails.
        """
        return now < self._trial_until

    def has_answered(self, entry: str, now: float) -> bool:
        """Returns whether the server has answered an entry recently."""
        answered_at = self._answered_at.get(entry, -math.inf)
        return now - answered_at < ANSWER_VALIDITY_S

    def record_answer(self, entry: str, now: float) -> None:
        """Records that the server answers an entry.

        An answer to another entry than those that failed ends the ejection.
        """
        self.failures = 0
        self._refused_at.pop(entry, None)
        self._isolated.discard(entry)
        self._ejected_for.pop(entry, None)
        self._answered_at[entry] = now
        if entry not in self._ejected_by:
            self.unreachable_until = min(self.unreachable_until, now)
        if now >= self.unreachable_until:
            self._backoff_until = min(self._backoff_until, now)

    def refuses(self, entry: str, now: float) -> bool:
        """Returns whether the server has refused an entry recently."""
        refused_at = self._refused_at.get(entry, -math.inf)
        return now - refused_at < REPORT_VALIDITY_S

    def record_unreachable(
        self,
        now: float,
        entry: str = "",
        is_sole_entry: bool = True,
        is_isolated: bool = False,
    ) -> None:
        """Records a refused connection; ejects the server if it is confirmed.

        Args:
            now: The owner's clock in seconds.
            entry: The entry whose connection was refused.
            is_sole_entry: Whether no other entry uses the server.
            is_isolated: Whether the entry reaches no other server either.
        """
        self._answered_at = {
            name: at
            for name, at in self._answered_at.items()
            if name != entry and now - at < ISOLATED_ANSWER_VALIDITY_S
        }
        self._refused_at = {
            name: at
            for name, at in self._refused_at.items()
            if now - at < REPORT_VALIDITY_S
        }
        self._refused_at[entry] = now
        self._isolated.discard(entry)
        if is_isolated:
            self._isolated.add(entry)
        if entry:
            self._ejected_for[entry] = now + ENTRY_EJECTION_S
        is_confirmed = is_sole_entry or (
            len(self._refused_at) >= MIN_REPORTERS
            and not self._answers_others(now)
        )
        if is_confirmed and self._eject(frozenset(self._refused_at), now):
            self._retry_at = now + UNREACHABLE_S

    def allow_trial(self, now: float) -> None:
        """Opens an ejected server for trials, as no other server is usable.

        This applies to backoffs after refused connections, and to what broken
        responses in a row have added to others.

        The backoff spares requests a refused connection while other servers are
        usable.  Without one, the connection costs no more than a refusal.  A
        trial that fails does not prolong the backoff.
        """
        self._trial_until = min(self._trial_until, now)
        if now >= self._retry_at:
            self.unreachable_until = min(self.unreachable_until, now)

    def _answers_others(self, now: float) -> bool:
        """Returns whether the server serves entries that it does not refuse."""
        validity_s = ANSWER_VALIDITY_S
        if self._isolated.issuperset(self._refused_at):
            validity_s = ISOLATED_ANSWER_VALIDITY_S
        return any(now - at < validity_s for at in self._answered_at.values())

    def _eject(
        self, reporters: frozenset[str], now: float, min_doublings: int = 0
    ) -> bool:
        """Ejects the server, with backoff; returns whether it was not before.

        Failures during an ejection, or of trials, do not count again.

        Args:
            reporters: The entries at which it failed.
            now: The owner's clock in seconds.
            min_doublings: Least number of doublings of the ejection time while
                other servers are usable.
        """
        if now < self.unreachable_until:
            return False
        self._retry_at = math.inf
        self._ejected_by = reporters
        if now < self._backoff_until:
            self.unreachable_until = self._backoff_until
            return True
        doublings = min(self.failures, MAX_DOUBLINGS)
        if doublings < min_doublings:
            self._retry_at = now + _get_pause_s(doublings)
            doublings = min_doublings
        self.failures += 1
        self.unreachable_until = self._backoff_until = now + _get_pause_s(
            doublings
        )
        return True

    def record_end(
        self,
        refused: bool,
        broken: bool,
        whole: bool,
        now: float,
        paused: bool = False,
        failed: bool = False,
        may_eject: bool = True,
        entry: str = "",
        is_sole_entry: bool = True,
    ) -> None:
        """Records how a response ended.

        Args:
            refused: The server refused the request.
            broken: The response broke off, or the server hung.
            whole: The response was complete.
            now: The owner's clock in seconds.
            paused: The server has asked the refused VM for a pause.  That VM
                sends nothing meanwhile and others may send, so the refusal
                does not count towards an ejection.
            failed: The server responded with an error of its own.
            may_eject: Whether the server may be ejected; not if most servers
                fail in this way, as no other one would do better.
            entry: The entry that the response went to.
            is_sole_entry: Whether no other entry uses the server.
        """
        symptom = find_symptom(refused, broken, failed)
        if symptom or whole:
            self._update_rates(symptom, now)
        if broken or (refused and not paused):
            self.breaks += 1
            # A refusal is the server's own report and applies to all entries.
            self._break_reporters.add("" if refused else entry)
            if self.breaks >= EJECT_AFTER_BREAKS and may_eject:
                self._eject_after_breaks(entry, is_sole_entry, now)
        elif whole:
            self.breaks = self._break_ejections = 0
            self._trial_until = 0.0
            self._break_reporters.clear()

    def _eject_after_breaks(
        self, entry: str, is_sole_entry: bool, now: float
    ) -> None:
        """Ejects the server for all, or for an entry that is the only reporter.

        The beginning of a response, which ends other backoffs, does not end
        that of broken responses: each of them may have had one.
        """
        reporters = frozenset(self._break_reporters)
        if is_sole_entry or "" in reporters or len(reporters) >= MIN_REPORTERS:
            doublings = min(self._break_ejections, MAX_BREAK_DOUBLINGS)
            if self._eject(reporters, now, doublings):
                self._break_ejections += 1
                pause_s = self.unreachable_until - now
                self._trial_until = self.unreachable_until + pause_s
            return
        self._ejected_for[entry] = now + ENTRY_EJECTION_S

    def get_failure_rate(self, now: float) -> float:
        """Returns the estimated fraction of requests that fail on it."""
        return sum(self._rates.values()) * self._get_decay(now)

    def shows(self, symptom: Symptom, now: float) -> bool:
        """Returns whether requests have recently failed on it in this way."""
        rate = self._rates.get(symptom, 0.0)
        return rate * self._get_decay(now) >= SYMPTOM_RATE

    def get_symptom(self, now: float) -> Symptom | None:
        """Returns how a request failed on it last; None if not recently."""
        last = self._last_symptom
        return last if last and self.shows(last, now) else None

    def _get_decay(self, now: float) -> float:
        return math.exp((self._rated_at - now) / FAILURE_FORGET_S)

    def _update_rates(self, symptom: Symptom | None, now: float) -> None:
        if symptom is None and not self._rates:
            return
        decay = self._get_decay(now)
        self._rates = {
            known: rate * decay * (1.0 - FAILURE_WEIGHT)
            for known, rate in self._rates.items()
        }
        self._rated_at = now
        if symptom is not None:
            self._last_symptom = symptom
            self._rates[symptom] = (
                self._rates.get(symptom, 0.0) + FAILURE_WEIGHT
            )


def _get_pause_s(doublings: int) -> float:
    """Returns the ejection time after some doublings, in seconds."""
    return min(math.ldexp(UNREACHABLE_S, doublings), MAX_UNREACHABLE_S)


def find_symptom(refused: bool, broken: bool, failed: bool) -> Symptom | None:
    """Returns how a request failed; None if it did not."""
    if broken:
        return Symptom.BROKEN
    if refused:
        return Symptom.REFUSED
    return Symptom.FAILED if failed else None
