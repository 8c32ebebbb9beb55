"""Follows the store's configuration and replicas and publishes bundles."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from types import MappingProxyType
from typing import Any

import anyio
import msgspec

from ramptray import steadyclock
from ramptray.bundle import acceptance, model, signature
from ramptray.caller import metrics
from ramptray.core import membership, propagation
from ramptray.log import error as log_error
from ramptray.log import shared_read
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.platform import (
    config,
    config_recovery,
    evacuation,
    replicas,
    rollout,
    scheduling_zone,
    settings,
    store,
    topic,
)
from ramptray.scheduler import distributor, source

LOG = logging.getLogger(__name__)


FETCH_TIMEOUT_S = 1.0
"""Timeout for fetching updates from a peer, in seconds.

It is less than the two seconds in which a change must be in force."""

CHECK_INTERVAL_S = 0.2
"""Interval between checks for expired replicas, expired orders and lost reads,
in seconds."""

IDLE_CHECK_INTERVAL_S = 1.0
"""The same interval while no record is missing or known to be pending."""

PEER_FETCH_INTERVAL_S = 0.5
"""How often a VM that cannot read the store fetches updates from a peer, in
seconds.

A change in the store must be in force on every VM within about two seconds."""

LOST_CONFIG_DELAY_S = 1.0
"""Time after which a newer configuration of another VM counts as lost by the
store, in seconds.  One that the store has usually arrives within it, so that
changes are not sent whole by every VM that hears of them early."""

LOST_CONFIG_INTERVAL_S = 5.0
"""Shortest time between two fetches of a configuration that the store has lost,
in seconds; this VM may be unable to use it."""

NOT_READY_WARNING_S = 1.0
"""Time without a bundle in force after which a VM warns, in seconds; it doubles
with each warning."""

CONFIRM_TIMEOUT_S = 0.5
"""Timeout of a read that confirms that all records are known, in seconds."""

MAX_CONFIRM_PAGES = 8
"""Number of pages that such a read takes at most.  The last one is empty: only
that shows that no record follows."""

CONFIRM_INTERVAL_S = 0.1
"""Shortest interval between two such reads, in seconds.  Callers cause them."""

OnBundle = Callable[[acceptance.InForce], None]


class Follower(source.BundleSource):
    """Follows the configuration and the replicas in the store and at peers.

    Versions only rise: a stale read or a peer that lags behind has no effect.

    Args:
        me: This VM.
        seeds: Addresses of some VMs; they may be stale.
        first_start: Whether all VMs start for the first time.
        store_client: Client of the store.
        client: Client for calls to peers.
        retention_s: See ``replicas.ReplicaRegistry``.
        zones: Region of each availability zone; empty if unknown.
        terms: How customers' requests are summed against their limits.
        rollout_terms: How many requests a bad release may get.
        limits: How long a change may take to be in force on this VM.
        on_bundle: Called with each new bundle in force.

    Attributes:
        pick_peer: Returns the address of any peer, None if there is none.
        on_gap: Called when replicas may have come and gone unseen, with the
            time since when none has, and the end of their stream.
    """

    def __init__(
        self,
        me: membership.Member,
        seeds: Iterable[str],
        first_start: bool,
        store_client: store.Store,
        client: peer_link.PeerClient,
        retention_s: float,
        zones: Mapping[str, str],
        terms: settings.LimitTerms,
        rollout_terms: settings.RolloutTerms,
        limits: propagation.PropagationLimits,
        on_bundle: OnBundle,
    ) -> None:
        super().__init__(client, FETCH_TIMEOUT_S)
        self._store = store_client
        self.pick_peer: Callable[[], str | None] = _pick_no_peer
        self.on_gap: Callable[[float, int], None] = _ignore_gap
        self._confirmation = shared_read.SharedRead(
            self._read_all_replicas, CONFIRM_INTERVAL_S
        )
        self._in_force: acceptance.InForce | None = None
        self._parser = config.ConfigParser(
            terms, scheduling_zone.SchedulingZones(zones).names
        )
        self._replica_registry = replicas.ReplicaRegistry(
            retention_s, zones, limits, store_client.intake
        )
        self._retention_changed = anyio.Event()
        self._regions = zones
        self._evacuations = evacuation.EvacuationRegistry()
        self._rollouts = rollout.RolloutOrderRegistry(
            rollout_terms, store_client.intake
        )
        self._on_bundle = on_bundle
        self._declared: model.Bundle | None = None
        self._text = ""
        self._newest_text = ""
        self._recovery = config_recovery.ConfigRecovery(
            store_client,
            lambda: self._text,
            self._offer_config,
            self._fetch_first_config,
            self._use_valid_parts,
        )
        self._publish_failures = 0
        self._knows_replicas = False
        self._started_at = steadyclock.read()
        self._warned_after_s = 0.0
        self._config_reader = topic.TopicReader(
            store_client,
            topic.CONFIG_TOPIC,
            self._apply_config_changes,
            self._record_store_error,
        )
        self._replica_reader = topic.TopicReader(
            store_client,
            topic.REPLICA_TOPIC,
            self._apply_replica_changes,
            self._record_store_error,
        )
        self._readers = (self._config_reader, self._replica_reader)
        self._woken = anyio.Event()
        # A configuration that the store may have lost: its generation, and the
        # address of a VM that has it.
        self._newer = (0, "")
        self._is_newer_told = anyio.Event()
        self._distributor = distributor.StreamDistributor(
            me,
            seeds,
            first_start,
            client,
            [
                distributor.FollowedStream(each, each.mirror)
                for each in self._readers
            ],
            limits,
        )
        self._distributor.get_outage = self._replica_registry.get_outage
        self._distributor.on_outage = self._replica_registry.merge_outage
        store_client.add_rollback_listener(self._on_store_rollback)

    async def run(self) -> None:
        """Follows until cancelled."""
        async with anyio.create_task_group() as tasks:
            for reader in self._readers:
                tasks.start_soon(reader.run)
            tasks.start_soon(self._run_checks)
            tasks.start_soon(self._run_expiry)
            tasks.start_soon(self._distributor.run)
            tasks.start_soon(self._fetch_from_peers)
            tasks.start_soon(self._fetch_lost_configs)
            tasks.start_soon(self._recovery.run)

    @property
    def in_force(self) -> acceptance.InForce | None:
        """See the base class."""
        return self._in_force

    @property
    def log_up(self) -> bool:
        """See the base class."""
        return not any(reader.in_outage for reader in self._readers)

    def get_log_age(self, now: float) -> float | None:
        """See the base class."""
        answers = [r.answered_at for r in self._readers if r.answered_at]
        return round(now - max(answers), 1) if answers else None

    def list_stream_ends(self) -> dict[str, int]:
        """See the base class."""
        return {reader.stream: reader.known_end for reader in self._readers}

    def update_stream_ends(self, ends: Mapping[str, int]) -> None:
        """See the base class."""
        for reader in self._readers:
            reader.update_known_end(ends.get(reader.stream, 0))
            reader.check_pending_read()
        if self._has_pending_checks():
            self._woken.set()
            self._distributor.wake()

    def set_watching(self, watching: bool) -> None:
        """See the base class."""
        for reader in self._readers:
            reader.set_watching(watching)

    def update_members(
        self, me: membership.Member, alive: Iterable[membership.Member]
    ) -> None:
        """See the base class."""
        self._distributor.update_members(alive)

    def wake(self) -> None:
        """Makes this VM run its checks and follow its sources at once."""
        self._woken.set()
        self._distributor.wake()

    async def serve_streams(
        self, asked: peer_message.FollowStreams
    ) -> peer_message.ToldStreams:
        """See the base class."""
        return await self._distributor.serve_updates(asked)

    async def fetch(self, address: str, generation: int) -> None:
        """See the base class.

        The VMs that this one follows send a change in the store as a
        difference.  Only a configuration newer than all records known to exist,
        which a store restored from an older copy has lost, is fetched.
        """
        if (
            self._declared is not None
            and generation > self._declared.generation
            and not self._config_reader.is_behind
        ):
            self._newer = (generation, address)
            self._is_newer_told.set()

    async def fetch_newer(self, address: str) -> None:
        """See the base class."""
        await self._distributor.fetch_updates(address)

    async def confirm_replicas(self) -> bool:
        """Makes sure that all records of replicas up to now are known here.

        Calls at the same time share one read of the store.

        Returns:
            Whether the store has answered.
        """
        return await self._confirmation.get_answer()

    async def _read_all_replicas(self) -> bool:
        end = self._replica_reader.end
        if end is None:
            return False
        for _ in range(MAX_CONFIRM_PAGES):
            began_at = steadyclock.read()
            try:
                changes = await self._replica_reader.read_from(
                    end, 0.0, CONFIRM_TIMEOUT_S
                )
            except log_error.LogError as error:
                LOG.info(
                    "records of replicas not confirmed",
                    extra={"detail": str(error)},
                )
                return False
            if not changes.records:
                return True
            await self._replica_reader.apply_peer_page(
                changes, False, began_at, "store"
            )
            end = changes.end
        return False

    def set_on_stream_advance(self, on_advance: Callable[[], None]) -> None:
        """See the base class."""
        for reader in self._readers:
            reader.on_advance = on_advance

    def accept_from_peer(
        self, address: str, fetched: peer_message.FetchedBundle
    ) -> None:
        """See the base class."""
        if fetched.envelope:
            self._apply_config(fetched.envelope.text, f"peer {address}")

    def list_gauges(self, now: float) -> list[metrics.Gauge]:
        """Returns gauges of the store's readers, records and generation."""
        gauges = [
            gauge
            for reader in self._readers
            for gauge in reader.list_gauges(now)
        ]
        gauges.extend(self._store.intake.list_gauges())
        gauges.append(
            metrics.Gauge("publish_failures", {}, self._publish_failures)
        )
        gauges.extend(
            metrics.Gauge("start_waits_for", {"what": what}, float(waits))
            for what, waits in (
                ("configuration", self._declared is None),
                ("servers", not self._knows_replicas),
            )
        )
        count = self._replica_registry.unusable_count
        gauges.append(metrics.Gauge("records_unusable", {}, count))
        if self._declared:
            generation = self._declared.generation
            gauges.append(metrics.Gauge("generation", {}, generation))
        return gauges

    async def _fetch_from_peers(self) -> None:
        """Fetches updates from peers while the store is unavailable."""
        while True:
            await anyio.sleep(PEER_FETCH_INTERVAL_S)
            peer = None if self.log_up else self.pick_peer()
            if peer is not None:
                await self.fetch_newer(peer)

    async def _fetch_first_config(self) -> None:
        peer = self.pick_peer()
        if peer is not None:
            await super().fetch_newer(peer)

    async def _fetch_lost_configs(self) -> None:
        while True:
            await self._is_newer_told.wait()
            # An invalid configuration hides this one in the store.
            is_hidden = self._recovery.is_newest_invalid
            if not is_hidden:
                await anyio.sleep(LOST_CONFIG_DELAY_S)
            generation, address = self._newer
            if self._declared and generation > self._declared.generation:
                await super().fetch_newer(address)
                await anyio.sleep(
                    PEER_FETCH_INTERVAL_S
                    if is_hidden
                    else LOST_CONFIG_INTERVAL_S
                )
            self._is_newer_told = anyio.Event()

    def _apply_config_changes(
        self, changes: store.Changes, is_snapshot: bool
    ) -> None:
        now = steadyclock.read()
        zones_changed = self._evacuations.apply(
            changes.records, is_snapshot, now
        )
        orders_changed = self._rollouts.apply(changes.records, is_snapshot, now)
        if zones_changed or orders_changed:
            self._publish()
        for change in changes.records:
            if (
                change.key == config_recovery.CONFIG_KEY
                and change.value is not None
            ):
                self._newest_text = change.value.decode(errors="replace")
                is_valid = self._apply_config(
                    self._newest_text, self._config_reader.origin
                )
                self._recovery.set_newest_invalid(not is_valid)

    def _apply_config(self, text: str, origin: str) -> bool:
        """Puts a configuration in force that is newer than the one here.

        Returns:
            Whether it is valid.
        """
        try:
            bundle = self._parser.parse(text)
        except config.ConfigError as error:
            LOG.error(
                "configuration passed over",
                extra={"origin": origin, "detail": str(error)},
            )
            self._store.intake.count_passed_over(topic.CONFIG_TOPIC)
            return False
        if self._declared and bundle.generation <= self._declared.generation:
            return True
        self._text = text
        self._declare(bundle, origin)
        return True

    def _offer_config(self, text: str, origin: str) -> None:
        """Uses a configuration that was in force before an invalid one."""
        if self._declared is None:
            self._apply_config(text, origin)

    def _use_valid_parts(self) -> bool:
        """Uses the valid parts of the newest configuration, if it has any."""
        try:
            found = self._parser.parse_valid_parts(self._newest_text)
        except config.ConfigError as error:
            LOG.error(
                "configuration has no valid parts",
                extra={"detail": str(error)},
            )
            return False
        LOG.error(
            "parts of the configuration passed over",
            extra={"omitted": found.omitted},
        )
        self._declare(found.bundle, self._config_reader.origin)
        return True

    def _declare(self, bundle: model.Bundle, origin: str) -> None:
        self._declared = bundle
        LOG.info(
            "configuration in force",
            extra={
                "generation": bundle.generation,
                "origin": origin,
                "routes": len(bundle.routes),
                "customers": {
                    name: min(customer.route_tiers.values(), default="")
                    for name, customer in bundle.customers.items()
                },
                "keys": sum(
                    len(customer.key_hashes)
                    for customer in bundle.customers.values()
                ),
                "public_routes": sum(
                    route.public for route in bundle.routes.values()
                ),
            },
        )
        self._publish()

    def _apply_replica_changes(
        self, changes: store.Changes, is_snapshot: bool
    ) -> None:
        now = steadyclock.read()
        missed = self._replica_registry.missed_count
        self._knows_replicas = True
        if self._replica_reader.in_outage:
            self._replica_registry.record_store_recovery(now)
        # That of the copy before these changes.
        current_at = self._replica_reader.fresh_at
        if is_snapshot:
            self._replica_registry.apply_snapshot(
                changes.records, now, changes.end, current_at
            )
        else:
            self._replica_registry.apply_changes(
                changes.records, now, current_at
            )
        self._retention_changed.set()
        self._retention_changed = anyio.Event()
        if is_snapshot or self._replica_registry.missed_count != missed:
            # Only the store shows what served before, see ReleaseHistory.
            self.on_gap(now, changes.end)
        if is_snapshot or changes.records:
            # Empty reads, which a watching VM gets once per second, must not
            # publish: each bundle costs shard owners some work.
            self._publish()

    def describe_replica(self, name: str) -> dict[str, Any]:
        """Returns on what this VM's belief about a replica rests, for logs.

        Returns:
            ``position`` of the replica's record (None for an unknown replica);
            ``end`` of the stream of replicas that is known here; ``age_s``, how
            long ago the store had no records beyond it; ``origin``, who said
            so.
        """
        reader = self._replica_reader
        age_s = steadyclock.read() - reader.fresh_at
        return {
            "position": self._replica_registry.find_position(name),
            "end": reader.end,
            "age_s": round(age_s, 3) if reader.end is not None else None,
            "origin": reader.fresh_origin,
        }

    @property
    def replica_position(self) -> int:
        """End of the stream of replicas that is known here."""
        return self._replica_reader.end or 0

    def list_releases(self) -> dict[str, set[str]]:
        """Returns the releases of all known replicas by service.

        They include those of replicas that have gone and may still be granted,
        and of services that the configuration does not name.
        """
        releases: dict[str, set[str]] = {}
        for replica in self._replica_registry.list_replicas().values():
            releases.setdefault(replica.service, set()).add(replica.release)
        return releases

    def _record_store_error(self) -> None:
        self._replica_registry.record_store_error(steadyclock.read())

    def _on_store_rollback(self) -> None:
        """Retains replicas whose records were lost, as after an outage.

        The writers of lost records write them again.
        """
        self._replica_registry.record_store_recovery(steadyclock.read())

    def _has_pending_checks(self) -> bool:
        """Returns whether records are missing or known to be unread."""
        return (
            self._replica_registry.has_missing_records
            or self._evacuations.has_missing_records
            or any(reader.is_behind for reader in self._readers)
        )

    async def _run_expiry(self) -> None:
        """Stops the use of kept replicas exactly when they expire."""
        while True:
            changed = self._retention_changed
            due_s = self._replica_registry.next_expiry_at - steadyclock.read()
            with anyio.move_on_after(max(0.0, due_s)):
                await changed.wait()
            if self._replica_registry.expire(steadyclock.read()):
                self._publish()

    async def _run_checks(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._has_pending_checks():
                self._woken = anyio.Event()
                with anyio.move_on_after(
                    IDLE_CHECK_INTERVAL_S - CHECK_INTERVAL_S
                ):
                    await self._woken.wait()
            for reader in self._readers:
                reader.check_pending_read()
            now = steadyclock.read()
            self._warn_if_not_ready(now)
            replicas_gone = self._replica_registry.expire(now)
            evacuations_ended = self._evacuations.expire(now)
            if replicas_gone or evacuations_ended:
                self._publish()

    def _warn_if_not_ready(self, now: float) -> None:
        """Warns at a decreasing rate while this VM has no bundle in force."""
        waited_s = now - self._started_at
        due_s = max(NOT_READY_WARNING_S, 2 * self._warned_after_s)
        if self._in_force is not None or waited_s < due_s:
            return
        self._warned_after_s = waited_s
        LOG.warning(
            "no bundle in force yet",
            extra={
                "waited_s": round(waited_s, 2),
                "has_configuration": self._declared is not None,
                "knows_replicas": self._knows_replicas,
                "records": self._store.intake.describe(),
                "streams": {
                    reader.stream: {
                        "in_outage": reader.in_outage,
                        "reads": reader.watching,
                        "end": reader.end,
                        "told": reader.known_end,
                    }
                    for reader in self._readers
                },
            },
        )

    def _publish(self) -> None:
        if self._declared is None or not self._knows_replicas:
            # Without replicas a starting VM would refuse its first requests.
            return
        try:
            self._put_in_force(self._declared)
        except Exception:
            # The records that were read stay applied: reading them again would
            # fail again, and changes behind them would never be read.
            self._publish_failures += 1
            LOG.exception("bundle not put in force")

    def _put_in_force(self, declared: model.Bundle) -> None:
        bundle = add_replicas(
            declared,
            self._replica_registry.list_replicas(),
            self._evacuations.zones,
            self._regions,
        )
        orders = self._rollouts.list_orders()
        bundle = msgspec.structs.replace(bundle, rollouts=orders)
        envelope = signature.Envelope(self._text, {})
        if self._in_force is None:
            LOG.info(
                "first bundle in force",
                extra={
                    "generation": bundle.generation,
                    "after_s": round(steadyclock.read() - self._started_at, 3),
                    "servers": len(bundle.backend_servers),
                    "records": self._store.intake.describe(),
                    "origins": {
                        reader.stream: reader.origin for reader in self._readers
                    },
                },
            )
        self._in_force = acceptance.InForce(bundle, envelope)
        self._on_bundle(self._in_force)


def add_replicas(
    declared: model.Bundle,
    replicas_by_name: dict[str, peer_message.Replica],
    evacuated: Collection[str] = (),
    regions: Mapping[str, str] = MappingProxyType({}),
) -> model.Bundle:
    """Returns the declared bundle with the current backend servers.

    Args:
        declared: The bundle without backend servers.
        replicas_by_name: The replicas.
        evacuated: Availability zones whose backend servers get no new work.
        regions: Region of each availability zone, if known.
    """
    known = {
        n: r
        for n, r in replicas_by_name.items()
        if r.service in declared.services
    }
    engines = dict(declared.engines)
    for replica in known.values():
        engines[_name_engine(replica)] = msgspec.structs.replace(
            declared.engines[replica.service], max_running=replica.slots
        )
    zones = scheduling_zone.SchedulingZones(regions)
    servers = {
        name: model.BackendServer(
            zone=zones.find(replica.zone),
            service=replica.service,
            engine=_name_engine(replica),
            url=f"http://{replica.address}",
            leaving=replica.leaving or replica.zone in evacuated,
            availability_zone=replica.zone,
            region=regions.get(replica.zone, ""),
            run=replica.run,
            warm_at=replica.warm_at,
            release=replica.release,
            is_zone_known=replica.is_zone_known,
        )
        for name, replica in known.items()
    }
    return msgspec.structs.replace(
        declared, engines=engines, backend_servers=servers
    )


def _ignore_gap(since: float, position: int) -> None:
    """Default for ``Follower.on_gap``."""


def _pick_no_peer() -> str | None:
    """Default for ``Follower.pick_peer`` until the peers are known."""
    return None


def _name_engine(replica: peer_message.Replica) -> str:
    return f"{replica.service}.{replica.slots}"
