"""Follows the stream of bundles in the platform's log."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping

import anyio

from ramptray.bundle import acceptance, model, record
from ramptray.log import client as log_client
from ramptray.log import pages
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.scheduler import source

LOG = logging.getLogger(__name__)

READ_WAIT_S = 10.0
"""How long a read waits for records on VMs that do not watch, in seconds."""

READ_CHECK_INTERVAL_S = 0.2
"""Interval between checks for a lost read, in seconds."""

FETCH_TIMEOUT_S = 3.0
PAST_END_OFFSET = 2**53
"""Offset beyond the end of every stream; reading there returns the end."""

RECENT_RECORDS = 512
"""Number of records before the log's end at which a new reader starts."""

CHECKPOINT_INTERVAL = 50
"""Minimum number of records between two checkpoints."""

CHECKPOINT_JITTER = 200
"""Range of the random number of records that each scheduler waits beyond the
minimum, so that they do not all append a checkpoint at once."""


class _BundleReader(pages.PageReader):
    """Reads the stream of bundles.

    Args:
        log: The platform's log.
        follower: Applies the pages that are read.
    """

    def __init__(self, log: log_client.Log, follower: BundleFollower) -> None:
        super().__init__(log, record.STREAM, READ_WAIT_S)
        self._follower = follower

    async def read_first(self) -> log_client.Page:
        """Starts shortly before the log's end, where a checkpoint is expected.

        After some days the log holds thousands of bundles, and a new VM need
        not process them all.  It skips the older ones as if the log no longer
        retained them.
        """
        page = await self._log.read(self.stream, PAST_END_OFFSET, 0.0)
        start = page.next_offset - RECENT_RECORDS
        if start > page.first_retained:
            self._follower.skip_to(start)
        return await self._log.read(
            self.stream, self._follower.next_offset, 0.0
        )

    async def apply_page(self, page: log_client.Page, first: bool) -> None:
        """See the base class."""
        await self._follower.apply_page(page)

    def get_end(self, page: log_client.Page) -> int:
        """See the base class."""
        return self._follower.next_offset


class BundleFollower(source.BundleSource):
    """Follows bundles in the log and from peers, and appends checkpoints.

    Args:
        log: The platform's log.
        operators: Operators that may sign the first bundle.
        client: Sends requests to peers.
        rng: Source of the random number of records between checkpoints.
        on_change: Called with each bundle that comes into force.
    """

    def __init__(
        self,
        log: log_client.Log,
        operators: model.Operators,
        client: peer_link.PeerClient,
        rng: random.Random,
        on_change: Callable[[acceptance.InForce], None],
    ) -> None:
        super().__init__(client, FETCH_TIMEOUT_S)
        self._log = log
        self._operators = operators
        self._acceptance = acceptance.RolloutLogTracker(operators)
        self._reader = _BundleReader(log, self)
        self._rng = rng
        self._on_change = on_change
        self._announced_generation = 0
        self._since_checkpoint = 0
        self._checkpoint_due = CHECKPOINT_INTERVAL
        self._reset_checkpoint_count()

    @property
    def in_force(self) -> acceptance.InForce | None:
        """See the base class."""
        return self._acceptance.in_force

    @property
    def log_up(self) -> bool:
        """See the base class."""
        answered = self._reader.answered_at is not None
        return answered and not self._reader.in_outage

    def get_log_age(self, now: float) -> float | None:
        """Returns the seconds since the log last answered, None for never.

        An idle log answers every ``READ_WAIT_S`` seconds.
        """
        answered_at = self._reader.answered_at
        return None if answered_at is None else round(now - answered_at, 1)

    def list_stream_ends(self) -> dict[str, int]:
        """See the base class."""
        return {self._reader.stream: self._reader.known_end}

    def update_stream_ends(self, ends: Mapping[str, int]) -> None:
        """See the base class."""
        self._reader.update_known_end(ends.get(self._reader.stream, 0))
        self._reader.check_pending_read()

    def set_watching(self, watching: bool) -> None:
        """See the base class."""
        self._reader.set_watching(watching)

    def set_on_stream_advance(self, on_advance: Callable[[], None]) -> None:
        """See the base class."""
        self._reader.on_advance = on_advance

    async def run(self) -> None:
        """Follows the log until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reader.run)
            tasks.start_soon(self._check_reads)

    async def _check_reads(self) -> None:
        while True:
            await anyio.sleep(READ_CHECK_INTERVAL_S)
            self._reader.check_pending_read()

    def accept_from_peer(
        self, address: str, answer: peer_message.FetchedBundle
    ) -> None:
        """See the base class."""
        if answer.envelope and self._acceptance.apply_peer_bundle(
            answer.envelope
        ):
            self._announce()

    @property
    def next_offset(self) -> int:
        """Offset of the first record that was not processed yet."""
        return self._acceptance.next_offset

    def skip_to(self, start: int) -> None:
        """Skips the records before an offset."""
        self._acceptance.skip_to(start)

    def _restart_from_oldest(self) -> None:
        """Starts over at the oldest record, as no checkpoint was found."""
        LOG.warning(
            "no checkpoint in recent records; reading from the oldest one"
        )
        fresh = acceptance.RolloutLogTracker(self._operators)
        if self.in_force:
            fresh.apply_peer_bundle(self.in_force.envelope)
        self._acceptance = fresh

    async def apply_page(self, page: log_client.Page) -> None:
        """Applies the records of a page in order."""
        self._acceptance.skip_to(page.first_retained)
        for log_record in page.records:
            parsed = record.parse_record(log_record.body)
            if parsed is None:
                LOG.warning("record %s is not a bundle", log_record.offset)
                continue
            verdict = self._acceptance.apply(log_record.offset, parsed)
            LOG.info("bundle record", extra={"verdict": verdict.value})
            self._announce()
            self._since_checkpoint += 1
            if verdict is acceptance.RolloutStatus.CHECKPOINT:
                self._reset_checkpoint_count()
        caught_up = self._acceptance.next_offset >= page.next_offset
        if caught_up and self._needs_older_records(page.first_retained):
            self._restart_from_oldest()
        await self._append_checkpoint_if_due()

    def _needs_older_records(self, first_retained: int) -> bool:
        """Returns whether skipped records are needed to find a valid bundle."""
        has_no_view = self._acceptance.log_in_force is None
        return has_no_view and self._acceptance.first_offset > first_retained

    async def _append_checkpoint_if_due(self) -> None:
        """Appends a checkpoint if one is due.

        The log may then discard older records.

        Each scheduler draws at random how many records it waits for.  The first
        one to reach its number appends the checkpoint; the others reset their
        counts when they read it.
        """
        view = self._acceptance.log_in_force
        if view is None or self._since_checkpoint < self._checkpoint_due:
            return
        self._reset_checkpoint_count()
        through = self._acceptance.next_offset - 1
        checkpoint = acceptance.Checkpoint(view.envelope, through)
        await self._log.append(record.STREAM, record.format_record(checkpoint))

    def _reset_checkpoint_count(self) -> None:
        self._since_checkpoint = 0
        self._checkpoint_due = CHECKPOINT_INTERVAL + self._rng.randrange(
            CHECKPOINT_JITTER
        )

    def _announce(self) -> None:
        current = self.in_force
        if current and current.generation > self._announced_generation:
            self._announced_generation = current.generation
            self._on_change(current)
