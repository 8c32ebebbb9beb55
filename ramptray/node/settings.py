"""Settings of ``ramptray-node``: what is tuned, not what the platform sets."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ramptray.bundle import model


class NodeSettings(model.Model, frozen=True, kw_only=True):
    """Settings of ``ramptray-node``; the VM's own come from its platform.

    Attributes:
        log_level: Least level that is logged.
        log_events: Whether each event of the time line is also logged.
        ring_events: Events of the time line that are kept; 0 for none.
        metrics_port: Port of the metrics, on the VM's own IP number.
        policy: How backend servers are chosen.
        retry_part: Part of the deployment's retry budget that is used.
        budget_vms: Among how many VMs the fixed part of the retry budget is
            divided; VMs that restart count again.
        lame_duck_s: How long a stopping VM goes on taking connections: the
            balancer must have seen twice that it is not ready.
        exit_margin_s: How long before the kill a stopping VM ends by itself.
        longest_pause_s: Longest pause that a backend server may ask of this VM:
            by a mistake it would lose the VM's requests for good.
        content_key: Secret that goes into the digests of requests' contents,
            the same on all VMs: without it a log line does not show whether a
            request had a certain body.
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


class Home(msgspec.Struct, frozen=True):
    """Where the entry of this VM stands; see ``dispatcher.Home``."""

    vm: str
    zone: str
    scheduler: str
