"""Encodes messages between processes as MessagePack.

Each frame is the sender's hybrid logical clock, then the class and the fields
of each message.  Decoding validates every field.
"""

from __future__ import annotations

import itertools
import logging
from typing import Any

import msgspec

from ramptray import decoding
from ramptray.core import message as core_message
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

MAX_LOGGED_KINDS = 32
"""Number of unknown message kinds to log, as peers choose their names."""

_logged_kinds: set[str] = set()
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
            core_message.LimitUse,
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
            peer_message.OpenTunnel,
            peer_message.TunnelAnswer,
            peer_message.TunneledHints,
            peer_message.Received,
            peer_message.KeepOrigins,
            peer_message.OriginsKept,
            peer_message.FindOrigin,
            peer_message.FoundOrigin,
            peer_message.FetchReleaseHistory,
            peer_message.ReleaseHistoryUpdate,
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
    """Bytes from a peer are not a valid frame."""


class Frame(msgspec.Struct, frozen=True):
    """Decoded messages and their sender's clock.

    Attributes:
        clock: The sender's hybrid logical clock.
        bodies: The messages, in the order in which they were sent.
    """

    clock: int
    bodies: list[Any]

    @property
    def body(self) -> Any:
        """The message of a frame that holds exactly one.

        Raises:
            CodecError: The frame holds none or several.
        """
        if len(self.bodies) != 1:
            raise CodecError(f"expected one message, got {len(self.bodies)}")
        return self.bodies[0]


def encode(clock: int, *bodies: Any) -> bytes:
    """Returns messages encoded as one frame."""
    named = [(type(body).__name__, body) for body in bodies]
    return _ENCODER.encode((clock, named))


def decode(data: bytes) -> Frame:
    """Returns the messages of an encoded frame.

    Messages of unknown kinds are left out: VMs of a newer version send them
    while two versions run side by side.

    Raises:
        CodecError: The bytes are not a valid frame.
    """
    try:
        with decoding.translate_errors():
            clock, named = _FRAME_DECODER.decode(data)
            return Frame(
                clock,
                [
                    _DECODERS[name].decode(raw)
                    for name, raw in named
                    if _is_known(name)
                ],
            )
    except decoding.DecodeError as error:
        raise CodecError(f"not a valid message: {error}") from error


def _is_known(kind: str) -> bool:
    """Returns whether a message kind is known; logs each unknown kind once."""
    if kind in _DECODERS:
        return True
    if kind not in _logged_kinds and len(_logged_kinds) < MAX_LOGGED_KINDS:
        _logged_kinds.add(kind)
        LOG.warning("unknown message left out", extra={"kind": kind[:64]})
    return False
