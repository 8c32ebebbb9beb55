"""Keeps requests apart that may end the backend server they run on."""

from __future__ import annotations

from collections.abc import Callable

from ramptray.core import backend as backends
from ramptray.core import message

IsSuspect = Callable[[str], bool]


def suspect_nothing(content: str) -> bool:
    """Stands in where nothing is known of contents."""
    return False


def separate_suspects(
    candidates: list[backends.Backend],
    request: message.RequestInfo,
    is_suspect: IsSuspect,
) -> list[backends.Backend]:
    """Returns the candidates on which no other suspect runs, if there are any.

    Load pattern: a backend server has ended, and all that ran there is sent on
    at once.  Sent on together, suspect and cleared requests meet the next
    crash together too, and cannot be told apart.

    Args:
        candidates: The backend servers that the request may go to.
        request: The request.
        is_suspect: Returns whether anything speaks against a content.
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
