"""``ramptray-entry``: accepts and dispatches callers' requests on one VM."""

from __future__ import annotations

import logging

import anyio

from ramptray import process, resources, runtime, webserver
from ramptray.caller import admission, memory, metrics
from ramptray.caller import app as caller_app
from ramptray.engine import client as engine_client
from ramptray.entry import dispatcher
from ramptray.service import client as service_client
from ramptray.settings import EntrySettings

LOG = logging.getLogger(__name__)

LAME_DUCK_S = 1.0
"""How long a stopping entry reports that it is not ready before it closes its
listening socket, in seconds."""


async def main(settings: EntrySettings, stop: process.Stop) -> None:
    """Serves until a stop is requested and running requests have ended."""
    process_runtime = runtime.make_runtime("entry", settings)
    entry_dispatcher = dispatcher.Dispatcher(settings, process_runtime)
    resources.prepare_heap()
    limits = settings.limits
    budget = resources.ResourceBudget(
        resources.raise_descriptor_limit(limits.descriptors), limits.memory_mb
    )
    pool = memory.CallerPool(budget)
    listener = webserver.bind(settings.listen)
    async with anyio.create_task_group() as tasks:
        app = caller_app.CallerApp(
            settings,
            entry_dispatcher,
            engine_client.EngineClient(),
            service_client.ServiceClient(),
            metrics.Metrics(),
            tasks,
        )
        server = webserver.make_server(
            admission.Admission(app.make_app(), limits.requests, pool),
            limits.header_bytes,
            pool,
        )
        tasks.start_soon(entry_dispatcher.run)
        tasks.start_soon(budget.run)
        async with anyio.create_task_group() as serving:
            serving.start_soon(server.serve, [listener])
            LOG.info("listening", extra={"address": settings.listen})
            await stop.event.wait()
            app.stopping = True
            await anyio.sleep(LAME_DUCK_S)
            server.should_exit = True
            serving.cancel_scope.deadline = (
                anyio.current_time() + settings.drain_s
            )
        LOG.info("drained", extra={"left": entry_dispatcher.request_count})
        await process_runtime.client.close()
        tasks.cancel_scope.cancel()


run = process.make_command(
    "ramptray-entry",
    EntrySettings,
    main,
    "Takes callers' requests and dispatches each of them at most once.",
)
