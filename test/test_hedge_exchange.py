"""Hedged requests: the exchange, which reads both servers' responses.

What is guarded against: pieces of both in one answer, more attempts than
allowed, and an answer that ends while one of the two could still go on.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import AsyncIterator, Iterable
from typing import Any, cast
from unittest import mock

import anyio
import anyio.to_thread
import msgspec
import pytest

from ramptray import steadyclock
from ramptray.bundle import acceptance, model, signature
from ramptray.core import hedging, message
from ramptray.entry import ticket as tickets
from ramptray.peer import attachment
from ramptray.platform import config, header
from ramptray.relay import answer as answers
from ramptray.relay import attempts, exchange, socket_stream
from ramptray.relay import client as relay_client
from ramptray.relay import connection as connections
from ramptray.relay import message as relay_message
from test import node
from test.test_hedging import HedgingDispatcher, make_info
from test.test_response_framing import ASKED

EVENT = b"id: 1\ndata: a\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(EVENT)
NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\n" + header.NOT_EXECUTED + b": 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class FakeServers:
    """Connections whose other ends the test holds, by backend server."""

    def __init__(self) -> None:
        self.ends: dict[str, socket.socket] = {}
        self.silent: list[str] = []
        self.errors: dict[str, Exception] = {}

    def record_silence(self, target: connections.Target, _: float) -> None:
        self.silent.append(target.backend)

    @contextlib.asynccontextmanager
    async def borrow(
        self, target: connections.Target, _: bool, __: Iterable[str]
    ) -> AsyncIterator[connections.Connection]:
        if error := self.errors.get(target.backend):
            raise error
        ours, theirs = socket.socketpair()
        _transport, stream = await asyncio.get_running_loop().create_connection(
            socket_stream.SocketStream, sock=ours
        )
        connection = connections.Connection(
            target, stream, header.PlatformDialect()
        )
        self.ends[target.backend] = theirs
        try:
            yield connection
        finally:
            await connection.close()
            theirs.close()


class FakeWriter(answers.ResponseWriter):
    """Keeps what the caller gets; never waits, like a caller that reads."""

    def __init__(self) -> None:
        self.is_left = True
        self.heads = 0
        self.body = b""
        self.ends: list[str] = []
        self.refused: Any = None

    @property
    def has_caller_left(self) -> bool:
        return self.is_left

    async def start(
        self, head: relay_message.ResponseHead, length: int | None
    ) -> None:
        self.heads += 1

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.ends.append("finish")

    async def refuse(self, refused: Any) -> None:
        self.ends.append("refuse")
        self.refused = refused

    async def abort(self) -> None:
        self.ends.append("abort")


class GrantingDispatcher(HedgingDispatcher):
    """A dispatcher whose owner grants these servers, and then refuses.

    Args:
        granted: The servers, in order; empty for an owner that is silent.
    """

    def __init__(self, granted: list[str]) -> None:
        super().__init__(9.0)
        self.granted = granted
        self.reported: list[tickets.Event] = []
        text = json.dumps(node.make_config(1))
        bundle = config.parse_config(text)
        self.backends.apply_bundle(
            acceptance.InForce(bundle, signature.Envelope(text, {}))
        )

    def _handle_exchange(self, event: tickets.Event, now: float) -> None:
        self.reported.append(event)
        super()._handle_exchange(event, now)

    def _send_any(self, address: str, body: object) -> None:
        super()._send_any(address, body)
        if not isinstance(body, message.Enqueue) or not self.granted:
            return
        request_id = body.request.request_id
        backend = self.granted.pop(0)
        answer: object = message.Grant(
            request_id,
            f"g-{backend}",
            backend,
            address,
            url="http://127.0.0.1:1",
            release="1",
        )
        if backend == "refuse":
            answer = message.Reject(request_id, message.Reason.OVERLOADED, 1.0)
        self._mailbox.post(attachment.MessageReceived(address, answer))

    def list_reported(self, kind: type) -> list[str]:
        """Returns the ids of the attempts that reported such an event."""
        return [
            tickets.get_request_id(event)
            for event in self.reported
            if isinstance(event, kind)
        ]


class Scene:
    """An exchange with its servers and its caller."""

    def __init__(
        self,
        *granted: str,
        most: int = 3,
        kind: model.RouteKind = model.RouteKind.STREAM,
    ) -> None:
        self.servers = FakeServers()
        self.writer = FakeWriter()
        self.dispatcher = GrantingDispatcher(list(granted))
        route = model.Route(
            host="h",
            path_prefix="/",
            kind=kind,
            targets=[model.Target(service="s")],
            timeout_s=5.0,
            objective_s=0.01,
            max_gap_s=0.001,
            tier="t",
        )
        asked = msgspec.structs.replace(ASKED, request_id="r1")
        routed = answers.RoutedRequest(
            asked, make_info(max_attempts=most), route, "c", 5.0, 1
        )
        self.exchange = exchange.Exchange(
            routed,
            self.dispatcher,
            cast(relay_client.RelayClient, self.servers),
            self.writer,
            cast(Any, None),
        )

    async def wait_for(self, *backends: str) -> None:
        """Waits until these servers have got the request."""
        with anyio.fail_after(3.0):
            while not set(backends) <= self.servers.ends.keys():
                await anyio.sleep(0.001)

    async def wait_for_noted(self, kind: str) -> None:
        """Waits until an event of a kind was noted of the request."""
        with anyio.fail_after(3.0):
            while not self.list_noted(kind):
                await anyio.sleep(0.001)

    def list_noted(self, kind: str) -> list[dict[str, Any]]:
        """Returns the events of a kind that were noted of the request."""
        noted = self.dispatcher.timeline.list_events(0, "r1")
        return [event for event in noted if event["kind"] == kind]

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Runs the exchange; it has ended after the block."""
        with anyio.fail_after(4.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.dispatcher._mailbox.run)
                async with anyio.create_task_group() as inner:
                    inner.start_soon(self.exchange.run)
                    yield
                tasks.cancel_scope.cancel()


