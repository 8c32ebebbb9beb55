"""Messages of a shard's owner to entries, with the inputs of its decisions."""

from __future__ import annotations

import msgspec

from ramptray.core import message


class DecisionInputs(msgspec.Struct, frozen=True):
    """Inputs of a decision on a request, for the logs.

    Attributes:
        waiting: Queued requests of the shard.
        running: Requests running on the chosen backend server, or on all.
        places: Number of requests that may run there.
        expected_s: Expected seconds to the first token; None if no backend
            server was chosen.
        step_s: Expected seconds between two tokens; likewise.
        left_s: Seconds left to meet the objective for the first token; None if
            there is no objective.
        rate_limit_per_s: Requests a second that this owner may send to the
            backend server; None if they are not limited.
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
