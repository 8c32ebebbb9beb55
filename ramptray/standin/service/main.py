"""``ramptray-fake-service``: a plain service that counts what it ran."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
from starlette import applications, requests, responses, routing

from ramptray import process, steadyclock, webserver
from ramptray.bundle import model
from ramptray.settings import Address


class FakeServiceSettings(model.Model, frozen=True, kw_only=True):
    """Settings of the plain service stand-in.

    Attributes:
        name: The backend server's name in the bundle.
        listen: IP number and port.
        work_s: How long a call takes.
        log_level: Least level that is logged.
    """

    name: model.Name
    listen: Address
    work_s: model.NonNegativeFloat = 0.01
    log_level: str = "INFO"


class Faults(model.Model, frozen=True, kw_only=True):
    """Faults that a test sets.

    Attributes:
        cut_answers: Do the work, then cut the connection.
        refuse: Admit nothing.
        leaving: Whether its load report says that it is leaving.
        work_s: How long a call takes from now on.
    """

    cut_answers: bool = False
    refuse: bool = False
    leaving: bool = False
    work_s: float | None = None


class AnswerCutError(Exception):
    """Raised to make the web server cut a connection."""


class Ledger(msgspec.Struct):
    """What the service has run."""

    dispatches: list[tuple[str, float]] = msgspec.field(default_factory=list)
    runs_by_key: dict[str, int] = msgspec.field(default_factory=dict)


class Service:
    """The stand-in's HTTP interface."""

    def __init__(self, settings: FakeServiceSettings) -> None:
        self._settings = settings
        self._faults = Faults()
        self._ledger = Ledger()
        self._running = 0

    def make_app(self) -> applications.Starlette:
        """Returns the HTTP application."""
        methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
        return applications.Starlette(
            routes=[
                routing.Route("/load", self._report),
                routing.Route("/faults", self._set_faults, methods=["PUT"]),
                routing.Route("/ledger", self._show_ledger),
                routing.Route("/{path:path}", self._serve, methods=methods),
            ]
        )

    async def _serve(self, request: requests.Request) -> responses.Response:
        body = await request.body()
        if self._faults.refuse:
            return responses.JSONResponse({"error": "not admitted"}, 503)
        request_id = request.headers.get("x-request-id", "")
        key = request.headers.get("idempotency-key", "")
        self._ledger.dispatches.append((request_id, steadyclock.read()))
        if key:
            runs = self._ledger.runs_by_key
            runs[key] = runs.get(key, 0) + 1
        self._running += 1
        try:
            await anyio.sleep(self._faults.work_s or self._settings.work_s)
        finally:
            self._running -= 1
        if self._faults.cut_answers:
            raise AnswerCutError
        return responses.JSONResponse(
            {
                "service": self._settings.name,
                "method": request.method,
                "path": "/" + request.path_params["path"],
                "query": str(request.url.query),
                "body": body.decode("utf-8", "replace"),
                "run": self._ledger.runs_by_key[key] if key else None,
            }
        )

    async def _report(self, request: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                "running": self._running,
                "waiting": 0,
                "leaving": self._faults.leaving,
                "versions": [],
            }
        )

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        self._faults = msgspec.convert(await request.json(), Faults)
        return responses.JSONResponse({})

    async def _show_ledger(
        self, request: requests.Request
    ) -> responses.Response:
        report: dict[str, Any] = msgspec.to_builtins(self._ledger)
        return responses.JSONResponse(report)


async def main(settings: FakeServiceSettings, stop: process.Stop) -> None:
    """Serves until a stop is asked for."""
    service = Service(settings)
    listener = webserver.bind(settings.listen)
    server = webserver.make_server(service.make_app())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        await stop.event.wait()
        tasks.cancel_scope.cancel()


run = process.make_command(
    "ramptray-fake-service",
    FakeServiceSettings,
    main,
    "Stands in for a plain service behind ramptray.",
)
