"""Which scheduler an entry asks, among hundreds."""

from __future__ import annotations

import pytest

from ramptray.core import membership, message
from ramptray.entry import owners
from ramptray.peer import message as peer_message

SHARD = message.ShardKey("z", "lm", 0)
MANY = 195


def make_owners() -> owners.OwnerSelector:
    made = owners.OwnerSelector("z", "m0:1")
    members = [
        membership.Member(f"m{n}", "z", f"m{n}:1", 1) for n in range(MANY)
    ]
    made.apply_view(peer_message.View(members, []))
    return made


def test_an_owner_is_picked_once_for_many_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Picked anew for each request among 195 it took 0.13 to 0.14 ms each.
    picks = []
    pick = membership.pick_owner

    def count(key: str, candidates: list[str]) -> str | None:
        picks.append(key)
        return pick(key, candidates)

    monkeypatch.setattr(membership, "pick_owner", count)
    made = make_owners()
    found = {made.find_owner(SHARD, float(now)) for now in range(100)}
    assert len(found) == 1
    assert len(picks) == 1


def test_another_owner_is_picked_when_links_or_members_change() -> None:
    made = make_owners()
    first = made.find_owner(SHARD, 0.0)
    assert first is not None
    made.mark_down(first)
    second = made.find_owner(SHARD, 0.0)
    assert second not in (None, first)
    made.mark_up(first)
    assert made.find_owner(SHARD, 0.0) == first
    alone = membership.Member("m7", "z", "m7:1", 1)
    made.apply_view(peer_message.View([alone], []))
    assert made.find_owner(SHARD, 0.0) == "m7:1"


def test_a_silent_owner_is_asked_again_after_a_while() -> None:
    made = make_owners()
    first = made.find_owner(SHARD, 0.0)
    assert first is not None
    made.back_off(first, 0.0)
    assert made.find_owner(SHARD, 0.1) != first
    assert made.find_owner(SHARD, owners.FIRST_BACKOFF_S + 0.1) == first


# Busy and lost.


def test_an_owner_that_always_answers_late_is_not_missing_yet() -> None:
    made = make_owners()
    for _ in range(50):
        made.record_reply("m7:1", 0.3)
    assert 0.3 < made.get_reply_timeout_s("m7:1") <= owners.MAX_REPLY_TIMEOUT_S


def test_an_owner_that_answers_quickly_is_missing_soon() -> None:
    made = make_owners()
    assert made.get_reply_timeout_s("m7:1") == owners.MIN_REPLY_TIMEOUT_S
    for _ in range(50):
        made.record_reply("m7:1", 0.005)
    assert made.get_reply_timeout_s("m7:1") == owners.MIN_REPLY_TIMEOUT_S


def test_an_owner_that_turns_busy_is_missing_later_after_a_few_answers() -> (
    None
):
    made = make_owners()
    for _ in range(50):
        made.record_reply("m7:1", 0.005)
    for _ in range(3):
        made.record_reply("m7:1", 0.2)
    assert made.get_reply_timeout_s("m7:1") > 0.2


def test_however_late_an_owner_answers_it_is_missing_in_the_end() -> None:
    made = make_owners()
    for delay_s in (0.1, 3.0, 0.2, 5.0) * 10:
        made.record_reply("m7:1", delay_s)
    assert made.get_reply_timeout_s("m7:1") == owners.MAX_REPLY_TIMEOUT_S
