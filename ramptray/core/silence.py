"""How long a stream that may not be resumed may be silent.

Load pattern: a server hangs with its connections open, and each of its streams
would otherwise hold a slot until its caller's deadline.
"""

from __future__ import annotations

PAUSE_FACTOR = 3.0
"""Multiple of a stream's longest pause so far that is still no sign of a hung
server."""


def compute_limit(
    patience_s: float | None, longest_pause_s: float
) -> float | None:
    """Returns the silence after which a stream counts as lost, in seconds.

    It is at least the time that callers wait for an event, so that no stream is
    cut off while its caller may still be waiting for the next event.

    Args:
        patience_s: Time that callers of the route wait, in seconds; None if it
            is unknown.
        longest_pause_s: Longest pause of this stream so far, in seconds.

    Returns:
        The limit; None for no limit.
    """
    if patience_s is None:
        return None
    return max(patience_s, PAUSE_FACTOR * longest_pause_s)
