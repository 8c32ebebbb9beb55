"""Decodes the settings file that the platform writes on each VM."""

from __future__ import annotations

import os
import pathlib

import msgspec
from result import Err, Ok

from ramptray import decoding
from ramptray.bundle import validation
from ramptray.core import propagation
from ramptray.platform import address, scheduling_zone

READY_PATH = "/v1/ready"
"""Path at which the load balancer asks whether the VM accepts callers."""


DEFAULT_PROPAGATION_MS = 1000 * propagation.DEFAULT_BOUND_S
"""Time within which a change is in force where the file names none, in
milliseconds."""


class SettingsError(Exception):
    """Invalid settings file; the message names the file and the field."""


class _Wire(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the file's tables; unknown fields are ignored."""


class _Listen(_Wire, frozen=True, kw_only=True):
    front: str
    ready: str
    control: str


class _Limits(_Wire, frozen=True, kw_only=True):
    cpu_share: float = msgspec.field(name="cpuShare", default=1.0)
    cores: float = 1.0
    memory_mb: int = msgspec.field(name="memoryMb")
    link_mbps: float = msgspec.field(name="linkMbps", default=0.0)
    max_fds: int = msgspec.field(name="maxFds")


class _Bounds(_Wire, frozen=True, kw_only=True):
    grace_s: float = msgspec.field(name="graceS", default=8.0)
    retry_ratio: float = msgspec.field(name="retryBudgetRatio", default=0.2)
    retry_window_s: float = msgspec.field(name="budgetWindowS", default=10.0)
    retry_slack: float = msgspec.field(name="retryBudgetSlack", default=50.0)
    # Time within which a leaving backend server gets no more requests.
    leaving_ms: float = msgspec.field(
        name="drainMs", default=DEFAULT_PROPAGATION_MS
    )
    # Time within which a change of the configuration is in force.
    config_ms: float = msgspec.field(
        name="configApplyMs", default=DEFAULT_PROPAGATION_MS
    )
    # Span over which a customer's requests are summed, in seconds.
    limit_span_s: float = msgspec.field(name="quotaWindowS", default=0.0)
    # Fraction by which the sum over a span may exceed rate and burst.
    limit_excess: float = msgspec.field(name="quotaOverage", default=0.0)
    # Additional tokens by which it may exceed them.
    limit_slack: float = msgspec.field(name="quotaSlack", default=0.0)
    # Fraction of a service's requests, and additional requests, that a bad
    # release may get during its rollout.
    rollout_share: float = msgspec.field(name="canaryShare", default=0.1)
    rollout_slack: float = msgspec.field(name="canarySlack", default=0.0)


class _Platform(_Wire, frozen=True, kw_only=True):
    address: str


class _SettingsFile(_Wire, frozen=True, kw_only=True):
    node: str
    ip: str
    zone: str
    listen: _Listen
    seeds: list[str] = []
    bootstrap: bool = False
    # Region of each availability zone.
    zones: dict[str, str] = {}
    limits: _Limits
    bounds: _Bounds = _Bounds()
    platform: _Platform


class LimitTerms(msgspec.Struct, frozen=True):
    """How customers' requests are summed against their limits.

    Attributes:
        span_s: Span over which they are summed, in seconds; 0 to apply only
            rate and burst.
        excess: Fraction by which a sum may exceed rate and burst.
        slack: Additional tokens by which it may exceed them.
    """

    span_s: float = 0.0
    excess: float = 0.0
    slack: float = 0.0


class RolloutTerms(msgspec.Struct, frozen=True):
    """How many of its service's requests a bad release may get.

    Attributes:
        share: Fraction of the requests.
        slack: Additional requests.
    """

    share: float = 0.1
    slack: float = 0.0


class VmSettings(msgspec.Struct, frozen=True):
    """A VM's settings.

    Attributes:
        vm: Name of the VM.
        ip: Its IP address.
        zone: Its availability zone.
        callers: Address on which callers connect.
        readiness: Address on which the load balancer asks whether the VM is
            ready.
        peers: Address on which other VMs connect.
        seeds: Addresses of up to three VMs; they may be stale.
        zones: Region of each availability zone; empty if not
            given.
        store: Address of the store.
        cores: CPU time per second, in core-seconds.
        memory_mb: Memory limit in megabytes.
        max_descriptors: Descriptors that the program may have open.
        link_mbps: Bandwidth of its link in megabits per second; 0 if not given.
        first_start: Whether all VMs start for the first time.
        grace_s: Seconds from the signal of a planned stop to the kill.
        retry_ratio: Retries allowed per request, over all VMs.
        retry_slack: Additional retries allowed in a window.
        retry_window_s: The window's length in seconds.
        propagation_s: Time within which a change of the store must be in force
            on this VM, in seconds.
        limit_terms: How customers' requests are summed against their limits.
        rollout_terms: How many requests a bad release may get.
    """

    vm: str
    ip: str
    zone: str
    callers: str
    readiness: str
    peers: str
    seeds: tuple[str, ...]
    zones: dict[str, str]
    store: str
    cores: float
    memory_mb: int
    max_descriptors: int
    link_mbps: float
    first_start: bool
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    propagation_s: float
    limit_terms: LimitTerms
    rollout_terms: RolloutTerms = RolloutTerms()

    @property
    def scheduling_zones(self) -> scheduling_zone.SchedulingZones:
        """The scheduling zones of the deployment."""
        return scheduling_zone.SchedulingZones(self.zones)

    @property
    def scheduling_zone(self) -> str:
        """The scheduling zone of this VM."""
        return self.scheduling_zones.find(self.zone)


def get_path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    name = os.environ.get(address.PATH_VARIABLE)
    if not name:
        raise SettingsError(
            f"environment variable {address.PATH_VARIABLE} is not set"
        )
    return pathlib.Path(name)


def read_settings(path: pathlib.Path) -> VmSettings:
    """Returns the decoded settings file.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    try:
        fields = decoding.decode_toml(path.read_bytes())
    except (OSError, decoding.DecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    match validation.convert(fields, _SettingsFile, strict=False):
        case Ok(raw):
            return _make_settings(raw)
        case Err(violations):
            text = validation.format_violations(violations)
            raise SettingsError(f"{path}: {text}")


def _make_settings(raw: _SettingsFile) -> VmSettings:
    return VmSettings(
        vm=raw.node,
        ip=raw.ip,
        zone=raw.zone,
        callers=raw.listen.front,
        readiness=raw.listen.ready,
        peers=raw.listen.control,
        seeds=tuple(raw.seeds),
        zones=raw.zones,
        store=raw.platform.address,
        # ``cpuShare`` is a fraction of a core that is ``cores`` times as fast
        # as a reference core.
        cores=raw.limits.cpu_share * raw.limits.cores,
        memory_mb=raw.limits.memory_mb,
        max_descriptors=raw.limits.max_fds,
        link_mbps=raw.limits.link_mbps,
        first_start=raw.bootstrap,
        grace_s=raw.bounds.grace_s,
        retry_ratio=raw.bounds.retry_ratio,
        retry_slack=raw.bounds.retry_slack,
        retry_window_s=raw.bounds.retry_window_s,
        propagation_s=min(raw.bounds.leaving_ms, raw.bounds.config_ms) / 1000,
        limit_terms=LimitTerms(
            raw.bounds.limit_span_s,
            raw.bounds.limit_excess,
            raw.bounds.limit_slack,
        ),
        rollout_terms=RolloutTerms(
            raw.bounds.rollout_share, raw.bounds.rollout_slack
        ),
    )
