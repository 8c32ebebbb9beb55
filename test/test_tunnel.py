"""Tunnels to backend servers through another VM."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import math
import os
import socket
import struct
import subprocess
import sys
import weakref
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import anyio
import anyio.abc
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench import ports
from ramptray import steadyclock
from ramptray.bundle import acceptance, model, signature
from ramptray.core import clock
from ramptray.core import message as core_message
from ramptray.entry import backend_directory, server_hints
from ramptray.peer import link, server
from ramptray.peer import message as peer_message
from ramptray.platform import header
from ramptray.relay import client, connection, tunnel, tunnel_server

pytestmark = [pytest.mark.anyio, pytest.mark.usefixtures("grpc_queue_closed")]

NORTH, SOUTH = "north", "south"
RUN = 7
FAILURE = core_message.GatewayFailure.NOT_OPENED
RESET = struct.pack("ii", 1, 0)
PART = 64 * 1024

MAX_GROWTH_MB = 2.5
"""Growth of memory that counts as none while something is done 100 times: half
of what gRPC kept then if it kept 50 KB each time."""

MAX_BATCHES = 12
"""How often something is done 100 times until memory no longer grows."""

MAX_WAITING_BYTES = 256 * 1024
"""Bytes that may wait in one tunnel."""

MAX_WAITING_IN_ALL_BYTES = 18_500_000
"""Bytes that may wait in 150 tunnels: 16 MB and 16 KB for each of 100."""


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class _Handler(link.Handler):
    """Handles nothing but tunnels."""

    async def open(self, session: link.Session) -> None: ...

    async def receive(self, session: link.Session, body: Any) -> None: ...

    async def close(self, session: link.Session) -> None: ...

    async def answer(self, request: Any) -> Any:
        raise AssertionError


def make_directory(
    address: str, leaving: bool = False
) -> backend_directory.BackendDirectory:
    """Returns a directory with one server, "e"."""
    directory = backend_directory.BackendDirectory()
    bundle = model.Bundle(
        generation=1,
        operators=model.Operators(
            keys={"o": "ed25519:" + "0" * 64}, signatures_required=1
        ),
        zones=["all"],
        tiers={"t": model.Tier(order=0, deadline_s=10)},
        customers={},
        services={"lm": model.Service(kind=model.ServiceKind.MODEL)},
        engines={"lm": model.Engine(max_running=4, kv_tokens=1000)},
        backend_servers={
            "e": model.BackendServer(
                zone="all",
                service="lm",
                engine="lm",
                url=f"http://{address}",
                leaving=leaving,
                run=RUN,
                region=NORTH,
            )
        },
    )
    envelope = signature.Envelope("", {})
    directory.apply_bundle(acceptance.InForce(bundle, envelope))
    return directory


class _CountingContext:
    """Counts the bytes that a gateway writes into a tunnel."""

    def __init__(self, context: Any, gateway: Gateway) -> None:
        self._context = context
        self._gateway = gateway

    def __getattr__(self, name: str) -> Any:
        return getattr(self._context, name)

    async def write(self, part: bytes) -> None:
        await self._context.write(part)
        self._gateway.written += len(part)


class Gateway:
    """A VM that opens tunnels to a server.

    Attributes:
        address: Where it listens.
        tunnels: Its server of tunnels.
        backends: The server that it knows.
        written: Bytes that it has written into tunnels.
        with_window: Whether it knows the windows of tunnels.
    """

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{ports.reserve_port()}"
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.setblocking(False)
        port = self.listening.getsockname()[1]
        self.target = connection.Target(
            f"127.0.0.1:{port}", "e", RUN, gateway=self.address
        )
        self.backends = make_directory(self.target.address)
        self.hints = server_hints.ServerHintStore(
            lambda address, hints: None, list
        )
        hybrid_clock = clock.HybridClock(lambda: 0)
        self.tunnels = tunnel_server.TunnelServer(
            self.backends, self.hints, NORTH, hybrid_clock
        )
        self.peers = server.PeerServer(
            _Handler(),
            hybrid_clock,
            None,
            {tunnel.METHOD: self._serve},
        )
        self.written = 0
        self.with_window = True
        self.client = link.PeerClient(clock.HybridClock(lambda: 0), None)
        self.opener = tunnel.PeerTunnels(self.client)

    async def _serve(self, parts: AsyncIterator[bytes], context: Any) -> None:
        counting = _CountingContext(context, self)
        if not self.with_window:
            counting.invocation_metadata = tuple  # type: ignore
        await self.tunnels.serve(parts, cast(Any, counting))

    async def accept(self) -> socket.socket:
        """Returns the server's side of the next connection."""
        with anyio.fail_after(5):
            await anyio.wait_readable(self.listening)
            accepted, _ = self.listening.accept()
        accepted.setblocking(False)
        return accepted

    async def open(self) -> tuple[tunnel.TunnelStream, socket.socket]:
        """Returns both ends of a new tunnel."""
        stream = await self.opener.open(self.target)
        return stream, await self.accept()


