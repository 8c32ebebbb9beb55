"""Encodes messages between processes as MessagePack.

Each frame is the sender's hybrid logical clock, then the class and the fields
of each message.  Decoding validates every field.
"""

from __future__ import annotations

import itertools
import logging
from typing import Any

import msgspec

from ramptray.core import message as core_message
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

MAX_UNKNOWN = 32
"""Unknown kinds of messages that are logged at most."""

_unknown: set[str] = set()
_KINDS: dict[str, type[Any]] = {
    kind.__name__: kind
    for kind in itertools.chain(
        (
            core_message.Enqueue,
            core_message.Running,
            core_message.Withdraw,
            core_message.Decline,
            core_message.FirstToken,
            core_message.Ended,
            core_message.SyncDone,
            core_message.SpeedLearned,
            core_message.ServerHints,
            core_message.Grant,
            core_message.Reject,
            core_message.Redirect,
            core_message.Queued,
            core_message.StillWaiting,
        ),
        (
            peer_message.Hello,
            peer_message.View,
            peer_message.BundleUpdate,
            peer_message.InForceReport,
            peer_message.LeaseReport,
            peer_message.LowestGeneration,
            peer_message.ClaimKey,
            peer_message.ReleaseKey,
            peer_message.FinishKey,
            peer_message.ClaimDecision,
            peer_message.Gossip,
            peer_message.FetchBundle,
            peer_message.FetchedBundle,
            peer_message.FollowStreams,
            peer_message.ToldStreams,
            peer_message.AskStatus,
            peer_message.Status,
            peer_message.AskTimeline,
            peer_message.TimelineEvents,
            peer_message.BlockedContents,
            peer_message.ListBlocks,
            peer_message.LiftBlock,
        ),
    )
}

_Frame = tuple[int, list[tuple[str, msgspec.Raw]]]
_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(_Frame)
_DECODERS = {
    name: msgspec.msgpack.Decoder(kind) for name, kind in _KINDS.items()
}


class CodecError(Exception):
    """Bytes from a peer that are not a message."""


class Frame(msgspec.Struct, frozen=True):
    """Decoded messages with their sender's clock.

    Attributes:
        clock: The clock.
        bodies: The messages in the order in which they were sent.
    """

    clock: int
    bodies: list[Any]

    @property
    def body(self) -> Any:
        """The only message of a frame that holds one.

        Raises:
            CodecError: It holds none, or several.
        """
        if len(self.bodies) != 1:
            raise CodecError(f"{len(self.bodies)} messages instead of one")
        return self.bodies[0]


def encode(clock: int, *bodies: Any) -> bytes:
    """Returns messages as the bytes of one frame."""
    named = [(type(body).__name__, body) for body in bodies]
    return _ENCODER.encode((clock, named))


def decode(data: bytes) -> Frame:
    """Returns the messages in the bytes.

    Messages of kinds that are not known are left out: while VMs of two
    versions run side by side, the newer one sends them.

    Raises:
        CodecError: The bytes are not valid messages.
    """
    try:
        clock, named = _FRAME_DECODER.decode(data)
        return Frame(
            clock,
            [
                _DECODERS[name].decode(raw)
                for name, raw in named
                if _knows(name)
            ],
        )
    except msgspec.MsgspecError as error:
        raise CodecError(f"not a valid message: {error}") from error


def _knows(kind: str) -> bool:
    """Returns whether a kind of message is known; logs others once."""
    if kind in _DECODERS:
        return True
    if kind not in _unknown and len(_unknown) < MAX_UNKNOWN:
        _unknown.add(kind)
        LOG.warning("unknown message left out", extra={"kind": kind[:64]})
    return False
