"""Settings of ``ramptray-node``, apart from those that the platform sets."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ramptray.bundle import model


class NodeSettings(model.Model, frozen=True, kw_only=True):
    """Settings of ``ramptray-node``; the platform sets those of each VM.

    Attributes:
        log_level: Lowest level that is logged.
        log_events: Whether events of the time line are also logged.
        ring_events: Number of time line events kept in memory; 0 for none.
        metrics_port: Port on which metrics are served, at the VM's IP address.
        policy: Policy by which backend servers are chosen.
        retry_part: Fraction of the deployment's retry budget that is used.
        budget_vms: Least number of VMs among which the fixed part of the retry
            budget is divided; a VM that restarts counts again.
        lame_duck_s: How long a stopping VM still accepts connections, in
            seconds: the load balancer must see twice that it is not ready. It
            ends earlier if else less than a second of the time to stop, or less
            than half of it, would be left.
        exit_margin_s: How many seconds before it would be killed a stopping VM
            exits by itself.
        longest_pause_s: Longest pause that a backend server may request from
            this VM, in seconds. Without a limit, a wrong value would keep the
            VM from ever sending it requests again.
        content_key: Secret key of the digests of request contents, the same on
            all VMs. Without the key, nobody can tell from a log line whether
            a request had a certain body.
    """

    log_level: model.LogLevel = "INFO"
    log_events: bool = True
    ring_events: model.Count = 5_000
    metrics_port: model.Port = 9464
    policy: str = "token"
    retry_part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.7
    budget_vms: model.PositiveInt = 12
    lame_duck_s: model.NonNegativeFloat = 3.0
    exit_margin_s: model.NonNegativeFloat = 0.5
    longest_pause_s: model.PositiveFloat = 600.0
    content_key: Annotated[str, msgspec.Meta(max_length=64)] = ""


class DispatcherSettings(msgspec.Struct, frozen=True):
    """Implements ``dispatcher.DispatcherSettings`` for this VM."""

    vm: str
    zone: str
    scheduler: str