async def flood(served: socket.socket) -> None:
    """Sends bytes until the other end closes."""
    with contextlib.suppress(OSError):
        while True:
            await anyio.wait_writable(served)
            served.send(b"a" * PART)


async def send_all(stream: tunnel.TunnelStream, body: bytes) -> None:
    with contextlib.suppress(
        anyio.BrokenResourceError, anyio.ClosedResourceError
    ):
        await stream.send(body, 5.0)


def measure_memory_mb() -> float:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


@contextlib.asynccontextmanager
async def run_gateway() -> AsyncIterator[Gateway]:
    gateway = Gateway()
    await gateway.peers.start(gateway.address)
    try:
        yield gateway
    finally:
        await gateway.client.close()
        await gateway.peers.stop(0.1)
        gateway.listening.close()


async def read(sock: socket.socket, count: int) -> bytes:
    data = b""
    with anyio.fail_after(5):
        while len(data) < count:
            await anyio.wait_readable(sock)
            part = sock.recv(65536)
            if not part:
                break
            data += part
    return data


async def test_bytes_pass_in_both_directions() -> None:
    async with run_gateway() as gateway:
        stream, served = await gateway.open()
        body = bytes(range(256)) * 1000
        await stream.send(body, 5.0)
        assert await read(served, len(body)) == body
        assert stream.is_idle()
        served.send(b"answer")
        assert await stream.receive(5.0) == b"answer"
        assert gateway.tunnels.active == 1
        stream.close()
        served.close()


async def test_an_orderly_end_is_told_from_a_reset() -> None:
    async with run_gateway() as gateway:
        ended, served = await gateway.open()
        served.send(b"whole")
        served.close()
        assert await ended.receive(5.0) == b"whole"
        with pytest.raises(anyio.EndOfStream):
            await ended.receive(5.0)
        assert not ended.is_idle()
        reset, served = await gateway.open()
        served.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        served.close()
        with pytest.raises(anyio.BrokenResourceError):
            await reset.receive(5.0)


async def test_closing_a_tunnel_closes_the_connection_to_the_server() -> None:
    async with run_gateway() as gateway:
        stream, served = await gateway.open()
        await stream.send(b"x", 5.0)
        assert await read(served, 1) == b"x"
        stream.close()
        with pytest.raises(anyio.ClosedResourceError):
            await stream.receive(1.0)
        with contextlib.suppress(ConnectionResetError):
            assert await read(served, 1) == b""
        await anyio.sleep(0.1)
        assert gateway.tunnels.active == 0


async def test_bytes_that_nobody_reads_any_more_stay_with_the_server() -> None:
    # gRPC let 4 MB wait in a tunnel that had been read fast before.
    async with run_gateway() as gateway, anyio.create_task_group() as tasks:
        stream, served = await gateway.open()
        tasks.start_soon(flood, served)
        received = gateway.written
        while received < 20_000_000:
            received += len(await stream.receive(5.0))
        await anyio.sleep(0.5)
        assert gateway.written - received <= MAX_WAITING_BYTES
        stream.close()


