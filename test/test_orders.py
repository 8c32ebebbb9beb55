"""Orders to engines: planning, and a model version change under load."""

from __future__ import annotations

import threading
import time
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from bench import deployment
from ramptray.core import engine_orders
from test import test_path

OLD, NEW = "assistant@1", "assistant@2"
STATES = st.builds(
    engine_orders.EngineState,
    versions=st.frozensets(st.sampled_from([OLD, NEW])),
    loading=st.frozensets(st.sampled_from([NEW])),
    role=st.just("any"),
    running=st.dictionaries(st.sampled_from([OLD, NEW]), st.integers(0, 3)),
)


@settings(derandomize=True, deadline=None)
@given(
    states=st.dictionaries(st.sampled_from("abcdef"), STATES),
    budget=st.integers(1, 3),
    silent=st.integers(0, 3),
    may_unload=st.booleans(),
)
def test_orders_keep_to_the_budget_and_unload_nothing_in_use(
    states: dict[str, engine_orders.EngineState],
    budget: int,
    silent: int,
    may_unload: bool,
) -> None:
    desired = {
        name: engine_orders.DesiredState(NEW, "any") for name in "abcdef"
    }
    orders = engine_orders.plan_orders(
        desired, states, budget, silent, may_unload
    )
    kinds = engine_orders.OrderKind
    loads = [o for o in orders if o.kind is kinds.LOAD]
    loading = sum(len(state.loading) for state in states.values())
    assert not loads or len(loads) + loading + silent <= budget
    for order in orders:
        state = states[order.backend]
        if order.kind is kinds.LOAD:
            assert order.argument not in state.versions | state.loading
        if order.kind is kinds.UNLOAD:
            assert may_unload
            assert NEW in state.versions
            assert not state.running.get(order.argument)


PLAN = deployment.Plan(
    zones={"waw-a": 2},
    engines=[
        deployment.EngineSpec(
            name,
            "waw-a",
            "assistant",
            "fast",
            options={"load_s": 0.5, "checks_fencing": name == "e1"},
        )
        for name in ("e1", "e2")
    ],
    plain=[],
    tiers=[("urgent", 20.0)],
    customers={"ola": ["urgent"]},
)
TIMEOUT_S = 40.0


class Caller(threading.Thread):
    """Sends requests one after the other and records their statuses."""

    def __init__(self, started: deployment.Deployment) -> None:
        super().__init__(daemon=True)
        self.statuses: list[int] = []
        self.is_active = True
        self._url = started.entries[0].url + "/v1/completions"

    def run(self) -> None:
        """Sends until ``is_active`` is cleared."""
        body = {"model": "assistant", "prompt": "x", "max_tokens": 6}
        while self.is_active:
            status, _, _ = test_path.call(self._url, body, "key-ola")
            self.statuses.append(status)


def read_orders(started: deployment.Deployment) -> list[dict[str, Any]]:
    return [
        {**order, "engine": spec.name}
        for spec in PLAN.engines
        for order in started.get(f"engine/{spec.name}", "/ledger")["orders"]
    ]


def wait_until(check: Any) -> None:
    """Waits for a condition; fails after ``TIMEOUT_S``."""
    deadline = time.monotonic() + TIMEOUT_S
    while not check():
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.05)


def find_holder(started: deployment.Deployment) -> str:
    """Returns the latest holder of the lease, by the log."""
    records = started.get("platform", "/log/lease-waw-a?from=0")["records"]
    return str(records[-1]["body"]["holder"]).rpartition("/")[0]


def test_a_version_change_under_load_survives_the_lease_holders_death() -> None:
    with deployment.run_deployment(PLAN) as started:
        caller = Caller(started)
        caller.start()
        first = started.publish(started.make_bundle())
        services = {"assistant": {"kind": "model", "version": "2"}}
        started.publish(
            started.make_bundle(
                2,
                first.digest,
                services=services,
                weights={"loads_at_once": 1},
            )
        )
        wait_until(lambda: read_orders(started))
        started.kill(find_holder(started))
        wait_until(
            lambda: all(
                started.get(f"engine/{name}", "/orders")["versions"] == [NEW]
                for name in ("e1", "e2")
            )
        )
        caller.is_active = False
        caller.join()
        orders = read_orders(started)
    assert set(caller.statuses) == {200}
    for name in ("e1", "e2"):
        given_to = [o for o in orders if o["engine"] == name]
        kinds = [o["order"] for o in given_to]
        assert kinds.index("load") < kinds.index("unload")
        assert not [o for o in given_to if o["stale"] and not o["refused"]]
    loads = sorted(o["at"] for o in orders if o["order"] == "load")
    assert loads[-1] - loads[0] >= 0.5, "two loads at once"
    assert len({o["fencing"] for o in orders}) > 1
