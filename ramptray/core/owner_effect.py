"""What a shard's owner has sent to entries, with the inputs of its decision."""

from __future__ import annotations

import msgspec

from ramptray.core import message


class DecisionInputs(msgspec.Struct, frozen=True):
    """Inputs of a decision on a request, for the logs.

    Attributes:
        waiting: Requests that waited in the shard.
        running: Requests that ran on the backend server chosen, or on all.
        places: How many may run there.
        expected_s: Expected seconds to the first token; None where no backend
            server was chosen.
        step_s: Expected seconds between two tokens; likewise.
        left_s: Seconds left for an answer in time; None where there is no
            objective.
        rate_limit_per_s: Requests a second that this owner may send to the
            backend server; None where nothing limits them.
    """

    waiting: int
    running: int
    places: int
    expected_s: float | None = None
    step_s: float | None = None
    left_s: float | None = None
    rate_limit_per_s: float | None = None


class SendToEntry(msgspec.Struct, frozen=True):
    """Effect: send this message to the named entry."""

    entry: str
    message: message.OwnerMessage
    basis: DecisionInputs | None = None
