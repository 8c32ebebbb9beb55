"""The task that follows the log of bundles."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from ramptray.bundle import acceptance, model, signature
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.platform import log as platform_log

LOG = logging.getLogger(__name__)

STREAM = "bundles"
WAIT_S = 10.0
RETRY_S = 0.3
FETCH_S = 3.0
CHECKPOINT_EVERY = 50
"""Records read after which a checkpoint is due, give or take chance."""


class Follower:
    """Follows the log, learns from peers and leaves checkpoints.

    Args:
        log: The platform's log.
        trust: Who may sign the first bundle.
        client: Asks peers.
        rng: Spreads the checkpoints over the schedulers.
        on_change: Called with each bundle that comes into force.
    """

    def __init__(
        self,
        log: platform_log.Log,
        trust: model.Operators,
        client: peer_link.PeerClient,
        rng: random.Random,
        on_change: Callable[[acceptance.InForce], None],
    ) -> None:
        self._log = log
        self._acceptance = acceptance.Acceptance(trust)
        self._client = client
        self._rng = rng
        self._on_change = on_change
        self._announced = 0
        self._since_checkpoint = 0
        self.log_up = False

    @property
    def in_force(self) -> acceptance.InForce | None:
        """The bundle in force on this VM."""
        return self._acceptance.in_force

    async def run(self) -> None:
        """Follows the log until cancelled."""
        while True:
            try:
                await self._read_on()
                self.log_up = True
            except platform_log.PlatformError as error:
                self.log_up = False
                LOG.warning("log of bundles: %s", error)
                await anyio.sleep(RETRY_S)

    async def fetch(self, address: str, generation: int) -> None:
        """Takes a newer bundle from a peer."""
        current = self.in_force.generation if self.in_force else 0
        if generation <= current:
            return
        try:
            answer = await self._client.ask(
                address, peer_message.FetchBundle(current), FETCH_S
            )
        except peer_link.LinkError as error:
            LOG.info("bundle from a peer: %s", error)
            return
        if answer.envelope and self._acceptance.learn(answer.envelope):
            self._announce()

    def answer(
        self, question: peer_message.FetchBundle
    ) -> peer_message.FetchedBundle:
        """Returns the bundle in force if it is newer than the peer's."""
        current = self.in_force
        if current is None or current.generation <= question.above:
            return peer_message.FetchedBundle(None)
        return peer_message.FetchedBundle(current.envelope)

    async def _read_on(self) -> None:
        page = await self._log.read(
            STREAM, self._acceptance.next_offset, WAIT_S
        )
        self._acceptance.skip_to(page.first_retained)
        for record in page.records:
            parsed = parse_record(record.body)
            if parsed is None:
                LOG.warning("record %s is not a bundle", record.offset)
                continue
            verdict = self._acceptance.read(record.offset, parsed)
            LOG.info("bundle record", extra={"verdict": verdict.value})
            self._announce()
        self._since_checkpoint += len(page.records)
        await self._leave_checkpoint()

    async def _leave_checkpoint(self) -> None:
        """Leaves a checkpoint now and then, so that the log may forget.

        Which scheduler does it is left to chance; two checkpoints do no harm.
        """
        view = self._acceptance.log_view
        due = CHECKPOINT_EVERY * self._rng.uniform(1.0, 2.0)
        if view is None or self._since_checkpoint < due:
            return
        self._since_checkpoint = 0
        through = self._acceptance.next_offset - 1
        checkpoint = acceptance.Checkpoint(view.envelope, through)
        await self._log.append(STREAM, format_record(checkpoint))

    def _announce(self) -> None:
        current = self.in_force
        if current and current.generation > self._announced:
            self._announced = current.generation
            self._on_change(current)


def format_record(record: acceptance.Record) -> dict[str, Any]:
    """Returns a record as it stands in the log."""
    body: dict[str, Any] = {
        "text": record.envelope.text,
        "signatures": record.envelope.signatures,
    }
    if isinstance(record, acceptance.Checkpoint):
        body["through_offset"] = record.through_offset
    return body


def parse_record(body: dict[str, Any]) -> acceptance.Record | None:
    """Returns the record that stands in the log, if it is one."""
    try:
        envelope = msgspec.convert(
            {key: body[key] for key in ("text", "signatures")},
            signature.Envelope,
        )
        if "through_offset" not in body:
            return acceptance.Rollout(envelope)
        return acceptance.Checkpoint(envelope, int(body["through_offset"]))
    except (KeyError, ValueError, TypeError, msgspec.ValidationError):
        return None
