"""Placement of streams that are bound to the release that began them."""

from __future__ import annotations

import msgspec
import pytest

from ramptray.core import (
    backend,
    message,
    policy,
    request,
    rollout,
    shard,
    summary,
)
from ramptray.core import rules as shard_rules
from test import test_shard

RULES = shard_rules.ShardRules({"normal": 0}, 100_000, 0.0, {}, {})


def make_owner(
    releases: dict[str, str], slots: int = 1, remotes: int = 1
) -> shard.ShardOwner:
    """Returns the owner of servers with these releases, by their names."""
    infos = [
        backend.BackendInfo(name, slots, 100_000, 16, release=release)
        for name, release in releases.items()
    ]
    rules = msgspec.structs.replace(RULES, zones=remotes)
    return shard.ShardOwner(
        test_shard.KEY,
        "127.0.0.1:1",
        rules,
        infos,
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
    )


def make_info(
    name: str, release: str | None = None, customer: str = "ola"
) -> message.RequestInfo:
    """Returns a request that is bound to a release."""
    info = test_shard.make_info(name, customer=customer)
    return msgspec.structs.replace(info, release=release)


def enqueue(
    owner: shard.ShardOwner, *infos: message.RequestInfo, now: float = 1.0
) -> dict[str, str | message.Reason]:
    """Enqueues requests; returns the server or refusal of each by its name."""
    answers = [
        effect.message
        for info in infos
        for effect in owner.receive("entry", message.Enqueue(info), now)
    ]
    return {
        each.request_id: each.backend
        if isinstance(each, message.Grant)
        else each.reason
        for each in answers
        if isinstance(each, message.Grant | message.Reject)
    }


def test_stream_is_granted_its_release_only() -> None:
    owner = make_owner({"a": "v1", "b": "v2"}, slots=3)
    granted = enqueue(owner, *(make_info(f"r{n}", "v2") for n in range(5)))
    assert granted == {f"r{n}": "b" for n in range(3)}


def test_grant_names_the_release() -> None:
    owner = make_owner({"b": "v2"})
    sent = owner.receive("entry", message.Enqueue(make_info("r")), 1.0)
    assert [effect.message.release for effect in sent] == ["v2"]  # type: ignore[union-attr]


def test_tried_server_is_used_again_if_no_other_has_the_release() -> None:
    owner = make_owner({"a": "v1", "b": "v2"})
    info = msgspec.structs.replace(make_info("r", "v2"), avoid=("b",))
    assert enqueue(owner, info) == {"r": "b"}


def test_waiting_stream_does_not_block_its_customers_other_requests() -> None:
    owner = make_owner({"a": "v1", "b": "v2"})
    granted = enqueue(
        owner,
        make_info("first", "v2"),
        make_info("waits", "v2"),
        make_info("other"),
    )
    assert granted == {"first": "b", "other": "a"}


@pytest.mark.parametrize("pauses", [False, True])
def test_waiting_stream_does_not_block_streams_of_other_releases(
    pauses: bool,
) -> None:
    # After a release's servers had crashed, its streams waited at the head, and
    # those of another release were refused although its servers were free.
    owner = make_owner({"a": "v1", "b": "v2", "c": "v3"})
    if pauses:
        owner.fleet.eligibility.record_pause(9.0)
    granted = enqueue(
        owner,
        make_info("first", "v2"),
        make_info("waits", "v2"),
        make_info("of_v1", "v1"),
        make_info("waits_too", "v1"),
        make_info("of_v3", "v3"),
        now=9.0,
    )
    assert granted == {"first": "b", "of_v1": "a", "of_v3": "c"}


def test_waiting_streams_do_not_block_other_customers() -> None:
    owner = make_owner({"a": "v1", "b": "v2"})
    waiting = (make_info(f"w{n}", "v2", f"customer-{n}") for n in range(9))
    granted = enqueue(owner, *waiting, make_info("other"), now=9.0)
    assert granted == {"w0": "b", "other": "a"}


def test_waiting_streams_do_not_block_lower_tiers() -> None:
    owner = make_owner({"a": "v1", "b": "v2"})
    owner.configure(
        msgspec.structs.replace(RULES, ranks={"normal": 0, "low": 1}),
        [known.info for known in owner.fleet.backends.values()],
    )
    waiting = (make_info(f"w{n}", "v2", f"customer-{n}") for n in range(9))
    other = msgspec.structs.replace(make_info("other"), tier="low")
    granted = enqueue(owner, *waiting, other, now=9.0)
    assert granted == {"w0": "b", "other": "a"}


def test_request_of_a_full_region_does_not_block_its_customers_others() -> None:
    infos = [
        backend.BackendInfo(name, 1, 100_000, 16, region=region)
        for name, region in (("a", "north"), ("b", "south"))
    ]
    owner = make_owner({})
    owner.configure(RULES, infos)
    granted = enqueue(
        owner,
        bind_to_region("first", "south"),
        bind_to_region("waits", "south"),
        bind_to_region("other", "north"),
    )
    assert granted == {"first": "b", "other": "a"}


def bind_to_region(name: str, region: str) -> message.RequestInfo:
    """Returns a request that only servers of one region may run."""
    return msgspec.structs.replace(make_info(name), regions=(region,))


