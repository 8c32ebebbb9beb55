"""Stand-ins of the users' platform, and the product's processes, on loopback.

Only the standard library is used.  The store and the clients follow
``PROTOCOL.md``, the settings ``DEPLOY.md``.  The product is started with the
command of ``deploy/system.toml``; each VM has a loopback address of its own, so
that the ports are alike on all VMs, as on the users' machines.
"""

from __future__ import annotations

import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from collections.abc import Callable, Iterator
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""

MAX_S = 112
"""Time after which a case gives up, in seconds."""

FRONT, READY, CONTROL, METRICS = 8221, 8224, 8229, 9464
ZONES = ("hall-a", "hall-b", "hall-c")
READY_S = 15.0
RESTART_S = 0.4
"""Delay after which the platform starts a process again that has ended."""

HOST = "ficu95.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 2000,
    "idleTimeoutMs": 5000,
}
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "failClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 54,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 190000,
    "recoveryS": 12,
    "iterationMs": 120,
    "retryAfterS": 10,
}
"""Those of the page on the deployment hanbit-qlog."""


class NotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def note(self, text: str) -> None:
        """Writes one line, with the seconds since the start."""
        with self._lock:
            line = f"{time.monotonic() - self._began:7.3f}  {text}"
            print(line, file=self._file, flush=True)


class Topic:
    """A keyed topic with one partition."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.changed = threading.Condition()

    def append(self, key: str, value: bytes) -> int:
        """Appends a record; returns the end."""
        with self.changed:
            self.records.append((key, value))
            self.changed.notify_all()
            return len(self.records)


class Store:
    """The platform's store: the calls that keyed topics need."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._lock = threading.Lock()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Answers one connection's calls."""

            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802
                """Answers ``log-newest`` and ``log-read``."""
                store.answer_get(self)

            def do_POST(self) -> None:  # noqa: N802
                """Answers ``log-append``."""
                store.answer_post(self)

            def log_message(self, *_: object) -> None:
                """Logs nothing."""

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_: object) -> None:
                """A caller that went away is no error."""

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def get_topic(self, name: str) -> Topic:
        """Returns a topic, made at its first use."""
        with self._lock:
            return self._topics.setdefault(name, Topic())

    def write(self, topic: str, key: str, value: Any) -> int:
        """Writes a record as the operator or a replica does; None removes."""
        data = b"" if value is None else json.dumps(value).encode()
        return self.get_topic(topic).append(key, data)

    def answer_get(self, call: http.server.BaseHTTPRequestHandler) -> None:
        """Answers a reading call."""
        path, _, query_text = call.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        topic = self.get_topic(query.get("topic", ""))
        if path == "/v1/log-newest":
            _answer_json(call, 200, _list_newest(topic, query.get("after")))
        elif path == "/v1/log-read":
            _answer(call, 200, _read(topic, query))
        else:
            _answer_json(call, 404, {})

    def answer_post(self, call: http.server.BaseHTTPRequestHandler) -> None:
        """Answers a writing call."""
        path, _, query_text = call.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        body = call.rfile.read(int(call.headers.get("Content-Length", "0")))
        if path != "/v1/log-append":
            _answer_json(call, 404, {})
            return
        if query["topic"] == "keyed.servers":
            _answer_json(call, 403, {})
            return
        topic = self.get_topic(query["topic"])
        with topic.changed:
            offset = len(topic.records)
            if query.get("asOf", str(offset)) != str(offset):
                _answer_json(call, 412, {"end": offset})
                return
            while body:
                (length,) = struct.unpack_from(">I", body)
                record, body = body[4 : 4 + length], body[4 + length :]
                key_end = 1 + record[0]
                key = record[1:key_end].decode()
                topic.records.append((key, record[key_end:]))
            topic.changed.notify_all()
            end = len(topic.records)
        _answer_json(call, 200, {"offset": offset, "end": end})


def _list_newest(topic: Topic, after: str | None) -> dict[str, Any]:
    with topic.changed:
        newest = {
            key: (value, offset)
            for offset, (key, value) in enumerate(topic.records)
        }
        end = len(topic.records)
    items = [
        {
            "tlsKey": key,
            "value": base64.b64encode(value).decode(),
            "offset": offset,
        }
        for key, (value, offset) in sorted(newest.items())
        if value and (after is None or key > after)
    ]
    return {"items": items, "hasMore": False, "end": end}


def _read(topic: Topic, query: dict[str, str]) -> bytes:
    offset = int(query["from"])
    wait_s = int(query.get("waitMs", "0")) / 1000
    with topic.changed:
        topic.changed.wait_for(lambda: len(topic.records) > offset, wait_s)
        found = topic.records[offset:]
        end = len(topic.records)
    body = struct.pack(">QQ", end, 0)
    for key, value in found:
        record = bytes([len(key.encode())]) + key.encode() + value
        body += struct.pack(">I", len(record)) + record
    return body


def _answer_json(
    call: http.server.BaseHTTPRequestHandler, status: int, body: Any
) -> None:
    _answer(call, status, json.dumps(body).encode())


def _answer(
    call: http.server.BaseHTTPRequestHandler, status: int, body: bytes
) -> None:
    with contextlib.suppress(OSError):
        call.send_response(status)
        call.send_header("Content-Length", str(len(body)))
        call.end_headers()
        call.wfile.write(body)


class Answer:
    """An answer as a client sees it.

    Attributes:
        status: Its status; 0 if there was none.
        headers: Its headers, names in lower case.
        body: The bytes of its body that arrived.
        whole: Whether it ended as the protocol says, so that it seems complete.
        error: Why it did not.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.error = ""


