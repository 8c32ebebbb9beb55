"""What each of ramptray's own processes is equipped with."""

from __future__ import annotations

import dataclasses

from ramptray import settings as settings_module
from ramptray import timeline, wallclock
from ramptray.core import clock
from ramptray.peer import gate
from ramptray.peer import link as peer_link


@dataclasses.dataclass(frozen=True, slots=True)
class Runtime:
    """Clock, time line and channels of one process.

    Attributes:
        name: The process's name among its peers.
        clock: Its hybrid logical clock.
        timeline: Its events.
        client: Its channels to schedulers.
    """

    name: str
    clock: clock.HybridClock
    timeline: timeline.Timeline
    client: peer_link.PeerClient


def make_runtime(
    program: str, settings: settings_module.ProcessSettings
) -> Runtime:
    """Returns the equipment of a process.

    Args:
        program: Which program it is, in one word.
        settings: Its settings.
    """
    name = f"{program}/{settings.vm}"
    hybrid_clock = clock.HybridClock(wallclock.read)
    events = timeline.Timeline(
        name,
        settings.zone,
        hybrid_clock,
        settings.log_events,
        settings.ring_events,
    )
    client = peer_link.PeerClient(
        hybrid_clock, settings.tls, gate.make_gate(settings.cut_file)
    )
    return Runtime(name, hybrid_clock, events, client)
