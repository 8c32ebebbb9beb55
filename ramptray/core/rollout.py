"""Decides on a rollout: how much a new release gets, and whether it is good.

A plain object without sockets, a clock or chance.  Its owner asks before each
grant whether a backend server of either release may be chosen, tells it how
answers went, and asks at each tick what has become of the rollout.

Load pattern: a release that fails or is slow, at once, after a while, under
load or on one route only, beside servers that fail for reasons of their own.
"""

from __future__ import annotations

import enum
import math

import msgspec

CANARY_PART = 0.7
"""Part of the permitted share that a release gets until it is promoted; what is
left covers the promotion of a release that turns out bad under load."""

SLACK_PART = 0.6
"""Part of the permitted requests beyond the share that are used: a service with
little traffic learns nothing from a share of it."""

RAMP_AT = 0.55
"""When the release gets more, as a part of the rollout's time."""

RAMP_SHARE = 0.2
"""Share of the requests that it gets then."""

DRAIN_AT = 0.65
"""When the old release gets nothing more, as a part of the rollout's time: what
runs there has the rest of it to end."""

SOUND_EVIDENCE = 3.0
"""Logarithm of the evidence that a release fails no more often than the old
one, without which it is not promoted: some twenty answers without a failure."""

RAMP_ANSWERS = 20
"""Answers of the release with more of the requests, without which it does not
get all of them."""

RAMP_BY = 0.8
"""Part of the rollout's time after which it gets all of them without that many:
a service with little traffic."""

LAST_ANSWERS = 25
"""Answers of the release with all of the requests, without which the old one is
not let go."""

LAST_BY = 0.92
"""Part of the rollout's time after which it is let go without that many."""

LEAST_STAGE = 0.1
"""Shortest part of the rollout's time for which it gets more, or all of them,
where fewer answers than wanted come."""

LEAST_PLACES_PART = 0.5
"""The new release must have this part of the old one's places, at least, before
it takes all of the traffic."""

USUAL_FAILURES = 0.02
"""Part of the answers that may fail of any release, at least."""

MANY_FAILURES = 0.15
"""A bad release fails by so much more of its answers than the old one."""

FAILURE_EVIDENCE = 8.0
"""Logarithm of the evidence at which a release counts as failing: one that is
as good as the old one reaches it once in some thousand answers."""

SLOWER = math.log(2.2)
"""Logarithm of how many times slower than the old release is taken to be bad;
bad ones are several times slower."""

MOST_SLOWER = math.log(6.0)
"""What one answer counts at most: a single one may have been held up."""

SLOW_EVIDENCE = 5.0
"""Sum of the logarithms beyond that at which a release counts as slow."""

LEARNING_RATE = 0.05
"""Weight of the newest answer of the old release in what is usual."""

LEAST_USUAL = 5
"""Answers of the old release on a route without which nothing is slow there."""

ALL_ROUTES = ""

LEAST_PACE = 1e-6
"""Shortest time that is compared, in seconds."""


class State(enum.Enum):
    """What has become of a rollout; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether it never changes any more."""
        return self is not State.RUNNING


class Order(msgspec.Struct, frozen=True):
    """What operators have asked for.

    Attributes:
        service: The service.
        release: The release that is to take its traffic.
        length_s: Time within which it is to be decided, in seconds.
        began_at: When this VM learned of the order, on its steady clock.
        share: Part of the service's requests that a bad release may get.
        slack: Requests that it may get beyond that.
    """

    service: str
    release: str
    length_s: float
    began_at: float
    share: float = 0.1
    slack: float = 50.0

    def is_same(self, other: Order | None) -> bool:
        """Returns whether two orders ask for the same."""
        return other is not None and (self.service, self.release) == (
            other.service,
            other.release,
        )


class Verdict(msgspec.Struct, frozen=True):
    """What was decided on a release.

    Attributes:
        service: The service.
        release: The release.
        state: What has become of its rollout.
        reason: Why, in a few words.
        is_kept: Whether the log keeps it, so that it never changes any more.
    """

    service: str
    release: str
    state: State
    reason: str = ""
    is_kept: bool = False

    def replaces(self, other: Verdict | None) -> bool:
        """Returns whether this one replaces another on the same service."""
        if other is None or other.release != self.release:
            return True
        if other.is_kept and other.state.is_final:
            return False
        mine = (self.state.is_final, self.is_kept)
        return mine > (other.state.is_final, other.is_kept)