@pytest.fixture
def anyio_backend() -> str:
    """Returns the event loop that the programs use."""
    return "asyncio"


@pytest.fixture(autouse=True)
def _hedge_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hedging, "MIN_GAP_S", 0.02)
    monkeypatch.setattr(hedging, "RETRY_S", 0.02)


@pytest.mark.anyio
@pytest.mark.parametrize(("answering", "left"), [("a", "b"), ("b", "a")])
async def test_the_first_to_have_the_next_part_goes_on_alone(
    answering: str, left: str
) -> None:
    # The server that was silent is blamed; one that was asked later is not.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        scene.servers.ends[answering].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert (scene.writer.heads, scene.writer.ends) == (1, ["finish"])
    (overtaken,) = [
        event
        for event in scene.dispatcher.reported
        if isinstance(event, tickets.Overtaken)
    ]
    assert overtaken.ended.broken == (left == "a")
    assert scene.dispatcher.request_count == 0
    assert scene.dispatcher._budget._reserved.total() == 0


@pytest.mark.anyio
async def test_parts_that_arrive_from_both_at_once_are_written_once() -> None:
    # A series that was left goes on until its next wait, and wrote its part.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        for end in scene.servers.ends.values():
            end.send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert (scene.writer.heads, scene.writer.ends) == (1, ["finish"])


@pytest.mark.anyio
async def test_a_hedge_of_a_stream_asks_for_what_follows_the_last_event() -> (
    None
):
    # The caller would get the first event twice.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a")
        scene.servers.ends["a"].send(
            b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + EVENT
        )
        await scene.wait_for("b")
        first_event_s = scene.exchange.first_event_s
        while not (asked := read_available(scene.servers.ends["b"])):
            await anyio.sleep(0.001)
        second = EVENT.replace(b"1", b"2")
        scene.servers.ends["b"].send(HEAD + second)
    assert b"last-event-id: 1\r\n" in asked.lower()
    assert scene.writer.body == EVENT + second
    assert scene.writer.ends == ["finish"]
    assert first_event_s
    assert scene.exchange.first_event_s == first_event_s


def read_available(end: socket.socket) -> bytes:
    """Returns what has arrived, without waiting."""
    with contextlib.suppress(BlockingIOError):
        return end.recv(65536, socket.MSG_DONTWAIT)
    return b""


@pytest.mark.anyio
async def test_a_broken_attempt_leaves_the_answer_to_the_other() -> None:
    # The answer ended although another server was at work.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        scene.servers.ends["a"].close()
        await anyio.sleep(0.05)
        assert scene.writer.ends == []
        scene.servers.ends["b"].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert scene.exchange.outcome == "complete"


@pytest.mark.anyio
async def test_two_attempts_that_break_at_once_are_followed_by_another() -> (
    None
):
    # Each left the answer to the other one.
    scene = Scene("a", "b", "c")
    async with scene.run():
        await scene.wait_for("a", "b")
        for backend in ("a", "b"):
            scene.servers.ends[backend].close()
        await scene.wait_for("c")
        scene.servers.ends["c"].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert scene.exchange.outcome == "complete"


