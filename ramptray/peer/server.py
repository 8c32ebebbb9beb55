"""The gRPC server for ramptray's processes."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from typing import Any

import anyio
import grpc
import grpc.aio

from ramptray import settings
from ramptray.core import clock
from ramptray.peer import codec, credentials, link

LOG = logging.getLogger(__name__)

STOP_GRACE_S = 0.5
"""Time that open streams have to end when the server stops, in seconds."""

HANDSHAKE_TIMEOUT_S = 2.0
"""Time that the handshake of a connection may take, in seconds: several round
trips of 0.3 s, and a VM that is short of processor time."""

ServeStream = Callable[
    [AsyncIterator[bytes], "grpc.aio.ServicerContext[bytes, bytes]"],
    Coroutine[Any, Any, None],
]


class PeerServer:
    """Serves peers over gRPC.

    Args:
        handler: Handles the peers' messages.
        hybrid_clock: This process's clock.
        tls: Settings for mutual TLS; None for plain connections.
        streams: Further methods that exchange parts of bytes, by name.
        max_connections: Number of connections that are accepted at a time; None
            for any number.
    """

    def __init__(
        self,
        handler: link.Handler,
        hybrid_clock: clock.HybridClock,
        tls: settings.TlsSettings | None,
        streams: Mapping[str, ServeStream] | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._options: list[tuple[str, int]] = [
            *link.OPTIONS,
            (
                "grpc.server_handshake_timeout_ms",
                int(HANDSHAKE_TIMEOUT_S * 1000),
            ),
        ]
        if max_connections is not None:
            self._options.append(
                ("grpc.max_allowed_incoming_connections", max_connections)
            )
        self._handler = handler
        self._clock = hybrid_clock
        self._tls = tls
        self._streams = streams or {}
        self._server: grpc.aio.Server | None = None

    async def start(self, address: str) -> None:
        """Starts to serve on an address.

        Raises:
            link.LinkError: The address cannot be used.
        """
        self._server = grpc.aio.server(options=self._options)
        handlers: dict[str, Any] = {
            "Attach": grpc.stream_stream_rpc_method_handler(self._attach),
            "Ask": grpc.unary_unary_rpc_method_handler(self._ask),
            **{
                name: grpc.stream_stream_rpc_method_handler(serve)
                for name, serve in self._streams.items()
            },
        }
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(link.SERVICE, handlers),)
        )
        try:
            if self._tls:
                self._server.add_secure_port(
                    address, credentials.make_server_credentials(self._tls)
                )
            else:
                self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise link.LinkError(
                f"cannot listen on {address}: {error}"
            ) from error
        await self._server.start()

    async def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Stops the server; open streams end after the grace period.

        Args:
            grace_s: The grace period, in seconds.
        """
        if self._server:
            await self._server.stop(grace_s)

    async def _attach(
        self,
        frames: AsyncIterator[bytes],
        context: grpc.aio.ServicerContext[bytes, bytes],
    ) -> None:
        session = link.Session()
        await self._handler.open(session)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, session, frames)
                async for body in session.outgoing:
                    bodies = link.drain_queue(body, session.outgoing)
                    await context.write(
                        codec.encode(self._clock.tick(), *bodies)
                    )
                tasks.cancel_scope.cancel()
        except* link.CONNECTION_ERRORS as group:
            LOG.info("attached peer lost: %r", group.exceptions[0])
        finally:
            session.close()
            with anyio.CancelScope(shield=True):
                await self._handler.close(session)

    async def _read(
        self, session: link.Session, frames: AsyncIterator[bytes]
    ) -> None:
        try:
            async for data in frames:
                frame = codec.decode(data)
                self._clock.witness(frame.clock)
                for body in frame.bodies:
                    await self._handler.receive(session, body)
        finally:
            session.close()

    async def _ask(
        self, data: bytes, context: grpc.aio.ServicerContext[bytes, bytes]
    ) -> bytes:
        try:
            frame = codec.decode(data)
            request = frame.body
        except codec.CodecError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        self._clock.witness(frame.clock)
        response = await self._handler.answer(request)
        return codec.encode(self._clock.tick(), response)
