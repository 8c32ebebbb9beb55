"""Settings of each program: JSON with comments, validated as a whole."""

from __future__ import annotations

from typing import Annotated

import pydantic

from ramptray.bundle import model

Address = Annotated[
    str, pydantic.StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]


class TlsSettings(model.Model):
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


class ProcessSettings(model.Model):
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
    log_level: str = pydantic.Field(
        "INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )
    tls: TlsSettings | None = None
    log_events: bool = False
    ring_events: int = pydantic.Field(20_000, ge=0)
    cut_file: str | None = None


class CallerLimits(model.Model):
    """What one caller may ask of an entry's memory and patience.

    Attributes:
        body_bytes: Largest request body.
        header_bytes: Largest request head.
        requests: Requests served at a time.
        body_s: Seconds in which a body must have arrived.
        idle_write_s: Seconds a caller may leave its answer unread.
    """

    body_bytes: int = pydantic.Field(4 * 1024 * 1024, ge=1024)
    header_bytes: int = pydantic.Field(32 * 1024, ge=1024)
    requests: int = pydantic.Field(2000, ge=1)
    body_s: float = pydantic.Field(30.0, gt=0)
    idle_write_s: float = pydantic.Field(60.0, gt=0)


class EntrySettings(ProcessSettings):
    """Settings of ``ramptray-entry``.

    Attributes:
        scheduler: Address of the scheduler on the same VM.
        limits: Limits towards callers.
        drain_s: Longest time a planned stop waits for what runs, in seconds.
    """

    scheduler: Address
    limits: CallerLimits = CallerLimits()
    drain_s: float = pydantic.Field(600.0, gt=0)


class SchedulerSettings(ProcessSettings):
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
    report_every_s: float = pydantic.Field(1.0, ge=0.05)


class ControllerSettings(ProcessSettings):
    """Settings of ``ramptray-controller``.

    Attributes:
        scheduler: Address of the scheduler on the same VM.
        platform: Base URL of the platform's services.
        order_timeout_s: Longest time an order may be on its way.
    """

    scheduler: Address
    platform: model.Url
    order_timeout_s: float = pydantic.Field(2.0, gt=0)


class OperatorSettings(model.Model):
    """Settings of the operators' command ``ramptray``.

    Attributes:
        platform: Base URL of the platform's services.
        schedulers: Some schedulers to ask, of every zone.
        trust: Who may sign the very first bundle.
        tls: Keys for the channel to the schedulers; None for none.
    """

    platform: model.Url
    schedulers: list[Address] = pydantic.Field(min_length=1)
    trust: model.Operators
    tls: TlsSettings | None = None


def split_address(address: str) -> tuple[str, int]:
    """Returns IP number and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
