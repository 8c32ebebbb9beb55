"""What the hub of a scheduler, and its task for claims, are told."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from anyio.streams import memory

from ramptray.bundle import acceptance
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

if TYPE_CHECKING:
    # Loading an HTTP client is dear for a program that asks no engine.
    from ramptray.engine import client as engine_client


class SessionOpened(msgspec.Struct, frozen=True):
    """A process has attached."""

    session: peer_link.Session


class SessionClosed(msgspec.Struct, frozen=True):
    """An attached process has gone."""

    session: peer_link.Session


class MessageReceived(msgspec.Struct, frozen=True):
    """An attached process has sent a message."""

    session: peer_link.Session
    body: Any


class BundleChanged(msgspec.Struct, frozen=True):
    """Another bundle is in force."""

    in_force: acceptance.InForce


class ViewChanged(msgspec.Struct, frozen=True):
    """The zone's membership, or what is known of other zones, has changed."""

    view: peer_message.View


class LowestGenerationChanged(msgspec.Struct, frozen=True):
    """All VMs of the zone now work by this generation or a newer one."""

    generation: int


class LoadReported(msgspec.Struct, frozen=True):
    """An engine's load report has arrived, or none did."""

    backend: str
    report: engine_client.LoadReport | None


class CacheChanged(msgspec.Struct, frozen=True):
    """An engine's cache events have arrived."""

    backend: str
    events: engine_client.CacheEvents


class LeavingBackendsListed(msgspec.Struct, frozen=True):
    """The platform's list names these backend servers as leaving."""

    names: frozenset[str]


class ClaimDecided(msgspec.Struct, frozen=True):
    """The log has decided on a claim."""

    session: peer_link.Session
    decision: peer_message.ClaimDecision


class TimelineRequested(msgspec.Struct, frozen=True):
    """An operator asks for the events of this VM's processes.

    Attributes:
        question: What is asked.
        answers: Where each attached process's answer goes.
    """

    question: peer_message.AskTimeline
    answers: memory.MemoryObjectSendStream[peer_message.TimelineEvents]


class ClaimRequested(msgspec.Struct, frozen=True):
    """An entry wants a key."""

    session: peer_link.Session
    wish: peer_message.ClaimKey


class ClaimReleased(msgspec.Struct, frozen=True):
    """An entry will never dispatch an attempt."""

    release: peer_message.ReleaseKey


class ClaimFinished(msgspec.Struct, frozen=True):
    """An attempt's answer was whole."""

    finish: peer_message.FinishKey


class PartitionsChanged(msgspec.Struct, frozen=True):
    """These partitions are this scheduler's own in its view."""

    numbers: frozenset[int]
