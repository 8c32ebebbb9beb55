"""Where streams that callers resume go on."""

from __future__ import annotations

import functools
import json
import math
from typing import Any, cast

import anyio
import msgspec
import pytest

from ramptray import steadyclock
from ramptray.bundle import model
from ramptray.core import (
    backend,
    release_history,
    rollout,
    route_history,
    shard,
    shedding,
    stream_origin,
    summary,
)
from ramptray.core import message as core_message
from ramptray.entry import origin_store
from ramptray.log import error as log_error
from ramptray.log import shared_read
from ramptray.peer import message as peer_message
from ramptray.platform import config, follower, replicas, store
from ramptray.relay import (
    answer,
    connection,
    message,
    refusal,
    resumption,
    service,
)
from test import (
    node,
    test_hedge_exchange,
    test_hedging,
    test_origin_store,
    test_release_binding,
    test_shard,
    test_tunnel,
)

V1 = stream_origin.Origin("lm", "v1")
Source = stream_origin.Source


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class KnownOrigins:
    """Origins by key, as a store of several VMs would find them."""

    def __init__(self, here: dict[bytes, origin_store.Finding]) -> None:
        self.here = here
        self.elsewhere = origin_store.Finding(Source.UNKNOWN)
        self.stored = origin_store.Finding(Source.UNKNOWN)
        self.counted: list[stream_origin.Source] = []

    async def find(self, key: bytes) -> origin_store.Finding:
        return self.here.get(key, origin_store.Finding(Source.UNKNOWN))

    async def find_in_other_zones(self, key: bytes) -> origin_store.Finding:
        return self.elsewhere

    async def find_stored(self, key: bytes) -> origin_store.Finding:
        return self.stored

    def count_resumed(self, source: stream_origin.Source) -> None:
        self.counted.append(source)


def make_history(*releases: str) -> release_history.ReleaseHistory:
    """Returns a history of releases that have served for long."""
    history = release_history.ReleaseHistory()
    history.begin(-math.inf, 0)
    history.observe({"lm": releases}, 0.0)
    return history


def make_admission(*services: str) -> service._Admission:
    """Returns a resumed stream of a route that is split between services."""
    raw = node.make_config(1)
    stream = next(r for r in raw["routes"] if r["name"] == "stream")
    del stream["service"]
    stream["trafficSplit"] = [
        {"service": name, "weight": 50} for name in services
    ]
    names = {"lm", *services}
    raw["services"] = [{"name": name} for name in sorted(names)]
    bundle = config.parse_config(json.dumps(raw))
    return service._Admission(
        make_request(), bundle, bundle.routes["stream"], "ola"
    )


def route(
    began: stream_origin.Origin, *services: str
) -> answer.RoutedRequest | refusal.Refusal:
    """Returns where a resumed stream of a split route goes."""
    nothing: Any = None
    relay = service.RelayService(
        "all", nothing, nothing, nothing, nothing, nothing, nothing
    )
    return relay._route(make_admission(*services), began)


def make_request(resumes: str | None = "r1") -> message.CallerRequest:
    return message.CallerRequest(
        b"POST",
        b"/",
        "a",
        [],
        "r2",
        3.0,
        None,
        None,
        0,
        None,
        (),
        (),
        "4",
        resumes,
    )


async def find(
    origins: KnownOrigins,
    history: release_history.ReleaseHistory,
    is_current: bool = True,
    resumes: str | None = "r1",
    services: tuple[str, ...] = ("lm",),
) -> origin_store.Finding:
    """Returns what is found out about a stream."""
    resolution = await resolve(origins, history, is_current, resumes, services)
    return resolution.finding


async def resolve(
    origins: KnownOrigins,
    history: release_history.ReleaseHistory,
    is_current: bool = True,
    resumes: str | None = "r1",
    services: tuple[str, ...] = ("lm",),
) -> resumption.Resolution:
    async def confirm() -> bool:
        return is_current

    resolver = resumption.ResumptionResolver(
        cast(origin_store.OriginStore, origins),
        history,
        route_history.RouteHistory(),
        confirm,
    )
    return await resolver.resolve(
        make_request(resumes), make_admission(*services).route, "ola"
    )