async def test_all_tunnels_together_hold_a_bounded_number_of_bytes() -> None:
    # Each tunnel had its own bound only, of hundreds of kilobytes.
    async with run_gateway() as gateway, anyio.create_task_group() as tasks:
        opened = []
        for _ in range(150):
            stream, served = await gateway.open()
            opened.append(stream)
            tasks.start_soon(flood, served)
        await anyio.sleep(0.5)
        assert gateway.written <= MAX_WAITING_IN_ALL_BYTES
        # All of them go on.
        assert all([await stream.receive(5.0) for stream in opened])
        for stream in opened:
            stream.close()


async def close_tunnels(gateway: Gateway, count: int) -> list[Any]:
    """Opens tunnels and closes each one while its server goes on sending.

    Returns:
        Weak references to them.
    """
    closed = []
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            stream, served = await gateway.open()
            tasks.start_soon(flood, served)
            await stream.receive(5.0)
            closed.append(weakref.ref(stream))
            stream.close()
            del stream
            await anyio.sleep(0.02)
        await anyio.sleep(0.2)
        tasks.cancel_scope.cancel()
    return closed


async def cut_off_requests(gateway: Gateway, count: int) -> None:
    """Sends large requests and resets each one's connection to the server."""
    body = bytes(4_000_000)
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            stream, served = await gateway.open()
            tasks.start_soon(send_all, stream, body)
            await anyio.sleep(0.01)
            served.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            served.close()
            await anyio.sleep(0.02)
            stream.close()
            await anyio.sleep(0.02)


async def measure_growth_mb(act: Callable[[Gateway, int], Any]) -> float:
    """Returns by how much memory grows while something is done 100 times.

    Buffers and the allocator settle first, which takes some hundred times.
    What is kept for good makes it grow each time, so the least growth counts.
    """
    least_mb = math.inf
    async with run_gateway() as gateway:
        for _ in range(MAX_BATCHES):
            before_mb = measure_memory_mb()
            await act(gateway, 100)
            gc.collect()
            least_mb = min(least_mb, measure_memory_mb() - before_mb)
            if least_mb < MAX_GROWTH_MB:
                break
    return least_mb


def measure_alone_mb(act: str) -> float:
    """Returns the same of a process of its own; others have more to free."""
    code = (
        "import anyio; from test import test_tunnel as t;"
        f"print(anyio.run(t.measure_growth_mb, t.{act}))"
    )
    printed = subprocess.run(
        [sys.executable, "-c", code], check=True, stdout=subprocess.PIPE
    )
    return float(printed.stdout)


async def test_closed_tunnels_are_freed_at_once() -> None:
    # A reference cycle kept what had arrived.
    gc.collect()
    gc.disable()
    try:
        async with run_gateway() as gateway:
            closed = await close_tunnels(gateway, 20)
            assert [each for each in closed if each() is not None] == []
    finally:
        gc.enable()


def test_closed_tunnels_give_their_memory_back() -> None:
    # gRPC kept what arrived for a read that was cancelled: 100 KB for each
    # tunnel, for good.
    assert measure_alone_mb("close_tunnels") < MAX_GROWTH_MB


def test_requests_that_servers_cut_off_leave_nothing_at_the_gateway() -> None:
    # gRPC kept the part of the request that arrived for a cancelled read: 50 KB
    # for each request, for good.
    assert measure_alone_mb("cut_off_requests") < MAX_GROWTH_MB


async def test_a_gateway_ends_its_reads_of_requests_that_servers_cut_off() -> (
    None
):
    async with run_gateway() as gateway:
        await cut_off_requests(gateway, 5)
        with anyio.fail_after(5):
            while gateway.tunnels._reading:
                await anyio.sleep(0.01)


