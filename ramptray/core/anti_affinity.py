"""Keeps requests that may crash their backend server apart from each other."""

from __future__ import annotations

from ramptray.core import backend as backends
from ramptray.core import fleet, message, poison, suspicion

MAX_TRIAL_S = 5.0
"""Time for which a suspect that does not respond holds others back, in seconds:
a long prompt on a busy server takes less, and one that hangs is no crash."""

TRIAL_GAP_S = 0.2
"""Shortest time between the starts of two trials, in seconds.  Crashes at the
same moment count as one with an external cause."""


def separate_suspects(
    candidates: list[backends.Backend],
    request: message.RequestInfo,
    suspicions: suspicion.Suspicions,
) -> list[backends.Backend]:
    """Returns the candidates on which no other suspect content is running.

    When a backend server crashes, all of its requests are retried at once.  If
    they were sent to the same server again, harmless and suspect requests would
    be part of the next crash together and could not be distinguished.

    Args:
        candidates: The backend servers that the request may be sent to.
        request: The request.
        suspicions: What is suspected of crashing servers.

    Returns:
        The candidates without other suspects, or all if there are none.
    """
    if not suspicions.find_suspects(request.causes):
        return candidates
    apart = [
        candidate
        for candidate in candidates
        if not any(
            placed.request.content != request.content
            and suspicions.find_suspects(placed.request.causes)
            for placed in candidate.placed.values()
        )
    ]
    return apart or candidates


class TrialGate:
    """Lets the requests with a suspected cause run one at a time.

    Load pattern: different requests with the same part of the prompt crash
    servers, several times a second.  Run side by side, they would crash all
    servers before the first crashes are known.  The next one waits until the
    one before has ended or has been responding for a while, which clears the
    cause.

    Args:
        servers: The shard's backend servers.
        suspicions: What is suspected of crashing servers.
    """

    def __init__(
        self, servers: fleet.Fleet, suspicions: suspicion.Suspicions
    ) -> None:
        self._fleet = servers
        self._suspicions = suspicions
        self._next_trial_at = 0.0

    def is_held(self, request: message.RequestInfo, now: float) -> bool:
        """Returns whether a request has to wait for another one's trial.

        Args:
            request: The request.
            now: The owner's clock in seconds.
        """
        suspects = self._suspicions.find_on_trial(request.causes)
        if not suspects:
            return False
        if now < self._next_trial_at and request.content not in suspects:
            return True
        return any(
            _is_on_trial(placed, now)
            and not suspects.isdisjoint(placed.request.causes)
            for placed in self._fleet.iterate_placed()
        )

    def record_grant(self, request: message.RequestInfo, now: float) -> None:
        """Records that a request was sent, which may be a trial.

        A request that ran on a crashed server itself starts none: it shares its
        own part with no other one, as a rule.

        Args:
            request: The request.
            now: The owner's clock in seconds.
        """
        suspects = self._suspicions.find_on_trial(request.causes)
        if suspects and request.content not in suspects:
            self._next_trial_at = now + TRIAL_GAP_S


def _is_on_trial(placed: backends.PlacedRequest, now: float) -> bool:
    """Returns whether a request may still crash its server."""
    if placed.orphaned_at is not None or now - placed.started > MAX_TRIAL_S:
        return False
    answers_since = placed.answers_since
    return (
        answers_since is None or now - answers_since < poison.INNOCENT_AFTER_S
    )
