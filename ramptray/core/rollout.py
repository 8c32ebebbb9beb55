"""Decides whether a rollout of a new release completes or is rolled back.

A plain object without sockets, clock or randomness.  The owner of the service
asks it before each grant whether a release may receive the request, records
how responses went, and advances the rollout at each tick.

Load pattern: the new release may fail or be slow from the start, after a while,
under load or on a single route, next to servers that fail for other reasons.
"""

from __future__ import annotations

import enum
import math

import msgspec

CANARY_SHARE_FRACTION = 0.7
"""Fraction of the permitted share that a release receives before promotion.
The remainder covers a release that turns out to be bad under load while it is
promoted."""

SLACK_FRACTION = 0.6
"""Fraction of the slack (the requests permitted beyond the share) that is used.
With little traffic, the share alone gives too few responses to judge by."""

RAMP_AT = 0.55
"""When the release's share is increased, as a fraction of the rollout's
duration."""

RAMP_SHARE = 0.2
"""Share of the requests that the release receives from then on."""

DRAIN_AT = 0.65
"""When the old release stops receiving requests, as a fraction of the rollout's
duration.  Its running requests have the remaining time to finish."""

HEALTHY_EVIDENCE = 3.0
"""Log-likelihood ratio required for promotion, in favor of the release failing
no more often than the old one.  Some 20 successful responses reach it."""

MIN_RAMP_RESPONSES = 20
"""Responses of the release at the increased share that are required before it
receives all requests."""

RAMP_DEADLINE = 0.8
"""Fraction of the rollout's duration after which the release receives all
requests even with fewer responses, for services with little traffic."""

MIN_FINAL_RESPONSES = 25
"""Responses of the release to all of the requests that are required before the
rollout completes."""

COMPLETION_DEADLINE = 0.92
"""Fraction of the rollout's duration after which the rollout completes even
with fewer responses."""

MIN_STAGE = 0.1
"""Shortest stage of an increased share, or of all requests, if there are too
few responses, as a fraction of the rollout's duration."""

MIN_CAPACITY_FRACTION = 0.5
"""The new release needs at least this fraction of the old one's slots before it
receives all of the traffic."""

MIN_BASELINE_FAILURE_RATE = 0.02
"""Lower bound of the failure rate that is expected of any release."""

BAD_FAILURE_RATE_INCREASE = 0.15
"""Increase of the failure rate over the old release's that a bad release is
assumed to have."""

FAILURE_EVIDENCE = 8.0
"""Log-likelihood ratio at which a release counts as failing.  A release that is
as good as the old one reaches it about once in some thousand responses."""

TOLERATED_LOG_SLOWDOWN = math.log(2.2)
"""Logarithm of the slowdown over the old release that is tolerated.  Bad
releases are several times slower."""

MAX_LOG_SLOWDOWN = math.log(6.0)
"""Upper bound of one response's logarithmic slowdown, since a single response
may have been delayed by chance."""

SLOWDOWN_EVIDENCE = 5.0
"""Sum of logarithmic slowdowns beyond the tolerated one at which a release
counts as slow."""

BASELINE_LEARNING_RATE = 0.05
"""Weight of the newest response of the old release in the baseline."""

MIN_BASELINE_RESPONSES = 5
"""Responses of the old release on a route that are required before the new one
can count as slow there."""

ALL_ROUTES = ""

MIN_TIME_S = 1e-6
"""Shortest time that is compared, in seconds."""


