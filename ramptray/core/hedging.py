"""When a VM may leave a backend server that is at work, or end an answer.

Silence is no failure: a server that reads a long prompt, preempts a request or
runs on a busy machine sends nothing for a while and then goes on.  A silent
attempt is therefore *hedged* rather than ended: another attempt is sent to
another server while the first one stays open, and the first of them to send
more continues the answer.  An attempt ends before its response does only for a
``LeaveReason``, and an answer only with its last attempt.

A server that was lost is recognized without the answer's own bytes: by the
keepalive of its connections, or by attempts to connect that nothing answers.
What a record says of a server is not enough, as its former run may still be at
work; it may also refuse connections while it finishes its responses.
"""

from __future__ import annotations

import enum

from ramptray.core import message

HEAD_OBJECTIVE_FACTOR = 2.0
"""An attempt without a response is hedged after this multiple of the route's
objective: its server had a free slot when the request was sent."""

GAP_FACTOR = 4.0
"""A stream is hedged when it pauses for this multiple of the route's longest
pause.  Engines pause that long only while they process very long prompts."""

MIN_GAP_S = 0.8
"""Shortest pause after which a stream is hedged, in seconds: less than half of
the two seconds after which callers give up."""

RETRY_S = 0.25
"""How often a silent attempt that could not be hedged looks again whether it
can be, in seconds; the retry budget refills continuously.  An owner that has
refused to go on with an answer is asked again as often."""


PASSING_REFUSALS = frozenset(
    {
        message.Reason.OVERLOADED,
        message.Reason.CUSTOMER_LIMIT,
        message.Reason.NOT_READY,
    }
)
"""Refusals of an owner that do not end an answer that has begun: its caller has
time left, and a place may become free."""

LACK_REFUSALS = frozenset(
    {message.Reason.NO_BACKEND, message.Reason.NO_RELEASE}
)
"""Refusals of an owner that knows of no server for an answer."""

LACK_GRACE_S = 0.5
"""How long an answer that has begun goes on to ask after the first of these
refusals, in seconds.  Records of servers reach VMs at different times, and one
VM may lose its ways to all of them for a moment."""


class LeaveReason(enum.Enum):
    """Why an attempt ends before its response does.

    Attributes:
        CONNECTION_LOST: The connection broke, its keepalive was not answered,
            or what arrived was no response to the request.
        RUN_LOST: Another run of its server was announced, and nothing answers
            at the address of the former one, not even with a refusal.
        OVERTAKEN: Another attempt has sent the next part of the answer.
        DEADLINE: The time limit of the caller or the route has passed.
        CALLER_GONE: The caller has closed its connection.
        STOP: This VM stops, and the time for that is over.
    """

    CONNECTION_LOST = "connection_lost"
    RUN_LOST = "run_lost"
    OVERTAKEN = "overtaken"
    DEADLINE = "deadline"
    CALLER_GONE = "caller_gone"
    STOP = "stop"


class Denial(enum.Enum):
    """Why a silent attempt is not hedged.

    Attributes:
        NOT_REPEATABLE: The request may run only once, or the release that
            began its stream is unknown.
        ENDED: The attempt is not running any more.
        DEADLINE: No time is left.
        ATTEMPTS: The route allows no further attempt.
        BLOCKED: Requests with its content end backend servers.
        BUDGET: The retry budget is used up.
    """

    NOT_REPEATABLE = "not_repeatable"
    ENDED = "ended"
    DEADLINE = "deadline"
    ATTEMPTS = "attempts"
    BLOCKED = "blocked"
    BUDGET = "budget"


def may_pass(
    reason: message.Reason, lacking_since: float | None, now: float
) -> bool:
    """Returns whether a refusal to go on with an answer may soon be no more.

    Args:
        reason: Why its owner refused.
        lacking_since: When it first refused for want of a server since the last
            attempt; None if it has not.
        now: The time of the refusal.
    """
    if reason in LACK_REFUSALS:
        return lacking_since is None or now < lacking_since + LACK_GRACE_S
    return reason in PASSING_REFUSALS


def get_response_delay_s(objective_s: float) -> float:
    """Returns the silence after which a response counts as late, in seconds.

    Args:
        objective_s: The route's objective, in seconds.
    """
    return objective_s * HEAD_OBJECTIVE_FACTOR


def get_stream_delay_s(max_gap_s: float | None) -> float | None:
    """Returns the silence after which a stream is hedged, in seconds.

    Args:
        max_gap_s: The longest pause between two events that the route wants,
            in seconds; None if it names none.

    Returns:
        The delay; None for never.
    """
    return None if max_gap_s is None else max(MIN_GAP_S, max_gap_s * GAP_FACTOR)