class Response(msgspec.Struct, frozen=True):
    """How one answer went.

    Attributes:
        is_new: Whether the release that is rolled out gave it.
        route: Its route.
        failed: Whether it was a failure.
        first: Time to its first token, relative to its prompt; None where that
            says nothing.
        pace: Time of a later token, in seconds; None where there was none.
    """

    is_new: bool
    route: str
    failed: bool
    first: float | None = None
    pace: float | None = None


class _Failures:
    """Compares how often answers of two releases fail, on one route."""

    def __init__(self) -> None:
        self._usual = USUAL_FAILURES
        self.evidence = 0.0
        self.sound = 0.0

    def take(self, answer: Response) -> None:
        if not answer.is_new:
            self._usual += LEARNING_RATE * (answer.failed - self._usual)
            return
        usual = max(USUAL_FAILURES, self._usual)
        bad = min(0.95, usual + MANY_FAILURES)
        step = math.log(bad / usual)
        if not answer.failed:
            step = math.log((1 - bad) / (1 - usual))
        # A release may turn bad late: what went well before does not count.
        self.evidence = max(0.0, self.evidence + step)
        self.sound -= step

    @property
    def is_bad(self) -> bool:
        return self.evidence >= FAILURE_EVIDENCE


class _Slowness:
    """Compares how long answers of two releases take, on one route."""

    def __init__(self) -> None:
        self._usual = 0.0
        self._count = 0
        self.evidence = 0.0

    def take(self, is_new: bool, taken: float) -> None:
        found = math.log(max(taken, LEAST_PACE))
        if not is_new:
            self._count += 1
            weight = max(LEARNING_RATE, 1 / self._count)
            self._usual += weight * (found - self._usual)
        elif self._count >= LEAST_USUAL:
            slower = min(found - self._usual, MOST_SLOWER) - SLOWER
            self.evidence = max(0.0, self.evidence + slower)

    @property
    def is_bad(self) -> bool:
        return self.evidence >= SLOW_EVIDENCE


class _Route:
    """What is known of both releases on one route."""

    def __init__(self) -> None:
        self._failures = _Failures()
        self._first = _Slowness()
        self._pace = _Slowness()

    def take(self, answer: Response) -> None:
        self._failures.take(answer)
        if answer.first is not None and not answer.failed:
            self._first.take(answer.is_new, answer.first)
        if answer.pace is not None and not answer.failed:
            self._pace.take(answer.is_new, answer.pace)

    @property
    def is_sound(self) -> bool:
        """Whether the new release fails no more often than the old one."""
        return self._failures.sound >= SOUND_EVIDENCE

    def find_fault(self) -> str:
        """Returns what is bad of the new release; empty for nothing."""
        if self._failures.is_bad:
            return "fails more often"
        if self._first.is_bad:
            return "begins its answers later"
        if self._pace.is_bad:
            return "answers more slowly"
        return ""


class Capacity(msgspec.Struct, frozen=True):
    """What a service has of both releases.

    Attributes:
        new: Places of the release that is rolled out.
        old: Places of all others.
        old_running: Requests that run on the others.
    """

    new: int
    old: int
    old_running: int


