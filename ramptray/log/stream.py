"""Reads a stream of the log page by page, with retries."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator

import anyio

from ramptray.log import client as log_client

LOG = logging.getLogger(__name__)

RETRY_S = 0.2


async def iterate_pages(
    source: log_client.Log, stream: str, wait_s: float
) -> AsyncIterator[log_client.Page]:
    """Yields pages from the oldest retained record on, without end.

    Args:
        source: The log.
        stream: The stream's name.
        wait_s: How long the log may wait for a record.
    """
    offset = 0
    while True:
        try:
            page = await source.read(stream, offset, wait_s)
        except log_client.PlatformError as error:
            LOG.info("%s not read: %s", stream, error)
            await anyio.sleep(RETRY_S)
            continue
        offset = max(offset, page.first_retained)
        if page.records:
            offset = page.records[-1].offset + 1
        yield page
