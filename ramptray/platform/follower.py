"""The tasks that follow the store and put configurations in force."""

from __future__ import annotations

import dataclasses
import logging
import random
import time
from collections.abc import Callable

import anyio

from ramptray.bundle import acceptance, model, signature
from ramptray.caller import metrics
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.platform import config, replicas, settings, store
from ramptray.scheduler import source

LOG = logging.getLogger(__name__)

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
REPLICA_TOPIC = "keyed.servers"

RETRY_S = 0.25
"""Pause after a failed call, in seconds; it doubles up to the longest."""

MAX_RETRY_S = 1.0
"""Longest pause between two failed calls, in seconds: what the store has must
be in force about two seconds after it answers again."""

FETCH_S = 1.0
"""Longest time for a peer to hand over what it has, in seconds: less than the
two seconds in which that must be in force."""

EXPIRE_EVERY_S = 0.2
ASK_PEERS_EVERY_S = 0.5
"""How often a VM that the store turns away asks a peer, in seconds: what the
store has must be in force everywhere within about two seconds."""

GATHER_S = 0.4
"""Pause after an answer with records, in seconds, so that changes that come
together cost one call: a fifth of the time in which a change must be in
force."""


@dataclasses.dataclass(slots=True)
class _ReadState:
    """What is known of the reads of one topic.

    Attributes:
        end: Offset up to which records were read; None before the first.
        asked_at: When the read underway was sent, None between reads.
        answered_at: When the last answer came, None before the first.
        lost_at: Since when the store does not answer, None while it does.
    """

    end: int | None = None
    asked_at: float | None = None
    answered_at: float | None = None
    lost_at: float | None = None


OnBundle = Callable[[acceptance.InForce], None]


