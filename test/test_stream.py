"""A caller's stream never ends in silence."""

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


class CutExchange:
    """An exchange that ends without a word, as one dropped for slowness."""

    request_id = "r"

    def __init__(self) -> None:
        send, self.items = anyio.create_memory_object_stream[Any](10)
        send.send_nowait(event.Event(2, "second"))
        send.close()
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


async def test_a_stream_without_an_end_is_ended_by_an_error_event() -> None:
    served = CutExchange()
    info = message.RequestInfo(
        "r", message.ShardKey("z", "s"), "c", "t", 1, 1, (), 9.0
    )
    watched = app.WatchedExchange(
        cast(exchange.Exchange, served), info, metrics.Metrics()
    )
    first = event.Event(1, "first")
    parts = [part async for part in watched.iterate(first)]
    assert parts[:2] == ["data: first\n\n", "data: second\n\n"]
    assert parts[2].startswith("event: error\ndata: ")
    error = json.loads(parts[2].partition("data: ")[2])["error"]
    assert error["outcome"] == "unknown"
    assert served.cancelled