def test_freed_slot_goes_to_a_stream_that_needs_its_release() -> None:
    # Guards against resumed streams that starve while new ones, which may run
    # at any release, take each slot of theirs.
    owner = make_owner({"a": "v1", "b": "v2"})
    enqueue(owner, make_info("x"), make_info("y"))
    enqueue(owner, *(make_info(f"new{n}", customer="c") for n in range(3)))
    enqueue(owner, make_info("resumed", "v2", customer="zofia"))
    (running,) = owner.fleet.backends["b"].placed
    ended = message.Ended(running, 10, 0.1, True)
    sent = owner.receive("entry", ended, 2.0)
    assert [effect.message.request_id for effect in sent] == ["resumed"]


def test_stream_without_a_server_of_its_release_is_refused() -> None:
    owner = make_owner({"a": "v1"})
    assert enqueue(owner, make_info("r", "v2")) == {}
    assert owner.tick(1.4) == []
    (effect,) = owner.tick(1.6)
    assert isinstance(effect.message, message.Reject)
    assert effect.message.reason is message.Reason.NO_RELEASE
    assert effect.message.retry_after_s > 0


def test_stream_waits_for_a_record_of_its_release_that_comes_late() -> None:
    owner = make_owner({"a": "v1"})
    enqueue(owner, make_info("r", "v2"))
    late = backend.BackendInfo("b", 1, 100_000, 16, release="v2")
    owner.configure(RULES, [owner.fleet.backends["a"].info, late])
    (effect,) = owner.tick(1.2)
    assert isinstance(effect.message, message.Grant)
    assert effect.message.backend == "b"


def set_rollout(owner: shard.ShardOwner, state: rollout.State) -> None:
    """Puts the rollout of release v2 in a state."""
    order = rollout.Order(test_shard.KEY.service, "v2", 10.0, 0.0)
    owner.releases.set_order(order, None)
    assert owner.releases.rollout is not None
    owner.releases.rollout.state = state


def test_rollout_does_not_hold_back_streams_of_the_old_release() -> None:
    owner = make_owner({"a": "v1", "b": "v2"})
    set_rollout(owner, rollout.State.COMPLETED)
    assert enqueue(owner, make_info("r", "v1")) == {"r": "a"}


def test_stream_of_a_release_that_was_rolled_back_is_refused() -> None:
    owner = make_owner({"a": "v1", "b": "v2"})
    set_rollout(owner, rollout.State.ROLLED_BACK)
    assert enqueue(owner, make_info("r", "v2")) == {}
    (effect,) = owner.tick(1.6)
    assert isinstance(effect.message, message.Reject)
    assert effect.message.reason is message.Reason.NO_RELEASE


@pytest.mark.parametrize(
    ("releases", "allows"), [(None, False), (("v1",), False), (("v2",), True)]
)
def test_stream_is_redirected_only_to_a_zone_with_its_release(
    releases: tuple[str, ...] | None, allows: bool
) -> None:
    remote = summary.ShardSummary(
        test_shard.KEY, "x", 9, (0,), True, 1, releases=releases
    )
    assert remote.allows(make_info("r", "v2")) is allows
    assert remote.allows(make_info("r"))


def make_grant(release: str | None) -> message.Grant:
    return message.Grant("r", "g", "b", "owner", release=release)


@pytest.mark.parametrize("release", ["v1", None])
def test_grant_of_another_release_is_declined(release: str | None) -> None:
    # An owner of an older version grants any release.
    machine = request.RequestMachine(make_info("r", "v2"), False)
    machine.assign("owner", machine.info)
    decline, *_, finish = machine.receive_grant(make_grant(release))
    assert isinstance(decline, request.SendToOwner)
    assert isinstance(decline.message, message.Decline)
    assert isinstance(finish, request.Finish)
    assert finish.outcome is message.Outcome.NOT_RUN
    assert finish.reason is message.Reason.NO_RELEASE
    assert machine.state is request.State.ENDED


def test_stream_of_unknown_release_gets_no_further_attempt() -> None:
    info = msgspec.structs.replace(
        make_info("r"), repeatable=True, max_attempts=3
    )
    machine = request.RequestMachine(info, False)
    machine.assign("owner", info)
    machine.receive_grant(make_grant(None))
    machine.bind_release(None)
    failure = request.Finish(message.Outcome.UNKNOWN)
    ended = message.Ended("r", 1, 0.1, False)
    effects = machine.fail_attempt(ended, False, True, failure)
    assert machine.state is request.State.ENDED
    assert effects[-1] == failure


def test_few_servers_of_a_release_are_found_among_many() -> None:
    # Guards against streams that wait for windows over hundreds of servers to
    # reach the few of their release.
    many = {f"a{number}": "v1" for number in range(300)}
    owner = make_owner({**many, "b1": "v2", "b2": "v2"}, slots=2)
    granted = enqueue(owner, *(make_info(f"r{n}", "v2") for n in range(4)))
    assert sorted(map(str, granted.values())) == ["b1", "b1", "b2", "b2"]
    renamed = backend.BackendInfo("b1", 2, 100_000, 16, run=2, release="v3")
    owner.configure(RULES, [renamed])
    assert enqueue(owner, make_info("other", "v3")) == {"other": "b1"}
