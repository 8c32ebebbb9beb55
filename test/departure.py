"""VMs of one availability zone whose servers leave while some VMs stop."""

from __future__ import annotations

import contextlib
import dataclasses
import datetime
import functools
import itertools
import signal
import threading
import time
from collections.abc import Collection, Iterable, Iterator
from typing import Any

from test import node, test_node

VMS = 24
FASTEST_MBPS = 1000.0
"""Link of the VM that comes first in the distribution; each further one has
1 Mbit/s less, so that the order of the VMs in the tree is that of their
numbers."""

SERVERS = 4
LAST_SERVER = f"i-{SERVERS - 1}"
REQUEST_INTERVAL_S = 0.05
"""Time between two requests of a caller, in seconds."""

CALLERS_PER_VM = 3


@contextlib.contextmanager
def run_zone(bound_s: float, vms: int = VMS) -> Iterator[node.Platform]:
    """Runs VMs of one zone, sorted by their place in the distribution.

    Args:
        bound_s: Longest time for which a server that leaves may get requests,
            in seconds.
        vms: How many VMs.
    """
    bounds = {"drainMs": bound_s * 1000, "configApplyMs": bound_s * 1000}
    with node.run_platform(vms=0, replicas=SERVERS, bounds=bounds) as started:
        for number in range(vms):
            started.start_vm(f"vm-{number}", link_mbps=FASTEST_MBPS - number)
        for vm in started.vms:
            test_node.wait_until(functools.partial(is_served, started, vm))
        # By then all VMs know their places.
        time.sleep(2.0)
        yield started


def is_served(started: node.Platform, vm: str) -> bool:
    """Returns whether a VM serves a caller."""
    return test_node.ask(started, "/safe/", vm=vm).status == 200


@dataclasses.dataclass
class Departure:
    """What followed when servers left, in seconds after that.

    Attributes:
        listed_s: How long a VM still listed a server, by server and VM, without
            the time in which the machine did not run the VM's program.
        arrived_s: When the last request reached a server, by server; negative
            if none did after it had left.
    """

    listed_s: dict[tuple[str, str], float]
    arrived_s: dict[str, float]

    def get_latest_s(self) -> float:
        """Returns until when a server was listed or got a request."""
        return max(*self.listed_s.values(), *self.arrived_s.values())


def watch_departure(
    started: node.Platform,
    stopped: Collection[str],
    servers: Iterable[str],
    leave: bool,
    watch_s: float,
) -> Departure:
    """Has servers leave just after some VMs have stopped.

    Callers send requests to the other VMs meanwhile.

    Args:
        started: The deployment.
        stopped: The VMs that stop, without ending.
        servers: The servers that leave.
        leave: Whether they say so; else their records are removed.
        watch_s: How long callers go on, in seconds.
    """
    vms = [vm for vm in started.vms if vm not in stopped]
    over = threading.Event()
    callers = [
        threading.Thread(target=_call_until, args=(started, vm, over))
        for vm in vms
        for _ in range(CALLERS_PER_VM)
    ]
    for caller in callers:
        caller.start()
    time.sleep(0.3)
    # Readers collect changes for a while after this one, and so read those
    # below together.
    started.write_record(LAST_SERVER)
    time.sleep(0.05)
    for vm in stopped:
        started.processes[vm].send_signal(signal.SIGSTOP)
    left_at = {}
    for server in servers:
        if leave:
            started.write_record(server, "draining")
        else:
            started.remove_record(server)
        left_at[server] = time.monotonic()
    clock_offset_s = time.time() - time.monotonic()
    time.sleep(watch_s)
    over.set()
    for caller in callers:
        caller.join()
    return Departure(
        {
            (server, vm): _measure_listed_s(
                started.read_log(vm), server, at + clock_offset_s
            )
            for server, at in left_at.items()
            for vm in vms
        },
        {
            server: max(started.read_ledger(server)["arrived"], default=at) - at
            for server, at in left_at.items()
        },
    )


def _measure_listed_s(
    log: Iterable[dict[str, Any]], server: str, left_at: float
) -> float:
    """Returns how long a VM listed a server as ready that has left.

    The time in which the machine gave the VM's program no processor does not
    count: the program dispatches nothing in it, and its length depends on what
    else the machine runs.  A loop that is late because the program is busy
    counts.

    Args:
        log: What the VM logged.
        server: The server.
        left_at: When the server left, in Unix seconds.

    Returns:
        The time in seconds; infinite if the VM lists the server as ready.
    """
    lines = [(_read_time(line), line) for line in log]
    dropped_at: float = next(
        (
            at
            for at, line in lines
            if line.get("backend") == server
            and (
                line["message"] == "backend server gone" or line.get("leaving")
            )
        ),
        float("inf"),
    )
    stopped_s: float = sum(
        line["delay_s"] - line["cpu_s"]
        for at, line in lines
        if line["message"] == "event loop late"
        and line["delay_s"] > line["cpu_s"]
        and at - line["delay_s"] < dropped_at
        and at > left_at
    )
    return dropped_at - left_at - stopped_s


def _read_time(line: dict[str, Any]) -> float:
    """Returns when a line was logged, in Unix seconds."""
    return datetime.datetime.strptime(
        f"{line['time']}000+0000", "%Y-%m-%d %H:%M:%S,%f%z"
    ).timestamp()


def _call_until(started: node.Platform, vm: str, over: threading.Event) -> None:
    for _ in itertools.count():
        if over.wait(REQUEST_INTERVAL_S):
            return
        with contextlib.suppress(OSError):
            test_node.ask(started, "/safe/", vm=vm)
