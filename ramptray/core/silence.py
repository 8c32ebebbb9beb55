"""How long a stream that may not be resumed may be silent.

Load pattern: a server hangs with its connections open, and each of its streams
would otherwise hold a slot until its caller's deadline.  Callers abandon a
stream after a pause of about eight times the route's longest one.
"""

from __future__ import annotations

from ramptray.core import backend, message

MIN_GAPS = 6.0
"""Shortest limit, as a multiple of the route's longest pause."""

MAX_GAPS = 8.0
"""Longest limit, as a multiple of the route's longest pause: about the pause
after which callers abandon a stream."""

PAUSE_FACTOR = 3.0
"""Multiple of the usual or the longest observed pause between two events that
is still no sign of a hung server."""

MIN_LIMIT_S = 1.5
"""Shortest limit on a route with a very short longest pause, in seconds: a
server or a VM that is short of CPU time may pause for a second."""


def compute_limit(
    max_gap_s: float | None,
    speed: message.Speed | None,
    event_tokens: int,
    longest_pause_s: float,
) -> float | None:
    """Returns the silence after which a stream is given up, in seconds.

    Args:
        max_gap_s: The route's longest pause in seconds; None for no limit.
        speed: The server's speed; None if it is unknown.
        event_tokens: Tokens per event of the stream.
        longest_pause_s: Longest pause of this stream so far, in seconds.

    Returns:
        The limit; None for no limit.
    """
    if max_gap_s is None:
        return None
    pause_s = longest_pause_s
    if speed is not None:
        # Other prompts are processed between any two steps.
        prefill_s = backend.CHUNK_TOKENS / speed.prefill_rate
        pause_s = max(pause_s, event_tokens * (speed.step_s + prefill_s))
    limit_s = max(MIN_GAPS * max_gap_s, PAUSE_FACTOR * pause_s)
    return max(MIN_LIMIT_S, min(limit_s, MAX_GAPS * max_gap_s))
