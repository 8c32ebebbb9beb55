"""Anti-affinity of requests that may crash the backend server they run on."""

from __future__ import annotations

from collections.abc import Callable

from ramptray.core import backend as backends
from ramptray.core import message

IsSuspect = Callable[[str], bool]


def suspect_nothing(content: str) -> bool:
    """Suspects no content; the default if no detector is given."""
    return False


def separate_suspects(
    candidates: list[backends.Backend],
    request: message.RequestInfo,
    is_suspect: IsSuspect,
) -> list[backends.Backend]:
    """Returns the candidates on which no other suspect content is running.

    When a backend server crashes, all of its requests are retried at once.  If
    they were sent to the same server again, harmless and suspect requests would
    be part of the next crash together and could not be distinguished.

    Args:
        candidates: The backend servers that the request may be sent to.
        request: The request.
        is_suspect: Returns whether a content is suspected of causing crashes.

    Returns:
        The candidates without other suspects, or all if there are none.
    """
    if not is_suspect(request.content):
        return candidates
    apart = [
        candidate
        for candidate in candidates
        if not any(
            placed.request.content != request.content
            and is_suspect(placed.request.content)
            for placed in candidate.placed.values()
        )
    ]
    return apart or candidates