class Rollout:
    """One rollout, as the owner of its service decides on it.

    Args:
        order: What was asked for.

    Attributes:
        order: What was asked for.
        state: What has become of it.
        reason: Why, in a few words.
        sent_new: Requests that were granted to the release.
        sent: Requests that were granted at all.
        answers_new: Answers of the release.
        failures_new: Failures among them.
    """

    def __init__(self, order: Order) -> None:
        self.order = order
        self.state = State.RUNNING
        self.reason = ""
        self.sent_new = 0
        self.sent = 0
        self.answers_new = 0
        self.failures_new = 0
        self._routes: dict[str, _Route] = {}
        self._share = order.share * CANARY_PART
        self._slack = 1.0
        # What had been granted when the share was set.
        self._sent_before = 0
        self._new_before = 0
        # Its answers when it got more, and when it got all; None before.
        self._ramp_answers: int | None = None
        self._drain_answers: int | None = None
        self._stage_at = 0.0
        # The releases that it is to replace.
        self._old: set[str] = set()

    def may_receive(self, release: str, part: float) -> bool:
        """Returns whether a request may be granted to a release.

        Args:
            release: The release.
            part: The part of what is shared by all owners that is this one's.
        """
        is_new = release == self.order.release
        if self.state is State.COMPLETED:
            # Releases that come later are none of this rollout's.
            return release not in self._old
        if not is_new:
            self._old.add(release)
            return self._drain_answers is None
        if self._drain_answers is not None:
            return True
        if self.state is State.ROLLED_BACK:
            return False
        sent = self.sent - self._sent_before
        sent_new = self.sent_new - self._new_before
        return sent_new + 1 <= self._share * (sent + 1) + self._slack * part

    def count_request(self, is_new: bool) -> None:
        """Counts a request that was granted."""
        self.sent += 1
        self.sent_new += is_new

    def record_response(self, answer: Response) -> None:
        """Takes how an answer went; a bad release is given up at once."""
        self.answers_new += answer.is_new
        self.failures_new += answer.is_new and answer.failed
        # What is bad on one route only is found there, what is bad on all of
        # them sooner by all answers together.
        for name in dict.fromkeys((answer.route, ALL_ROUTES)):
            route = self._routes.setdefault(name, _Route())
            route.take(answer)
            fault = route.find_fault()
            if fault and self.state is State.RUNNING:
                where = name or "all routes"
                self._end(State.ROLLED_BACK, f"{fault} on {where}")

    def apply_verdict(self, verdict: Verdict) -> None:
        """Takes what another owner has decided, or what the log keeps."""
        if verdict.release != self.order.release or not verdict.state.is_final:
            return
        if verdict.is_kept or not self.state.is_final:
            self._end(verdict.state, verdict.reason)

    def make_verdict(self) -> Verdict:
        """Returns what is decided here."""
        return Verdict(
            self.order.service, self.order.release, self.state, self.reason
        )

    def advance(self, places: Capacity, now: float) -> State:
        """Goes on as far as time and evidence allow; returns the state.

        Args:
            places: What there is of both releases.
            now: The owner's steady clock.
        """
        if self.state.is_final:
            return self.state
        age = (now - self.order.began_at) / self.order.length_s
        if self._ramp_answers is None:
            # Spread over the time, as a release may turn bad late.
            spread = min(1.0, age / RAMP_AT)
            self._slack = max(1.0, self.order.slack * SLACK_PART * spread)
        known = self._routes.get(ALL_ROUTES)
        ready = (
            known is not None
            and known.is_sound
            and places.new >= LEAST_PLACES_PART * places.old
        )
        if ready or self._drain_answers is not None:
            self._promote(age, places)
        return self.state

    def _promote(self, age: float, places: Capacity) -> None:
        """Gives a sound release more, then all, then ends the old one."""
        if self._ramp_answers is None:
            if age >= RAMP_AT:
                self._ramp_up()
                self._stage_at = age
        elif self._drain_answers is None:
            since = self.answers_new - self._ramp_answers
            enough = age >= DRAIN_AT and since >= RAMP_ANSWERS
            if enough or age >= max(RAMP_BY, self._stage_at + LEAST_STAGE):
                self._drain_answers = self.answers_new
                self._stage_at = age
        elif not places.old_running:
            since = self.answers_new - self._drain_answers
            enough = since >= LAST_ANSWERS
            if enough or age >= max(LAST_BY, self._stage_at + LEAST_STAGE):
                self._end(State.COMPLETED, "its answers were as good")

    def _ramp_up(self) -> None:
        """Gives the release more of what is granted from now on."""
        self._ramp_answers = self.answers_new
        self._share = RAMP_SHARE
        self._slack = 1.0
        self._sent_before = self.sent
        self._new_before = self.sent_new

    def _end(self, state: State, reason: str) -> None:
        self.state = state
        self.reason = reason
        self._drain_answers = None
