"""A scheduler's report on itself, as the operators' command shows it."""

from __future__ import annotations

from typing import Any

from ramptray import steadyclock
from ramptray.core import backend, rollout, shard
from ramptray.scheduler import gossip, hub, source


def make_report(
    owner: hub.Hub, gossiper: gossip.Gossiper, follow: source.BundleSource
) -> dict[str, Any]:
    """Returns what this scheduler sees, as JSON values."""
    me = gossiper.membership.me
    return {
        "vm": me.vm,
        "zone": me.zone,
        "address": me.address,
        "generation": me.generation,
        "digest": follow.in_force.envelope.digest if follow.in_force else None,
        "log_up": follow.log_up,
        "log_age_s": follow.get_log_age(steadyclock.read()),
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
            len(known.placed) for known in shard_owner.fleet.backends.values()
        ),
        "shed_last_minute": shard_owner.list_shed(steadyclock.read()),
        "enqueued": counters.enqueued,
        "granted": counters.granted,
        "shed": counters.shed,
        "redirected": counters.redirected,
        "declined": counters.declined,
        "rollout": _describe_rollout(shard_owner.releases.rollout),
        "backend_servers": [
            _describe_backend(known)
            for known in shard_owner.fleet.backends.values()
        ],
    }


def _describe_rollout(found: rollout.Rollout | None) -> dict[str, Any] | None:
    if found is None:
        return None
    return {
        "release": found.order.release,
        "state": found.state.value,
        "reason": found.reason,
        "sent_new": found.sent_new,
        "sent": found.sent,
        "answers_new": found.answers_new,
        "failures_new": found.failures_new,
    }


def _describe_backend(known: backend.Backend) -> dict[str, Any]:
    return {
        "name": known.info.name,
        "state": "lost" if known.is_lost else known.state.value,
        "running": len(known.placed),
        "places": known.info.max_running,
        "foreign": known.foreign,
        "prefill_tokens": known.prefill_tokens,
        "prefill_tokens_per_s": round(known.prefill_rate, 1),
        "step_s": round(known.step_s, 4),
    }
