"""What the hub of a scheduler, and its task for claims, are told."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from anyio.streams import memory

from ramptray.bundle import acceptance
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

if TYPE_CHECKING:
    # Loading an HTTP client is dear for a program that asks no engine.
    from ramptray.engine import client as engine_client


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A process has attached."""

    session: peer_link.Session


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """An attached process has gone."""

    session: peer_link.Session


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """An attached process has sent a message."""

    session: peer_link.Session
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class BundleChanged:
    """Another bundle is in force."""

    in_force: acceptance.InForce


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The zone's membership, or what is known of other zones, has changed."""

    view: peer_message.View


@dataclasses.dataclass(frozen=True, slots=True)
class LowestChanged:
    """All VMs of the zone now work by this generation or a newer one."""

    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """An engine's load report has arrived, or none did."""

    backend: str
    report: engine_client.LoadReport | None


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """An engine's cache events have arrived."""

    backend: str
    events: engine_client.CacheEvents


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingListed:
    """The platform's list names these backend servers as leaving."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """The log has decided on a claim."""

    session: peer_link.Session
    decision: peer_message.ClaimDecision


@dataclasses.dataclass(frozen=True, slots=True)
class EventsWanted:
    """An operator asks for the events of this VM's processes.

    Attributes:
        question: What is asked.
        answers: Where each attached process's answer goes.
    """

    question: peer_message.AskTimeline
    answers: memory.MemoryObjectSendStream[peer_message.TimelineEvents]


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """An entry wants a key."""

    session: peer_link.Session
    wish: peer_message.ClaimKey


@dataclasses.dataclass(frozen=True, slots=True)
class Unwanted:
    """An entry will never dispatch an attempt."""

    release: peer_message.ReleaseKey


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """An attempt's answer was whole."""

    finish: peer_message.FinishKey


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionsChanged:
    """These partitions are this scheduler's own in its view."""

    numbers: frozenset[int]
