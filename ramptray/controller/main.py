"""``ramptray-controller``: orders to engines under a lease of the zone."""

from __future__ import annotations

import logging

import anyio
from starlette import applications, requests, responses, routing

from ramptray import process, webserver
from ramptray.settings import ControllerSettings

LOG = logging.getLogger(__name__)


async def main(settings: ControllerSettings, stop: process.Stop) -> None:
    """Serves until a stop is asked for."""

    async def show_health(http: requests.Request) -> responses.Response:
        return responses.JSONResponse({"status": "ok"})

    app = applications.Starlette(
        routes=[routing.Route("/healthz", show_health)]
    )
    server = webserver.make_server(app)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [webserver.bind(settings.listen)])
        LOG.info("listening", extra={"address": settings.listen})
        await stop.event.wait()
        tasks.cancel_scope.cancel()


run = process.make_program(
    "ramptray-controller",
    ControllerSettings,
    main,
    "Orders engines to load, unload and change role, under a lease.",
)