@pytest.mark.anyio
async def test_no_refusal_after_both_attempts_promises_not_run() -> None:
    # The hedge said that it did not run; the first attempt may have.
    scene = Scene("a", "b", most=2)
    async with scene.run():
        await scene.wait_for("a", "b")
        scene.servers.ends["a"].close()
        scene.servers.ends["b"].send(NOT_RUN)
    assert scene.writer.ends == ["refuse"]
    assert scene.exchange._finish is not None
    assert scene.exchange._finish.outcome is message.Outcome.UNKNOWN


@pytest.mark.anyio
async def test_a_hedge_that_is_refused_is_sought_again() -> None:
    # The first attempt stays open whatever the owner says.
    scene = Scene("a", "refuse", "refuse", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        assert scene.writer.ends == []
        scene.servers.ends["a"].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert scene.servers.silent == ["a"] * 3


class ServerError(Exception):
    """An error that no series expects."""


@pytest.mark.anyio
async def test_an_exception_of_one_series_ends_the_other_and_is_raised() -> (
    None
):
    # A group of exceptions would not be recognized by the caller's connection.
    scene = Scene("a", "b")
    error = ServerError()
    scene.servers.errors["b"] = error
    with anyio.fail_after(4.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.dispatcher._mailbox.run)
            with pytest.raises(ServerError) as raised:
                await scene.exchange.run()
            tasks.cancel_scope.cancel()
    assert raised.value is error
    gone = scene.dispatcher.list_reported(tickets.CallerDisconnected)
    assert sorted(gone) == ["r1", "r1‖1"]
    assert scene.dispatcher.request_count == 0
    assert scene.servers.ends["a"].fileno() == -1


@pytest.mark.anyio
@pytest.mark.parametrize("is_granted", [False, True])
async def test_a_cancelled_exchange_reports_each_series_once(
    is_granted: bool,
) -> None:
    # A place that is not reported as free stays taken at its owner.
    scene = Scene("a", *(["b"] if is_granted else []))
    with anyio.fail_after(4.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.dispatcher._mailbox.run)
            async with anyio.create_task_group() as inner:
                inner.start_soon(scene.exchange.run)
                await scene.wait_for("a", *(["b"] if is_granted else []))
                while scene.dispatcher.request_count < 2:
                    await anyio.sleep(0.001)
                inner.cancel_scope.cancel()
            tasks.cancel_scope.cancel()
    gone = scene.dispatcher.list_reported(tickets.CallerDisconnected)
    assert sorted(gone) == ["r1", "r1‖1"]
    assert scene.dispatcher.request_count == 0
    assert scene.exchange.outcome == "caller_gone"
    assert scene.dispatcher._budget._reserved.total() == 0


@pytest.mark.anyio
async def test_a_stop_notes_the_attempt_that_it_cuts() -> None:
    # It noted the silence of the server that had been left for another one.
    scene = Scene("a", "b")
    scene.writer.is_left = False
    with anyio.fail_after(4.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.dispatcher._mailbox.run)
            async with anyio.create_task_group() as inner:
                inner.start_soon(scene.exchange.run)
                await scene.wait_for("a", "b")
                await anyio.sleep(0.5)
                scene.servers.ends["b"].send(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + EVENT
                )
                while not scene.writer.body:
                    await anyio.sleep(0.001)
                inner.cancel_scope.cancel()
            tasks.cancel_scope.cancel()
    (cut,) = scene.list_noted("answer_cut")
    assert cut["left_for"] == "stop"
    assert cut["attempts"] == 2
    assert cut["silent_s"] < 0.5


@pytest.mark.anyio
async def test_a_response_whose_body_is_silent_is_hedged() -> None:
    # Only its head was waited for with a time limit.
    scene = Scene("a", "b", kind=model.RouteKind.SAFE)
    async with scene.run():
        await scene.wait_for("a")
        scene.servers.ends["a"].send(HEAD)
        await scene.wait_for("b")
        scene.servers.ends["b"].send(HEAD + EVENT)
    assert (scene.writer.heads, scene.writer.body) == (1, EVENT)


@pytest.mark.anyio
@pytest.mark.parametrize("size", [2, attempts.MAX_BUFFERED_RESPONSE_BYTES + 1])
async def test_responses_that_arrive_at_once_are_written_once(
    size: int,
) -> None:
    # Those too large to be kept are written by another method.
    scene = Scene("a", "b", kind=model.RouteKind.SAFE)
    body = b"x" * size
    sent = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + body

    def send(end: socket.socket) -> None:
        # The end of the one that is left is closed meanwhile.
        with contextlib.suppress(OSError):
            end.sendall(sent)

    async with scene.run():
        await scene.wait_for("a", "b")
        async with anyio.create_task_group() as tasks:
            for end in scene.servers.ends.values():
                tasks.start_soon(anyio.to_thread.run_sync, send, end)
    assert (scene.writer.heads, scene.writer.ends) == (1, ["finish"])
    assert scene.writer.body == body


@pytest.mark.anyio
async def test_empty_streams_that_end_at_once_are_ended_once() -> None:
    # Neither has an event with which it would leave the other.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        for end in scene.servers.ends.values():
            end.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert (scene.writer.heads, scene.writer.ends) == (1, ["finish"])
    assert len(scene.dispatcher.list_reported(tickets.Completed)) == 1


@pytest.mark.anyio
async def test_an_error_of_a_server_is_sent_if_the_other_fails_as_well() -> (
    None
):
    # A refusal would say less.
    scene = Scene("a", "b", most=2, kind=model.RouteKind.SAFE)
    async with scene.run():
        await scene.wait_for("a", "b")
        scene.servers.ends["b"].send(
            b"HTTP/1.1 500 -\r\nContent-Length: 3\r\n\r\nwhy"
        )
        await anyio.sleep(0.05)
        assert scene.writer.ends == []
        scene.servers.ends["a"].close()
    assert (scene.writer.body, scene.writer.ends) == (b"why", ["finish"])


@pytest.mark.anyio
async def test_a_hedge_that_the_budget_denies_is_sought_again() -> None:
    # The budget refills while the server is silent.
    scene = Scene("a", "b")
    allowed = [False, False, True]
    budget = scene.dispatcher._budget
    with mock.patch.object(budget, "reserve", side_effect=allowed):
        async with scene.run():
            await scene.wait_for("b")
            scene.servers.ends["b"].send(HEAD + EVENT)
    assert scene.writer.body == EVENT


@pytest.mark.anyio
async def test_the_attempt_that_answers_is_logged_as_the_end() -> None:
    # The log named the attempt that was left as the end of the request.
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a", "b")
        scene.servers.ends["b"].send(HEAD + EVENT)
    (end,), (left,) = scene.list_noted("end"), scene.list_noted("attempt_ended")
    assert (end["hedge"], end["outcome"]) == ("r1‖1", "complete")
    assert "hedge" not in left


@pytest.mark.anyio
async def test_a_stream_waits_on_if_its_waiting_hedge_is_refused() -> None:
    # The first attempt broke while the hedge had no place yet; its refusal was
    # taken for that of a hedge beside an attempt at work.
    scene = Scene("a")
    async with scene.run():
        await scene.wait_for("a")
        scene.servers.ends["a"].send(
            b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + EVENT
        )
        while scene.dispatcher.request_count < 2:
            await anyio.sleep(0.001)
        scene.servers.ends["a"].close()
        while not scene.dispatcher.list_reported(tickets.AttemptFailed):
            await anyio.sleep(0.001)
        scene.dispatcher.refuse(scene.dispatcher._tickets["r1‖1"])
        await anyio.sleep(0.01)
        assert scene.writer.ends == []
        scene.dispatcher.granted.append("b")
        scene.dispatcher.tick(steadyclock.read() + hedging.RETRY_S)
        await scene.wait_for("b")
        second = EVENT.replace(b"1", b"2")
        scene.servers.ends["b"].send(HEAD + second)
    assert scene.writer.body == EVENT + second
    assert scene.writer.ends == ["finish"]


@pytest.mark.anyio
async def test_a_suspended_vm_reads_once_more_before_it_hedges(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It took all servers for silent when it ran again.
    monkeypatch.setattr(attempts, "LAST_READ_S", 0.5)
    scene = Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a")
        await anyio.sleep(0.005)
        time.sleep(0.1)
        await anyio.sleep(0.05)
        scene.servers.ends["a"].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
    assert scene.list_noted("hedge") == []


@pytest.mark.anyio
async def test_a_silent_server_is_hedged_again_if_the_first_hedge_broke() -> (
    None
):
    # The silent attempt did not look again once there had been a hedge.
    scene = Scene("a", "b", "c")
    async with scene.run():
        await scene.wait_for("a", "b")
        await anyio.sleep(0.1)
        scene.servers.ends["b"].close()
        await scene.wait_for("c")
        scene.servers.ends["c"].send(HEAD + EVENT)
    assert scene.writer.body == EVENT
