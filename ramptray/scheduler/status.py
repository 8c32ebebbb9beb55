"""The status report of a scheduler, shown by the operators' command."""

from __future__ import annotations

from typing import Any

from ramptray import steadyclock
from ramptray.core import backend, rollout, shard, summary
from ramptray.scheduler import gossip, hub, source


def make_report(
    owner: hub.Hub,
    gossiper: gossip.Gossiper,
    bundle_source: source.BundleSource,
) -> dict[str, Any]:
    """Returns the state of this scheduler as JSON values."""
    me = gossiper.membership.me
    now = steadyclock.read()
    return {
        "vm": me.vm,
        "zone": me.zone,
        "address": me.address,
        "generation": me.generation,
        "digest": bundle_source.in_force.envelope.digest
        if bundle_source.in_force
        else None,
        "log_up": bundle_source.log_up,
        "log_age_s": bundle_source.get_log_age(now),
        "asked_bytes": gossiper.asked_bytes,
        "members": [
            {
                "vm": member.vm,
                "address": member.address,
                "state": member.state.value,
                "generation": member.generation,
            }
            for member in gossiper.membership.list_all()
        ],
        "others": [
            {"vm": m.vm, "zone": m.zone, "address": m.address}
            for m in owner.view.others
        ],
        "attached": [
            {
                "name": attached.hello.name,
                "kind": attached.hello.kind,
                "vm": attached.hello.vm,
                "generation": attached.generation,
            }
            for attached in owner.list_attached()
        ],
        "links_down": [
            {
                "address": down.address,
                "kind": down.kind.value,
                "down_s": round(now - down.since, 1),
                "failures": down.count,
                "error": down.error,
            }
            for down in gossiper.list_links_down()
        ],
        "lease": any(a.holds_lease for a in owner.list_attached()),
        "shards": [
            _describe_shard(owner, shard_owner)
            for shard_owner in owner.shards.values()
        ],
    }


def _describe_shard(
    owner: hub.Hub, shard_owner: shard.ShardOwner
) -> dict[str, Any]:
    counters = shard_owner.counters
    return {
        "shard": shard_owner.shard.format(),
        "owned": owner.owns(shard_owner.shard),
        "waiting_by_tier": shard_owner.list_waiting(),
        "running": sum(
            len(server.placed) for server in shard_owner.fleet.backends.values()
        ),
        "shed_last_minute": shard_owner.list_shed(steadyclock.read()),
        "enqueued": counters.enqueued,
        "granted": counters.granted,
        "shed": counters.shed,
        "attempts_refused": counters.attempts_refused,
        "redirected": shard_owner.redirector.counts.total(),
        "redirected_by_zone": [
            {"zone": zone, "reason": reason.value, "count": count}
            for (zone, reason), count in shard_owner.redirector.counts.items()
        ],
        "other_zones": [
            _describe_remote(remote)
            for remote in shard_owner.redirector.list_remotes(
                steadyclock.read()
            )
        ],
        "declined": counters.declined,
        "returned": counters.returned,
        "rollout": _describe_rollout(shard_owner.releases.rollout),
        "backend_servers": [
            _describe_backend(server)
            for server in shard_owner.fleet.backends.values()
        ],
    }


def _describe_remote(remote: summary.ShardSummary) -> dict[str, Any]:
    return {
        "zone": remote.shard.zone,
        "owner": remote.owner,
        "age_s": round(remote.age_s, 2),
        "delay_s": remote.delay_s and round(remote.delay_s, 4),
        "has_backend": remote.has_backend,
        "free_slots": remote.free_slots,
        "slots": remote.slots,
        "wait_s": max(remote.waits, default=0.0),
    }


def _describe_rollout(current: rollout.Rollout | None) -> dict[str, Any] | None:
    if current is None:
        return None
    return {
        "release": current.order.release,
        "state": current.state.value,
        "reason": current.reason,
        "sent_new": current.sent_new,
        "sent": current.sent,
        "answers_new": current.answers_new,
        "failures_new": current.failures_new,
    }


def _describe_backend(server: backend.Backend) -> dict[str, Any]:
    return {
        "name": server.info.name,
        "state": "lost" if server.is_lost else server.state.value,
        "running": len(server.placed),
        "places": server.info.max_running,
        "foreign": server.foreign,
        "prefill_tokens": server.prefill_tokens,
        "prefill_tokens_per_s": round(server.prefill_rate, 1),
        "step_s": round(server.step_s, 4),
    }
