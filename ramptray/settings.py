"""Settings of the programs: JSON with comments, validated against models."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ramptray.bundle import model

Address = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")
]


class TlsSettings(model.Model, frozen=True, kw_only=True):
    """Mutual TLS between ramptray processes.

    Attributes:
        certificate_file: Certificate of this process, PEM.
        key_file: Private key of this process, PEM.
        authority_file: Certificate of the authority that signs those of all
            peers, PEM.
        server_name: Name that every peer's certificate carries.
    """

    certificate_file: str
    key_file: str
    authority_file: str
    server_name: str = "ramptray"


class ProcessSettings(model.Model, frozen=True, kw_only=True):
    """Settings that all programs have.

    Attributes:
        vm: Name of the VM it runs on.
        zone: Availability zone of the VM.
        listen: IP address and port to listen on.
        log_level: Lowest level that is logged.
        tls: Keys for the links between processes; None for no TLS.
        log_events: Whether events of the time line are also logged.
        ring_events: Number of time line events kept in memory; 0 for none.
        cut_file: For failure tests: file with a JSON list of addresses of
            processes that are treated as unreachable.
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
    """Limits that protect an entry from callers.

    Attributes:
        body_bytes: Largest request body, in bytes.
        header_bytes: Largest request head, in bytes.
        requests: Maximum number of concurrent requests.
        body_s: Timeout for receiving a request body, in seconds.
        idle_write_s: Longest time that a caller may leave its response unread,
            in seconds.
        memory_mb: Memory that the process may take, in megabytes.  Callers'
            requests may take a quarter of it, with what they take when
            decoded; a single one may take more.  Beyond that those that take
            most are refused.
        descriptors: Descriptors that the process may have open.  When too few
            are left, the connections that have rested longest are closed.
    """

    body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 4 * 1024 * 1024
    header_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 32 * 1024
    requests: model.PositiveInt = 2000
    body_s: model.PositiveFloat = 30.0
    idle_write_s: model.PositiveFloat = 60.0
    memory_mb: Annotated[int, msgspec.Meta(ge=64)] = 300
    descriptors: Annotated[int, msgspec.Meta(ge=64)] = 8192


class EntrySettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of ``ramptray-entry``.

    Attributes:
        scheduler: Address of the scheduler on the same VM.
        limits: Limits for callers.
        drain_s: Longest time that a planned stop waits for running requests, in
            seconds.
    """

    scheduler: Address
    limits: CallerLimits = CallerLimits()
    drain_s: model.PositiveFloat = 600.0


class SchedulerSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of ``ramptray-scheduler``.

    Attributes:
        platform: Base URL of the platform's services.
        seeds: Schedulers to contact first, of this zone and of others.
        trust: Operators that may sign the first bundle.
        policy: Policy by which engines are chosen; the baselines are for
            experiments.
        report_every_s: Interval between load reports of an engine, in seconds.
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
        order_timeout_s: Timeout for sending an order, in seconds.
    """

    scheduler: Address
    platform: model.Url
    order_timeout_s: model.PositiveFloat = 2.0


class OperatorSettings(model.Model, frozen=True, kw_only=True):
    """Settings of the operators' command ``ramptray``.

    Attributes:
        platform: Base URL of the platform's services.
        schedulers: Addresses of some schedulers in each zone.
        trust: Operators that may sign the first bundle.
        tls: Keys for the links to the schedulers; None for no TLS.
    """

    platform: model.Url
    schedulers: Annotated[list[Address], msgspec.Meta(min_length=1)]
    trust: model.Operators
    tls: TlsSettings | None = None


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP address and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
