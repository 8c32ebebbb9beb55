"""Client of the engines' API for orders."""

from __future__ import annotations

from typing import Any

import msgspec

from ramptray import decoding
from ramptray.core import engine_orders
from ramptray.engine import client


class OrderRefusedError(client.EngineError):
    """The engine rejected an order because its fencing token is old."""


class _StateResponse(msgspec.Struct):
    versions: list[str]
    loading: list[str]
    role: str
    fencing: int
    running: dict[str, int]


class OrderClient:
    """Fetches the state of engines and sends them orders."""

    def __init__(self, engines: client.EngineClient) -> None:
        self._engines = engines

    async def fetch_state(self, url: str) -> engine_orders.EngineState:
        """Returns the state that an engine reports.

        Raises:
            client.EngineError: There is no valid response.
        """
        body: Any = await self._engines.query("GET", url, "/orders")
        try:
            with decoding.translate_errors():
                state = msgspec.convert(body, _StateResponse)
        except decoding.DecodeError as error:
            raise client.BrokenError(f"{url}/orders: {error}") from error
        return engine_orders.EngineState(
            frozenset(state.versions),
            frozenset(state.loading),
            state.role,
            state.running,
        )

    async def send(
        self, url: str, order: engine_orders.Order, fencing_token: int
    ) -> None:
        """Sends an order.

        Args:
            url: Base URL of the engine.
            order: The order.
            fencing_token: Log offset of the lease under which it is sent.

        Raises:
            OrderRefusedError: The engine has seen a newer fencing token.
            client.EngineError: There is no response; the order may have taken
                effect.
        """
        body = {
            "order": order.kind.value,
            "argument": order.argument,
            "fencing": fencing_token,
        }
        try:
            await self._engines.query("POST", url, "/orders", body)
        except client.RefusedError as error:
            if error.status == 409:
                raise OrderRefusedError(url) from error
            raise
