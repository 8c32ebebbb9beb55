"""``ramptray-fake-platform``: log, VM list and weight store in memory.

It keeps the promises of the real platform and no more: appends may be slow,
lost or late on command, records are dropped after a while, the VM list lags.
"""

from __future__ import annotations

import hashlib
import random
from typing import Any

import anyio
import msgspec
from starlette import applications, requests, responses, routing

from ramptray import process, steadyclock, webserver
from ramptray.bundle import model
from ramptray.settings import Address

POLL_S = 0.02


class FakePlatformSettings(model.Model, frozen=True, kw_only=True):
    """Settings of the platform stand-in.

    Attributes:
        listen: IP number and port.
        seed: Seed of the faults that are drawn by chance.
        retain_records: Records that each stream keeps.
        appends_per_s: Appends it takes a second.
        list_lag_s: How old the VM list is.
        weight_bytes_per_s: Rate of the weight store for all its clients.
        log_level: Least level that is logged.
    """

    listen: Address
    seed: int = 1
    retain_records: model.PositiveInt = 100_000
    appends_per_s: model.PositiveFloat = 400.0
    list_lag_s: model.NonNegativeFloat = 1.0
    weight_bytes_per_s: model.PositiveFloat = 1e9
    log_level: str = "INFO"


class Faults(model.Model, frozen=True, kw_only=True):
    """Faults that a test sets.

    Attributes:
        log_down: Whether the log answers nothing but errors.
        cut_agents: Beginnings of names of clients that get no answer.
        lose_answer: Part of the appends that work but are answered by 503.
        late_append: Part of the appends that are answered by 503 and take
            effect only later.
        late_s: How much later.
    """

    log_down: bool = False
    cut_agents: list[str] = []
    lose_answer: float = 0.0
    late_append: float = 0.0
    late_s: float = 1.0
    retain_records: int | None = None


class Stream(msgspec.Struct):
    """One stream of the log."""

    first: int = 0
    records: list[dict[str, Any]] = msgspec.field(default_factory=list)

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


