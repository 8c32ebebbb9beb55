"""Reads a stream of ramptray's own log."""

from __future__ import annotations

import anyio

from ramptray.log import client as log_client
from ramptray.log import reader


class PageReader(reader.StreamReader[log_client.Page]):
    """Follows a stream from its oldest retained record on.

    Args:
        log: The log.
        stream: The stream's name.
        longest_wait_s: See the base class.
        batch_delay_s: See the base class.
    """

    def __init__(
        self,
        log: log_client.Log,
        stream: str,
        longest_wait_s: float,
        batch_delay_s: float = reader.BATCH_DELAY_S,
    ) -> None:
        super().__init__(stream, longest_wait_s, batch_delay_s)
        self._log = log

    async def read_first(self) -> log_client.Page:
        """See the base class."""
        return await self._log.read(self.stream, 0, 0.0)

    async def read_from(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> log_client.Page:
        """See the base class."""
        try:
            with anyio.fail_after(timeout_s):
                return await self._log.read(self.stream, offset, wait_s)
        except TimeoutError as error:
            raise log_client.PlatformTimeoutError(
                f"{self.stream}: no answer in {timeout_s} s"
            ) from error

    def get_end(self, page: log_client.Page) -> int:
        """See the base class."""
        if page.records:
            return page.records[-1].offset + 1
        return page.next_offset

    def count_records(self, page: log_client.Page) -> int:
        """See the base class."""
        return len(page.records)
