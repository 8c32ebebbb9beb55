"""What a relayed caller is told when it gets no answer."""

from __future__ import annotations

import msgspec

from ramptray.core import message as core_message
from ramptray.core import request

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
TOO_MANY = 429


class Refusal(msgspec.Struct, frozen=True):
    """An answer that ramptray gives itself.

    Attributes:
        status: HTTP status; 429 and 503 say that the request has not run and
            never will.
        text: Why, in a word or a sentence.
        retry_after_s: When to come back; 0 where nothing is advised.
    """

    status: int
    text: str
    retry_after_s: float = 0.0


def make_refusal(finish: request.Finish) -> Refusal:
    """Returns the answer for a request that ended without one."""
    reason = finish.reason or core_message.Reason.BACKEND_LOST
    if finish.outcome is core_message.Outcome.NOT_RUN:
        status = UNAVAILABLE
        if reason is core_message.Reason.CUSTOMER_LIMIT:
            status = TOO_MANY
        return Refusal(status, reason.value, finish.retry_after_s)
    if reason is core_message.Reason.DEADLINE:
        return Refusal(GATEWAY_TIMEOUT, reason.value)
    return Refusal(BAD_GATEWAY, reason.value)