@pytest.mark.anyio
async def test_known_origin_takes_precedence_over_the_only_release() -> None:
    found = origin_store.Finding(Source.PEER, V1)
    origins = KnownOrigins({stream_origin.make_key("ola", "r1"): found})
    assert await find(origins, make_history("v2")) == found
    assert origins.counted == [Source.PEER]


@pytest.mark.anyio
async def test_origin_is_found_in_another_zone() -> None:
    origins = KnownOrigins({})
    origins.elsewhere = origin_store.Finding(Source.PEER, V1)
    finding = await find(origins, make_history("v1", "v2"))
    assert finding.origin == V1


@pytest.mark.anyio
@pytest.mark.parametrize("resumes", ["r1", None, ""])
async def test_unknown_stream_goes_on_at_the_only_release(
    resumes: str | None,
) -> None:
    finding = await find(KnownOrigins({}), make_history("v1"), resumes=resumes)
    assert finding == origin_store.Finding(Source.ONLY_RELEASE, V1)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("releases", "is_current", "services", "retry_after_s"),
    [
        (("v1", "v2"), True, ("lm",), stream_origin.SPAN_S),
        (("v1",), False, ("lm",), resumption.SEARCH_RETRY_S),
        (("v1",), True, ("lm", "other"), stream_origin.SPAN_S),
        ((), True, ("lm",), resumption.MIN_RETRY_S),
    ],
    ids=["two_releases", "not_current", "two_services", "no_release"],
)
async def test_unknown_stream_is_refused_unless_one_release_is_certain(
    releases: tuple[str, ...],
    is_current: bool,
    services: tuple[str, ...],
    retry_after_s: float,
) -> None:
    resolution = await resolve(
        KnownOrigins({}),
        make_history(*releases),
        is_current,
        services=services,
    )
    assert resolution.finding.origin is None
    refused = resumption.make_refusal(resolution)
    assert refused == refusal.Refusal(503, "unknown_stream", retry_after_s)


@pytest.mark.anyio
async def test_ambiguous_stream_is_refused_even_with_one_release() -> None:
    found = origin_store.Finding(Source.AMBIGUOUS)
    origins = KnownOrigins({stream_origin.make_key("ola", "r1"): found})
    refused = resumption.make_refusal(
        await resolve(origins, make_history("v1"))
    )
    assert refused.text == "ambiguous_stream"
    assert refused.retry_after_s == stream_origin.SPAN_S


@pytest.mark.anyio
async def test_refusal_advises_to_return_if_a_vm_did_not_answer() -> None:
    origins = KnownOrigins({})
    origins.elsewhere = origin_store.Finding(Source.UNKNOWN, is_complete=False)
    key = stream_origin.make_key("ola", "r1")
    origins.here[key] = origins.elsewhere
    resolution = await resolve(origins, make_history("v1", "v2"))
    assert resumption.make_refusal(resolution).retry_after_s == 1.0


@pytest.mark.parametrize("began", ["lm", "other"])
def test_resumed_stream_stays_with_its_service(began: str) -> None:
    # A route may be split between services, and the attempts of a caller have
    # different ids.
    routed = route(stream_origin.Origin(began, "v2"), "lm", "other")
    assert isinstance(routed, answer.RoutedRequest)
    assert routed.info.shard.service == began
    assert routed.info.release == "v2"


def test_stream_of_a_service_that_left_its_route_is_refused() -> None:
    refused = route(stream_origin.Origin("old", "v1"), "lm")
    assert refused == refusal.Refusal(503, "service_left", stream_origin.SPAN_S)


@pytest.mark.parametrize(("deadline_s", "left_s"), [(3.0, 2.5), (None, 3.5)])
def test_search_for_the_origin_counts_towards_the_deadline(
    deadline_s: float | None, left_s: float
) -> None:
    # Guards against backend servers that work for longer than callers wait.
    asked = msgspec.structs.replace(make_request(), deadline_s=deadline_s)
    admitted = make_admission("lm")
    shortened = service._shorten_deadline(asked, admitted.route, 0.5)
    assert shortened.deadline_s == left_s