class Platform:
    """The stand-in's state and its request handlers."""

    def __init__(self, settings: FakePlatformSettings) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._streams: dict[str, Stream] = {}
        self._faults = Faults()
        self._vms: list[dict[str, Any]] = []
        self._vm_history: list[tuple[float, list[dict[str, Any]]]] = []
        self._budget = settings.appends_per_s
        self._budget_at = steadyclock.read()
        self._weights_free_at = steadyclock.read()
        self._weight_log: list[dict[str, Any]] = []
        self._late: list[tuple[float, str, dict[str, Any]]] = []

    def make_app(self) -> applications.Starlette:
        """Returns the HTTP application."""
        return applications.Starlette(
            routes=[
                routing.Route("/log/{name}", self._append, methods=["POST"]),
                routing.Route("/log/{name}", self._read, methods=["GET"]),
                routing.Route("/vms", self._list_vms, methods=["GET"]),
                routing.Route("/vms", self._set_vms, methods=["PUT"]),
                routing.Route("/weights/{name}", self._fetch_weights),
                routing.Route("/weights", self._list_weights),
                routing.Route("/faults", self._set_faults, methods=["PUT"]),
            ]
        )

    async def run_late_appends(self) -> None:
        """Lets late appends take effect."""
        while True:
            await anyio.sleep(POLL_S)
            now = steadyclock.read()
            due = [late for late in self._late if late[0] <= now]
            self._late = [late for late in self._late if late[0] > now]
            for _, name, body in due:
                self._store(name, body)

    async def _append(self, request: requests.Request) -> responses.Response:
        if self._is_down_for(request) or not self._take_budget():
            return responses.Response(status_code=503)
        name = request.path_params["name"]
        body = await request.json()
        chance = self._rng.random()
        if chance < self._faults.late_append:
            due = steadyclock.read() + self._faults.late_s
            self._late.append((due, name, body))
            return responses.Response(status_code=503)
        offset = self._store(name, body)
        if chance < self._faults.late_append + self._faults.lose_answer:
            return responses.Response(status_code=503)
        return responses.JSONResponse({"offset": offset})

    async def _read(self, request: requests.Request) -> responses.Response:
        name = request.path_params["name"]
        start = int(request.query_params.get("from", 0))
        ends = steadyclock.read() + float(request.query_params.get("wait", 0))
        stream = self._streams.setdefault(name, Stream())
        while stream.next_offset <= start and steadyclock.read() < ends:
            if self._is_down_for(request):
                break
            await anyio.sleep(POLL_S)
        if self._is_down_for(request):
            return responses.Response(status_code=503)
        begin = max(start, stream.first)
        records = stream.records[begin - stream.first :][:1000]
        return responses.JSONResponse(
            {
                "first_retained": stream.first,
                "next_offset": stream.next_offset,
                "records": [
                    {"offset": offset, "body": body}
                    for offset, body in enumerate(records, begin)
                ],
            }
        )

    async def _list_vms(self, request: requests.Request) -> responses.Response:
        zone = request.query_params.get("zone")
        seen = steadyclock.read() - self._settings.list_lag_s
        known = [vms for at, vms in self._vm_history if at <= seen]
        vms = known[-1] if known else []
        found = [vm for vm in vms if zone in (None, vm["zone"])]
        tag = '"' + hashlib.sha256(repr(found).encode()).hexdigest() + '"'
        if request.headers.get("if-none-match") == tag:
            return responses.Response(status_code=304)
        return responses.JSONResponse(found, headers={"etag": tag})

    async def _set_vms(self, request: requests.Request) -> responses.Response:
        self._vm_history.append((steadyclock.read(), await request.json()))
        return responses.JSONResponse({})

    async def _fetch_weights(
        self, request: requests.Request
    ) -> responses.Response:
        size = float(request.query_params.get("bytes", 0))
        now = steadyclock.read()
        start = max(now, self._weights_free_at)
        self._weights_free_at = start + size / self._settings.weight_bytes_per_s
        self._weight_log.append(
            {"name": request.path_params["name"], "bytes": size, "at": now}
        )
        await anyio.sleep(self._weights_free_at - now)
        return responses.JSONResponse({"bytes": size})

    async def _list_weights(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(self._weight_log)

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        try:
            self._faults = msgspec.convert(await request.json(), Faults)
        except msgspec.ValidationError as error:
            return responses.JSONResponse({"error": str(error)}, 400)
        for stream in self._streams.values():
            self._trim(stream)
        return responses.JSONResponse({})

    def _is_down_for(self, request: requests.Request) -> bool:
        agent = request.headers.get("user-agent", "")
        cut = tuple(self._faults.cut_agents)
        return self._faults.log_down or agent.startswith(cut)

    def _store(self, name: str, body: dict[str, Any]) -> int:
        stream = self._streams.setdefault(name, Stream())
        stream.records.append(body)
        self._trim(stream)
        return stream.next_offset - 1

    def _trim(self, stream: Stream) -> None:
        keep = self._faults.retain_records or self._settings.retain_records
        surplus = len(stream.records) - keep
        if surplus > 0:
            del stream.records[:surplus]
            stream.first += surplus

    def _take_budget(self) -> bool:
        now = steadyclock.read()
        rate = self._settings.appends_per_s
        earned = (now - self._budget_at) * rate
        self._budget = min(rate, self._budget + earned)
        self._budget_at = now
        if self._budget < 1:
            return False
        self._budget -= 1
        return True


async def main(settings: FakePlatformSettings, stop: process.Stop) -> None:
    """Serves until a stop is asked for."""
    platform = Platform(settings)
    listener = webserver.bind(settings.listen)
    server = webserver.make_server(platform.make_app())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(platform.run_late_appends)
        tasks.start_soon(server.serve, [listener])
        await stop.event.wait()
        tasks.cancel_scope.cancel()


run = process.make_command(
    "ramptray-fake-platform",
    FakePlatformSettings,
    main,
    "Stands in for the platform: log, VM list and weight store, in memory.",
)
