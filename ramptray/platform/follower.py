"""The tasks that follow the store and put configurations in force."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from types import MappingProxyType

import anyio
import msgspec

from ramptray import steadyclock
from ramptray.bundle import acceptance, model, signature
from ramptray.caller import metrics
from ramptray.core import membership
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.platform import (
    config,
    evacuation,
    replicas,
    rollout,
    settings,
    store,
    topic,
)
from ramptray.scheduler import distributor, source

LOG = logging.getLogger(__name__)

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
REPLICA_TOPIC = "keyed.servers"

FETCH_TIMEOUT_S = 1.0
"""Longest time for a peer to hand over what it has, in seconds: less than the
two seconds in which that must be in force."""

CHECK_INTERVAL_S = 0.2
"""Pause between two looks at what has expired or was lost, in seconds."""

IDLE_CHECK_INTERVAL_S = 1.0
"""The same while no record is missing or known to be outstanding."""

PEER_FETCH_INTERVAL_S = 0.5
"""How often a VM that the store turns away asks a peer, in seconds: what the
store has must be in force everywhere within about two seconds."""

OnBundle = Callable[[acceptance.InForce], None]


class Follower(source.BundleSource):
    """Follows configuration and replicas, from the store and from peers.

    Versions only rise: an old read, or a peer that is behind, changes nothing.

    Args:
        me: This VM.
        seeds: Addresses of some VMs; they may be stale.
        first_start: Whether all VMs start for the first time.
        reader: The store.
        client: Asks peers.
        hold_s: See ``replicas.ReplicaRegistry``.
        zones: Region of each availability zone; empty where that is not
            given.
        terms: How customers' limits are judged.
        rollout_terms: How much a release that turns out bad may get.
        on_bundle: Called with each bundle that comes into force.

    Attributes:
        pick_peer: Returns some peer's address, if there is any.
    """

    def __init__(
        self,
        me: membership.Member,
        seeds: Iterable[str],
        first_start: bool,
        reader: store.Store,
        client: peer_link.PeerClient,
        hold_s: float,
        zones: Mapping[str, str],
        terms: settings.LimitTerms,
        rollout_terms: settings.RolloutTerms,
        on_bundle: OnBundle,
    ) -> None:
        super().__init__(client, FETCH_TIMEOUT_S)
        self.pick_peer: Callable[[], str | None] = _pick_none
        self._in_force: acceptance.InForce | None = None
        self._parser = config.ConfigParser(terms)
        self._book = replicas.ReplicaRegistry(hold_s, zones)
        self._regions = zones
        self._evacuations = evacuation.EvacuationRegistry()
        self._rollouts = rollout.RolloutOrderRegistry(rollout_terms)
        self._on_bundle = on_bundle
        self._declared: model.Bundle | None = None
        self._text = ""
        self._config = topic.TopicReader(
            reader, CONFIG_TOPIC, self._take_config, self._note_trouble
        )
        self._replicas = topic.TopicReader(
            reader, REPLICA_TOPIC, self._take_replicas, self._note_trouble
        )
        self._readers = (self._config, self._replicas)
        self._hurry = anyio.Event()
        self._distributor = distributor.StreamDistributor(
            me,
            seeds,
            first_start,
            client,
            [
                distributor.FollowedStream(each, each.mirror)
                for each in self._readers
            ],
        )
        self._distributor.get_outage = self._book.get_outage
        self._distributor.on_outage = self._record_outage
        reader.add_rollback_listener(self._note_older_copy)

    async def run(self) -> None:
        """Follows until cancelled."""
        async with anyio.create_task_group() as tasks:
            for reader in self._readers:
                tasks.start_soon(reader.run)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._distributor.run)
            tasks.start_soon(self._ask_peers)

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
        if self._is_unsettled():
            self._hurry.set()
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
        """Has this VM look at once at what it follows and what it knows."""
        self._hurry.set()
        self._distributor.wake()

    async def serve_streams(
        self, asked: peer_message.FollowStreams
    ) -> peer_message.ToldStreams:
        """See the base class."""
        return await self._distributor.serve_updates(asked)

    async def fetch(self, address: str, generation: int) -> None:
        """See the base class.

        The VMs that this one follows send the change as a difference.
        """

    async def fetch_newer(self, address: str) -> None:
        """See the base class."""
        await self._distributor.fetch_updates(address)

    def _record_outage(self, outage: distributor.LogOutage) -> None:
        self._book.merge_outage(outage, steadyclock.read())

    def set_on_stream_advance(self, on_advance: Callable[[], None]) -> None:
        """See the base class."""
        for reader in self._readers:
            reader.on_advance = on_advance

    def accept_from_peer(
        self, address: str, fetched: peer_message.FetchedBundle
    ) -> None:
        """See the base class."""
        if fetched.envelope:
            self._take_text(fetched.envelope.text, f"peer {address}")

    def list_gauges(self, now: float) -> list[metrics.Gauge]:
        """Returns the reads of the store and the generation in force."""
        gauges = [
            gauge
            for reader in self._readers
            for gauge in reader.list_gauges(now)
        ]
        count = self._book.unusable_count
        gauges.append(metrics.Gauge("records_unusable", {}, count))
        if self._declared:
            generation = self._declared.generation
            gauges.append(metrics.Gauge("generation", {}, generation))
        return gauges

    async def _ask_peers(self) -> None:
        """Asks peers while the store turns this VM away."""
        while True:
            await anyio.sleep(PEER_FETCH_INTERVAL_S)
            peer = None if self.log_up else self.pick_peer()
            if peer is not None:
                await self.fetch_newer(peer)

    # What was read.

    def _take_config(self, changes: store.Changes, whole: bool) -> None:
        now = steadyclock.read()
        zones_changed = self._evacuations.apply(changes.records, whole, now)
        orders_changed = self._rollouts.apply(changes.records, whole, now)
        if zones_changed or orders_changed:
            self._publish()
        for change in changes.records:
            if change.key == CONFIG_KEY and change.value is not None:
                text = change.value.decode("utf-8", errors="replace")
                self._take_text(text, self._config.origin)

    def _take_text(self, text: str, origin: str) -> None:
        try:
            bundle = self._parser.parse(text)
        except config.ConfigError as error:
            LOG.error(
                "configuration passed over",
                extra={"origin": origin, "detail": str(error)},
            )
            return
        if self._declared and bundle.generation <= self._declared.generation:
            return
        self._declared = bundle
        self._text = text
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
            },
        )
        self._publish()

    def _take_replicas(self, changes: store.Changes, whole: bool) -> None:
        now = steadyclock.read()
        if self._replicas.in_outage:
            self._book.record_store_recovery(now)
        if whole:
            self._book.apply_snapshot(changes.records, now, changes.end)
        else:
            self._book.apply_changes(changes.records, now)
        if whole or changes.records:
            # Each bundle costs an owner some work, and a watcher hears once a
            # second that nothing has changed.
            self._publish()

    def _note_trouble(self) -> None:
        self._book.record_store_error(steadyclock.read())

    def _note_older_copy(self) -> None:
        """Keeps replicas whose records are lost as long as after an outage.

        The writers of lost records write them again.
        """
        self._book.record_store_recovery(steadyclock.read())

    def _is_unsettled(self) -> bool:
        """Returns whether a moment is near at which something is due."""
        return (
            self._book.has_missing_records
            or self._evacuations.has_missing_records
            or any(reader.is_behind for reader in self._readers)
        )

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._is_unsettled():
                self._hurry = anyio.Event()
                with anyio.move_on_after(
                    IDLE_CHECK_INTERVAL_S - CHECK_INTERVAL_S
                ):
                    await self._hurry.wait()
            for reader in self._readers:
                reader.check_pending_read()
            now = steadyclock.read()
            replicas_gone = self._book.expire(now)
            evacuations_ended = self._evacuations.expire(now)
            if replicas_gone or evacuations_ended:
                self._publish()

    def _publish(self) -> None:
        if self._declared is None:
            return
        bundle = add_replicas(
            self._declared,
            self._book.list_replicas(),
            self._evacuations.zones,
            self._regions,
        )
        orders = self._rollouts.list_orders()
        bundle = msgspec.structs.replace(bundle, rollouts=orders)
        envelope = signature.Envelope(self._text, {})
        self._in_force = acceptance.InForce(bundle, envelope)
        self._on_bundle(self._in_force)


def add_replicas(
    declared: model.Bundle,
    found: dict[str, peer_message.Replica],
    evacuated: Collection[str] = (),
    regions: Mapping[str, str] = MappingProxyType({}),
) -> model.Bundle:
    """Returns the declared bundle with its backend servers as they are now.

    Args:
        declared: The bundle.
        found: The replicas.
        evacuated: Availability zones whose backend servers get no new work.
        regions: Region of each availability zone, as far as it is known.
    """
    known = {n: r for n, r in found.items() if r.service in declared.services}
    engines = dict(declared.engines)
    for replica in known.values():
        engines[_name_engine(replica)] = msgspec.structs.replace(
            declared.engines[replica.service], max_running=replica.slots
        )
    servers = {
        name: model.BackendServer(
            zone=config.DOMAIN,
            service=replica.service,
            engine=_name_engine(replica),
            url=f"http://{replica.address}",
            leaving=replica.leaving or replica.zone in evacuated,
            availability_zone=replica.zone,
            region=regions.get(replica.zone, ""),
            run=replica.run,
            warm_at=replica.warm_at,
            release=replica.release,
        )
        for name, replica in known.items()
    }
    return msgspec.structs.replace(
        declared, engines=engines, backend_servers=servers
    )


def _pick_none() -> str | None:
    """Stands in until the peers are known."""
    return None


def _name_engine(replica: peer_message.Replica) -> str:
    return f"{replica.service}.{replica.slots}"
