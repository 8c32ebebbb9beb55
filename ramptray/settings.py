"""Settings of each program: JSON with comments, validated as a whole."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ramptray.bundle import model

Address = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")
]


class TlsSettings(model.Model, frozen=True, kw_only=True):
    """Mutual TLS between ramptray's own processes.

    Attributes:
        certificate_file: This process's certificate, PEM.
        key_file: Its private key, PEM.
        authority_file: Certificate of the authority that signs all peers.
        server_name: Name that every peer's certificate carries.
    """

    certificate_file: str
    key_file: str
    authority_file: str
    server_name: str = "ramptray"


class ProcessSettings(model.Model, frozen=True, kw_only=True):
    """What every program needs to know of itself.

    Attributes:
        vm: Name of the VM it runs on.
        zone: Availability zone of the VM.
        listen: IP number and port it listens on.
        log_level: Least level that is logged.
        tls: Keys for the channel between own processes; None for none.
        log_events: Whether each event of the time line is also logged.
        ring_events: Events of the time line that are kept; 0 for none.
        cut_file: For failure tests: a JSON list of addresses of own processes
            that cannot be reached.
    """

    vm: model.Name
    zone: model.Name
    listen: Address
    log_level: model.LogLevel = "INFO"
    tls: TlsSettings | None = None
    log_events: bool = False
    ring_events: model.Count = 20_000
    cut_file: str | None = None


class CallerLimits(model.Model, frozen=True, kw_only=True):
    """What one caller may ask of an entry's memory and patience.

    Attributes:
        body_bytes: Largest request body.
        header_bytes: Largest request head.
        requests: Requests served at a time.
        body_s: Seconds in which a body must have arrived.
        idle_write_s: Seconds a caller may leave its answer unread.
    """

    body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 4 * 1024 * 1024
    header_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 32 * 1024
    requests: model.PositiveInt = 2000
    body_s: model.PositiveFloat = 30.0
    idle_write_s: model.PositiveFloat = 60.0


class EntrySettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of ``ramptray-entry``.

    Attributes:
        scheduler: Address of the scheduler on the same VM.
        limits: Limits towards callers.
        drain_s: Longest time a planned stop waits for what runs, in seconds.
    """

    scheduler: Address
    limits: CallerLimits = CallerLimits()
    drain_s: model.PositiveFloat = 600.0


class SchedulerSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of ``ramptray-scheduler``.

    Attributes:
        platform: Base URL of the platform's services.
        seeds: Schedulers to ask first, of this zone and of others.
        trust: Who may sign the very first bundle.
        policy: How engines are chosen; the baselines are for experiments.
        report_every_s: Time between two load reports of an engine.
    """

    platform: model.Url
    seeds: list[Address] = []
    trust: model.Operators
    policy: str = "token"
    report_every_s: Annotated[float, msgspec.Meta(ge=0.05)] = 1.0


class ControllerSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of ``ramptray-controller``.

    Attributes:
        scheduler: Address of the scheduler on the same VM.
        platform: Base URL of the platform's services.
        order_timeout_s: Longest time an order may be on its way.
    """

    scheduler: Address
    platform: model.Url
    order_timeout_s: model.PositiveFloat = 2.0


class OperatorSettings(model.Model, frozen=True, kw_only=True):
    """Settings of the operators' command ``ramptray``.

    Attributes:
        platform: Base URL of the platform's services.
        schedulers: Some schedulers to ask, of every zone.
        trust: Who may sign the very first bundle.
        tls: Keys for the channel to the schedulers; None for none.
    """

    platform: model.Url
    schedulers: Annotated[list[Address], msgspec.Meta(min_length=1)]
    trust: model.Operators
    tls: TlsSettings | None = None


def split_address(address: str) -> tuple[str, int]:
    """Returns IP number and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
