"""Finds a configuration for a VM that starts beside one that it cannot use.

VMs in service keep the former configuration in force while the newest one is
invalid.  A VM that starts has no former one: it gets that of another VM, a copy
that VMs in service store for it, or one that the topic still retains.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable, Iterator

import anyio

from ramptray import decoding
from ramptray.bundle import delta
from ramptray.log import error as log_error
from ramptray.platform import store, stream_position, topic

LOG = logging.getLogger(__name__)

CONFIG_KEY = "config"
"""Key of the configuration in its topic."""

TOPIC = "keyed.configurations"
KEY = "in-force"

SPREAD_S = 0.3
"""Longest wait before the copy is stored, in seconds: all VMs pass over an
invalid configuration at the same time, and one of them stores the copy."""

MIN_PAUSE_S = 0.25
MAX_PAUSE_S = 5.0
"""Shortest and longest pause before another attempt, in seconds."""

MAX_RETAINED = 16
"""Number of the topic's last records that are searched.  Each may be hundreds
of kilobytes large."""

SEARCHES = 3
"""Number of searches without a result after which the valid parts of an invalid
configuration are used."""


class ConfigRecovery:
    """Stores a copy of the configuration in force, and finds one at a start.

    Args:
        client: Client of the store.
        get_text: Returns the configuration in force; empty if there is none.
        offer: Called with a configuration that was in force, and its source.
        fetch: Fetches the configuration in force at another VM.
        use_valid_parts: Called if no configuration was found; returns whether
            the invalid one has valid parts.
    """

    def __init__(
        self,
        client: store.Store,
        get_text: Callable[[], str],
        offer: Callable[[str, str], None],
        fetch: Callable[[], Awaitable[None]],
        use_valid_parts: Callable[[], bool],
    ) -> None:
        self._store = client
        self._get_text = get_text
        self._offer = offer
        self._fetch = fetch
        self._use_valid_parts = use_valid_parts
        self._is_newest_invalid = False
        self._has_copy = False
        self._searches = 0
        self._changed = anyio.Event()

    @property
    def is_newest_invalid(self) -> bool:
        """Whether the newest configuration cannot be used."""
        return self._is_newest_invalid

    def set_newest_invalid(self, is_invalid: bool) -> None:
        """Sets whether the newest configuration cannot be used."""
        if is_invalid or self._is_newest_invalid:
            self._is_newest_invalid = is_invalid
            self._changed.set()

    async def run(self) -> None:
        """Stores, discards or searches the copy until cancelled."""
        if self._is_newest_invalid or self._has_copy:
            # A former run may have failed on the way.
            self._changed.set()
        pause_s = MIN_PAUSE_S
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            try:
                is_done = await self._settle()
            except log_error.LogError as error:
                LOG.warning(
                    "copy of the configuration not reached",
                    extra={"detail": str(error)},
                )
                is_done = False
            if is_done:
                pause_s = MIN_PAUSE_S
                continue
            self._changed.set()
            await anyio.sleep(pause_s * random.uniform(0.7, 1.3))
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _settle(self) -> bool:
        """Makes one attempt; returns whether nothing is left to do.

        Raises:
            LogError: The store did not answer.
        """
        if not self._is_newest_invalid:
            if self._has_copy:
                # It may hold keys that have been taken away since.
                await self._store.append(TOPIC, KEY, b"")
                self._has_copy = False
            return True
        # It may hide a valid one from VMs that get the newest record only.
        await self._fetch()
        if not self._get_text():
            await self._search()
        if not self._get_text():
            return self._searches >= SEARCHES and self._use_valid_parts()
        await anyio.sleep(random.uniform(0.0, SPREAD_S))
        await self._save(self._get_text())
        return True

    async def _save(self, text: str) -> None:
        changes = await self._store.read_newest(TOPIC)
        if text not in self._iterate_texts(changes):
            packed = delta.make_binary_delta(b"", text.encode())
            await self._store.append(TOPIC, KEY, packed, changes.end)
            LOG.info("copy of the configuration stored")
        self._has_copy = True

    async def _search(self) -> None:
        """Offers the configurations that the store holds."""
        retained = await self._read_retained()
        copies = self._iterate_texts(await self._store.read_newest(TOPIC))
        for text in retained:
            self._offer(text, "retained record")
        for text in copies:
            self._offer(text, "copy")
        self._searches += 1

    def _iterate_texts(self, changes: store.Changes) -> Iterator[str]:
        """Yields the copy of a snapshot of its topic, if there is one."""
        for change in changes.records:
            if change.key != KEY or change.value is None:
                continue
            with self._store.intake.guard(TOPIC, change.key):
                yield _unpack(change.value)

    async def _read_retained(self) -> list[str]:
        """Returns the configurations that the topic retains, newest first."""
        newest = await self._store.read_newest(topic.CONFIG_TOPIC)
        offset = stream_position.get_offset(newest.end)
        begin = newest.end - min(offset, MAX_RETAINED)
        texts: list[str] = []
        for _ in range(MAX_RETAINED):
            page = await self._store.read_retained(topic.CONFIG_TOPIC, begin)
            if not page.records:
                break
            texts.extend(
                change.value.decode(errors="replace")
                for change in page.records
                if change.key == CONFIG_KEY and change.value is not None
            )
            begin = page.end
        return texts[::-1]


def _unpack(packed: bytes) -> str:
    with decoding.translate_errors():
        return delta.apply_binary_delta(b"", packed).decode()
