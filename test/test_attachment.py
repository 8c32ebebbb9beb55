"""Connecting and reconnecting the link of a process to a scheduler."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
from typing import Any

import anyio
import pytest
from anyio.streams import memory
from click import testing

from bench import deployment
from ramptray import settings
from ramptray.command import keys
from ramptray.core import clock
from ramptray.peer import attachment, peer_filter
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.peer import server as peer_server

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.usefixtures("grpc_queue_closed"),
]
HELLO = peer_message.Hello("entry/vm", "vm", "entry")
LONG_S = 20.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class EmptyViewServer(peer_link.Handler):
    """Responds to each message with an empty view."""

    def __init__(self) -> None:
        self.sessions: list[peer_link.Session] = []

    async def open(self, session: peer_link.Session) -> None:
        self.sessions.append(session)

    async def receive(self, session: peer_link.Session, body: Any) -> None:
        session.send(peer_message.View([], []))

    async def close(self, session: peer_link.Session) -> None:
        self.sessions.remove(session)

    async def answer(self, question: Any) -> Any:
        return question


def make_clock() -> clock.HybridClock:
    return clock.HybridClock(lambda: 0)


def make_tls(folder: pathlib.Path, name: str) -> settings.TlsSettings:
    """Returns the keys of a peer, signed by the authority in the folder."""
    run = testing.CliRunner().invoke
    if not (folder / "authority.key").exists():
        assert run(keys.group, ["authority", str(folder)]).exit_code == 0
    result = run(keys.group, ["certificate", str(folder), "--name", name])
    assert result.exit_code == 0
    return settings.TlsSettings(
        certificate_file=str(folder / f"{name}.pem"),
        key_file=str(folder / f"{name}.key"),
        authority_file=str(folder / "authority.pem"),
    )


async def test_only_peers_with_certificates_of_one_authority_connect(
    tmp_path: pathlib.Path,
) -> None:
    address = deployment.pick_address()
    ours, theirs = tmp_path / "ours", tmp_path / "theirs"
    server = peer_server.PeerServer(
        EmptyViewServer(), make_clock(), make_tls(ours, "scheduler")
    )
    await server.start(address)
    question = peer_message.FetchBundle(1)
    try:
        trusted = peer_link.PeerClient(make_clock(), make_tls(ours, "entry"))
        assert await ask_until_decided(trusted, address, question) == question
        await trusted.close()
        for peer_keys in (None, make_tls(theirs, "entry")):
            untrusted = peer_link.PeerClient(make_clock(), peer_keys)
            with pytest.raises(peer_link.LinkError):
                await ask_until_decided(untrusted, address, question)
            await untrusted.close()
    finally:
        await server.stop(0.0)


async def ask_until_decided(
    client: peer_link.PeerClient, address: str, question: Any
) -> Any:
    """Asks again while the time of the first attempts is only a guess.

    A guess that was too short says nothing about the peer's certificate.
    """
    with anyio.fail_after(LONG_S):
        while True:
            with contextlib.suppress(peer_link.ConnectGuessError):
                return await client.ask(address, question, LONG_S)


async def wait_up(
    events: memory.MemoryObjectReceiveStream[attachment.Event],
) -> None:
    """Waits until a link is up; fails after LONG_S."""
    with anyio.fail_after(LONG_S):
        async for event in events:
            if isinstance(event, attachment.LinkOpened):
                return


async def test_new_link_opens_while_old_link_to_same_address_closes() -> None:
    address = deployment.pick_address()
    server_handler = EmptyViewServer()
    server = peer_server.PeerServer(server_handler, make_clock(), None)
    await server.start(address)
    client = peer_link.PeerClient(make_clock(), None)
    send, events = anyio.create_memory_object_stream[attachment.Event](1000)
    async with anyio.create_task_group() as tasks:
        old = attachment.Attachment(address, HELLO, client, send.send_nowait)
        tasks.start_soon(old.run)
        await wait_up(events)
        old.stop()
        new = attachment.Attachment(address, HELLO, client, send.send_nowait)
        tasks.start_soon(new.run)
        await wait_up(events)
        tasks.cancel_scope.cancel()
    await client.close()
    await server.stop(0.0)


async def test_link_opens_again_after_the_scheduler_restarts() -> None:
    address = deployment.pick_address()
    client = peer_link.PeerClient(make_clock(), None)
    send, events = anyio.create_memory_object_stream[attachment.Event](1000)
    async with anyio.create_task_group() as tasks:
        link = attachment.Attachment(address, HELLO, client, send.send_nowait)
        tasks.start_soon(link.run)
        for _ in range(2):
            server = peer_server.PeerServer(
                EmptyViewServer(), make_clock(), None
            )
            await server.start(address)
            await wait_up(events)
            await server.stop(0.0)
        tasks.cancel_scope.cancel()
    await client.close()


class _EndedCall:
    """A gRPC call whose stream has already ended."""

    async def write(self, _: bytes) -> None:
        raise asyncio.InvalidStateError("RPC already finished.")

    async def read(self) -> bytes:
        raise asyncio.InvalidStateError("RPC already finished.")


def test_a_stream_that_ended_just_before_breaks_only_the_link() -> None:
    link = peer_link.GrpcLink(
        "127.0.0.1:1",
        _EndedCall(),
        clock.HybridClock(lambda: 0),
        peer_filter.AllowAllPeers(),
    )

    async def use() -> None:
        with pytest.raises(peer_link.LinkError, match="already finished"):
            await link.send(peer_message.AskStatus())
        with pytest.raises(peer_link.LinkError, match="already finished"):
            await link.receive()

    anyio.run(use)
