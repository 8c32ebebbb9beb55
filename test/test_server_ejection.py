"""Ejection of servers that some VMs cannot use.

One VM's refused connections, or responses that broke off at one VM, ejected a
server for all VMs: a VM without links to the servers ejected every one of them.
"""

from __future__ import annotations

import itertools

import msgspec

from ramptray.core import availability, message, shard
from test.test_shard import make_info, make_owner

CUT, OTHER, THIRD = "vm-cut", "vm-other", "vm-third"
_NUMBERS = itertools.count()


def ask(
    owner: shard.ShardOwner, entry: str, now: float, *silent: str
) -> message.Grant | None:
    """Returns the grant of a new request of an entry, if there is one."""
    info = make_info(f"r{next(_NUMBERS)}")
    info = msgspec.structs.replace(info, silent=silent)
    effects = owner.receive(entry, message.Enqueue(info), now)
    found = [e.message for e in effects if isinstance(e.message, message.Grant)]
    return found[0] if found else None


def refuse(
    owner: shard.ShardOwner, entry: str, now: float, *silent: str
) -> str:
    """Refuses the connection of an entry's next grant; returns the server."""
    grant = ask(owner, entry, now, *silent)
    assert grant is not None
    declined = message.Decline(
        grant.request_id,
        grant.grant_id,
        unreachable=True,
        silent=(*silent, grant.backend),
        waits=True,
    )
    owner.receive(entry, declined, now)
    owner.receive(entry, message.Withdraw(grant.request_id), now)
    return grant.backend


def serve(owner: shard.ShardOwner, entry: str, now: float) -> bool:
    """Returns whether an entry's next request is granted; it completes."""
    grant = ask(owner, entry, now)
    if grant is None:
        return False
    first = message.FirstToken(grant.request_id, 0.01, None, 0)
    owner.receive(entry, first, now)
    ended = message.Ended(grant.request_id, 10, 0.1, True)
    owner.receive(entry, ended, now)
    return True


def break_off(owner: shard.ShardOwner, entry: str, now: float) -> None:
    """Has an entry's next response break off."""
    grant = ask(owner, entry, now)
    assert grant is not None
    ended = message.Ended(grant.request_id, 0, 0.0, False, broken=True)
    owner.receive(entry, ended, now)


def test_connections_refused_to_one_vm_leave_servers_to_others() -> None:
    owner = make_owner(2)
    assert serve(owner, OTHER, 1.0)
    first = refuse(owner, CUT, 1.01)
    refuse(owner, CUT, 1.012, first)
    assert serve(owner, OTHER, 1.02)


def test_responses_broken_off_at_one_vm_leave_servers_to_others() -> None:
    owner = make_owner(1)
    assert serve(owner, OTHER, 1.0)
    for _ in range(availability.EJECT_AFTER_BREAKS):
        break_off(owner, CUT, 1.01)
    assert serve(owner, OTHER, 1.02)


def test_connections_refused_to_a_zone_leave_servers_to_others() -> None:
    owner = make_owner(1)
    assert all(serve(owner, entry, 1.0) for entry in (CUT, THIRD, OTHER))
    for entry in (CUT, THIRD):
        refuse(owner, entry, 1.1)
    assert serve(owner, OTHER, 1.12)


def test_responses_broken_off_in_a_zone_eject_until_another_vm_is_served() -> (
    None
):
    owner = make_owner(1)
    running = ask(owner, OTHER, 1.0)
    assert running is not None
    for entry in (CUT, THIRD, CUT):
        break_off(owner, entry, 1.01)
    assert ask(owner, OTHER, 1.02) is None
    ended = message.Ended(running.request_id, 10, 0.1, True)
    owner.receive(OTHER, ended, 1.03)
    assert serve(owner, OTHER, 1.04)


def test_a_server_that_refuses_all_vms_is_ejected() -> None:
    owner = make_owner(1)
    entries = (CUT, THIRD, OTHER)
    assert all(serve(owner, entry, 1.0) for entry in entries)
    for entry in entries:
        refuse(owner, entry, 1.1)
    assert not any(ask(owner, entry, 1.2) for entry in (*entries, "vm-new"))


def test_a_server_that_refuses_the_only_vm_is_ejected() -> None:
    owner = make_owner(1)
    refuse(owner, OTHER, 1.0)
    assert ask(owner, OTHER, 1.1) is None


def test_vms_without_servers_eject_none_that_answered_seconds_ago() -> None:
    # On a busy machine the only VM with servers had no answer for a second;
    # the refused connections of two others then ejected every server for it.
    owner = make_owner(2)
    for _ in range(3):
        assert serve(owner, OTHER, 1.0)
    running = [ask(owner, OTHER, 1.0) for _ in range(2)]
    assert None not in running
    for entry in (CUT, THIRD):
        first = refuse(owner, entry, 2.5)
        refuse(owner, entry, 2.502, first)
    assert serve(owner, OTHER, 2.51)


def test_servers_that_refuse_vms_are_ejected_once_none_is_answered() -> None:
    owner = make_owner(2)
    entries = (CUT, THIRD, OTHER)
    assert all(serve(owner, entry, 1.0) for entry in entries)
    now = 1.0 + availability.ISOLATED_ANSWER_VALIDITY_S + 0.1
    for entry in (CUT, THIRD):
        first = refuse(owner, entry, now)
        refuse(owner, entry, now, first)
    assert not any(ask(owner, e, now + 0.1) for e in (*entries, "vm-new"))
