"""All keys are taken away: is anything still run?"""

from __future__ import annotations

import pathlib
import time
from typing import Any

import standins

TENANTS = ("hule930", "kesa114", "mopi552", "runo871", "tavi309")
APPLY_S = 2.0
"""``configApplyMs``."""

TURNS = 6


def make_config(keys: dict[str, list[str]]) -> dict[str, Any]:
    """Returns a configuration whose tenants hold these keys."""
    route = {
        "hostname": standins.HOST,
        "timeoutMs": 3000,
        "targetLatencyMs": 300,
        "priority": 0,
        "service": "plant-api",
        "public": False,
    }
    return {
        "routes": [
            {
                **route,
                "name": "lookup",
                "pathPrefix": "/lookup/",
                "kind": "unsafe",
                "maxAttempts": 1,
            },
            {
                **route,
                "name": "status",
                "pathPrefix": "/status/",
                "kind": "safe",
                "maxAttempts": 2,
            },
        ],
        "services": [{"name": "plant-api"}],
        "limits": standins.LIMITS,
        "tenants": [
            {"name": name, "apiKeys": keys[name], "priority": 0}
            for name in TENANTS
        ],
    }


def send(
    deployment: standins.Deployment, label: str, turn: int
) -> dict[str, int]:
    """Sends requests with a held key, a key never held and none."""
    sent = {}
    keys = {"held": "key-hule930", "never": "key-of-nobody", "none": ""}
    for vm in deployment.vms:
        for kind, key in keys.items():
            for method, path in (("POST", "/lookup/a"), ("GET", "/status/a")):
                name = f"{label}-{turn}-{vm}-{kind}-{method.lower()}"
                headers = {
                    "Host": standins.HOST,
                    "X-Request-Id": name,
                    "X-Deadline-Ms": "3000",
                }
                if key:
                    headers["Authorization"] = f"Bearer {key}"
                body = b"{}" if method == "POST" else None
                answer = standins.ask(
                    deployment.get_front(vm), method, path, headers, body
                )
                deployment.record.note(
                    f"sent {name}: {answer.status} {answer.error}"
                )
                sent[name] = answer.status
    return sent


def play(record: standins.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    with standins.run_deployment(record) as deployment:
        held = {name: [f"key-{name}"] for name in TENANTS}
        deployment.write_config(make_config(held))
        for number, zone in enumerate(standins.ZONES):
            deployment.start_replica(f"i-{number}", "plant-api", zone)
            deployment.prepare_vm(f"edge-{number}", zone)
        for number, zone in enumerate(standins.ZONES):
            deployment.write_settings(f"edge-{number}", zone)
            deployment.start_vm(f"edge-{number}")
        deployment.wait_for_vms()
        time.sleep(1.0)
        before = send(deployment, "before", 0)
        if not any(s == 200 for n, s in before.items() if "-held-" in n):
            raise standins.NotRunError("nothing was served before")
        # The keys are taken away one after the other, or not at all.
        for name in TENANTS if trouble else ():
            held[name] = []
            deployment.write_config(make_config(held))
            time.sleep(0.3)
        time.sleep(APPLY_S + 2.0)
        for turn in range(TURNS):
            send(deployment, "after", turn)
            time.sleep(0.5)
        runs = deployment.list_runs()
        for run in sorted(runs, key=lambda run: run["at"]):
            record.note(
                f"run by {run['replica']}: {run['id']} {run['call']}"
                f" tenant {run['tenant']}"
            )
        never = [run["id"] for run in runs if "-never-" in run["id"]]
        without = [run["id"] for run in runs if "-none-" in run["id"]]
        dropped = [
            run["id"]
            for run in runs
            if trouble
            and run["id"].startswith("after-")
            and "-held-" in run["id"]
        ]
        record.note(f"run with a key never held: {len(never)}")
        record.note(f"run without a key, not judged: {len(without)}")
        record.note(f"run with a key long taken away: {len(dropped)}")
        return not never and not dropped


if __name__ == "__main__":
    standins.run_case(pathlib.Path(__file__).resolve().parent, play)
