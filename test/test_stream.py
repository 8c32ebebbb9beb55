"""A stream to a caller always ends with an end or an error event."""

from __future__ import annotations

import json
from typing import Any, cast

import anyio
import pytest

from ramptray.caller import app, metrics
from ramptray.core import message
from ramptray.engine import event
from ramptray.entry import exchange

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class TruncatedExchange:
    """An exchange whose events stop without an end, as for a slow caller."""

    request_id = "r"

    def __init__(self) -> None:
        send, self.items = anyio.create_memory_object_stream[Any](10)
        send.send_nowait(event.Event(2, "second"))
        send.close()
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


async def test_a_truncated_stream_ends_with_an_error_event() -> None:
    served = TruncatedExchange()
    info = message.RequestInfo(
        "r", message.ShardKey("z", "s"), "c", "t", 1, 1, (), 9.0
    )
    watched = app.MeasuredExchange(
        cast(exchange.Exchange, served), info, metrics.Metrics()
    )
    first = event.Event(1, "first")
    parts = [part async for part in watched.iterate(first)]
    assert parts[:2] == ["data: first\n\n", "data: second\n\n"]
    assert parts[2].startswith("event: error\ndata: ")
    error = json.loads(parts[2].partition("data: ")[2])["error"]
    assert error["outcome"] == "unknown"
    assert served.cancelled
