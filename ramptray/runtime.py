"""Clock, time line and peer client that each ramptray process has."""

from __future__ import annotations

import msgspec

from ramptray import process, timeline, wallclock
from ramptray import settings as settings_module
from ramptray.core import clock
from ramptray.peer import link as peer_link
from ramptray.peer import peer_filter


class Runtime(msgspec.Struct, frozen=True):
    """Clock, time line and peer client of one process.

    Attributes:
        name: Name of the process among its peers.
        clock: Hybrid logical clock.
        timeline: Time line of the process's events.
        client: Client for the links to schedulers.
    """

    name: str
    clock: clock.HybridClock
    timeline: timeline.Timeline
    client: peer_link.PeerClient


def make_runtime(
    program: str, settings: settings_module.ProcessSettings
) -> Runtime:
    """Returns the runtime of a process, made from its settings.

    Args:
        program: Name of the program, in one word.
        settings: Settings of the process.
    """
    return make_vm_runtime(
        program,
        settings.vm,
        settings.zone,
        settings.log_events,
        settings.ring_events,
        settings.tls,
        settings.cut_file,
    )


def make_vm_runtime(
    program: str,
    vm: str,
    zone: str,
    log_events: bool,
    ring_events: int,
    tls: settings_module.TlsSettings | None = None,
    cut_file: str | None = None,
) -> Runtime:
    """Returns the runtime of a process.

    Args:
        program: Name of the program, in one word.
        vm: Name of the process's VM.
        zone: Availability zone of the VM.
        log_events: Whether events of the time line are also logged.
        ring_events: Number of time line events kept in memory.
        tls: TLS keys for the links between processes; None for no TLS.
        cut_file: See ``settings.ProcessSettings``.
    """
    name = f"{program}/{vm}"
    process.set_log_process(name)
    hybrid_clock = clock.HybridClock(wallclock.read)
    events = timeline.Timeline(
        name, zone, hybrid_clock, log_events, ring_events
    )
    client = peer_link.PeerClient(
        hybrid_clock, tls, peer_filter.make_peer_filter(cut_file)
    )
    return Runtime(name, hybrid_clock, events, client)
