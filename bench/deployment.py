"""A small deployment of real processes on loopback IP numbers."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from typing import Any

from ramptray.bundle import model, signature

PROGRAMS = {
    "platform": "ramptray.standin.platform.main",
    "engine": "ramptray.standin.engine.main",
    "service": "ramptray.standin.service.main",
    "scheduler": "ramptray.scheduler.main",
    "entry": "ramptray.entry.main",
    "controller": "ramptray.controller.main",
}
START_S = 30.0
STOP_S = 20.0
PROBE_S = 0.05
CALL_S = 10.0


class DeploymentError(Exception):
    """A process of the deployment did not start."""


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """An engine stand-in to start.

    Attributes:
        name: The backend server's name.
        zone: Its zone.
        service: The service it works for.
        engine: Name of its kind of engine in the bundle.
        prefill_tokens_per_s: Its prefill speed.
        step_s: Its time between tokens.
        max_running: Sequences it batches.
        cache_blocks: Prefix blocks it keeps.
        options: Further settings of the stand-in.
    """

    name: str
    zone: str
    service: str
    engine: str
    prefill_tokens_per_s: float = 4000.0
    step_s: float = 0.02
    max_running: int = 8
    cache_blocks: int = 512
    options: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Plan:
    """What to start.

    Attributes:
        zones: Number of entry VMs in each zone.
        engines: Engine stand-ins.
        plain: Plain service stand-ins: name, zone and service.
        tiers: Name and deadline of each tier, highest first.
        customers: Name and tiers of each customer.
        policy: Policy of the schedulers.
        queue_tokens: Cost that may wait in a zone, for each service.
        customer_fields: Further fields of each customer in the bundle.
        controllers: Whether controllers are started.
        common: Further settings of every own process.
        platform: Further settings of the platform stand-in.
    """

    zones: dict[str, int]
    engines: list[EngineSpec]
    plain: list[tuple[str, str, str]]
    tiers: list[tuple[str, float]]
    customers: dict[str, list[str]]
    policy: str = "token"
    queue_tokens: int = 60_000
    customer_fields: dict[str, dict[str, Any]] = dataclasses.field(
        default_factory=dict
    )
    controllers: bool = True
    common: dict[str, Any] = dataclasses.field(default_factory=dict)
    platform: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Process:
    """One process of the deployment."""

    name: str
    program: str
    address: str
    settings: pathlib.Path
    log: pathlib.Path
    popen: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Its base URL."""
        return f"http://{self.address}"

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None