class State(enum.Enum):
    """State of a rollout; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self is not State.RUNNING


class Order(msgspec.Struct, frozen=True):
    """A rollout as ordered by operators.

    Attributes:
        service: The service.
        release: The release to move the traffic to.
        length_s: Time within which the rollout is decided, in seconds.
        began_at: When this VM received the order, on its monotonic clock.
        share: Fraction of the service's requests that a bad release may get.
        slack: Requests that it may receive beyond that.
    """

    service: str
    release: str
    length_s: float
    began_at: float
    share: float = 0.1
    slack: float = 50.0

    def is_same(self, other: Order | None) -> bool:
        """Returns whether two orders are for the same service and release."""
        return other is not None and (self.service, self.release) == (
            other.service,
            other.release,
        )


class Verdict(msgspec.Struct, frozen=True):
    """The decision on a release.

    Attributes:
        service: The service.
        release: The release.
        state: The state of its rollout.
        reason: Why, in a few words.
        is_kept: Whether it is stored in the log and thus immutable if final.
    """

    service: str
    release: str
    state: State
    reason: str = ""
    is_kept: bool = False

    def replaces(self, other: Verdict | None) -> bool:
        """Returns whether this verdict replaces one on the same service."""
        if other is None or other.release != self.release:
            return True
        if other.is_kept and other.state.is_final:
            return False
        mine = (self.state.is_final, self.is_kept)
        return mine > (other.state.is_final, other.is_kept)


class Response(msgspec.Struct, frozen=True):
    """The outcome of one response.

    Attributes:
        is_new: Whether it came from the release being rolled out.
        route: Its route.
        failed: Whether it failed.
        first: Time to the first token relative to the size of the prompt; None
            if it is not meaningful.
        pace: Time per later token, in seconds; None if there was none.
    """

    is_new: bool
    route: str
    failed: bool
    first: float | None = None
    pace: float | None = None


class _FailureComparison:
    """Compares the failure rates of two releases on one route."""

    def __init__(self) -> None:
        self._baseline = MIN_BASELINE_FAILURE_RATE
        self.evidence = 0.0
        self.healthy_evidence = 0.0

    def record(self, response: Response) -> None:
        if not response.is_new:
            self._baseline += BASELINE_LEARNING_RATE * (
                response.failed - self._baseline
            )
            return
        baseline = max(MIN_BASELINE_FAILURE_RATE, self._baseline)
        bad = min(0.95, baseline + BAD_FAILURE_RATE_INCREASE)
        step = math.log(bad / baseline)
        if not response.failed:
            step = math.log((1 - bad) / (1 - baseline))
        # The sum is clamped at 0, as a release may turn bad late: earlier
        # successes must not offset its failures.
        self.evidence = max(0.0, self.evidence + step)
        self.healthy_evidence -= step

    @property
    def is_bad(self) -> bool:
        return self.evidence >= FAILURE_EVIDENCE


class _LatencyComparison:
    """Compares the latencies of two releases on one route."""

    def __init__(self) -> None:
        self._baseline = 0.0
        self._count = 0
        self.evidence = 0.0

    def record(self, is_new: bool, time_s: float) -> None:
        log_time = math.log(max(time_s, MIN_TIME_S))
        if not is_new:
            self._count += 1
            weight = max(BASELINE_LEARNING_RATE, 1 / self._count)
            self._baseline += weight * (log_time - self._baseline)
        elif self._count >= MIN_BASELINE_RESPONSES:
            excess = (
                min(log_time - self._baseline, MAX_LOG_SLOWDOWN)
                - TOLERATED_LOG_SLOWDOWN
            )
            self.evidence = max(0.0, self.evidence + excess)

    @property
    def is_bad(self) -> bool:
        return self.evidence >= SLOWDOWN_EVIDENCE


class _RouteComparison:
    """Compares the responses of two releases on one route."""

    def __init__(self) -> None:
        self._failures = _FailureComparison()
        self._first = _LatencyComparison()
        self._pace = _LatencyComparison()

    def record(self, response: Response) -> None:
        self._failures.record(response)
        if response.first is not None and not response.failed:
            self._first.record(response.is_new, response.first)
        if response.pace is not None and not response.failed:
            self._pace.record(response.is_new, response.pace)

    @property
    def is_healthy(self) -> bool:
        """Whether the new release fails no more often than the old one."""
        return self._failures.healthy_evidence >= HEALTHY_EVIDENCE

    def describe_problem(self) -> str:
        """Returns what is wrong with the new release; empty for nothing."""
        if self._failures.is_bad:
            return "fails more often"
        if self._first.is_bad:
            return "begins its answers later"
        if self._pace.is_bad:
            return "answers more slowly"
        return ""


class Capacity(msgspec.Struct, frozen=True):
    """Slots and running requests of both releases.

    Attributes:
        new: Slots of the release being rolled out.
        old: Slots of all other releases.
        old_running: Requests running on the other releases.
    """

    new: int
    old: int
    old_running: int


class Rollout:
    """A rollout as decided by the owner of its service.

    Args:
        order: The order.

    Attributes:
        order: The order.
        state: The state.
        reason: Why, in a few words.
        sent_new: Requests that were granted to the new release.
        sent: Requests that were granted in total.
        answers_new: Responses of the new release.
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
        self._is_verdict_known = False
        self._routes: dict[str, _RouteComparison] = {}
        self._share = order.share * CANARY_SHARE_FRACTION
        self._slack = 1.0
        # Requests that had been granted when the share was last increased.
        self._sent_at_ramp = 0
        self._sent_new_at_ramp = 0
        # Responses of the new release when its share was increased, and when
        # the old release began to drain; None before.
        self._responses_at_ramp: int | None = None
        self._responses_at_drain: int | None = None
        self._stage_started_at = 0.0
        # The releases that the new one replaces.
        self._old_releases: set[str] = set()

    def may_receive(self, release: str, part: float) -> bool:
        """Returns whether a release may receive a request.

        Args:
            release: The release.
            part: This owner's fraction of what all owners share.
        """
        is_new = release == self.order.release
        if self.state is State.COMPLETED:
            # This rollout does not affect releases that appear later.
            return release not in self._old_releases
        if not is_new:
            self._old_releases.add(release)
            return self._responses_at_drain is None
        if self._responses_at_drain is not None:
            return True
        if self.state is State.ROLLED_BACK:
            return False
        sent = self.sent - self._sent_at_ramp
        sent_new = self.sent_new - self._sent_new_at_ramp
        return sent_new + 1 <= self._share * (sent + 1) + self._slack * part

    def awaits_verdict(self, release: str) -> bool:
        """Returns whether a release may have been rolled back earlier.

        A VM that has just started does not know what others have decided.
        """
        return (
            release == self.order.release
            and not self._is_verdict_known
            and not self.state.is_final
        )

    def is_rolled_back(self, release: str) -> bool:
        """Returns whether a release is the new one and was rolled back."""
        return release == self.order.release and self.state is State.ROLLED_BACK

    def count_request(self, is_new: bool) -> None:
        """Counts a granted request."""
        self.sent += 1
        self.sent_new += is_new

    def record_response(self, response: Response) -> None:
        """Records a response; rolls a bad release back at once."""
        self.answers_new += response.is_new
        self.failures_new += response.is_new and response.failed
        # A problem on a single route shows up in that route's comparison; a
        # problem on all routes shows up sooner in the combined one.
        for name in dict.fromkeys((response.route, ALL_ROUTES)):
            route = self._routes.setdefault(name, _RouteComparison())
            route.record(response)
            problem = route.describe_problem()
            if problem and self.state is State.RUNNING:
                where = name or "all routes"
                self._finish(State.ROLLED_BACK, f"{problem} on {where}")

    def apply_verdict(self, verdict: Verdict) -> None:
        """Applies a verdict of another owner or of the log."""
        if verdict.release != self.order.release:
            return
        if verdict.is_kept or verdict.state.is_final:
            self._is_verdict_known = True
        if not verdict.state.is_final:
            return
        if verdict.is_kept or not self.state.is_final:
            self._finish(verdict.state, verdict.reason)

    def make_verdict(self) -> Verdict:
        """Returns this owner's verdict."""
        return Verdict(
            self.order.service, self.order.release, self.state, self.reason
        )

    def advance(self, capacity: Capacity, now: float) -> State:
        """Advances as far as time and evidence allow; returns the state.

        Args:
            capacity: Slots and running requests of both releases.
            now: The owner's monotonic clock.
        """
        if self.state.is_final:
            return self.state
        progress = (now - self.order.began_at) / self.order.length_s
        if self._responses_at_ramp is None:
            # The slack is spread over time, as a release may turn bad late.
            spread = min(1.0, progress / RAMP_AT)
            self._slack = max(1.0, self.order.slack * SLACK_FRACTION * spread)
        combined = self._routes.get(ALL_ROUTES)
        ready = (
            combined is not None
            and combined.is_healthy
            and capacity.new >= MIN_CAPACITY_FRACTION * capacity.old
        )
        if ready or self._responses_at_drain is not None:
            self._promote(progress, capacity)
        return self.state

    def _promote(self, progress: float, capacity: Capacity) -> None:
        """Increases the share, then drains the old release, then completes."""
        if self._responses_at_ramp is None:
            if progress >= RAMP_AT:
                self._increase_share()
                self._stage_started_at = progress
        elif self._responses_at_drain is None:
            since = self.answers_new - self._responses_at_ramp
            enough = progress >= DRAIN_AT and since >= MIN_RAMP_RESPONSES
            if enough or progress >= max(
                RAMP_DEADLINE, self._stage_started_at + MIN_STAGE
            ):
                self._responses_at_drain = self.answers_new
                self._stage_started_at = progress
        elif not capacity.old_running:
            since = self.answers_new - self._responses_at_drain
            enough = since >= MIN_FINAL_RESPONSES
            if enough or progress >= max(
                COMPLETION_DEADLINE, self._stage_started_at + MIN_STAGE
            ):
                self._finish(State.COMPLETED, "its answers were as good")

    def _increase_share(self) -> None:
        """Increases the share for the requests granted from now on."""
        self._responses_at_ramp = self.answers_new
        self._share = RAMP_SHARE
        self._slack = 1.0
        self._sent_at_ramp = self.sent
        self._sent_new_at_ramp = self.sent_new

    def _finish(self, state: State, reason: str) -> None:
        self.state = state
        self.reason = reason
        self._responses_at_drain = None
