"""Client of the engines' interface for orders."""

from __future__ import annotations

from typing import Any

import msgspec

from ramptray.core import engine_orders
from ramptray.engine import client


class OrderRefusedError(client.EngineError):
    """The engine refused an order, since its fencing number is old."""


class _State(msgspec.Struct):
    versions: list[str]
    loading: list[str]
    role: str
    fencing: int
    running: dict[str, int]


class OrderClient:
    """Asks engines for their state and gives them orders."""

    def __init__(self, engines: client.EngineClient) -> None:
        self._engines = engines

    async def fetch_state(self, url: str) -> engine_orders.EngineState:
        """Returns what an engine says of itself.

        Raises:
            client.EngineError: There is no good answer.
        """
        answer: Any = await self._engines.query("GET", url, "/orders")
        try:
            state = msgspec.convert(answer, _State)
        except msgspec.ValidationError as error:
            raise client.BrokenError(f"{url}/orders: {error}") from error
        return engine_orders.EngineState(
            frozenset(state.versions),
            frozenset(state.loading),
            state.role,
            state.running,
        )

    async def send(
        self, url: str, order: engine_orders.Order, fencing: int
    ) -> None:
        """Gives an order.

        Args:
            url: Where the engine listens.
            order: What to do.
            fencing: Offset of the lease under which the order is given.

        Raises:
            OrderRefusedError: The engine knows a newer fencing number.
            client.EngineError: There is no answer; it may have taken effect.
        """
        body = {
            "order": order.kind.value,
            "argument": order.argument,
            "fencing": fencing,
        }
        try:
            await self._engines.query("POST", url, "/orders", body)
        except client.RefusedError as error:
            if error.status == 409:
                raise OrderRefusedError(url) from error
            raise