class Deployment:
    """Starts, stops and asks the processes of a plan."""

    def __init__(
        self,
        plan: Plan,
        folder: pathlib.Path,
        operator_key: str | None = None,
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.keys = {name: f"key-{name}" for name in plan.customers}
        self.operator_key = operator_key or signature.make_private_key()
        self._addresses: dict[str, str] = {}
        self._lay_out()

    # Names of processes: platform, scheduler/VM, entry/VM, engine/NAME, ...

    @property
    def entries(self) -> list[Process]:
        """All entries."""
        return self._select("entry/")

    @property
    def schedulers(self) -> list[Process]:
        """All schedulers."""
        return self._select("scheduler/")

    @property
    def engine_urls(self) -> list[str]:
        """Base URLs of all engine stand-ins."""
        return [process.url for process in self._select("engine/")]

    @property
    def vms(self) -> list[tuple[str, str]]:
        """Name and zone of each entry VM."""
        return [
            (f"{zone}-vm{number}", zone)
            for zone, count in self.plan.zones.items()
            for number in range(1, count + 1)
        ]

    def start_all(self) -> None:
        """Starts every process and waits until all listen.

        Raises:
            DeploymentError: One does not come up.
        """
        self.start("platform")
        self.put("platform", "/vms", self.list_vms())
        for name in self.processes:
            if name != "platform":
                self.start(name, wait=False)
        for name in self.processes:
            self.wait_listening(name)

    def start(self, name: str, wait: bool = True) -> None:
        """Starts one process."""
        process = self.processes[name]
        module = PROGRAMS[process.program]
        with process.log.open("ab") as log:
            process.popen = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    f"from {module} import run; run()",
                    "--settings",
                    str(process.settings),
                ],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        if wait:
            self.wait_listening(name)

    def wait_listening(self, name: str) -> None:
        """Waits until a process listens.

        Raises:
            DeploymentError: It ended, or took too long.
        """
        process = self.processes[name]
        host, _, port = process.address.rpartition(":")
        ends = time.monotonic() + START_S
        while time.monotonic() < ends:
            if not process.running:
                break
            with (
                contextlib.suppress(OSError),
                socket.create_connection((host, int(port)), timeout=1.0),
            ):
                return
            time.sleep(PROBE_S)
        tail = process.log.read_text()[-2000:]
        raise DeploymentError(f"{name} does not listen:\n{tail}")

    def kill(self, name: str) -> None:
        """Kills a process without warning."""
        self.send_signal(name, signal.SIGKILL)
        self.wait_ended(name)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this deployment started."""
        popen = self.processes[name].popen
        if popen is not None and popen.poll() is None:
            popen.send_signal(number)

    def wait_ended(self, name: str, timeout_s: float = STOP_S) -> int | None:
        """Waits for a process's end and returns its exit code."""
        popen = self.processes[name].popen
        if popen is None:
            return None
        return popen.wait(timeout_s)

    def stop_all(self) -> None:
        """Ends every process that still runs."""
        for process in self.processes.values():
            if process.running and process.popen:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.terminate()
        ends = time.monotonic() + 4.0
        for process in self.processes.values():
            if process.popen is None:
                continue
            try:
                process.popen.wait(max(0.1, ends - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.popen.kill()
                process.popen.wait()

    # Asking and telling.

    def get(self, name: str, path: str, timeout_s: float = CALL_S) -> Any:
        """Returns a process's JSON answer."""
        return self._call(name, "GET", path, None, timeout_s)

    def put(self, name: str, path: str, body: Any) -> Any:
        """Puts JSON to a process."""
        return self._call(name, "PUT", path, body)

    def wait_ready(self, generation: int = 1, timeout_s: float = 20.0) -> None:
        """Waits until every entry works by a bundle generation.

        Raises:
            DeploymentError: It takes too long.
        """
        ends = time.monotonic() + timeout_s
        names = [p.name for p in self.entries if p.running]
        while names and time.monotonic() < ends:
            names = [n for n in names if not self._is_ready(n, generation)]
            time.sleep(PROBE_S if names else 0)
        if names:
            raise DeploymentError(f"not ready in time: {names}")

    def list_vms(self, leaving: frozenset[str] = frozenset()) -> list[Any]:
        """Returns the platform's list of VMs."""
        entries = [
            {
                "name": vm,
                "zone": zone,
                "role": "entry",
                "address": self._addresses[f"scheduler/{vm}"],
                "state": "live",
            }
            for vm, zone in self.vms
        ]
        backends = [
            {
                "name": name,
                "zone": zone,
                "role": "backend",
                "address": "",
                "state": "leaving" if name in leaving else "live",
            }
            for name, zone in self._list_backends()
        ]
        return entries + backends

    def cut_zone(self, zone: str) -> None:
        """Cuts a zone off from the other zones and from the platform."""
        inside = {
            self._addresses[f"scheduler/{vm}"]
            for vm, place in self.vms
            if place == zone
        }
        outside = {
            self._addresses[f"scheduler/{vm}"]
            for vm, place in self.vms
            if place != zone
        }
        for place in self.plan.zones:
            cut = sorted(outside if place == zone else inside)
            path = self.folder / f"cut-{place}.json"
            path.write_text(json.dumps(cut))
        self.put("platform", "/faults", {"cut_agents": [zone]})

    def join_zones(self) -> None:
        """Ends a cut."""
        for place in self.plan.zones:
            (self.folder / f"cut-{place}.json").write_text("[]")
        self.put("platform", "/faults", {})

    # Bundles.

    def make_bundle(
        self, generation: int = 1, base: str | None = None, **changes: Any
    ) -> dict[str, Any]:
        """Returns a bundle for this deployment."""
        public = signature.get_public_key(self.operator_key)
        plan = self.plan
        kinds = {spec.engine: spec for spec in plan.engines}
        services = {
            spec.service: {
                "kind": "model",
                "queue_tokens": plan.queue_tokens,
            }
            for spec in plan.engines
        }
        services |= {service: {"kind": "plain"} for _, _, service in plan.plain}
        bundle = {
            "generation": generation,
            "base": base,
            "operators": {"keys": {"anna": public}},
            "zones": list(plan.zones),
            "tiers": {
                name: {"order": order, "deadline_s": deadline_s}
                for order, (name, deadline_s) in enumerate(plan.tiers)
            },
            "customers": {
                name: {
                    "key_hashes": [model.hash_key(self.keys[name])],
                    "tiers": tiers,
                    **plan.customer_fields.get(name, {}),
                }
                for name, tiers in plan.customers.items()
            },
            "services": services,
            "engines": {
                "plain": {"max_running": 64},
                **{
                    name: {
                        "max_running": spec.max_running,
                        "cache_blocks": spec.cache_blocks,
                        "checks_fencing": bool(
                            spec.options.get("checks_fencing")
                        ),
                    }
                    for name, spec in kinds.items()
                },
            },
            "backend_servers": {
                **{
                    spec.name: {
                        "zone": spec.zone,
                        "service": spec.service,
                        "engine": spec.engine,
                        "url": self.processes[f"engine/{spec.name}"].url,
                    }
                    for spec in plan.engines
                },
                **{
                    name: {
                        "zone": zone,
                        "service": service,
                        "engine": "plain",
                        "url": self.processes[f"service/{name}"].url,
                    }
                    for name, zone, service in plan.plain
                },
            },
        }
        return {**bundle, **changes}

    def publish(self, bundle: dict[str, Any]) -> signature.Envelope:
        """Signs a bundle and appends it to the log stand-in."""
        envelope = signature.sign(
            signature.Envelope(json.dumps(bundle), {}),
            "anna",
            self.operator_key,
        )
        body = {"text": envelope.text, "signatures": envelope.signatures}
        self._call("platform", "POST", "/log/bundles", body)
        return envelope

    # Settings.

    def _lay_out(self) -> None:
        self._addresses = {name: pick_address() for name in self._list_names()}
        address = self._addresses
        platform_url = f"http://{address['platform']}"
        trust = {
            "keys": {"anna": signature.get_public_key(self.operator_key)},
            "signatures_required": 1,
        }
        self._add(
            "platform", {"listen": address["platform"], **self.plan.platform}
        )
        for spec in self.plan.engines:
            self._add(
                f"engine/{spec.name}",
                {
                    "name": spec.name,
                    "listen": address[f"engine/{spec.name}"],
                    "prefill_tokens_per_s": spec.prefill_tokens_per_s,
                    "step_s": spec.step_s,
                    "max_running": spec.max_running,
                    "cache_blocks": spec.cache_blocks,
                    "versions": [f"{spec.service}@1"],
                    **spec.options,
                },
            )
        for name, _, _ in self.plan.plain:
            listen = address[f"service/{name}"]
            self._add(f"service/{name}", {"name": name, "listen": listen})
        seeds = [address[f"scheduler/{vm}"] for vm, _ in self.vms]
        for vm, zone in self.vms:
            cut_file = str(self.folder / f"cut-{zone}.json")
            common = {
                "vm": vm,
                "zone": zone,
                "cut_file": cut_file,
                **self.plan.common,
            }
            self._add(
                f"scheduler/{vm}",
                {
                    **common,
                    "listen": address[f"scheduler/{vm}"],
                    "platform": platform_url,
                    "seeds": seeds,
                    "trust": trust,
                    "policy": self.plan.policy,
                },
            )
            self._add(
                f"entry/{vm}",
                {
                    **common,
                    "listen": address[f"entry/{vm}"],
                    "scheduler": address[f"scheduler/{vm}"],
                },
            )
            if self.plan.controllers:
                self._add(
                    f"controller/{vm}",
                    {
                        **common,
                        "listen": address[f"controller/{vm}"],
                        "scheduler": address[f"scheduler/{vm}"],
                        "platform": platform_url,
                    },
                )
        operator = {
            "platform": platform_url,
            "schedulers": seeds,
            "trust": trust,
            "tls": self.plan.common.get("tls"),
        }
        (self.folder / "operator.json").write_text(json.dumps(operator))
        (self.folder / "anna.key").write_text(self.operator_key + "\n")

    def _add(self, name: str, settings: dict[str, Any]) -> None:
        file_name = name.replace("/", "-")
        path = self.folder / f"{file_name}.json"
        path.write_text(json.dumps(settings, indent=1))
        self.processes[name] = Process(
            name,
            name.partition("/")[0],
            settings["listen"],
            path,
            self.folder / f"{file_name}.log",
        )

    def _list_names(self) -> list[str]:
        names = ["platform"]
        names += [f"engine/{spec.name}" for spec in self.plan.engines]
        names += [f"service/{name}" for name, _, _ in self.plan.plain]
        names += [
            f"{program}/{vm}"
            for vm, _ in self.vms
            for program in ("scheduler", "entry", "controller")
        ]
        return names

    def _list_backends(self) -> list[tuple[str, str]]:
        engines = [(spec.name, spec.zone) for spec in self.plan.engines]
        return engines + [(name, zone) for name, zone, _ in self.plan.plain]

    def _select(self, start: str) -> list[Process]:
        return [p for n, p in self.processes.items() if n.startswith(start)]

    def _is_ready(self, name: str, generation: int) -> bool:
        try:
            answer = self.get(name, "/readyz")
        except (urllib.error.URLError, OSError):
            return False
        return bool(answer["ready"] and answer["generation"] >= generation)

    def _call(
        self,
        name: str,
        method: str,
        path: str,
        body: Any,
        timeout_s: float = CALL_S,
    ) -> Any:
        url = self.processes[name].url + path
        data = None if body is None else json.dumps(body).encode()
        asked = urllib.request.Request(url, data, method=method)
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        with opener.open(asked, timeout=timeout_s) as answer:
            return json.loads(answer.read() or b"null")


@contextlib.contextmanager
def run_deployment(
    plan: Plan, keep: pathlib.Path | None = None
) -> Iterator[Deployment]:
    """Runs a deployment with its first bundle in force; ends it after.

    Args:
        plan: What to run.
        keep: Folder for settings and logs; None for one that is removed.
    """
    with contextlib.ExitStack() as stack:
        if keep is None:
            temporary = tempfile.TemporaryDirectory(prefix="ramptray-")
            folder = stack.enter_context(temporary)
        else:
            keep.mkdir(parents=True, exist_ok=True)
            folder = str(keep)
        deployment = Deployment(plan, pathlib.Path(folder))
        try:
            deployment.start_all()
            deployment.publish(deployment.make_bundle())
            deployment.wait_ready()
            yield deployment
        finally:
            deployment.stop_all()


def pick_address() -> str:
    """Returns a free address on a loopback IP number of its own."""
    rng = random.Random(os.urandom(16))
    parts = [rng.randrange(1, 250) for _ in range(3)]
    host = ".".join(map(str, [127, *parts]))
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"
