"""``ramptray-scheduler``: shards, membership and the bundle on one VM."""

from __future__ import annotations

import logging
import random
import time

import anyio

from ramptray import process, runtime, steadyclock
from ramptray.bundle import acceptance
from ramptray.core import membership
from ramptray.log import client as log_client
from ramptray.log import vmlist
from ramptray.peer import link as peer_link
from ramptray.peer import server as peer_server
from ramptray.scheduler import (
    claims,
    event,
    follower,
    gossip,
    handler,
    hub,
    poller,
)
from ramptray.settings import SchedulerSettings

LOG = logging.getLogger(__name__)

LEAVE_DELAY_S = 1.0
"""Time for attached processes to move their waiting requests to another
scheduler, in seconds."""


async def main(settings: SchedulerSettings, stop: process.Stop) -> None:
    """Serves until a stop is requested, then leaves the zone gracefully."""
    process_runtime = runtime.make_runtime("scheduler", settings)
    client, events = process_runtime.client, process_runtime.timeline
    log = log_client.HttpLog(settings.platform, settings.vm)
    me = membership.Member(
        settings.vm, settings.zone, settings.listen, int(time.time())
    )
    rng = random.Random()
    bundle_follower = follower.BundleFollower(
        log,
        settings.trust,
        client,
        rng,
        lambda in_force: _adopt_bundle(in_force, owner, gossiper),
    )
    gossiper = gossip.Gossiper(
        me,
        list(settings.seeds),
        client,
        rng,
        lambda view: owner.post(event.ViewChanged(view)),
        lambda lowest: owner.post(event.LowestGenerationChanged(lowest)),
        bundle_follower.fetch,
        bundle_follower,
    )
    claim_manager = claims.ClaimManager(
        log,
        lambda session, decision: owner.post(
            event.ClaimDecided(session, decision)
        ),
    )
    owner = hub.Hub(
        settings.listen,
        settings.zone,
        hub.Options(settings.policy),
        gossiper,
        claim_manager,
        events,
    )
    backend_poller = poller.Poller(
        owner,
        gossiper,
        vmlist.VmList(settings.platform, settings.zone, settings.vm),
        settings.report_every_s,
    )
    server = peer_server.PeerServer(
        handler.SchedulerHandler(owner, gossiper, bundle_follower, events),
        process_runtime.clock,
        settings.tls,
    )
    try:
        await server.start(settings.listen)
    except peer_link.LinkError as error:
        raise process.ProcessError(str(error)) from error
    LOG.info("listening", extra={"address": settings.listen})
    async with anyio.create_task_group() as tasks:
        for task in (
            owner.run,
            claim_manager.run,
            bundle_follower.run,
            gossiper.run,
            backend_poller.run,
        ):
            tasks.start_soon(task)
        await stop.event.wait()
        await gossiper.leave()
        await anyio.sleep(LEAVE_DELAY_S)
        await server.stop()
        await client.close()
        tasks.cancel_scope.cancel()


def _adopt_bundle(
    in_force: acceptance.InForce,
    owner: hub.Hub,
    gossiper: gossip.Gossiper,
) -> None:
    owner.post(event.BundleChanged(in_force))
    gossiper.membership.set_generation(in_force.generation, steadyclock.read())


run = process.make_command(
    "ramptray-scheduler",
    SchedulerSettings,
    main,
    "Owns shards: queues, grants, limits, membership and the bundle.",
)