@pytest.mark.parametrize("with_window", [True, False])
async def test_more_than_a_window_arrives_whole_also_from_older_gateways(
    with_window: bool,
) -> None:
    async with run_gateway() as gateway:
        gateway.with_window = with_window
        stream, served = await gateway.open()
        sent = bytes(range(256)) * 8192
        # The server's sends need not wait for the tunnel's reader.
        sending = asyncio.get_running_loop().create_task(
            asyncio.get_running_loop().sock_sendall(served, sent)
        )
        await anyio.sleep(0.2)
        received = b""
        while len(received) < len(sent):
            received += await stream.receive(5.0)
        assert received == sent
        await sending
        stream.close()
        served.close()


async def test_a_silent_tunnel_times_out_and_can_be_read_again() -> None:
    async with run_gateway() as gateway:
        stream, served = await gateway.open()
        with pytest.raises(TimeoutError):
            await stream.receive(0.05)
        served.send(b"late")
        assert await stream.receive(5.0) == b"late"
        stream.close()
        served.close()


async def test_a_tunnel_through_a_gateway_that_stops_breaks() -> None:
    async with run_gateway() as gateway:
        stream, served = await gateway.open()
        await gateway.peers.stop(0.0)
        with pytest.raises(anyio.BrokenResourceError):
            await stream.receive(5.0)
        with pytest.raises(anyio.BrokenResourceError):
            await stream.send(b"x", 5.0)
        served.close()


async def test_a_tunnel_whose_channel_closes_has_not_ended_in_order() -> None:
    async with run_gateway() as gateway:
        stream, served = await gateway.open()
        await gateway.client.close_channel(gateway.address)
        with pytest.raises(anyio.BrokenResourceError):
            await stream.receive(5.0)
        served.close()


async def test_a_server_that_refuses_is_not_sent_anything() -> None:
    async with run_gateway() as gateway:
        gateway.listening.close()
        with pytest.raises(
            connection.NotSentError, match=tunnel.Refusal.REFUSED.value
        ):
            await gateway.opener.open(gateway.target)


async def test_a_gateway_that_is_not_there_is_not_sent_anything() -> None:
    async with run_gateway() as gateway:
        gone = f"127.0.0.1:{ports.reserve_port()}"
        target = connection.Target(
            gateway.target.address, "e", RUN, gateway=gone
        )
        with pytest.raises(connection.NotSentError):
            await gateway.opener.open(target)


async def test_a_stopping_relay_opens_no_tunnel() -> None:
    async with run_gateway() as gateway:
        gateway.tunnels.stopping = True
        with pytest.raises(
            connection.NotSentError, match=tunnel.Refusal.STOPPING.value
        ):
            await gateway.opener.open(gateway.target)
        assert gateway.tunnels.counts == {tunnel.Refusal.STOPPING.value: 1}


async def test_a_gateway_keeps_the_pause_of_a_server() -> None:
    async with run_gateway() as gateway:
        head = server_hints.HeadReceived("r", "e", RUN, pause_s=5.0)
        gateway.hints.observe(head, steadyclock.read())
        with pytest.raises(
            connection.NotSentError, match=tunnel.Refusal.UNUSABLE.value
        ):
            await gateway.opener.open(gateway.target)


async def test_a_server_that_the_gateway_does_not_reach_is_named_silent() -> (
    None
):
    async with run_gateway() as gateway:
        gateway.backends.record_connect_failure("e", steadyclock.read())
        with pytest.raises(
            connection.NotSentError, match=tunnel.Refusal.SILENT.value
        ):
            await gateway.opener.open(gateway.target)


