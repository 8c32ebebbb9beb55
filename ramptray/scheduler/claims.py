"""The task that claims idempotency keys on the log, in batched appends."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import msgspec
from anyio.streams import memory

from ramptray import decoding, steadyclock
from ramptray.core import claim
from ramptray.log import client as log_client
from ramptray.log import pages
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.scheduler import event

LOG = logging.getLogger(__name__)

BATCH_DELAY_S = 0.04
"""How long claims are collected for one append, in seconds."""

MAX_BATCH_RECORDS = 500
LONG_POLL_WAIT_S = 10.0
RETRY_DELAY_S = 0.2
TICK_INTERVAL_S = 0.5
CLAIM_TIMEOUT_S = 2.0
"""How long a claim may wait for the log before it fails, in seconds."""

INBOX_CAPACITY = 100_000


class _PendingClaim(msgspec.Struct):
    session: peer_link.Session
    wish: peer_message.ClaimKey
    since: float


class ClaimReader(pages.PageReader):
    """Follows a claim stream, without a delay to batch reads: claims wait.

    Args:
        log: The log.
        stream: The stream's name.
        on_page: Called with each page.
    """

    def __init__(
        self,
        log: log_client.Log,
        stream: str,
        on_page: Callable[[log_client.Page], None],
    ) -> None:
        super().__init__(log, stream, LONG_POLL_WAIT_S, batch_delay_s=0.0)
        self._apply_page = on_page

    async def apply_page(self, page: log_client.Page, first: bool) -> None:
        """See the base class."""
        self._apply_page(page)


class Partition(msgspec.Struct):
    """One claim stream: its state as far as read, and the pending claims."""

    number: int
    reader: ClaimReader
    ledger: claim.ClaimLedger = msgspec.field(default_factory=claim.ClaimLedger)
    pending: dict[str, _PendingClaim] = msgspec.field(default_factory=dict)
    outbox: list[claim.ClaimRecord] = msgspec.field(default_factory=list)
    scope: anyio.CancelScope = msgspec.field(default_factory=anyio.CancelScope)
    wake: anyio.Event = msgspec.field(default_factory=anyio.Event)


class ClaimManager:
    """Handles the claims in the partitions that this scheduler serves."""

    def __init__(
        self,
        log: log_client.Log,
        on_decision: Callable[
            [peer_link.Session, peer_message.ClaimDecision], None
        ],
    ) -> None:
        self._log = log
        self._on_decision = on_decision
        self._partitions: dict[int, Partition] = {}
        send, receive = anyio.create_memory_object_stream[Any](INBOX_CAPACITY)
        self._send: memory.MemoryObjectSendStream[Any] = send
        self._receive: memory.MemoryObjectReceiveStream[Any] = receive
        self._tasks: anyio.abc.TaskGroup | None = None

    def post(self, posted: Any) -> None:
        """Adds an event to the inbox."""
        self._send.send_nowait(posted)

    async def run(self) -> None:
        """Handles events until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._run_ticks)
            async for posted in self._receive:
                self._handle(posted)

    def _handle(self, posted: Any) -> None:
        match posted:
            case event.ClaimRequested(session, claim_request):
                self._request_claim(session, claim_request)
            case event.ClaimReleased(release):
                partition = self._get_partition(release.key)
                partition.pending.pop(release.attempt, None)
                self._enqueue_record(
                    partition,
                    claim.ClaimRecord(
                        claim.RecordKind.RELEASE, release.key, release.attempt
                    ),
                )
            case event.ClaimFinished(finish):
                self._enqueue_record(
                    self._get_partition(finish.key),
                    claim.ClaimRecord(
                        claim.RecordKind.DONE,
                        finish.key,
                        finish.attempt,
                        status=finish.status,
                    ),
                )
            case event.PartitionsChanged(numbers):
                self._update_partitions(numbers)

    def _request_claim(
        self, session: peer_link.Session, claim_request: peer_message.ClaimKey
    ) -> None:
        partition = self._get_partition(claim_request.key)
        existing = partition.pending.get(claim_request.attempt)
        if existing is not None:
            existing.session = session
            return
        partition.pending[claim_request.attempt] = _PendingClaim(
            session, claim_request, steadyclock.read()
        )
        self._enqueue_record(partition, _make_claim_record(claim_request))

    def _enqueue_record(
        self, partition: Partition, record: claim.ClaimRecord
    ) -> None:
        partition.outbox.append(record)
        partition.wake.set()

    def _get_partition(self, key: str) -> Partition:
        return self._open_partition(claim.get_partition(key))

    def _open_partition(self, number: int) -> Partition:
        if number not in self._partitions:
            partition = self._make_partition(number)
            self._partitions[number] = partition
            assert self._tasks is not None
            self._tasks.start_soon(self._run_partition, partition)
        return self._partitions[number]

    def _make_partition(self, number: int) -> Partition:
        def take(page: log_client.Page) -> None:
            self._apply_page(partition, page)

        name = f"claims-{number}"
        partition = Partition(number, ClaimReader(self._log, name, take))
        return partition

    def _update_partitions(self, numbers: frozenset[int]) -> None:
        for number in numbers:
            self._open_partition(number)
        for number, partition in list(self._partitions.items()):
            busy = partition.pending or partition.outbox
            if number not in numbers and not busy:
                partition.scope.cancel()
                del self._partitions[number]

    async def _run_partition(self, partition: Partition) -> None:
        with partition.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._append_batches, partition)
                await partition.reader.run()

    async def _append_batches(self, partition: Partition) -> None:
        while True:
            await partition.wake.wait()
            await anyio.sleep(BATCH_DELAY_S)
            partition.wake = anyio.Event()
            batch = partition.outbox[:MAX_BATCH_RECORDS]
            if not batch:
                continue
            body = {"records": [_to_builtins(record) for record in batch]}
            try:
                offset = await self._log.append(partition.reader.stream, body)
            except log_client.PlatformError as error:
                # The append may still take effect; appending twice is harmless.
                LOG.info("could not append claims: %s", error)
                await anyio.sleep(RETRY_DELAY_S)
            else:
                del partition.outbox[: len(batch)]
                # Lets the reader detect that its pending read was lost.
                partition.reader.update_known_end(offset + 1)
            if partition.outbox:
                partition.wake.set()

    def _apply_page(self, partition: Partition, page: log_client.Page) -> None:
        for record in page.records:
            self._apply_records(partition, record.body)
        self._decide_pending(partition)

    def _apply_records(
        self, partition: Partition, body: dict[str, Any]
    ) -> None:
        try:
            with decoding.translate_errors():
                records = msgspec.convert(
                    body.get("records"), list[claim.ClaimRecord]
                )
        except decoding.DecodeError as error:
            LOG.warning("invalid record in a claim stream: %s", error)
            return
        for record in records:
            partition.ledger.apply(record)

    def _decide_pending(self, partition: Partition) -> None:
        for attempt, pending in list(partition.pending.items()):
            claim_request = pending.wish
            claim_status = partition.ledger.get_claim_status(
                claim_request.key, attempt, claim_request.digest
            )
            if claim_status is not None:
                self._send_decision(partition, pending, claim_status)

    def _send_decision(
        self,
        partition: Partition,
        pending: _PendingClaim,
        claim_status: claim.ClaimStatus,
    ) -> None:
        claim_request = pending.wish
        del partition.pending[claim_request.attempt]
        status = partition.ledger.get_response_status(claim_request.key)
        self._on_decision(
            pending.session,
            peer_message.ClaimDecision(
                claim_request.attempt, claim_status.value, status
            ),
        )

    async def _run_ticks(self) -> None:
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            expires_before = steadyclock.read() - CLAIM_TIMEOUT_S
            for partition in list(self._partitions.values()):
                partition.reader.check_pending_read()
                for pending in list(partition.pending.values()):
                    if pending.since < expires_before:
                        self._expire(partition, pending)

    def _expire(self, partition: Partition, pending: _PendingClaim) -> None:
        """Fails a claim because the log is unavailable.

        The attempt is not released here, only by the entry: another scheduler
        may have confirmed that the attempt holds the key, and the entry may
        have dispatched it.
        """
        self._send_decision(partition, pending, claim.ClaimStatus.UNAVAILABLE)


def _make_claim_record(
    claim_request: peer_message.ClaimKey,
) -> claim.ClaimRecord:
    return claim.ClaimRecord(
        claim.RecordKind.CLAIM,
        claim_request.key,
        claim_request.attempt,
        claim_request.digest,
    )


def _to_builtins(record: claim.ClaimRecord) -> dict[str, Any]:
    fields: dict[str, Any] = msgspec.to_builtins(record)
    return fields
