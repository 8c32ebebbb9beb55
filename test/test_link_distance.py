"""Links between regions open and stay open.

A fixed timeout of 100 ms for a connection attempt was shorter than the
handshakes over 30 ms each way: no link between regions ever opened.
"""

from __future__ import annotations

import ast
import asyncio
import contextlib
import itertools
import logging
import pathlib
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from typing import Any

import anyio
import pytest

from bench import ports
from ramptray import steadyclock
from ramptray.command import status as status_command
from ramptray.core import connect_timeout
from ramptray.peer import attachment, link_failures
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.platform import store
from test.delay_proxy import DelayProxy
from test.test_attachment import HELLO, EmptyViewServer, make_clock, wait_up
from test.test_stopped_link import serve

pytestmark = pytest.mark.anyio
REQUEST = peer_message.AskStatus()


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def peer() -> Iterator[str]:
    """The address of a peer in another process."""
    address = f"127.0.0.1:{ports.reserve_port()}"
    with subprocess.Popen(
        [sys.executable, "-m", "test.distant_peer", address],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout
        assert process.stdout.readline() == "ready\n"
        yield address
        process.kill()


@contextlib.asynccontextmanager
async def make_client() -> AsyncIterator[peer_link.PeerClient]:
    client = peer_link.PeerClient(make_clock(), None)
    try:
        yield client
    finally:
        await client.close()
        # gRPC's last events would reach the closed loop during the next test.
        await anyio.sleep(0.1)


async def connect(client: peer_link.PeerClient, address: str) -> None:
    """Makes calls until one succeeds."""
    with anyio.fail_after(6.0):
        while True:
            with contextlib.suppress(peer_link.LinkError):
                await client.ask(address, REQUEST, 1.5)
                return
            await anyio.sleep(0.1)


@pytest.mark.parametrize("one_way_s", [0.001, 0.03, 0.15])
async def test_a_link_over_a_distance_opens_and_stays_open(
    peer: str, one_way_s: float
) -> None:
    send, events = anyio.create_memory_object_stream[attachment.Event](1000)
    proxy = DelayProxy(peer, one_way_s)
    async with proxy.run(), make_client() as client:
        link = attachment.Attachment(
            proxy.address, HELLO, client, send.send_nowait
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            with anyio.fail_after(6.0):
                await wait_up(events)
            # Longer than the keepalive interval and its timeout.
            with anyio.move_on_after(3.0):
                async for event in events:
                    assert not isinstance(event, attachment.LinkClosed)
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize("one_way_s", [0.03, 0.15])
async def test_a_unary_call_over_a_distance_succeeds(
    peer: str, one_way_s: float
) -> None:
    proxy = DelayProxy(peer, one_way_s)
    async with proxy.run(), make_client() as client:
        await connect(client, proxy.address)
        assert client.channel_count == 1


class SlowServer(EmptyViewServer):
    """Responds to unary calls just in time for a peer nearby."""

    async def answer(self, request: Any) -> Any:
        await anyio.sleep(0.3)
        return request


async def test_the_distance_does_not_count_towards_the_timeout_of_a_call() -> (
    None
):
    # 0.4 s for 200 KB over a link of 5 Mbit/s left nothing for round trips.
    async with serve(SlowServer()) as (address, _):
        proxy = DelayProxy(address, 0.1)
        async with proxy.run(), make_client() as client:
            await connect(client, proxy.address)
            began = steadyclock.read()
            await client.ask(proxy.address, REQUEST, 0.4)
            assert steadyclock.read() - began > 0.4


async def test_the_distance_does_not_count_towards_a_read_of_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A store that is slow, and 30 ms away, left a busy VM 80 ms: reads counted
    # as lost.
    connect_tcp = anyio.connect_tcp

    async def connect_late(host: str, port: int) -> Any:
        await anyio.sleep(0.2)
        return await connect_tcp(host, port)

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.3)
        writer.write(b"HTTP/1.1 500 Slow\r\nContent-Length: 0\r\n\r\n")

    monkeypatch.setattr(anyio, "connect_tcp", connect_late)
    port = ports.reserve_port()
    async with await asyncio.start_server(respond, "127.0.0.1", port):
        client = store.Store(f"127.0.0.1:{port}")
        with pytest.raises(store.StoreTimeoutError):
            await client.read_changes("t", 0, 0.0, 0.4)
        with pytest.raises(store.StoreError, match="status 500"):
            await client.read_changes("t", 0, 0.0, 0.4)


async def test_a_silent_address_gets_few_attempts(peer: str) -> None:
    # Attempts at a fixed interval cost processor time as long as a VM is gone.
    send, _ = anyio.create_memory_object_stream[attachment.Event](1000)
    proxy = DelayProxy(peer, 0.0)
    proxy.is_silent = True
    async with proxy.run(), make_client() as client:
        link = attachment.Attachment(
            proxy.address, HELLO, client, send.send_nowait
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            with anyio.move_on_after(5.0):
                while True:
                    with contextlib.suppress(peer_link.LinkError):
                        await client.ask(proxy.address, REQUEST, 1.0)
                    await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()
    # Before: 16 by the link and 10 by the channel of the calls.
    assert proxy.connections <= 12


async def test_a_silent_peer_does_not_block_a_call_to_another(
    peer: str,
) -> None:
    proxy = DelayProxy(peer, 0.0)
    proxy.is_silent = True

    async def ask_silent() -> None:
        with contextlib.suppress(peer_link.LinkError):
            await client.ask(proxy.address, REQUEST, 3.0)

    async with (
        proxy.run(),
        make_client() as client,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(ask_silent)
        await client.ask(peer, REQUEST, 5.0)
        began = steadyclock.read()
        for _ in range(10):
            await client.ask(peer, REQUEST, 1.0)
        assert steadyclock.read() - began < 1.0
        tasks.cancel_scope.cancel()


async def test_a_link_opens_soon_after_a_partition(peer: str) -> None:
    # The attempt that is pending at the end of the partition is lost with it.
    send, events = anyio.create_memory_object_stream[attachment.Event](1000)
    proxy = DelayProxy(peer, 0.001)
    async with proxy.run(), make_client() as client:
        link = attachment.Attachment(
            proxy.address, HELLO, client, send.send_nowait
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            await wait_up(events)
            await proxy.partition()
            await anyio.sleep(6.0)
            proxy.is_silent = False
            with anyio.fail_after(2.5):
                await wait_up(events)
            tasks.cancel_scope.cancel()


def test_timeouts_of_an_unknown_address_double_up_to_a_limit() -> None:
    timeout = connect_timeout.ConnectTimeout()
    lengths_s = []
    for now in range(6):
        lengths_s.append(timeout.get_timeout_s(now))
        timeout.record_timeout(lengths_s[-1], now)
    assert lengths_s == [0.2, 0.4, 0.8, 1.6, 3.0, 3.0]


def test_a_known_address_is_tried_often_during_a_short_outage() -> None:
    timeout = connect_timeout.ConnectTimeout()
    timeout.record_success(0.002)
    timeout.record_timeout(0.1, 100.0)
    assert timeout.get_timeout_s(101.6) == connect_timeout.MIN_TIMEOUT_S
    assert timeout.get_timeout_s(110.0) <= 1.0
    assert timeout.get_timeout_s(1000.0) == connect_timeout.MAX_OUTAGE_TIMEOUT_S
    timeout.record_success(0.002)
    assert timeout.get_timeout_s(1001.0) == connect_timeout.MIN_TIMEOUT_S


def test_a_timeout_is_at_least_four_times_the_measured_time() -> None:
    timeout = connect_timeout.ConnectTimeout()
    timeout.record_success(0.6)
    timeout.record_success(0.12)
    assert timeout.get_timeout_s(0.0) >= 4 * 0.12


# What operators see of links that do not open.


async def test_a_link_that_does_not_open_is_reported(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # The error was logged at debug level only, 3,260 times in 20 s.
    send, _ = anyio.create_memory_object_stream[attachment.Event](1000)
    address = f"127.0.0.1:{ports.reserve_port()}"
    async with make_client() as client:
        link = attachment.Attachment(address, HELLO, client, send.send_nowait)
        with anyio.move_on_after(1.0):
            await link.run()
        now = steadyclock.read()
        (down,) = client.failures.list_down(now)
        assert (down.address, down.kind) == (address, link_failures.Kind.LINK)
        assert "refused" in down.error
        assert down.count == client.failures.counts[link_failures.Kind.LINK] > 1
        later = now + link_failures.DOWN_RETENTION_S
        assert client.failures.list_down(later) == []
    warnings = [r for r in caplog.records if r.levelno == logging.WARNING]
    assert [vars(r)["peer"] for r in warnings] == [address]


async def test_a_link_that_opened_is_not_reported(peer: str) -> None:
    send, events = anyio.create_memory_object_stream[attachment.Event](1000)
    proxy = DelayProxy(peer, 0.15)
    async with proxy.run(), make_client() as client:
        link = attachment.Attachment(
            proxy.address, HELLO, client, send.send_nowait
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            await wait_up(events)
            tasks.cancel_scope.cancel()
        # The first attempts were too short for the distance.
        assert proxy.connections > 1
        assert not client.failures.list_down(steadyclock.read())
        assert not client.failures.counts.total()


def test_warnings_about_a_peer_become_rarer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # A seed that no longer exists would be logged by every VM without end.
    failures = link_failures.LinkFailures()
    for now in range(1000):
        failures.record_failure("b:1", link_failures.Kind.LINK, "gone", now)
    times = [vars(r)["down_s"] for r in caplog.records]
    assert times == [0, 10, 30, 70, 150, 310, 630]
    caplog.clear()
    failures.record_open("b:1", link_failures.Kind.LINK)
    for now in (5000, 5001, 5009):
        failures.record_failure("b:1", link_failures.Kind.LINK, "gone", now)
    assert [vars(r)["failures"] for r in caplog.records] == [1]


def test_status_lists_links_that_are_down() -> None:
    down = {
        "address": "10.0.0.2:1",
        "kind": "link",
        "down_s": 12.0,
        "failures": 8,
        "error": "no connection within 1.60 s",
    }
    report = {
        "zone": "waw",
        "log_up": True,
        "log_age_s": 1.0,
        "generation": 1,
        "digest": None,
        "members": [],
        "others": [{"vm": "ber-1", "zone": "ber", "address": "10.0.0.2:1"}],
        "attached": [],
        "shards": [],
        "links_down": [down],
    }
    line = list(status_command.iterate_lines({"waw-1": report}))[-1]
    assert line.split()[:7] == ["waw-1", "waw", "ber-1", "link", "12", "s", "8"]
    assert line.endswith("no connection within 1.60 s")
    del report["links_down"]
    lines = list(status_command.iterate_lines({"waw-1": report}))
    assert not any("link down" in line for line in lines)


# Every time constant is listed with the round trip that it assumes.

ROOT = pathlib.Path(__file__).parent.parent
UNITS = ("S", "MS", "PERIODS", "TICKS")


def list_time_constants(module: pathlib.Path) -> list[str]:
    """Returns the names of a module's constants that are times."""
    names = [
        target.id
        for node in ast.parse(module.read_text()).body
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    ]
    return [n for n in names if n.isupper() and n.split("_")[-1] in UNITS]


def test_every_time_constant_is_listed_with_its_assumption() -> None:
    page = (ROOT / "docs" / "design" / "timeouts.md").read_text()
    package = ROOT / "ramptray"
    modules = itertools.chain(
        *(
            (package / folder).glob("*.py")
            for folder in ("peer", "entry", "scheduler", "log", "platform")
        ),
        (
            package / "core" / name
            for name in (
                "membership.py",
                "connect_timeout.py",
                "propagation.py",
            )
        ),
    )
    for module in modules:
        for name in list_time_constants(module):
            where = f"{module.relative_to(package)}: {name}"
            assert f"`{name}`" in page, where
            assert f"`{module.relative_to(package)}`" in page, where
