"""``ramptray-controller``: orders to engines under a lease of the zone."""

from __future__ import annotations

import logging
import secrets

import anyio
from starlette import applications, requests, responses, routing

from ramptray import process, runtime, steadyclock, webserver
from ramptray.bundle import acceptance
from ramptray.controller import leaseholder, reconciler
from ramptray.core import lease
from ramptray.log import client as log_client
from ramptray.peer import attachment
from ramptray.peer import message as peer_message
from ramptray.settings import ControllerSettings

LOG = logging.getLogger(__name__)

INBOX_CAPACITY = 1000
LEASE_TERM_S = 6.0
"""How long a holder keeps the lease after it sent a record, in seconds."""


class Controller:
    """Passes messages between the scheduler, the lease and the reconciler."""

    def __init__(self, settings: ControllerSettings) -> None:
        process_runtime = runtime.make_runtime("controller", settings)
        self._settings = settings
        self._timeline = process_runtime.timeline
        self._learner = acceptance.BundleTracker()
        times = lease.LeaseTimes(LEASE_TERM_S, settings.order_timeout_s)
        # A random suffix makes a restarted controller a different holder.
        state = lease.Lease(
            f"{process_runtime.name}/{secrets.token_hex(4)}",
            times,
            steadyclock.read(),
        )
        self.holder = leaseholder.LeaseHolder(
            log_client.HttpLog(settings.platform, settings.vm),
            settings.zone,
            state,
            self._report_lease,
        )
        self.reconciler = reconciler.Reconciler(
            settings.zone, state, self._timeline, settings.order_timeout_s
        )
        send, self._receive = anyio.create_memory_object_stream[
            attachment.Event
        ](INBOX_CAPACITY)
        self.link = attachment.Attachment(
            settings.scheduler,
            peer_message.Hello(process_runtime.name, settings.vm, "controller"),
            process_runtime.client,
            send.send_nowait,
        )

    async def run(self) -> None:
        """Handles messages of the scheduler until cancelled."""
        async for event in self._receive:
            if isinstance(event, attachment.MessageReceived):
                self._handle_message(event.body)

    def _handle_message(self, body: object) -> None:
        match body:
            case peer_message.BundleUpdate(envelope):
                if (
                    self._learner.apply_peer_bundle(envelope)
                    and self._learner.in_force
                ):
                    self.reconciler.set_bundle(self._learner.in_force)
                in_force = self._learner.in_force
                if in_force is not None:
                    report = peer_message.InForceReport(in_force.generation)
                    self.link.send(report)
            case peer_message.LowestGeneration(generation):
                self.reconciler.set_lowest_generation(generation)
            case peer_message.AskTimeline(after, subject, number):
                events = self._timeline.list_events(after, subject)
                self.link.send(peer_message.TimelineEvents(events, number))

    def _report_lease(self, held: bool, fencing: int) -> None:
        kind = "lease" if held else "lease_lost"
        self._timeline.note(kind, self._settings.zone, fencing=fencing)
        self.link.send(peer_message.LeaseReport(held, fencing))


async def main(settings: ControllerSettings, stop: process.Stop) -> None:
    """Serves until a stop is requested, then releases the lease."""
    controller = Controller(settings)
    listener = webserver.bind(settings.listen)
    server = webserver.make_server(_make_app())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(controller.link.run)
        tasks.start_soon(controller.run)
        tasks.start_soon(controller.holder.run)
        tasks.start_soon(controller.reconciler.run)
        tasks.start_soon(server.serve, [listener])
        LOG.info("listening", extra={"address": settings.listen})
        await stop.event.wait()
        await controller.holder.release()
        tasks.cancel_scope.cancel()


def _make_app() -> applications.Starlette:
    async def show_health(http: requests.Request) -> responses.Response:
        return responses.JSONResponse({"status": "ok"})

    return applications.Starlette(
        routes=[routing.Route("/healthz", show_health)]
    )


run = process.make_command(
    "ramptray-controller",
    ControllerSettings,
    main,
    "Orders engines to load, unload and change role, under a lease.",
)
