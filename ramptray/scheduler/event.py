"""Events for the mailboxes of the scheduler's hub and claim manager."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from anyio.streams import memory

from ramptray.bundle import acceptance
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

if TYPE_CHECKING:
    # Importing an HTTP client is slow, and only programs that poll engines
    # need it.
    from ramptray.engine import client as engine_client


class SessionOpened(msgspec.Struct, frozen=True):
    """A process has opened a session; it has not sent its Hello yet."""

    session: peer_link.Session


class SessionClosed(msgspec.Struct, frozen=True):
    """The session of an attached process has ended."""

    session: peer_link.Session


class MessageReceived(msgspec.Struct, frozen=True):
    """An attached process has sent a message."""

    session: peer_link.Session
    body: Any


class BundleChanged(msgspec.Struct, frozen=True):
    """A different bundle is in force."""

    in_force: acceptance.InForce


class ViewChanged(msgspec.Struct, frozen=True):
    """The zone's members or the known schedulers of other zones changed."""

    view: peer_message.View


class LowestGenerationChanged(msgspec.Struct, frozen=True):
    """All VMs of the zone now use this bundle generation or a newer one."""

    generation: int


class LoadReported(msgspec.Struct, frozen=True):
    """Result of polling an engine for load; None if the poll failed."""

    backend: str
    report: engine_client.LoadReport | None


class CacheChanged(msgspec.Struct, frozen=True):
    """An engine has reported blocks added to and removed from its cache."""

    backend: str
    events: engine_client.CacheEvents


class LeavingBackendsListed(msgspec.Struct, frozen=True):
    """The backend servers that the platform lists as leaving."""

    names: frozenset[str]


class ClaimDecided(msgspec.Struct, frozen=True):
    """The outcome of a claim is known."""

    session: peer_link.Session
    decision: peer_message.ClaimDecision


class TimelineRequested(msgspec.Struct, frozen=True):
    """An operator requests the timelines of this VM's processes.

    Attributes:
        question: The request.
        answers: Receives the response of each attached process.
    """

    question: peer_message.AskTimeline
    answers: memory.MemoryObjectSendStream[peer_message.TimelineEvents]


class ClaimRequested(msgspec.Struct, frozen=True):
    """An entry requests a claim on an idempotency key."""

    session: peer_link.Session
    wish: peer_message.ClaimKey


class ClaimReleased(msgspec.Struct, frozen=True):
    """An entry gives up an attempt that it will never dispatch."""

    release: peer_message.ReleaseKey


class ClaimFinished(msgspec.Struct, frozen=True):
    """An attempt has received a complete response."""

    finish: peer_message.FinishKey


class PartitionsChanged(msgspec.Struct, frozen=True):
    """The claim partitions that this scheduler owns in its view."""

    numbers: frozenset[int]
