"""Which scheduler an entry asks, as links and views come and go."""

from __future__ import annotations

import json

import anyio
import pytest

from ramptray import runtime, settings
from ramptray.bundle import acceptance, signature
from ramptray.core import membership, message
from ramptray.entry import dispatcher, owners, timeouts
from ramptray.entry import ticket as tickets
from ramptray.peer import attachment
from ramptray.peer import message as peer_message
from ramptray.platform import config, follower
from test import node

OURS, OTHER = "127.0.0.1:1", "127.0.0.2:1"


class Desk(dispatcher.Dispatcher):
    """A dispatcher whose messages are kept instead of sent."""

    def __init__(self) -> None:
        given = settings.EntrySettings(
            vm="waw-a-vm1",
            zone="waw-a",
            listen="127.0.0.1:2",
            scheduler=OURS,
        )
        super().__init__(given, runtime.make_runtime("entry", given))
        self.sent: list[tuple[str, object]] = []
        self.opened: list[str] = []

    def _send_any(self, address: str, body: object) -> None:
        self.sent.append((address, body))

    def _open_link(self, address: str) -> None:
        self.opened.append(address)

    def hear(self, event: attachment.Event, now: float = 1.0) -> None:
        """Handles one event of a link."""
        self._handle(event, now)

    def take_new(self, info: message.RequestInfo) -> None:
        """Takes a request in."""
        ticket = self.submit(info, None)
        assert ticket is not None
        for event in self._mailbox.take_waiting():
            self._handle(event, 1.0)

    def get_enqueued(self) -> list[tuple[str, str]]:
        """Returns address and zone of each enqueue that was sent."""
        return [
            (address, body.request.shard.zone)
            for address, body in self.sent
            if isinstance(body, message.Enqueue)
        ]


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that the programs use."""
    return "asyncio"


@pytest.fixture
def desk() -> Desk:
    made = Desk()
    members = [membership.Member("waw-a-vm1", "waw-a", OURS, 1)]
    others = [membership.Member("waw-b-vm1", "waw-b", OTHER, 1)]
    view = peer_message.View(members, others)
    made.hear(attachment.MessageReceived(OURS, view))
    info = message.RequestInfo(
        "r1", message.ShardKey("waw-a", "s"), "c", "t", 1, 1, (), 60.0
    )
    made.take_new(info)
    return made


def test_a_request_sent_on_comes_home_when_its_zone_is_cut_off(
    desk: Desk,
) -> None:
    redirect = message.Redirect("r1", "waw-b", OTHER)
    desk.hear(attachment.MessageReceived(OURS, redirect))
    desk.hear(attachment.LinkClosed(OTHER))
    assert desk.get_enqueued() == [
        (OURS, "waw-a"),
        (OTHER, "waw-b"),
        (OURS, "waw-a"),
    ]


def test_a_zone_without_a_scheduler_is_served_by_another_zone_s(
    desk: Desk,
) -> None:
    desk.hear(attachment.LinkClosed(OURS))
    assert desk.get_enqueued() == [(OURS, "waw-a"), (OTHER, "waw-a")]


def test_a_request_that_nobody_can_decide_on_is_refused_soon(
    desk: Desk,
) -> None:
    desk.hear(attachment.LinkClosed(OURS))
    desk.hear(attachment.LinkClosed(OTHER), now=2.0)
    desk.tick(2.0 + timeouts.NO_OWNER_TIMEOUT_S - 0.1)
    assert desk.request_count == 1
    desk.tick(2.0 + timeouts.NO_OWNER_TIMEOUT_S + 0.1)
    assert desk.request_count == 0


def test_a_grant_for_a_request_that_has_ended_is_declined(
    desk: Desk,
) -> None:
    grant = message.Grant("gone", "g", "e", OURS)
    desk.hear(attachment.MessageReceived(OURS, grant))
    assert desk.sent[-1] == (OURS, message.Decline("gone", "g"))


@pytest.mark.anyio
async def test_a_request_of_the_first_moments_waits_for_the_configuration(
    desk: Desk,
) -> None:
    text = json.dumps(node.make_config(1))
    bundle = config.parse_config(text)
    in_force = acceptance.InForce(bundle, signature.Envelope(text, {}))
    async with anyio.create_task_group() as tasks:

        async def take_soon() -> None:
            await anyio.sleep(0.02)
            desk.backends.apply_bundle(in_force)

        tasks.start_soon(take_soon)
        assert await desk.backends.wait_for_bundle(5.0) is in_force


@pytest.mark.anyio
async def test_a_request_does_not_wait_long_for_the_configuration(
    desk: Desk,
) -> None:
    assert await desk.backends.wait_for_bundle(0.01) is None


def test_the_own_scheduler_hears_what_another_owner_has_learned(
    desk: Desk,
) -> None:
    speed = message.Speed(40_000.0, 0.006)
    grant = message.Grant("r1", "g", "e", OTHER, speed=speed)
    desk.hear(attachment.MessageReceived(OTHER, grant))
    assert desk.sent[-1] == (OURS, message.SpeedLearned("e", speed))


def watch_two_zones(desk: Desk) -> list[list[str]]:
    """Shows a VM in each of two zones; returns what is distrusted later."""
    text = json.dumps(node.make_config(1))
    bundle = follower.add_replicas(
        config.parse_config(text),
        {
            "near": peer_message.Replica(
                node.SERVICE, "10.0.0.1:1", "a", 4, False
            ),
            "far": peer_message.Replica(
                node.SERVICE, "10.0.0.2:1", "b", 4, False
            ),
        },
    )
    desk.backends.apply_bundle(
        acceptance.InForce(bundle, signature.Envelope(text, {}))
    )
    distrusted: list[list[str]] = []
    desk.backends.on_unreachable_zone = distrusted.append
    near = membership.Member(
        "waw-a-vm1", "waw-a", OURS, 1, availability_zone="a"
    )
    far = membership.Member("far-vm", "waw-a", OTHER, 1, availability_zone="b")
    desk.hear(
        attachment.MessageReceived(OURS, peer_message.View([near, far], []))
    )
    return distrusted


def test_connections_to_a_zone_whose_vms_are_lost_are_distrusted(
    desk: Desk,
) -> None:
    distrusted = watch_two_zones(desk)
    assert desk.backends.reachable_share == 1.0
    near = membership.Member(
        "waw-a-vm1", "waw-a", OURS, 1, availability_zone="a"
    )
    desk.hear(attachment.MessageReceived(OURS, peer_message.View([near], [])))
    assert distrusted == [["10.0.0.2:1"]]
    assert desk.backends.reachable_share == 0.5


def test_connections_to_the_zone_of_a_silent_owner_are_distrusted(
    desk: Desk,
) -> None:
    distrusted = watch_two_zones(desk)
    for number in range(20):
        desk.take_new(
            message.RequestInfo(
                f"n{number}",
                message.ShardKey("waw-a", f"s{number}"),
                *("c", "t", 1, 1, (), 60.0),
            )
        )
    assert {a for a, _ in desk.get_enqueued()} == {OURS, OTHER}
    desk.tick(1.0 + owners.MIN_REPLY_TIMEOUT_S + 0.01)
    assert distrusted == [["10.0.0.2:1"]]


def test_the_link_to_an_owner_is_open_before_the_first_request(
    desk: Desk,
) -> None:
    watch_two_zones(desk)
    assert desk.opened
    assert set(desk.opened) <= {OURS, OTHER}


def test_a_request_that_is_sent_on_late_is_not_given_up_before_its_owner_spoke(
    desk: Desk,
) -> None:
    # A stream hung for longer than requests may wait.  Between the end of its
    # first attempt and the owner's next grant, a millisecond apart on a calm
    # VM, the entry looked whether it had waited for too long, and cut it:
    # "answer.whole" was false, once, in a run of all tests beside load.
    info = message.RequestInfo(
        "r2",
        message.ShardKey("waw-a", "s"),
        "c",
        "t",
        1,
        1,
        (),
        60.0,
        repeatable=True,
        max_attempts=2,
        wait_s=1.35,
    )
    ticket = desk.submit(info, None)
    now = ticket.started_at
    for event in desk._mailbox.take_waiting():
        desk._handle(event, now)
    desk.hear(
        attachment.MessageReceived(OURS, message.Grant("r2", "g", "e", OURS)),
        now,
    )
    ended = message.Ended("r2", 2, 1.6, False, broken=True)
    failed = tickets.AttemptFailed(ended, False, message.Reason.BACKEND_LOST)
    desk._handle(failed, now + 1.6)
    assert desk.request_count == 2
    desk.tick(now + 1.6 + timeouts.REFUSAL_GRACE_S / 2)
    assert desk.request_count == 2
    # An owner that says nothing is not waited for.
    desk.tick(now + 1.6 + timeouts.REFUSAL_GRACE_S * 2)
    assert desk.request_count == 1