class Follower(source.BundleSource):
    """Follows configuration and replicas, from the store and from peers.

    Versions only rise: an old read, or a peer that is behind, changes nothing.

    Args:
        reader: The store.
        client: Asks peers.
        hold_s: See ``replicas.ReplicaBook``.
        terms: How customers' limits are judged.
        on_bundle: Called with each bundle that comes into force.

    Attributes:
        pick_peer: Returns some peer's address, if there is any.
    """

    def __init__(
        self,
        reader: store.Store,
        client: peer_link.PeerClient,
        hold_s: float,
        terms: settings.LimitTerms,
        on_bundle: OnBundle,
    ) -> None:
        super().__init__(client, FETCH_S)
        self.pick_peer: Callable[[], str | None] = _pick_nobody
        self._in_force: acceptance.InForce | None = None
        self._read_at: float | None = None
        self._store = reader
        self._terms = terms
        self._book = replicas.ReplicaBook(hold_s)
        self._on_bundle = on_bundle
        self._declared: model.Bundle | None = None
        self._text = ""
        self._lost: set[str] = set()
        self._reads = {
            topic: _ReadState() for topic in (CONFIG_TOPIC, REPLICA_TOPIC)
        }

    async def run(self) -> None:
        """Follows until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow, CONFIG_TOPIC, self._take_config)
            tasks.start_soon(self._follow, REPLICA_TOPIC, self._take_replicas)
            tasks.start_soon(self._expire)
            tasks.start_soon(self._ask_peers)

    @property
    def in_force(self) -> acceptance.InForce | None:
        """See the base class."""
        return self._in_force

    @property
    def log_up(self) -> bool:
        """See the base class."""
        return not self._lost

    def get_log_age(self, now: float) -> float | None:
        """See the base class."""
        return None if self._read_at is None else round(now - self._read_at, 1)

    def take_from_peer(
        self, address: str, told: peer_message.FetchedBundle
    ) -> None:
        """See the base class."""
        if told.envelope:
            self._take_text(told.envelope.text, f"peer {address}")
        if told.fresh and REPLICA_TOPIC in self._lost:
            self._book.take_from_peer(told.replicas, time.monotonic())
            self._publish()

    def answer(
        self, question: peer_message.FetchBundle
    ) -> peer_message.FetchedBundle:
        """See the base class."""
        told = super().answer(question)
        fresh = REPLICA_TOPIC not in self._lost and self._read_at is not None
        return dataclasses.replace(
            told, replicas=self._book.list_replicas(), fresh=fresh
        )

    def list_gauges(self, now: float) -> list[metrics.Gauge]:
        """Returns how far and how old the reads of the store are.

        An old read underway beside an old answer is a read that was lost; an
        old answer alone is a topic in which nothing changes.
        """
        gauges: list[metrics.Gauge] = []
        for topic, read in self._reads.items():
            # No read underway, and no outage, is an age of 0; no answer yet
            # has no age.
            ages = {
                "store_read_underway_seconds": _measure_age(read.asked_at, now),
                "store_lost_seconds": _measure_age(read.lost_at, now),
            }
            values = {name: age or 0.0 for name, age in ages.items()}
            if read.answered_at is not None:
                age_s = round(now - read.answered_at, 3)
                values["store_answer_age_seconds"] = age_s
            if read.end is not None:
                values["store_end"] = read.end
            gauges.extend(
                metrics.Gauge(name, {"topic": topic}, value)
                for name, value in values.items()
            )
        if self._declared:
            generation = self._declared.generation
            gauges.append(metrics.Gauge("generation", {}, generation))
        return gauges

    # The store.

    async def _follow(
        self, topic: str, take: Callable[[store.Changes, bool], None]
    ) -> None:
        """Reads a topic's newest records, then each change as it comes."""
        offset: int | None = None
        pause_s = RETRY_S
        while True:
            try:
                self._reads[topic].asked_at = time.monotonic()
                found = await self._read(topic, offset, take)
                self._note_read(topic, offset, found)
                offset = found.end
                pause_s = RETRY_S
                self._read_at = time.monotonic()
                self._note_answer(topic)
                if found.records:
                    await anyio.sleep(GATHER_S)
            except store.TrimmedError as error:
                LOG.info("history was dropped: %s", error)
                offset = None
            except store.StoreError as error:
                self._note_trouble(topic, error)
                await anyio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(pause_s * 2, MAX_RETRY_S)

    async def _read(
        self,
        topic: str,
        offset: int | None,
        take: Callable[[store.Changes, bool], None],
    ) -> store.Changes:
        if offset is None:
            found = await self._store.read_newest(topic)
            take(found, True)
        else:
            # A read that waits would tell only with the next record that the
            # store is back.
            wait_s = 0.0 if topic in self._lost else store.WAIT_S
            found = await self._store.read_changes(topic, offset, wait_s)
            take(found, False)
        return found

    def _note_read(
        self, topic: str, offset: int | None, found: store.Changes
    ) -> None:
        now = time.monotonic()
        read = self._reads[topic]
        LOG.info(
            "store read",
            extra={
                "topic": topic,
                "offset": offset,
                "end": found.end,
                "records": len(found.records),
                "waited_s": _measure_age(read.asked_at, now),
            },
        )
        read.end = found.end
        read.asked_at = None
        read.answered_at = now

    def _note_trouble(self, topic: str, error: store.StoreError) -> None:
        now = time.monotonic()
        self._book.note_trouble(now)
        read = self._reads[topic]
        if topic not in self._lost:
            self._lost.add(topic)
            LOG.warning(
                "store lost",
                extra={
                    "topic": topic,
                    "detail": str(error),
                    "waited_s": _measure_age(read.asked_at, now),
                    "answer_age_s": _measure_age(read.answered_at, now),
                },
            )
            read.lost_at = now
        read.asked_at = None

    def _note_answer(self, topic: str) -> None:
        if topic in self._lost:
            self._lost.discard(topic)
            read = self._reads[topic]
            away_s = _measure_age(read.lost_at, time.monotonic())
            LOG.info("store regained", extra={"topic": topic, "away_s": away_s})
            read.lost_at = None

    async def _ask_peers(self) -> None:
        """Asks peers while the store turns this VM away."""
        while True:
            await anyio.sleep(ASK_PEERS_EVERY_S)
            peer = self.pick_peer() if self._lost else None
            if peer is not None:
                await self.ask(peer)

    # What was read.

    def _take_config(self, changes: store.Changes, whole: bool) -> None:
        for change in changes.records:
            if change.key == CONFIG_KEY and change.value is not None:
                text = change.value.decode("utf-8", errors="replace")
                self._take_text(text, "store")

    def _take_text(self, text: str, origin: str) -> None:
        try:
            bundle = config.parse_config(text, self._terms)
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
        now = time.monotonic()
        if REPLICA_TOPIC in self._lost:
            self._book.note_return(now)
        if whole:
            self._book.take_all(changes.records, now)
        else:
            self._book.take_changes(changes.records, now)
        self._publish()

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(EXPIRE_EVERY_S)
            if self._book.expire(time.monotonic()):
                self._publish()

    def _publish(self) -> None:
        if self._declared is None:
            return
        bundle = add_replicas(self._declared, self._book.list_replicas())
        envelope = signature.Envelope(self._text, {})
        self._in_force = acceptance.InForce(bundle, envelope)
        self._on_bundle(self._in_force)


def add_replicas(
    declared: model.Bundle, found: dict[str, peer_message.Replica]
) -> model.Bundle:
    """Returns the declared bundle with its backend servers as they are now."""
    known = {n: r for n, r in found.items() if r.service in declared.services}
    engines = dict(declared.engines)
    for replica in known.values():
        engines[_name_engine(replica)] = declared.engines[
            replica.service
        ].model_copy(update={"max_running": replica.slots})
    servers = {
        name: model.BackendServer(
            zone=config.DOMAIN,
            service=replica.service,
            engine=_name_engine(replica),
            url=f"http://{replica.address}",
            leaving=replica.leaving,
            availability_zone=replica.zone,
        )
        for name, replica in known.items()
    }
    return declared.model_copy(
        update={"engines": engines, "backend_servers": servers}
    )


def _measure_age(since: float | None, now: float) -> float | None:
    """Returns the seconds since a moment, None where there was none."""
    return None if since is None else round(now - since, 3)


def _pick_nobody() -> str | None:
    """Stands in until the peers are known."""
    return None


def _name_engine(replica: peer_message.Replica) -> str:
    return f"{replica.service}.{replica.slots}"