@settings(derandomize=True, deadline=None)
@given(
    regions=st.none() | st.sets(st.sampled_from([NORTH, SOUTH])),
    own=st.sampled_from([NORTH, SOUTH, ""]),
    run=st.sampled_from([RUN, RUN - 1]),
    leaving=st.booleans(),
)
def test_a_gateway_admits_only_its_regions_and_the_current_run(
    regions: set[str] | None, own: str, run: int, leaving: bool
) -> None:
    served = tunnel_server.TunnelServer(
        make_directory("127.0.0.1:1", leaving),
        server_hints.ServerHintStore(lambda to, hints: None, list),
        own,
        clock.HybridClock(lambda: 0),
    )
    allowed = None if regions is None else tuple(regions)
    request = peer_message.OpenTunnel("e", run, allowed)
    is_inside = regions is None or {own, NORTH} <= regions
    is_admitted = not served._find_refusal_reason(request, 0.0)
    assert is_admitted == (is_inside and run == RUN and not leaving)


class _CountingTunnels(client.TunnelOpener):
    """Opens tunnels through some gateways only."""

    def __init__(self, usable: str) -> None:
        self.tried: list[str] = []
        self._usable = usable

    async def open(self, target: connection.Target) -> Any:
        """See the base class."""
        self.tried.append(target.gateway)
        if target.gateway != self._usable:
            raise connection.NotSentError(target.gateway, False, FAILURE)
        return _IdleStream()

    def report_hints(
        self, gateway: str, request_id: str, hints: core_message.ServerHints
    ) -> None:
        """See the base class."""


class _IdleStream:
    def __init__(self) -> None:
        self.idle = True
        self.closed = False

    def is_idle(self) -> bool:
        return self.idle

    def close(self) -> None:
        self.closed = True


async def test_an_idle_tunnel_closes_once_something_has_arrived() -> None:
    # It kept what had arrived for its idle time of 10 s.
    stream = _IdleStream()
    pool = client.RelayClient(header.PlatformDialect())
    target = connection.Target("127.0.0.1:1", "e", RUN, gateway="c")
    idle = connection.Connection(
        target, cast(Any, stream), header.PlatformDialect()
    )
    idle.idle_since = steadyclock.read()
    pool._idle[target.pool_key].append(idle)
    await pool.close_expired(steadyclock.read())
    assert not stream.closed
    stream.idle = False
    await pool.close_expired(steadyclock.read())
    assert stream.closed
    assert not pool._idle[target.pool_key]


async def test_gateways_are_tried_in_order_and_all_failures_are_reported() -> (
    None
):
    tunnels = _CountingTunnels("c")
    pool = client.RelayClient(header.PlatformDialect(), tunnels)
    target = connection.Target("127.0.0.1:1", "e", RUN)
    async with pool.borrow(target, False, ("a", "b", "c")) as borrowed:
        assert borrowed.target.gateway == "c"
    assert tunnels.tried == ["a", "b", "c"]
    with pytest.raises(connection.NotSentError) as raised:
        async with pool.borrow(target, False, ("a", "b")):
            pass
    assert raised.value.failed_gateways == {"a": FAILURE, "b": FAILURE}
    assert not raised.value.refused


async def test_tunnels_are_pooled_by_gateway_and_dropped_with_it() -> None:
    tunnels = _CountingTunnels("c")
    pool = client.RelayClient(header.PlatformDialect(), tunnels)
    target = connection.Target("127.0.0.1:1", "e", RUN, gateway="c")
    idle = connection.Connection(
        target, cast(Any, _IdleStream()), header.PlatformDialect()
    )
    idle.idle_since = steadyclock.read()
    pool._idle[target.pool_key].append(idle)
    pool.expire_gateways(["c"])
    direct = connection.Target("127.0.0.1:1", "e", RUN)
    async with pool.borrow(direct, False, ("a", "c")) as borrowed:
        assert borrowed is idle
    pool._idle[target.pool_key].append(idle)
    pool.expire_gateways(["a"])
    async with pool.borrow(direct, False, ("c",)) as borrowed:
        assert borrowed is not idle
    assert tunnels.tried == ["c"]
