"""What each of ramptray's own processes is equipped with."""

from __future__ import annotations

import msgspec

from ramptray import process, timeline, wallclock
from ramptray import settings as settings_module
from ramptray.core import clock
from ramptray.peer import link as peer_link
from ramptray.peer import peer_filter


class Runtime(msgspec.Struct, frozen=True):
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
    """Returns the equipment of a process.

    Args:
        program: Which program it is, in one word.
        vm: Name of its VM.
        zone: Its availability zone.
        log_events: Whether each event of the time line is also logged.
        ring_events: Events of the time line that are kept.
        tls: Keys for the channel between own processes; None for none.
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