class Topic:
    """The store's topic of replicas."""

    def __init__(self) -> None:
        self.end: int | None = 7
        self.records: list[store.Change] = []
        self.reads = 0
        self.is_down = False
        self.page_size = 100
        self.applied: list[store.Change] = []

    async def read_from(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> store.Changes:
        self.reads += 1
        await anyio.sleep(0.01)
        if self.is_down:
            raise log_error.LogTimeoutError("no answer")
        rest = [each for each in self.records if each.position >= offset]
        page = rest[: self.page_size]
        return store.Changes(page, offset + len(page))

    async def apply_peer_page(
        self, page: store.Changes, whole: bool, fresh_at: float, peer: str
    ) -> None:
        self.applied += page.records


def make_confirming(topic: Topic) -> follower.Follower:
    """Returns a follower that confirms what it knows by this topic."""
    made = follower.Follower.__new__(follower.Follower)
    made._replica_reader = cast(Any, topic)
    made._confirmation = shared_read.SharedRead(
        made._read_all_replicas, follower.CONFIRM_INTERVAL_S
    )
    return made


@pytest.mark.anyio
async def test_records_that_are_not_known_yet_are_applied() -> None:
    # Guards against a stream that goes on at what seems to be the only release
    # although the record of another one is in the store.
    topic = Topic()
    topic.records = [store.Change("i-1", b"{}", 7)]
    assert await make_confirming(topic).confirm_replicas()
    assert topic.applied == topic.records


@pytest.mark.anyio
async def test_records_beyond_the_first_page_are_not_missed() -> None:
    # A VM that stood still had more records to read than a page holds, and took
    # the release before them for the only one.
    topic = Topic()
    topic.page_size = 2
    topic.records = [store.Change(f"i-{at}", b"{}", at) for at in range(7, 12)]
    assert await make_confirming(topic).confirm_replicas()
    assert topic.applied == topic.records


@pytest.mark.anyio
async def test_nothing_is_certain_while_the_store_is_down() -> None:
    topic = Topic()
    topic.is_down = True
    assert not await make_confirming(topic).confirm_replicas()


@pytest.mark.anyio
async def test_confirmations_at_the_same_time_share_reads() -> None:
    topic = Topic()
    confirming = make_confirming(topic)
    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(confirming.confirm_replicas)
    assert topic.reads <= 2


def test_replica_that_came_and_went_unseen_is_counted() -> None:
    registry = replicas.ReplicaRegistry(1.6)
    registry.apply_changes([store.Change("i-1", None, 3)], 0.0)
    assert registry.missed_count == 1


@pytest.mark.anyio
async def test_stream_that_only_the_store_knows_goes_on() -> None:
    origins = KnownOrigins({})
    origin = stream_origin.Origin("lm", "v1")
    origins.stored = origin_store.Finding(Source.STORED, origin)
    found = await find(origins, make_history("v1", "v2"))
    assert found.origin == origin


@pytest.mark.anyio
async def test_a_silent_vm_of_another_region_is_asked_again_soon() -> None:
    # The caller was sent away for a whole span.
    origins = KnownOrigins({})
    origins.elsewhere = origin_store.Finding(Source.UNKNOWN, is_complete=False)
    found = await resolve(origins, make_history("v1", "v2"))
    assert found.retry_after_s == resumption.SEARCH_RETRY_S


@pytest.mark.anyio
async def test_resolution_says_what_an_only_release_rests_on() -> None:
    # Nothing told a release that this VM had seen alone for long from one that
    # another VM, or the settings, had called the only one.
    resolution = await resolve(KnownOrigins({}), make_history("v1"))
    assert resolution.span_s is not None
    assert resolution.basis is not None
    assert resolution.basis.length_s >= resolution.span_s
    assert resolution.basis.evidence is release_history.Evidence.OBSERVED


async def count_asks(
    monkeypatch: pytest.MonkeyPatch,
    history: release_history.ReleaseHistory,
    patience_s: float,
    is_current: bool = True,
) -> tuple[int, bool]:
    """Returns how often a caller asks that obeys Retry-After.

    Args:
        monkeypatch: Sets the clock, which begins at 1000 s.
        history: The history of the VM.
        patience_s: Seconds after which the caller gives up.
        is_current: Whether the store answers.

    Returns:
        The number of attempts, and whether its stream went on.
    """
    now = 1000.0
    for asks in range(1, 1000):
        monkeypatch.setattr(steadyclock, "read", lambda now=now: now)
        resolution = await resolve(KnownOrigins({}), history, is_current)
        if resolution.finding.origin is not None:
            return asks, True
        # A caller without advice soon asks again.
        now += resumption.make_refusal(resolution).retry_after_s or 0.1
        if now > 1000.0 + patience_s:
            return asks, False
    raise AssertionError("the caller never stops asking")


def make_seen(*releases: str, since: float) -> release_history.ReleaseHistory:
    history = release_history.ReleaseHistory()
    history.begin(since, 0)
    history.observe({"lm": releases}, since)
    return history


@pytest.mark.anyio
async def test_caller_that_obeys_asks_once_while_two_releases_serve(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Refusals without Retry-After were repeated until patience ended.
    seen = make_seen("v1", "v2", since=0.0)
    assert await count_asks(monkeypatch, seen, 60.0) == (1, False)


@pytest.mark.anyio
async def test_caller_that_obeys_returns_when_its_release_is_certain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seen = make_seen("v1", "v2", since=0.0)
    seen.observe({"lm": {"v2"}}, 980.0)
    assert await count_asks(monkeypatch, seen, 60.0) == (2, True)


@pytest.mark.anyio
async def test_caller_of_a_vm_that_just_started_asks_again_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Another VM or the store may complete the history within a second or two.
    seen = make_seen("v1", since=1000.0)
    assert await count_asks(monkeypatch, seen, 16.0) == (3, False)
    assert await count_asks(monkeypatch, seen, 66.0) == (4, True)


@pytest.mark.anyio
async def test_caller_that_obeys_asks_each_second_while_the_store_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seen = make_seen("v1", since=0.0)
    assert await count_asks(monkeypatch, seen, 9.5, False) == (10, False)


@pytest.mark.anyio
async def test_span_does_not_depend_on_the_time_limit_of_the_route() -> None:
    # A caller makes several attempts, and a configuration may have lowered the
    # limit since its stream began.
    now = steadyclock.read()
    seen = make_seen("v2", since=now - stream_origin.SPAN_S + 5.0)
    assert (await find(KnownOrigins({}), seen)).origin is None


SECOND = test_hedge_exchange.EVENT.replace(b"1", b"2")
PART = b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"


def set_record(scene: test_hedge_exchange.Scene, **fields: Any) -> None:
    """Has the record of server b come into force."""
    directory = scene.dispatcher.backends
    assert directory.in_force is not None
    server = model.BackendServer(
        **{
            "zone": "waw-a",
            "service": "s",
            "engine": "e",
            "url": "http://127.0.0.1:1",
            "release": "1",
            **fields,
        }
    )
    bundle = msgspec.structs.replace(
        directory.in_force.bundle, backend_servers={"b": server}
    )
    directory.apply_bundle(
        msgspec.structs.replace(directory.in_force, bundle=bundle)
    )


RECORDS = [
    ({"release": "2"}, True),
    ({"release": "2", "run": 5}, True),
    ({"service": "other"}, True),
    ({}, False),
]
"""Changed fields of a record, and whether its server is then another origin."""


@pytest.mark.anyio
@pytest.mark.parametrize(("fields", "is_other"), RECORDS)
async def test_begun_answer_goes_on_only_at_what_began_it(
    fields: dict[str, Any], is_other: bool
) -> None:
    # Guards against events of another release from a server whose record
    # changes while it is asked.
    scene = test_hedge_exchange.Scene("a", "b")
    async with scene.run():
        await scene.wait_for("a")
        scene.servers.ends["a"].send(PART + test_hedge_exchange.EVENT)
        await scene.wait_for("b")
        set_record(scene, **fields)
        scene.servers.ends["b"].send(test_hedge_exchange.HEAD + SECOND)
        await anyio.sleep(0.05)
        if is_other:
            assert scene.writer.body == test_hedge_exchange.EVENT
            # The server that was silent may still go on.
            scene.servers.ends["a"].send(SECOND)
    assert scene.writer.body == test_hedge_exchange.EVENT + SECOND
    assert bool(scene.list_noted("other_origin")) == is_other


@pytest.mark.anyio
@pytest.mark.parametrize(("fields", "is_other"), RECORDS)
async def test_server_known_to_differ_is_not_asked_to_continue(
    fields: dict[str, Any], is_other: bool
) -> None:
    # An owner may grant a server whose record is newer here.  The server ran
    # the request, its first event was dropped and an attempt used up.
    scene = test_hedge_exchange.Scene("a", "b")
    set_record(scene, **fields)
    async with scene.run():
        await scene.wait_for("a")
        scene.servers.ends["a"].send(PART + test_hedge_exchange.EVENT)
        if is_other:
            await scene.wait_for_noted("connect_failed")
            assert "b" not in scene.servers.ends
            scene.servers.ends["a"].send(SECOND)
        else:
            await scene.wait_for("b")
            scene.servers.ends["b"].send(test_hedge_exchange.HEAD + SECOND)
    assert scene.writer.body == test_hedge_exchange.EVENT + SECOND


@pytest.mark.anyio
@pytest.mark.parametrize("release", ["1", "2"])
async def test_resumed_stream_gets_events_of_its_release_only(
    release: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    bound = functools.partial(test_hedging.make_info, release="1")
    monkeypatch.setattr(test_hedge_exchange, "make_info", bound)
    scene = test_hedge_exchange.Scene("b", most=1)
    async with scene.run():
        await scene.wait_for("b")
        set_record(scene, release=release)
        scene.servers.ends["b"].send(test_hedge_exchange.HEAD + SECOND)
    assert scene.writer.body == (SECOND if release == "1" else b"")
    assert scene.writer.ends == ["finish" if release == "1" else "refuse"]


# How long a release without servers stays so, as callers are told.

LEFT_AT = 10.0
"""When the last server of v2 has left, in seconds."""

SETTLED_S = shedding.RELEASE_RETURN_S + 1.0


def make_owner_without_v2(remotes: int = 1) -> shard.ShardOwner:
    """Returns an owner that had a server of v2 up to ``LEFT_AT``."""
    owner = test_release_binding.make_owner(
        {"a": "v1", "b": "v2"}, slots=2, remotes=remotes
    )
    owner.tick(LEFT_AT)
    rules = msgspec.structs.replace(test_release_binding.RULES, zones=remotes)
    owner.configure(rules, [owner.fleet.backends["a"].info])
    return owner


def refuse(
    owner: shard.ShardOwner, after_s: float, deadline_s: float = 60.0
) -> core_message.Reject:
    """Returns how a stream of v2 is refused that is taken up after ``LEFT_AT``.

    Args:
        owner: The owner.
        after_s: Seconds since then.
        deadline_s: For how long its caller waits, in seconds.
    """
    info = test_shard.make_info("r", deadline_s=deadline_s)
    info = msgspec.structs.replace(info, release="v2")
    now = LEFT_AT + after_s
    sent = owner.receive("entry", core_message.Enqueue(info), now)
    sent += owner.tick(now + min(deadline_s, shedding.RELEASE_GRACE_S))
    (refused,) = (
        effect.message
        for effect in sent
        if isinstance(effect.message, core_message.Reject)
    )
    return refused


@pytest.mark.parametrize("deadline_s", [0.01, 0.3, 60.0])
def test_stream_of_a_release_that_left_is_told_the_span(
    deadline_s: float,
) -> None:
    # It was refused with about 1 s, again and again.
    refused = refuse(make_owner_without_v2(), SETTLED_S, deadline_s)
    assert refused.reason is core_message.Reason.NO_RELEASE
    assert refused.retry_after_s == stream_origin.SPAN_S


def test_release_that_may_come_back_is_refused_for_a_short_time() -> None:
    # Records spread, and a VM that has just started has not read them yet.
    just_left = make_owner_without_v2()
    assert refuse(just_left, 1.0).retry_after_s <= 1.0
    starting = test_release_binding.make_owner({"a": "v1"})
    assert refuse(starting, 1.0 - LEFT_AT).retry_after_s <= 1.0
    assert refuse(starting, SETTLED_S).retry_after_s == stream_origin.SPAN_S


def test_release_that_left_again_is_refused_for_a_short_time() -> None:
    owner = make_owner_without_v2()
    assert refuse(owner, SETTLED_S).retry_after_s == stream_origin.SPAN_S
    only = [owner.fleet.backends["a"].info]
    back = backend.BackendInfo("c", 2, 100_000, 16, release="v2")
    owner.configure(test_release_binding.RULES, [*only, back])
    owner.tick(LEFT_AT + 20.0)
    owner.configure(test_release_binding.RULES, only)
    assert refuse(owner, 21.0).retry_after_s <= 1.0


def test_stream_of_a_release_without_any_server_left_is_told_a_short_time() -> (
    None
):
    # Nothing has replaced the release, so it returns with its service.
    owner = make_owner_without_v2()
    owner.remove_backends()
    assert refuse(owner, SETTLED_S).retry_after_s <= 1.0


@pytest.mark.parametrize("releases", [None, ("v2",)], ids=["unheard", "full"])
def test_release_that_another_region_may_have_is_refused_for_a_short_time(
    releases: tuple[str, ...] | None,
) -> None:
    owner = make_owner_without_v2(remotes=2)
    if releases:
        remote = summary.ShardSummary(
            msgspec.structs.replace(test_shard.KEY, zone="far"),
            "x",
            0,
            (0,),
            True,
            1,
            releases=releases,
        )
        owner.set_remote_summaries([remote], LEFT_AT)
    assert refuse(owner, SETTLED_S).retry_after_s <= 1.0


def test_stream_of_a_release_that_was_rolled_back_is_told_the_span() -> None:
    owner = test_release_binding.make_owner({"a": "v1", "b": "v2"})
    test_release_binding.set_rollout(owner, rollout.State.ROLLED_BACK)
    refused = refuse(owner, 1.0 - LEFT_AT)
    assert refused.retry_after_s == stream_origin.SPAN_S


@pytest.mark.anyio
async def test_a_gateway_does_not_lead_to_another_address_of_a_server() -> None:
    # The release was checked by the VM's own record, but the bytes came from
    # the server's address in the gateway's, which may be of another release.
    async with test_tunnel.run_gateway() as gateway:
        moved = msgspec.structs.replace(gateway.target, address="127.0.0.1:1")
        with pytest.raises(connection.NotSentError, match="unknown_server"):
            await gateway.opener.open(moved)


@pytest.mark.anyio
async def test_other_regions_are_told_all_origins_of_an_ambiguous_id() -> None:
    # They were told the one that the asked VM keeps, and went on there.
    key = stream_origin.make_key("ola", "r1")
    other = stream_origin.Origin("lm", "v2")
    async with test_origin_store.run_network() as network:
        for address, store in network.stores.items():
            origin = V1 if address == "vm-0" else other
            record = stream_origin.OriginRecord(key, (origin,), 10.0)
            store._table.merge(record, steadyclock.read())
        await anyio.wait_all_tasks_blocked()
        question = peer_message.FindOrigin(key, asks_zone=True)
        answered = await network.stores["vm-0"].answer(question)
    assert set(answered.origins) == {V1, other}