def ask(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = 15.0,
) -> Answer:
    """Sends one request on a connection of its own."""
    host, _, port = address.rpartition(":")
    answer = Answer()
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        answer.status = response.status
        answer.headers = {k.lower(): v for k, v in response.getheaders()}
        while part := response.read1(65536):
            answer.body += part
        answer.whole = True
    except http.client.IncompleteRead as error:
        answer.body += error.partial
        answer.error = "the connection ended in the middle of the answer"
    except (OSError, http.client.HTTPException) as error:
        answer.error = repr(error)
    finally:
        connection.close()
    return answer


class Process:
    """A process of the deployment; its output goes to a file."""

    def __init__(
        self,
        words: list[str],
        log: pathlib.Path,
        variables: dict[str, str] | None = None,
    ) -> None:
        kept = (
            "PATH",
            "HOME",
            "LANG",
            "PYTHONPATH",
            "PYTHONDONTWRITEBYTECODE",
        )
        env = {name: os.environ[name] for name in kept if name in os.environ}
        with log.open("ab") as output:
            self.popen = subprocess.Popen(
                words,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env={**env, **(variables or {})},
                cwd=ROOT,
            )
        self.started_at = time.monotonic()

    def send(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def end(self) -> None:
        """Ends the process."""
        self.send(signal.SIGKILL)
        self.popen.wait()


class Deployment:
    """A small deployment; ends only the processes that it started."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = Store()
        self.vms: dict[str, str] = {}
        self.replicas: dict[str, str] = {}
        self.processes: dict[str, Process] = {}
        self._version = 0

    def write_config(self, config: dict[str, Any]) -> None:
        """Writes a configuration, as the operator does."""
        self._version = max(self._version + 7, 1)
        self.store.write(
            "keyed.op", "config", {"version": self._version, **config}
        )
        self.record.note(f"configuration {self._version} acknowledged")

    def start_replica(
        self, name: str, service: str, zone: str, *options: str
    ) -> None:
        """Starts a replica and writes its entry."""
        port = reserve_port("127.0.0.1")
        self.replicas[name] = f"127.0.0.1:{port}"
        self.processes[name] = Process(
            [
                sys.executable,
                str(ROOT / "review" / "replica.py"),
                name,
                str(port),
                str(self.folder / f"{name}.runs"),
                *options,
            ],
            self.folder / f"{name}.log",
        )
        wait_until(
            lambda: ask(self.replicas[name], "GET", "/health").status == 200,
            f"replica {name}",
        )
        self.store.write(
            "keyed.servers",
            name,
            {
                "service": service,
                "address": self.replicas[name],
                "zone": zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldMs": 0,
                "seq": 1,
            },
        )

    def prepare_vm(self, name: str, zone: str) -> None:
        """Writes the settings file of a VM."""
        self.vms[name] = reserve_ip()
        self.write_settings(name, zone)

    def write_settings(
        self,
        name: str,
        zone: str,
        bootstrap: bool = True,
        seed_ips: list[str] | None = None,
    ) -> None:
        """Writes a VM's settings file, laid out as on the users' pages.

        Args:
            name: The VM.
            zone: Its availability zone.
            bootstrap: Whether the whole system starts for the first time.
            seed_ips: Addresses of up to three machines; None for current ones.
        """
        ip = self.vms[name]
        ips = list(self.vms.values())[:3] if seed_ips is None else seed_ips
        seeds = [f"{each}:{CONTROL}" for each in ips]
        rows = [
            f'node = "{name}"',
            'role = "node"',
            'machineClass = "edge"',
            'serves = ["edge","control_plane"]',
            f'ip = "{ip}"',
            f'zone = "{zone}"',
            'region = "kr-south"',
            "portRange = [7600,7615]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}",
            "inTolerance = false",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeatMs = 1200",
            "[zones]",
            *(f'{each} = "kr-south"' for each in ZONES),
            "[listen]",
            f'front = "{ip}:{FRONT}"',
            f'ready = "{ip}:{READY}"',
            f'control = "{ip}:{CONTROL}"',
            "[limits]",
            "cpuShare = 0.537\ncores = 2\nmemoryMb = 300\nmaxFds = 4100",
            "linkMbps = 1000.0\ndiskMb = 0",
            "[faultTolerance]",
            "machines = 1\nzones = 1\nregions = 0",
            "[bounds]",
            *(f"{key} = {json.dumps(bound)}" for key, bound in BOUNDS.items()),
            "[platform]",
            f'address = "{self.store.address}"',
            'form = "log"',
            "writesPerS = 400\nreadsPerS = 2000\nparts = 8\nappendMs = 4.0",
            "partMbS = 20.0\nreadMbS = 80.0\nrecordBytes = 262144",
            "callBytes = 2097152\nkeep_s = 300\npartMb = 200\nttlMinMs = 1000",
        ]
        (self.folder / f"{name}.toml").write_text("\n".join(rows) + "\n")

    def start_vm(self, name: str) -> Process:
        """Starts a VM's process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.processes[name] = Process(
            deploy["roles"]["node"]["run"].split(),
            self.folder / f"{name}.log",
            {"RAMPTRAY_CONFIG": str(self.folder / f"{name}.toml")},
        )
        self.record.note(f"{name} started")
        return self.processes[name]

    def get_front(self, vm: str) -> str:
        """Returns the address on which clients reach a VM."""
        return f"{self.vms[vm]}:{FRONT}"

    def is_ready(self, vm: str) -> bool:
        """Returns whether a VM calls itself ready."""
        address = f"{self.vms[vm]}:{READY}"
        return ask(address, "GET", "/v1/ready", timeout_s=1.0).status == 200

    def wait_for_vms(self) -> None:
        """Waits until all VMs are ready."""
        for vm in self.vms:
            wait_until(lambda vm=vm: self.is_ready(vm), f"VM {vm}")
            self.record.note(f"{vm} ready")

    def list_runs(self) -> list[dict[str, Any]]:
        """Returns what replicas have run, in no order over replicas."""
        runs: list[dict[str, Any]] = []
        for name in self.replicas:
            path = self.folder / f"{name}.runs"
            rows = path.read_text().splitlines() if path.exists() else []
            runs.extend({"replica": name, **json.loads(row)} for row in rows)
        return runs

    def end(self) -> None:
        """Ends all processes."""
        for process in self.processes.values():
            process.end()


def wait_until(
    is_met: Callable[[], bool], what: str, timeout_s: float = READY_S
) -> None:
    """Waits for a condition.

    Raises:
        NotRunError: It was not met in time.
    """
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        if is_met():
            return
        time.sleep(0.05)
    raise NotRunError(f"not in time: {what}")


def reserve_port(ip: str) -> int:
    """Returns a port that is free."""
    with socket.create_server((ip, 0)) as server:
        port: int = server.getsockname()[1]
    return port


def reserve_ip() -> str:
    """Returns a loopback address on which the VM's ports are free.

    Raises:
        NotRunError: None was found.
    """
    for _ in range(50):
        parts = [random.randint(1, 250) for _ in range(3)]
        ip = ".".join(["127", *map(str, parts)])
        with contextlib.suppress(OSError):
            for port in (FRONT, READY, CONTROL, METRICS):
                socket.create_server((ip, port)).close()
            return ip
    raise NotRunError("no free loopback address")


@contextlib.contextmanager
def run_deployment(record: Record) -> Iterator[Deployment]:
    """Runs a deployment in a temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(pathlib.Path(name), record)
        try:
            yield deployment
        finally:
            deployment.end()


def _stop(number: int, frame: object) -> None:
    raise NotRunError(f"stopped by signal {number}")


def run_case(
    folder: pathlib.Path, play: Callable[[Record, bool], bool]
) -> None:
    """Plays a case and exits with its code.

    Args:
        folder: The folder of the case.
        play: Plays it, with the disruption or without; returns whether the rule
            held.
    """
    record = Record(folder / "record.txt")
    trouble = sys.argv[1:] != ["0"]
    record.note(f"disruption: {trouble}")
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _stop)
    signal.alarm(MAX_S)
    try:
        held = play(record, trouble)
    except Exception as error:
        # A fault of the case itself must not look like a broken rule.
        record.note(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    signal.alarm(0)
    record.note("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(HELD if held else BROKEN)
